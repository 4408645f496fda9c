//! Orders to endpoints, what endpoints report of themselves, and the stored objects of placement.
//!
//! See docs/design/placement.md for who writes which object.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{EndpointId, Fence, Incarnation, InstanceId, ModelId, PoolId, Revision, Role};

/// The state an endpoint is told to reach; never a delta.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub endpoint: EndpointId,
    pub fence: Fence,
    /// Models to hold, sorted.
    pub models: Vec<ModelId>,
    pub role: Role,
    /// After this long on its way the order must not be obeyed.
    #[serde(rename = "life", with = "crate::millis")]
    pub ttl: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderResult {
    #[serde(rename = "Obeyed")]
    Applied,
    /// The endpoint has seen a higher fencing number.
    Fenced {
        seen: Fence,
    },
    /// It was not sent.
    #[serde(rename = "Unsent")]
    NotSent {
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
    /// Calls served at once.
    pub slots: u32,
    /// Highest fencing number seen, where it checks them.
    pub fence: Option<Fence>,
}

/// The published plan: which endpoints take no new work.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    pub revision: Revision,
    /// Lease version that its writer held.
    pub fence: Fence,
    /// Endpoints that take no new work, sorted: those that drain and those without capacity.
    pub draining: Vec<EndpointId>,
    /// Endpoints of placed pools that hold capacity, sorted.
    pub holding: Vec<EndpointId>,
}

impl Plan {
    /// Whether an endpoint must get no new work.
    pub fn excludes(&self, endpoint: &str) -> bool {
        self.draining.binary_search_by(|it| it.as_str().cmp(endpoint)).is_ok()
    }
}

/// The lease object; its version in the store is the fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    pub holder: InstanceId,
    pub incarnation: Incarnation,
    /// Different in each write, so that its writer can tell whether a lost answer took effect.
    pub nonce: u64,
    /// How long the lease lasts after this write; zero gives it up.
    #[serde(rename = "life", with = "crate::millis")]
    pub ttl: Duration,
}

/// Demand of earlier days by time of day, as the lease holder stores it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandHistory {
    /// The last days, oldest first.
    pub days: Vec<DemandDay>,
}

/// One day's demand.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandDay {
    /// Whole days since the Unix epoch.
    pub day: u64,
    /// Sorted by pool.
    pub pools: Vec<PoolDemand>,
}

/// Demand of one pool over a day.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolDemand {
    pub pool: PoolId,
    /// Highest number of concurrent calls in each part of the day, in tenths; zero is unknown.
    pub levels: Vec<u32>,
}
