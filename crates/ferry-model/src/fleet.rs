//! Endpoints and instances as the platform's lagging list shows them.

use std::net::SocketAddr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{EndpointId, InstanceId, ModelId, PoolId, RegionId, ZoneId};

/// A runner in a pool.
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

/// One of our own processes, as the instance list shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Instance {
    pub id: InstanceId,
    pub zone: ZoneId,
    pub region: RegionId,
    /// Where callers connect; for a control instance, where operators do.
    pub address: SocketAddr,
    /// Where peers connect.
    pub peer: SocketAddr,
    pub state: EndpointState,
    pub is_entry: bool,
}

/// One prefix-cache event of an engine; late, and with gaps in `sequence`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheUpdate {
    pub endpoint: EndpointId,
    pub sequence: u64,
    /// Hashes of prefixes that are cached now.
    pub stored: Vec<u64>,
    /// Hashes of prefixes that were evicted.
    pub evicted: Vec<u64>,
}

/// What part of generation a model engine takes.
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

/// A load report of an endpoint; it arrives with a lag.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    pub running: u32,
    pub queued: u32,
    /// Age of the report when it was sent.
    #[serde(with = "crate::millis")]
    pub age: Duration,
    /// The endpoint says it is leaving.
    pub leaving: bool,
}
