//! Output of the reducer: everything that the process has to do, as plain data.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{BuildId, ConfigVersion, EndpointId, PoolId, ResultHandle, Ticket, WorkspaceId};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::{
    CallId, CallerAttempt, ItemInput, PeerMessage, RecordCall, RelayedCall, RequestDigest,
    ResumedStream, StreamEnd,
};

#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answers the caller with a refusal; the ticket ends.
    Refuse {
        ticket: Ticket,
        refusal: Refusal,
    },
    /// Sends a caller's request to an endpoint.
    Call(Box<Call>),
    /// Forwards the answer of the call to the caller, including what is still to arrive.
    Relay {
        call: CallId,
        ticket: Ticket,
    },
    /// Keeps the answer of a call that has ended until it is relayed or cancelled.
    Hold {
        call: CallId,
    },
    /// Ends the caller's answer as complete, as all of the stream was forwarded.
    Finish {
        ticket: Ticket,
    },
    /// Aborts the caller's answer, so that it does not look complete.
    Abort {
        ticket: Ticket,
    },
    /// Closes the connection of a call, and drops its answer if that is held; later events of it are ignored.
    Cancel {
        call: CallId,
    },
    /// Sends items of stages to an endpoint.
    Batch(Box<BatchCall>),
    /// Tells an endpoint that these results are no longer needed.
    Free {
        address: SocketAddr,
        handles: Vec<ResultHandle>,
    },
    /// Reads which prompt parts an engine has cached.
    ReadCache {
        endpoint: EndpointId,
        /// Which start of the endpoint it is.
        started: u64,
        address: SocketAddr,
    },
    /// Opens a connection to an endpoint whose calls broke off, to see whether it is alive.
    Probe {
        endpoint: EndpointId,
        /// Which start of the endpoint it is.
        started: u64,
        address: SocketAddr,
    },
    /// Asks an endpoint whether it leaves.
    CheckHealth {
        endpoint: EndpointId,
        /// Which start of the endpoint it is.
        started: u64,
        address: SocketAddr,
        path: String,
    },
    /// Reads or writes records of builds and streams in the store.
    Record(RecordCall),
    /// Sends a datagram to a peer; it may get lost.
    Send {
        to: SocketAddr,
        message: PeerMessage,
    },
    /// Reads from a peer what is newer than these versions.
    Pull {
        from: SocketAddr,
        version: ConfigVersion,
        /// Store revision of the endpoint list.
        since: u64,
    },
    /// Writes a log line about a decision.
    Log(Box<Decision>),
    Count(Metric),
    /// Stops listening, closes idle connections, and closes each other one after its answer.
    Close,
    /// Every request has ended; the process may exit.
    Exit,
}

/// An answer of the gateway itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    pub status: Status,
    /// When to retry; only set if the request has not run.
    pub retry_after: Option<Duration>,
    pub reason: &'static str,
}

/// Kinds of refusals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    Malformed,
    UnknownKey,
    NoRoute,
    /// Has not run and never will.
    NotRun,
    /// May have run; its answer is lost.
    InDoubt,
    /// May have run; there is no time left.
    Expired,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    pub call: CallId,
    pub ticket: Ticket,
    pub endpoint: EndpointId,
    /// Which start of the endpoint it is.
    pub started: u64,
    pub address: SocketAddr,
    /// If it goes to a peer, which runs it as its own.
    pub relayed: Option<RelayedCall>,
    pub workspace: Option<WorkspaceId>,
    /// Time until the answer is useless.
    pub time_left: Duration,
    /// Zero is served first.
    pub urgency: u8,
    /// Results that the endpoint reads before it starts; none if the route has no stages.
    pub inputs: Option<Vec<ResultHandle>>,
    /// Continues after this event of a stream that an earlier call started.
    pub resume: Option<u64>,
    pub is_stream: bool,
}

#[derive(Debug, Clone, PartialEq)]
pub struct BatchCall {
    pub call: CallId,
    pub endpoint: EndpointId,
    /// Which start of the endpoint it is.
    pub started: u64,
    pub address: SocketAddr,
    pub items: Vec<BatchItem>,
    /// Time after which the call is given up.
    pub timeout: Duration,
}

#[derive(Debug, Clone, PartialEq)]
pub struct BatchItem {
    pub attempt: CallerAttempt,
    pub stage: u8,
    pub item: u16,
    pub time_left: Duration,
    pub input: ItemInput,
}

/// Tokens of a prompt by who needs to read them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptTokens {
    /// Tokens of the request's own part.
    pub own: u32,
    /// Tokens of the parts that other requests share.
    pub shared: u32,
    /// Shared tokens that the chosen engine has not cached, as far as known here.
    pub uncached: u32,
}

