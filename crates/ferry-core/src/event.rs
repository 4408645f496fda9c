//! The input of a node, as plain data.

use std::time::Duration;

use ferry_model::{
    AdminRequest, AttemptId, CacheUpdate, Digest, Endpoint, EndpointId, EndpointReport, Fence,
    Instance, InstanceId, Load, OrderResult, PeerMessage, PipelineId, RequestId, StageId,
    StoreError, StoreReply, Ticket, WorkspaceId, ZoneId,
};
use serde::{Deserialize, Serialize};

use crate::CallId;

/// An input of [`crate::Node::reduce`]; serializable, so that a run can be replayed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed; sent when [`crate::Node::next_wake`] is due.
    Tick,
    /// A caller's request arrived.
    Arrive(Arrival),
    /// The caller of a ticket has disconnected.
    CallerGone { ticket: Ticket },
    /// Something happened to a stage call.
    Call { attempt: AttemptId, event: CallEvent },
    /// An object API call ended.
    Store { call: CallId, result: Result<StoreReply, StoreError> },
    /// A fresh copy of the instance list.
    Fleet { endpoints: Vec<Endpoint>, instances: Vec<Instance> },
    /// An engine reported what it has cached.
    Cache(CacheUpdate),
    /// A caller asks which addresses to use.
    AskInstances { ticket: Ticket, zone: Option<ZoneId> },
    /// A caller asks for the state of an idempotency key.
    AskKey { ticket: Ticket, workspace: WorkspaceId, key: String },
    /// An operator's request.
    Admin(AdminRequest),
    /// An order to an engine ended, or its outcome is unknown.
    Ordered { endpoint: EndpointId, fence: Fence, result: OrderResult },
    /// An engine reported what it holds; `None` if no answer arrived.
    Report { endpoint: EndpointId, report: Option<EndpointReport> },
    /// A peer sent a message.
    Peer { from: InstanceId, message: PeerMessage },
    /// The process was asked to shut down.
    Shutdown,
}

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    pub ticket: Ticket,
    pub workspace: WorkspaceId,
    pub pipeline: PipelineId,
    /// The caller's idempotency key; the node generates one if it is missing.
    pub key: Option<String>,
    pub input: String,
    /// Digest of the body; distinguishes a repeated request from another one with the same key.
    pub digest: Digest,
    /// Time within which the caller needs the answer; `None` for the pipeline's deadline.
    pub deadline: Option<Duration>,
    /// Whether the caller wants each token as soon as it is generated.
    pub stream: bool,
}

/// The identifiers that an endpoint repeats in its reply, to match it with the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    pub request: RequestId,
    pub stage: StageId,
    pub attempt: AttemptId,
}

/// What happened to a stage call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallEvent {
    /// No byte of the call was written, so another endpoint may be tried.
    Unsent { error: String },
    /// The endpoint answered that it did not accept the call.
    Refused { error: String, leaving: bool, retry_after: Option<Duration> },
    /// The endpoint accepted the call: the first bytes of its answer are here.
    Accepted { echo: Echo },
    /// One token of a streamed answer; numbers start at zero.
    Token { number: u32, text: String },
    /// The complete answer of a stage.
    Reply { echo: Echo, output: String, load: Option<Load> },
    /// The terminal event of a streamed answer.
    End { echo: Echo, count: u32, digest: Digest, load: Option<Load> },
    /// The endpoint ran the call and reports that it failed.
    Failed { echo: Option<Echo>, error: String },
    /// After bytes were written, the connection broke or the answer was malformed.
    Broken { error: String },
}

impl CallEvent {
    /// Whether this is the last event of the call.
    pub fn is_last(&self) -> bool {
        match self {
            CallEvent::Accepted { .. } | CallEvent::Token { .. } => false,
            CallEvent::Unsent { .. }
            | CallEvent::Refused { .. }
            | CallEvent::Reply { .. }
            | CallEvent::End { .. }
            | CallEvent::Failed { .. }
            | CallEvent::Broken { .. } => true,
        }
    }
}
