//! Routes, pools, keys and endpoints of the gateway, which forwards request bodies unparsed.
//!
//! They are separate from [`crate::Config`], which describes pipelines whose bodies are parsed;
//! docs/design/platform.md gives the reasons.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{BuildId, EndpointId, EndpointState, PoolId, SortedMap, WorkspaceId, ZoneId};

/// Version of a gateway's configuration, which never decreases within a process.
pub type ConfigVersion = u64;
/// The secret key with which a caller authenticates.
pub type ApiKey = String;

/// Reference to a stage result that is kept by the endpoint that produced it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ResultHandle {
    /// The endpoint that keeps the result.
    pub address: SocketAddr,
    /// Identifier of the result at that endpoint.
    pub id: String,
}

/// The complete gateway configuration, which is always applied as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatewayConfig {
    pub version: ConfigVersion,
    pub routes: Vec<Route>,
    pub pools: SortedMap<PoolId, GatewayPool>,
    /// Owner of each key; `None` if requests carry no keys.
    pub keys: Option<SortedMap<ApiKey, KeyOwner>>,
    pub limits: ConnectionLimits,
}

impl GatewayConfig {
    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let matches =
            |it: &&Route| it.host.eq_ignore_ascii_case(host) && path.starts_with(&it.prefix);
        self.routes.iter().filter(matches).max_by_key(|it| it.prefix.len())
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyOwner {
    pub workspace: WorkspaceId,
    /// Overrides the priority of the route if set; zero is served first.
    pub priority: Option<u8>,
}

/// Size and time limits of a caller's connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionLimits {
    /// Maximum size of the request header in bytes.
    pub header: usize,
    /// Maximum size of the request body in bytes.
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
    /// Maximum time that a caller waits for its response.
    pub time_limit: Duration,
    /// Latency objective: time to the response, or to the first event of a stream, within which it
    /// is worth most to the caller.
    pub objective: Duration,
    /// Zero is served first.
    pub priority: u8,
    /// Pools that serve the route; more than one during a migration between pools.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_tries: u32,
    pub stages: Vec<RouteStage>,
    pub anonymous: bool,
    /// Whether requests name the parts of their prompt, which endpoints cache.
    #[serde(rename = "affine")]
    pub affinity: bool,
    /// Whether a stream can be resumed on another endpoint after its last complete event.
    pub resumable: bool,
    /// Latency objective for the time between two events of a stream.
    #[serde(rename = "gap")]
    pub max_gap: Option<Duration>,
}

impl Route {
    /// Returns whether a request may run more than once.
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
    /// Responds with a stream of events that are forwarded as they arrive.
    Stream,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub pool: PoolId,
    /// Share of the route's requests relative to the other targets.
    pub weight: u32,
}

/// A stage that has to run before the request itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteStage {
    pub pool: PoolId,
    /// Indices of the stages of the same route whose results this one reads.
    pub after: Vec<usize>,
    /// Approximate size of one result in bytes.
    pub result_bytes: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatewayPool {
    /// Maximum number of connections that one endpoint accepts, over all clients.
    pub max_connections: u32,
    pub kind: PoolKind,
    /// Path at which its endpoints say whether they accept work, if they do.
    #[serde(default)]
    pub health: Option<String>,
    /// What its endpoints take while they are cold, if they ever are.
    #[serde(default)]
    pub cold: Option<ColdLimit>,
}

/// What an endpoint takes from all instances together for some time after its start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ColdLimit {
    pub time: Duration,
    /// Requests per second, more than zero.
    pub per_second: f64,
}

impl GatewayPool {
    /// Returns the limits of a batch pool; none for a pool of another kind.
    pub fn batch_limits(&self) -> Option<&BatchLimits> {
        match &self.kind {
            PoolKind::Batch(limits) => Some(limits),
            PoolKind::Plain | PoolKind::Engine { .. } => None,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PoolKind {
    /// Serves one request per slot.
    Plain,
    /// Batches the tokens of many requests.
    Engine { slots: u32 },
    /// Processes the items of many requests in one call.
    Batch(BatchLimits),
}

/// Limits and costs of one endpoint in a batch pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchLimits {
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Maximum number of items in one call.
    #[serde(rename = "batch")]
    pub max_items: usize,
    /// Fixed time of a call, without its items.
    pub call_time: Duration,
    /// Approximate time that each item adds to a call.
    pub item_time: Duration,
    /// Maximum total size of the results that the endpoint keeps, in bytes.
    #[serde(rename = "room")]
    pub result_capacity: u64,
    /// Time that a result is kept until it is read.
    #[serde(rename = "result_life")]
    pub result_ttl: Duration,
}

/// An endpoint as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayEndpoint {
    pub id: EndpointId,
    pub pool: PoolId,
    pub address: SocketAddr,
    pub zone: ZoneId,
    pub slots: u32,
    pub state: EndpointState,
    /// Endpoints of a pool may have several; no stream goes on at another one.
    #[serde(default)]
    pub build: BuildId,
    /// Start of the endpoint's process in milliseconds since the Unix epoch. A restarted process
    /// has lost all earlier state.
    #[serde(rename = "born")]
    pub started: u64,
    /// Time for which it was still cold when the entry was written.
    #[serde(default)]
    pub cold_left: Duration,
}
