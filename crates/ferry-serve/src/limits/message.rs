//! What instances and limiters say to each other; any of it may get lost.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{EndpointNotice, LimitNotice};

/// Identifies a permit at the instance that asks for it.
pub type PermitId = u64;

/// Asks the limiter of an endpoint for a permit to send it one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    pub id: PermitId,
    /// Counts how often the instance has asked for this permit.
    pub n_asks: u8,
    /// What the instance knows of the endpoint's limit.
    pub limit: LimitNotice,
    /// Zero is served first.
    pub class: u8,
    /// Longest useful wait for the permit.
    pub max_wait: Duration,
    /// What the instance knows of the endpoint besides; an extension of the message.
    #[serde(skip)]
    pub notices: Vec<EndpointNotice>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// The request may be sent now; it has waited at the limiter for this time.
    Granted { waited: Duration },
    /// The permit is likely to follow after this time.
    Queued { wait: Duration },
    /// There is none in time.
    Denied {
        /// Time after which one would be free.
        wait: Duration,
        /// Time for which it is not worth asking again if there are other endpoints.
        pause: Duration,
    },
    /// The instance is not the limiter of the endpoint.
    Elsewhere,
    /// The endpoint has no limit any longer.
    NotNeeded(LimitNotice),
}
