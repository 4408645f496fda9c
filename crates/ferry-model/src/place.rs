//! Orders to model engines and what engines report of themselves.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{EndpointId, Fence, ModelId, Revision, Role};

/// The state an endpoint is told to reach; never a delta.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub endpoint: EndpointId,
    pub fence: Fence,
    /// Models to hold, sorted.
    pub models: Vec<ModelId>,
    pub role: Role,
    /// After this long on its way the order must not be obeyed.
    pub life: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderResult {
    Obeyed,
    /// The endpoint has seen a higher fencing number.
    Fenced {
        seen: Fence,
    },
    /// It was not sent.
    Unsent {
        error: String,
    },
    /// It may have been obeyed.
    Unknown {
        error: String,
    },
    Refused {
        error: String,
    },
}

/// What an endpoint says it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    pub endpoint: EndpointId,
    /// Models loaded, sorted.
    pub models: Vec<ModelId>,
    /// Models being loaded, sorted.
    pub loading: Vec<ModelId>,
    pub role: Role,
    pub in_flight: u32,
    /// Highest fencing number seen, where it checks them.
    pub fence: Option<Fence>,
}

/// The published plan: which endpoints take no new work, and what each is to become.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    pub revision: Revision,
    pub fence: Fence,
    /// Endpoints to drain, sorted.
    pub draining: Vec<EndpointId>,
    /// Endpoints that hold capacity, sorted; others of a placed pool are idle.
    pub holding: Vec<EndpointId>,
}
