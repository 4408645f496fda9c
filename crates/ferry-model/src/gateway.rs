//! Routes, pools, keys and endpoints of a gateway that forwards requests without reading them.
//!
//! These are the types behind the opaque interface; docs/design/platform.md says why they stand
//! beside [`crate::Config`], which describes pipelines whose bodies the product reads.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{EndpointId, EndpointState, PoolId, SortedMap, WorkspaceId, ZoneId};

/// Version of a gateway's configuration; it only grows within a process.
pub type ConfigVersion = u64;
/// A caller's secret.
pub type ApiKey = String;

/// A stage result that lies at the endpoint which made it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ResultHandle {
    /// The endpoint that keeps the result.
    pub address: SocketAddr,
    /// The result's name there.
    pub id: String,
}

/// Everything that operators set, applied whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatewayConfig {
    pub version: ConfigVersion,
    pub routes: Vec<Route>,
    pub pools: SortedMap<PoolId, GatewayPool>,
    /// Owner of each key; none where requests carry no keys.
    pub keys: Option<SortedMap<ApiKey, KeyOwner>>,
    pub limits: ConnectionLimits,
}

impl GatewayConfig {
    /// Returns the route with the longest prefix that begins `path`, among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let fits = |it: &&Route| it.host.eq_ignore_ascii_case(host) && path.starts_with(&it.prefix);
        self.routes.iter().filter(fits).max_by_key(|it| it.prefix.len())
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyOwner {
    pub workspace: WorkspaceId,
    /// Goes before the route's priority where it is set; zero is served first.
    pub priority: Option<u8>,
}

/// What a caller may send, and how long its connection may take or stay idle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionLimits {
    /// Bytes.
    pub header: usize,
    /// Bytes.
    pub body: usize,
    #[serde(rename = "header_time")]
    pub header_timeout: Duration,
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub name: String,
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    pub kind: RouteKind,
    /// Longest time a caller is kept waiting.
    pub time_limit: Duration,
    /// Time within which an answer, or the first event of a stream, is worth most to its caller.
    pub objective: Duration,
    /// Zero is served first.
    pub priority: u8,
    /// Pools that serve the route; more than one while it is being moved.
    pub targets: Vec<Target>,
    /// Endpoints that one attempt of a caller may be sent to.
    pub max_tries: u32,
    pub stages: Vec<RouteStage>,
    pub anonymous: bool,
    /// Requests name the parts of their prompt, and endpoints cache them.
    #[serde(rename = "affine")]
    pub affinity: bool,
    /// Whether a stream may go on at another endpoint from its last whole event.
    pub resumable: bool,
    /// Longest pause between the events of a stream that is still on time.
    #[serde(rename = "gap")]
    pub max_gap: Option<Duration>,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    Idempotent,
    NonIdempotent,
    /// Answered by events that are passed on as they come.
    Stream,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub pool: PoolId,
    /// Share of the requests relative to the other targets.
    pub weight: u32,
}

/// Work that must be done before a request can run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteStage {
    pub pool: PoolId,
    /// Stages of the same route whose results this one reads.
    pub after: Vec<usize>,
    /// Approximate size of one result.
    pub result_bytes: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatewayPool {
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    pub kind: PoolKind,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PoolKind {
    /// Serves one request per slot.
    Plain,
    /// Batches the tokens of many requests.
    Engine { slots: u32 },
    /// Works on the items of many requests in one call.
    Batch(BatchLimits),
}

/// What one endpoint of a batch pool takes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchLimits {
    /// Calls in progress at the same time.
    pub slots: u32,
    /// Items that one call may hold.
    #[serde(rename = "batch")]
    pub max_items: usize,
    /// Time of a call without its items.
    pub call_time: Duration,
    /// Time that one item adds, approximately.
    pub item_time: Duration,
    /// Bytes of results that it keeps.
    #[serde(rename = "room")]
    pub result_capacity: u64,
    /// How long a result is kept for its reader.
    #[serde(rename = "result_life")]
    pub result_ttl: Duration,
}

/// A runner as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayEndpoint {
    pub id: EndpointId,
    pub pool: PoolId,
    pub address: SocketAddr,
    pub zone: ZoneId,
    pub slots: u32,
    pub state: EndpointState,
    /// Start of this life in milliseconds since the Unix epoch; a new one knows nothing of before.
    #[serde(rename = "born")]
    pub started: u64,
}