/// A decision to log; docs/OPERATIONS.md lists the fields.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    pub kind: DecisionKind,
    pub reason: String,
    pub attempt: Option<CallerAttempt>,
    /// Equal for attempts that are the same request.
    pub digest: Option<RequestDigest>,
    pub route: Option<String>,
    pub stage: Option<u8>,
    pub endpoint: Option<EndpointId>,
    /// Software version of the endpoint, or the one that a stream needs.
    pub build: Option<BuildId>,
    /// The stream that the request continues.
    pub resumed: Option<ResumedStream>,
    pub pool: Option<PoolId>,
    /// Time that the step took, or the whole request until its first event.
    pub took: Option<Duration>,
    /// Time that the step takes if it waits for nothing.
    pub floor: Option<Duration>,
    /// Time left until the answer, or its first event, is late.
    pub slack: Option<Duration>,
    /// Longest time between two events of its stream.
    pub pause: Option<Duration>,
    /// The objective for that.
    pub max_pause: Option<Duration>,
    pub prompt: Option<PromptTokens>,
    /// How the endpoint ended its stream.
    pub end: Option<StreamEnd>,
    /// Time since its endpoint was last heard.
    pub silence: Option<Duration>,
    /// How long this process stood still before it noticed that.
    pub late: Option<Duration>,
    /// Number of candidates that were compared.
    pub considered: u32,
    /// Expected cost of the chosen one, in microseconds.
    pub score: Option<u64>,
    /// Time left for the request.
    pub budget: Option<Duration>,
    /// Version of the current configuration.
    pub version: u64,
}

impl Decision {
    pub fn new(kind: DecisionKind, reason: impl Into<String>) -> Decision {
        Decision {
            kind,
            reason: reason.into(),
            attempt: None,
            digest: None,
            route: None,
            stage: None,
            endpoint: None,
            build: None,
            resumed: None,
            pool: None,
            took: None,
            floor: None,
            slack: None,
            pause: None,
            max_pause: None,
            prompt: None,
            end: None,
            silence: None,
            late: None,
            considered: 0,
            score: None,
            budget: None,
            version: 0,
        }
    }

    pub fn with_attempt(mut self, attempt: &CallerAttempt) -> Decision {
        self.attempt = Some(attempt.clone());
        self
    }

    pub fn with_digest(mut self, digest: RequestDigest) -> Decision {
        self.digest = Some(digest);
        self
    }

    pub fn with_route(mut self, route: &str) -> Decision {
        self.route = Some(route.to_owned());
        self
    }

    pub fn with_times(mut self, took: Duration, floor: Duration) -> Decision {
        self.took = Some(took);
        self.floor = Some(floor);
        self
    }

    pub fn with_slack(mut self, slack: Duration) -> Decision {
        self.slack = Some(slack);
        self
    }

    pub fn with_pause(mut self, pause: Option<Duration>, max: Option<Duration>) -> Decision {
        self.pause = pause;
        self.max_pause = max.filter(|_| pause.is_some());
        self
    }

    pub fn with_prompt(mut self, prompt: Option<PromptTokens>) -> Decision {
        self.prompt = prompt;
        self
    }

    pub fn with_end(mut self, end: Option<StreamEnd>) -> Decision {
        self.end = end;
        self
    }

    pub fn with_silence(mut self, silence: Duration, late: Duration) -> Decision {
        self.silence = Some(silence);
        self.late = Some(late);
        self
    }

    pub fn with_stage(mut self, stage: u8) -> Decision {
        self.stage = Some(stage);
        self
    }

    pub fn with_endpoint(mut self, endpoint: &str) -> Decision {
        self.endpoint = Some(endpoint.to_owned());
        self
    }

    pub fn with_build(mut self, build: Option<&BuildId>) -> Decision {
        self.build = build.cloned();
        self
    }

    pub fn with_resumed(mut self, resumed: Option<&ResumedStream>) -> Decision {
        self.resumed = resumed.cloned();
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

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DecisionKind {
    Admit,
    Refuse,
    Stage,
    Batch,
    Route,
    Wait,
    Silence,
    Retry,
    Resume,
    Complete,
    Fail,
    Drop,
    Configure,
    Endpoint,
    Evacuate,
    Limit,
    Eject,
    Peer,
    Store,
    Drain,
    Quarantine,
    Reach,
    Build,
}

/// Counters; docs/METRICS.md lists each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Metric {
    RequestsArrived,
    RequestsRefused,
    RequestsComplete,
    RequestsFailed,
    RequestsDropped,
    AsksUnanswered,
    BodiesRefused,
    CallsSent,
    CallsRepeated,
    CallsSilent,
    StreamsResumed,
    StreamsTakenUp,
    BuildsUnknown,
    LimitsNamed,
    LimitsInvalid,
    LeavingAnnounced,
    LeavingInvalid,
    NoticesApplied,
    HealthChecks,
    EvacuationsChanged,
    EndpointsCold,
    PausesAsked,
    PausesInvalid,
    RequestsPaused,
    LimitedCalls,
    PermitsGranted,
    RequestsHeldBack,
    BatchesSent,
    BatchesFailed,
    ItemsRepeated,
    ResultsDuplicated,
    EndpointsEjected,
    BatchersSwitched,
    ConnectionsTimedOut,
    CrashesSeen,
    PartsQuarantined,
    DigestsQuarantined,
    RequestsQuarantined,
    RequestsRelayed,
    PoolsCut,
    RefusalsUnconfirmed,
    WatchesCut,
    ResponsesUnreadable,
    ObjectsUnreadable,
    EntriesUnreadable,
    PartsUnreadable,
    MessagesSkipped,
    MessagesDamaged,
}
