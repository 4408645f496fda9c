//! Input of the reducer: everything that can happen to a gateway, as plain data.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ferry_model::{
    ApiKey, EndpointId, GatewayConfig, GatewayEndpoint, PoolId, ResultHandle, Ticket, ZoneId,
};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::{
    CallId, CallerAttempt, CrashCandidate, EndpointNotice, EndpointsDelta, EvacuatedZones,
    HealthReport, LeavingReport, LimitReport, LoadReport, LongId, PauseReport, PeerMessage,
    PoolBuilds, PromptPart, QuarantineAction, RecordReply, RequestDigest, Tuning,
};

/// Input of [`crate::Gateway::reduce`].
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; sent when [`crate::Gateway::next_wake`] is due.
    Tick {
        /// Delay of the timer after it was due.
        late: Duration,
    },
    /// A configuration was read from the store or from a peer.
    Config(Arc<GatewayConfig>),
    Store(StoreUpdate),
    /// A call for records of builds and streams ended.
    Record(RecordReply),
    /// The builds of pools that the store has recorded, as a peer has read them.
    PoolBuilds(Vec<PoolBuilds>),
    /// Peer addresses of the other registered instances.
    Members(Vec<SocketAddr>),
    /// A caller's request was read completely.
    Arrive(Box<Arrival>),
    /// The caller of a ticket has disconnected.
    CallerGone {
        ticket: Ticket,
    },
    /// Something happened to the call of a request.
    Call {
        call: CallId,
        event: CallEvent,
    },
    /// A call with items of stages ended; the results are in the order of its items.
    Batch {
        call: CallId,
        result: Result<Vec<ItemResult>, BatchFailure>,
        load: Option<LoadReport>,
    },
    /// A response says whether its endpoint limits the rate of requests.
    Limit {
        endpoint: EndpointId,
        /// Which start of the endpoint was called.
        started: u64,
        limit: LimitReport,
    },
    /// A response says whether its endpoint leaves.
    Leaving {
        endpoint: EndpointId,
        /// Which start of the endpoint was called.
        started: u64,
        report: LeavingReport,
    },
    /// A refusal says for how long its endpoint wants no requests.
    Pause {
        endpoint: EndpointId,
        /// Which start of the endpoint was called.
        started: u64,
        report: PauseReport,
    },
    /// An endpoint was asked whether it leaves.
    Health {
        endpoint: EndpointId,
        started: u64,
        report: HealthReport,
    },
    /// The answer to a health check says for how much longer its endpoint is cold.
    Cold {
        endpoint: EndpointId,
        started: u64,
        left: Duration,
    },
    /// The prompt parts that an engine has cached.
    Cached {
        endpoint: EndpointId,
        parts: Vec<PromptPart>,
    },
    /// A probe of an endpoint ended.
    Probed {
        endpoint: EndpointId,
        started: u64,
        is_alive: bool,
    },
    /// A peer sent a message.
    Peer {
        from: SocketAddr,
        message: PeerMessage,
    },
    /// An operator puts a candidate into quarantine, or lifts that.
    Quarantine {
        pool: PoolId,
        candidate: CrashCandidate,
        /// The id of a part, if the operator has named it by a long one.
        long_id: Option<LongId>,
        action: QuarantineAction,
    },
    /// The settings of the decisions have changed.
    Retune(Box<Tuning>),
    /// During a shutdown: the bodies of this many requests are on the way.
    Receiving {
        n_requests: usize,
    },
    /// The process was asked to shut down.
    Shutdown,
}

/// What the store, or a peer in its place, reports of the endpoints and their zones.
#[derive(Debug, Clone)]
pub enum StoreUpdate {
    /// The complete list at a store revision.
    List { revision: u64, endpoints: Vec<GatewayEndpoint> },
    /// The changes that a peer knows.
    Peer(EndpointsDelta),
    /// One entry was written.
    Changed { revision: u64, endpoint: GatewayEndpoint },
    /// One entry was removed.
    Removed { revision: u64, id: EndpointId },
    /// One entry is there but cannot be read, so that it names no endpoint.
    Unreadable { revision: u64, id: EndpointId },
    /// The complete list of evacuated zones.
    EvacuatedZones(EvacuatedZones),
    /// A zone is evacuated from this store revision on.
    Evacuated { revision: u64, zone: ZoneId },
    /// A zone is no longer evacuated.
    Readmitted { revision: u64, zone: ZoneId },
    /// The store has answered. What it reports next may have happened this long ago: until then this
    /// instance has seen all changes.
    Answered { gap: Duration },
    /// The store does not answer this process.
    Unreachable,
    /// The store answers again.
    Reachable,
    /// The store came back from an older copy.
    Restored,
}

/// The data of a request that decisions need; the process keeps its body.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub ticket: Ticket,
    /// Of what the caller sent, apart from the headers.
    pub digest: RequestDigest,
    pub head: RequestHead,
}

