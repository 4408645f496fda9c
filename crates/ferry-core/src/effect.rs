//! The output of a node: what its process has to do, as plain data.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{
    AdminReply, Answer, AttemptId, EndpointId, InstanceId, KeyState, ModelId, Order, PeerMessage,
    PoolId, RequestId, Revision, StageId, StageKind, StoreOp, Ticket, ZoneId,
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::CallId;

/// One action that the process has to take.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Sends the caller its final answer, which ends the ticket.
    Answer { ticket: Ticket, answer: Box<Answer> },
    /// Sends the caller one more token.
    Emit { ticket: Ticket, number: u32, text: String },
    /// Calls an endpoint.
    Call(Box<StageCall>),
    /// Stops a call and closes its connection; later events of it are ignored.
    Cancel { attempt: AttemptId },
    /// Calls the object API.
    Store { call: CallId, op: StoreOp },
    /// Sends a message to a peer; it may get lost.
    Send { to: InstanceId, address: SocketAddr, message: Box<PeerMessage> },
    /// Tells a caller which addresses to use, which ends the ticket.
    Instances { ticket: Ticket, answer: Box<InstancesAnswer> },
    /// Tells a caller the state of an idempotency key, which ends the ticket.
    Key { ticket: Ticket, state: KeyState },
    /// Answers an operator, which ends the ticket.
    Admin { ticket: Ticket, reply: Box<AdminReply> },
    /// Orders an engine to hold the given models.
    Order { address: SocketAddr, order: Box<Order> },
    /// Asks an engine which models it holds.
    Inspect { endpoint: EndpointId, address: SocketAddr },
    /// Writes a log line about a decision.
    Log(Decision),
    /// Adds to a counter.
    Count { metric: Metric, by: u64 },
    /// Every request has ended; the process may exit.
    Exit,
}

/// The addresses that a caller should use, and for how long.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstancesAnswer {
    pub choices: Vec<InstanceChoice>,
    /// How long the caller may cache this answer.
    pub ttl: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceChoice {
    pub instance: InstanceId,
    pub address: SocketAddr,
    pub zone: ZoneId,
    /// Share of requests relative to the other choices.
    pub weight: u32,
}

/// One call to an endpoint for one stage.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StageCall {
    pub attempt: AttemptId,
    pub request: RequestId,
    pub stage: StageId,
    pub kind: StageKind,
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    /// The caller's idempotency key, passed on to services that remember keys.
    pub key: String,
    pub input: String,
    pub model: Option<ModelId>,
    pub max_tokens: u32,
    /// Number of the first token wanted; a value above zero resumes a stream.
    pub offset: u32,
    /// Tokens already emitted, from which another engine continues the stream.
    pub emitted: String,
    /// Zero is served first.
    pub priority: u8,
    /// Time within which the answer is needed.
    pub budget: Duration,
    pub repeatable: bool,
    pub connection: Connection,
}

#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Connection {
    /// Any open connection.
    Pooled,
    /// A new connection, as the open ones may have stalled.
    Fresh,
}

/// A decision worth a log line; see docs/OPERATING.md for the fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    pub kind: DecisionKind,
    pub reason: String,
    pub request: Option<RequestId>,
    pub stage: Option<StageId>,
    pub endpoint: Option<EndpointId>,
    pub pool: Option<PoolId>,
    /// Number of candidates considered.
    pub considered: u32,
    /// Expected cost of the chosen one, in microseconds.
    pub score: Option<u64>,
    /// Time left until the deadline of the request.
    pub budget: Option<Duration>,
    pub revision: Revision,
}

impl Decision {
    pub fn new(kind: DecisionKind, reason: impl Into<String>, revision: Revision) -> Decision {
        Decision {
            kind,
            reason: reason.into(),
            request: None,
            stage: None,
            endpoint: None,
            pool: None,
            considered: 0,
            score: None,
            budget: None,
            revision,
        }
    }

    pub fn with_request(mut self, request: RequestId) -> Decision {
        self.request = Some(request);
        self
    }

    pub fn with_stage(mut self, stage: &str) -> Decision {
        self.stage = Some(stage.to_owned());
        self
    }

    pub fn with_endpoint(mut self, endpoint: &str) -> Decision {
        self.endpoint = Some(endpoint.to_owned());
        self
    }

    pub fn with_pool(mut self, pool: &str) -> Decision {
        self.pool = Some(pool.to_owned());
        self
    }

    pub fn with_score(mut self, considered: u32, score: u64) -> Decision {
        self.considered = considered;
        self.score = Some(score);
        self
    }

    pub fn with_budget(mut self, budget: Duration) -> Decision {
        self.budget = Some(budget);
        self
    }
}

#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum DecisionKind {
    Admit,
    Refuse,
    Route,
    Retry,
    Hedge,
    Resume,
    Eject,
    Restore,
    Claim,
    Release,
    Drop,
    Configure,
    Membership,
    Drain,
    Place,
    Lease,
    Order,
}

/// Counters; docs/METRICS.md lists each with its unit.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Metric {
    RequestsArrived,
    RequestsComplete,
    RequestsNotRun,
    RequestsFailed,
    RequestsInDoubt,
    CallsSent,
    CallsRetried,
    CallsHedged,
    RepliesDropped,
    ConfigApplied,
    EndpointsEjected,
    PlacementDecisions,
}
