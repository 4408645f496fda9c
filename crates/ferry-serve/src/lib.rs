//! Every decision of a gateway: which requests to take, where each of them and its stages run,
//! what is repeated and what is given up.
//!
//! [`Gateway::reduce`] takes the time and one event and returns effects as data. There is no clock
//! and no I/O here; docs/design/platform.md has the parts and the reasons.

mod admission;
mod batch;
mod budget;
mod catalog;
mod choose;
mod effect;
mod endpoints;
mod event;
mod group;
mod node;
mod peers;
mod request;
mod strain;
mod tuning;
mod turn;

pub use admission::{Ask, Part};
pub use batch::{Batcher, Job, JobKey, Outcome};
pub use budget::Budget;
pub use catalog::{Catalog, Rejection};
pub use choose::{Choice, Need, choose, rendezvous};
pub use effect::{
    BatchCall, BatchItem, Call, Decision, DecisionKind, Effect, Metric, Refusal, Status,
};
pub use endpoints::{Delta, EndpointView, Endpoints, LoadReport, Observation, Observations};
pub use event::{
    Arrival, BatchFailure, CallEvent, Event, Head, ItemInput, ItemReason, ItemResult, NotRunReason,
    PromptPart, StoreNews, TokenCounts,
};
pub use group::{Group, groups};
pub use node::Gateway;
pub use peers::{Backlog, Heartbeat, PeerMessage, PeerView, Peers, Submit};
pub use tuning::Tuning;
pub use turn::{Context, Identity, Snapshot, Turn};

/// One call of this process to an endpoint, unique within its life.
pub type CallId = u64;
/// A caller's own id of one attempt, unique across the deployment.
pub type CallerAttempt = std::sync::Arc<str>;