#[derive(Debug, Clone, PartialEq)]
pub struct RequestHead {
    pub attempt: CallerAttempt,
    pub host: String,
    pub path: String,
    pub key: Option<ApiKey>,
    /// Time for which the caller still waits.
    pub time_left: Option<Duration>,
    pub tokens: Option<TokenCounts>,
    /// Parts of the prompt in order.
    pub prompt: Vec<PromptPart>,
    /// Long ids of its shared parts.
    pub long_ids: Vec<LongId>,
    /// Number of parts of which the id or the number of tokens could not be read.
    pub n_unreadable: usize,
    /// Number of items of each stage; a stage beyond the list has none.
    pub items: Vec<u16>,
    /// Input of the stages that read no other stage.
    pub item_key: Option<String>,
    /// The stream that the request continues; none if it begins one.
    pub resumed: Option<ResumedStream>,
    /// What the peer says that passed the request on; none if its caller sent it here.
    pub relayed: Option<RelayedCall>,
}

/// A request that an instance passes on to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedCall {
    /// Endpoints to which the peer may send it.
    pub n_tries: u32,
    /// What the instance that passes it on knows of these endpoints.
    pub notices: Vec<EndpointNotice>,
}

impl RequestHead {
    /// Returns the attempt that began the stream which the request continues, or its own.
    pub fn first_attempt(&self) -> &CallerAttempt {
        let first = self.resumed.as_ref().and_then(|it| it.first_attempt.as_ref());
        first.unwrap_or(&self.attempt)
    }
}

/// A stream that a caller has received in part, in an earlier attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumedStream {
    /// The attempt that brought its first event, if the caller names it.
    pub first_attempt: Option<CallerAttempt>,
}

/// How many tokens a request reads, and how many it may write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    pub prompt: u32,
    pub output: u32,
}

#[derive(Debug, Clone, PartialEq)]
pub enum CallEvent {
    /// No byte of the request was written.
    Unsent { error: String },
    /// The endpoint answered that it did not run the request.
    NotRun { reason: NotRunReason, load: Option<LoadReport> },
    /// The headers of a stream arrived and match the request.
    Began { load: Option<LoadReport> },
    /// Complete events up to this one were forwarded, or the first ones have arrived of a stream
    /// whose head was not forwarded, which they wait for.
    Progress { last_event: Option<u64> },
    /// The caller takes no more of the stream for now.
    Blocked,
    /// The endpoint ended the stream.
    Ended(StreamEnd),
    /// A complete answer arrived and waits to be forwarded.
    Answer { kind: AnswerKind, load: Option<LoadReport> },
    /// Bytes were written, and no complete answer will arrive.
    Broken { error: String },
}

/// What the status of an answer says of the request, which its endpoint has run or may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// A result, or an error of the caller.
    Result,
    /// The run failed.
    Error,
    /// Callers take this HTTP status for the promise that the request has not run and never will, but the
    /// endpoint does not confirm that.
    UnconfirmedRefusal { status: u16 },
}

impl AnswerKind {
    /// Returns whether another run may bring a better answer.
    pub fn is_error(self) -> bool {
        match self {
            AnswerKind::Result => false,
            AnswerKind::Error => true,
            AnswerKind::UnconfirmedRefusal { status } => 500 <= status,
        }
    }
}

/// How an endpoint ended a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamEnd {
    pub framing: Framing,
    /// Events that the call brought.
    pub n_events: usize,
    /// Bytes of an incomplete event at the end.
    pub partial: usize,
}

impl StreamEnd {
    /// Returns whether the stream was not broken off; the end of a connection alone does not tell.
    pub fn is_complete(&self) -> bool {
        let has_events = match self.framing {
            Framing::Length | Framing::Chunked => true,
            Framing::Connection => 0 < self.n_events,
        };
        has_events && self.partial == 0
    }
}

/// What marks the end of a response's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    Length,
    Chunked,
    /// The end of the connection, also if the endpoint crashes.
    Connection,
}

/// Why an endpoint did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum NotRunReason {
    /// It is full, or the time was over in its queue.
    Full,
    /// Another endpoint now has its address.
    Moved,
    /// A result that the request reads no longer exists.
    InputsGone,
    /// It considers the request malformed.
    Malformed,
}

/// Input of one item of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemInput {
    Key(Option<String>),
    /// Results of all items of all preceding stages.
    Results(Vec<ResultHandle>),
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemResult {
    Done(ResultHandle),
    Failed(ItemFailure),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ItemFailure {
    /// Its time was over before the endpoint could start it.
    Late,
    /// An input no longer exists.
    Gone,
    /// The endpoint has no memory for the result.
    #[strum(serialize = "room")]
    OutOfMemory,
    Error,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchFailure {
    /// No connection could be opened.
    Unsent(String),
    /// The endpoint did not accept the call.
    NotRun(String),
    /// No complete answer will arrive.
    Broken(String),
    /// No answer has arrived in time.
    TimedOut,
    /// The endpoint answered without results.
    Failed(String),
}
