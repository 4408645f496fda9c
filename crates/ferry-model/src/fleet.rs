//! Endpoints and instances as listed by the platform; the lists may lag behind reality.

use std::net::SocketAddr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{EndpointId, InstanceId, ModelId, PoolId, RegionId, ZoneId};

/// An endpoint of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    pub id: EndpointId,
    pub pool: PoolId,
    pub zone: ZoneId,
    pub address: SocketAddr,
    pub state: EndpointState,
    /// Models loaded, sorted; empty for pools without models.
    pub models: Vec<ModelId>,
    pub role: Role,
}

#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    JsonSchema,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EndpointState {
    Live,
    Leaving,
}

/// A tarragonferry process, as listed in the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Instance {
    pub id: InstanceId,
    pub zone: ZoneId,
    pub region: RegionId,
    /// Address for callers or, on a control instance, for operators.
    pub address: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    pub state: EndpointState,
    pub is_entry: bool,
}

/// A prefix-cache event of a model engine; events may be delayed and `sequence` may have gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheUpdate {
    pub endpoint: EndpointId,
    pub sequence: u64,
    /// Hashes of prefixes that were added to the cache.
    pub stored: Vec<u64>,
    /// Hashes of prefixes that were evicted.
    pub evicted: Vec<u64>,
}

/// The phase of generation that a model engine serves.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    #[default]
    Both,
    Prefill,
    Decode,
}

/// A load report of an endpoint, which arrives with a delay.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    pub running: u32,
    pub queued: u32,
    /// Age of the report when it was sent.
    #[serde(with = "crate::millis")]
    pub age: Duration,
    /// Whether the endpoint announced that it is leaving.
    pub leaving: bool,
}
