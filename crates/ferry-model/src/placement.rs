//! Placement orders to endpoints, status reports from endpoints, and the stored placement objects.
//!
//! docs/design/placement.md describes which process writes which object.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{EndpointId, Fence, Incarnation, InstanceId, ModelId, PoolId, Revision, Role};

/// The complete state that an endpoint is to reach, never a difference to its current one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub endpoint: EndpointId,
    pub fence: Fence,
    /// Models to keep loaded, sorted.
    pub models: Vec<ModelId>,
    pub role: Role,
    /// Time after sending at which the order expires and must not be applied.
    #[serde(rename = "life", with = "crate::millis")]
    pub ttl: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderResult {
    #[serde(rename = "Obeyed")]
    Applied,
    /// The endpoint rejected the order because it has seen a higher fencing number.
    Fenced { seen: Fence },
    /// The order was not sent.
    #[serde(rename = "Unsent")]
    NotSent { error: String },
    /// The order may have been applied.
    Unknown { error: String },
    /// The endpoint rejected the order for another reason.
    Refused { error: String },
}

/// The state that an endpoint reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    pub endpoint: EndpointId,
    /// Models loaded, sorted.
    pub models: Vec<ModelId>,
    /// Models being loaded, sorted.
    pub loading: Vec<ModelId>,
    pub role: Role,
    pub in_flight: u32,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Highest fencing number seen, if the endpoint checks fencing numbers.
    pub fence: Option<Fence>,
}

/// The published placement plan, which lists the endpoints that take no new work.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    pub revision: Revision,
    /// Version of the lease that the writer held.
    pub fence: Fence,
    /// Endpoints that take no new work because they drain or have no capacity, sorted.
    pub draining: Vec<EndpointId>,
    /// Endpoints with capacity in the pools under placement, sorted.
    pub holding: Vec<EndpointId>,
}

impl Plan {
    /// Returns whether the endpoint must not get new work.
    pub fn excludes(&self, endpoint: &str) -> bool {
        self.draining.binary_search_by(|it| it.as_str().cmp(endpoint)).is_ok()
    }
}

/// The lease object; its version in the store is the fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    pub holder: InstanceId,
    pub incarnation: Incarnation,
    /// Differs in each write, so that a writer that got no response can find out whether the
    /// write took effect.
    pub nonce: u64,
    /// Time that the lease is valid after this write; zero releases it.
    #[serde(rename = "life", with = "crate::millis")]
    pub ttl: Duration,
}

/// Demand on previous days by time of day, written by the lease holder.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandHistory {
    /// The most recent days, oldest first.
    pub days: Vec<DemandDay>,
}

/// Demand on one day.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandDay {
    /// Whole days since the Unix epoch.
    pub day: u64,
    /// Sorted by pool.
    pub pools: Vec<PoolDemand>,
}

/// Demand on one pool over a day.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolDemand {
    pub pool: PoolId,
    /// Highest number of concurrent calls in each interval of the day, in tenths of a call; zero if
    /// unknown.
    pub levels: Vec<u32>,
}
