//! Everything a node asks its process to do, as plain data.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{
    AdminReply, Answer, AttemptId, EndpointId, InstanceId, KeyState, ModelId, Order, PeerMessage,
    PoolId, RequestId, Revision, StageId, StageKind, StoreOp, Ticket, ZoneId,
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::CallId;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Gives the caller its final answer; the ticket is spent.
    Answer { ticket: Ticket, answer: Box<Answer> },
    /// Gives the caller one more token.
    Emit { ticket: Ticket, number: u32, text: String },
    /// Calls an endpoint.
    Call(Box<StageCall>),
    /// Stops a call and closes its connection; later events of it are ignored.
    Cancel { attempt: AttemptId },
    /// Calls the object API.
    Store { call: CallId, op: StoreOp },
    /// Sends a message to a peer; it may get lost.
    Send { to: InstanceId, address: SocketAddr, message: Box<PeerMessage> },
    /// Tells a caller which addresses to use; the ticket is spent.
    Instances { ticket: Ticket, answer: Box<InstancesAnswer> },
    /// Tells a caller what is known of a key; the ticket is spent.
    Key { ticket: Ticket, state: KeyState },
    /// Answers an operator; the ticket is spent.
    Admin { ticket: Ticket, reply: Box<AdminReply> },
    /// Orders an engine into a state.
    Order { address: SocketAddr, order: Box<Order> },
    /// Asks an engine what it holds.
    Inspect { endpoint: EndpointId, address: SocketAddr },
    /// Writes a line about a decision.
    Log(Decision),
    /// Adds to a counter.
    Count { metric: Metric, by: u64 },
    /// Every request has ended; the process may exit.
    Exit,
}

/// Addresses to use, and for how long.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstancesAnswer {
    pub choices: Vec<InstanceChoice>,
    /// How long the caller may keep this answer.
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
    /// The caller's idempotency key, passed on for services that keep it.
    pub key: String,
    pub input: String,
    pub model: Option<ModelId>,
    pub max_tokens: u32,
    /// Number of the first token wanted; above zero it resumes a stream.
    pub offset: u32,
    /// Tokens already emitted, when another engine goes on with them.
    pub emitted: String,
    /// Zero is served first.
    pub priority: u8,
    /// Time until the answer is worthless.
    pub budget: Duration,
    pub repeatable: bool,
    pub connection: Connection,
}

#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Connection {
    /// Any open connection will do.
    Pooled,
    /// A new connection, as the open ones may be silent.
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
    /// How many candidates were looked at.
    pub considered: u32,
    /// Expected cost of the chosen one, in microseconds.
    pub score: Option<u64>,
    /// Time left for the request.
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
