//! One request in progress.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ferry_model::{
    BuildId, EndpointId, GatewayPool, Moment, PoolId, ResultHandle, Route, RouteKind, Ticket,
    WorkspaceId, ZoneId,
};

use super::graph::StageGraph;
use super::permit::PermitWait;
use crate::batch::JobKey;
use crate::catalog::Pools;
use crate::{Asker, CallId, Group, PermitId, ReadId, RequestDigest, RequestHead, Tuning};

#[derive(Debug, Clone)]
pub struct ActiveRequest {
    pub ticket: Ticket,
    pub head: RequestHead,
    /// Of what its workspace sent, so that the same request of another workspace has another one.
    pub digest: RequestDigest,
    pub route: Arc<Route>,
    pub pool: PoolId,
    /// The pools of the configuration under which it came; a newer one may have others.
    pub pools: Arc<Pools>,
    pub workspace: Option<WorkspaceId>,
    /// Zero is served first.
    pub priority: u8,
    /// Order among the requests for its stages; zero is served first.
    pub class: u8,
    /// Value relative to the work of its stages, 1.0 for the average request of its route.
    pub value: f64,
    /// Whether an earlier attempt of the caller was refused or failed.
    pub is_retry: bool,
    /// When the caller sent its first attempt, estimated from its time left.
    pub arrived: Moment,
    /// When the answer becomes useless, by the caller's time left and the route's time limit.
    pub deadline: Moment,
    pub stages: Vec<StageState>,
    /// Which of its stages have items, and what they read.
    pub graph: StageGraph,
    /// Whether a retry is reserved for it that has not been sent.
    pub has_retry: bool,
    /// Whether it was passed on to a peer.
    pub was_relayed: bool,
    /// How often each stage was restarted.
    pub restarts: Vec<u8>,
    pub phase: Phase,
    /// Calls beside that of its phase, whose endpoints are or were silent. They go on until one call
    /// brings the answer.
    pub silent: Vec<ActiveCall>,
    /// An error that is forwarded if no call brings a better answer.
    pub held: Option<HeldError>,
    /// Zone of the engine that it is likely to go to, as the scheduler knows.
    pub engine_zone: Option<ZoneId>,
    /// Where the call to an engine is counted, if it is.
    pub scheduled_by: Option<Asker>,
    /// Endpoints to which the request was sent.
    pub tried: Vec<EndpointId>,
    /// Number of ended calls that may have run it.
    pub n_runs: u32,
    /// Number of calls that broke off.
    pub n_breaks: u32,
    /// Number of endpoints that answered that they had not run it.
    pub n_refusals: u32,
    /// Number of times that limiters had no permit for it.
    pub n_denials: u8,
    /// Number of times that stages were restarted.
    pub n_restarts: u32,
    /// When the caller got the headers of a stream; none before that.
    pub began_at: Option<Moment>,
    /// Pauses between the events that it has received.
    pub pauses: EventPauses,
    /// Last complete event that the caller has received.
    pub last_event: Option<u64>,
    /// The build at which its stream goes on.
    pub build: StreamBuild,
}

/// The pauses between the events of a stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventPauses {
    last: Option<Moment>,
    longest: Option<Duration>,
}

impl EventPauses {
    pub fn record(&mut self, now: Moment) {
        let pause = self.last.replace(now).map(|it| now.saturating_sub(it));
        self.longest = self.longest.max(pause);
    }

    /// Returns the longest pause; none if there were less than two events.
    pub fn longest(self) -> Option<Duration> {
        self.longest
    }
}

/// An endpoint's answer that its run failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldError {
    pub call: CallId,
    pub endpoint: EndpointId,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamBuild {
    /// No event of the stream has arrived yet.
    Any,
    /// The store or peers were asked.
    Asked(Inquiry),
    Known(BuildId),
}

/// An open question which build began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inquiry {
    pub store: StoreRead,
    /// Until when peers may answer; none if they were not asked.
    pub peers_until: Option<Moment>,
    /// Number of peers that were asked.
    pub n_asked: usize,
    /// Until when the answers are waited for.
    pub until: Moment,
    /// The only builds of the pool by the answers of peers; none from a peer with several.
    pub only_builds: Vec<Option<BuildId>>,
}

impl Inquiry {
    /// Returns a question that waits for a read of the store until then.
    pub fn new(store: StoreRead, until: Moment) -> Inquiry {
        Inquiry { store, peers_until: None, n_asked: 0, until, only_builds: Vec::new() }
    }
}

/// The store's answer to an open question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRead {
    Open(ReadId),
    Answered,
    /// It does not answer.
    Failed,
}

#[derive(Debug, Clone, PartialEq)]
pub enum StageState {
    /// Its inputs are not available yet.
    Waiting,
    Submitted(Submitted),
    /// The batcher at `peer`, or this instance, holds the results; `is_retained` until they may be
    /// freed.
    Done {
        handles: Vec<ResultHandle>,
        peer: Option<SocketAddr>,
        is_retained: bool,
    },
}

/// A stage whose items are being collected.
#[derive(Debug, Clone, PartialEq)]
pub struct Submitted {
    /// The peer that collects them; none if this instance does.
    pub peer: Option<SocketAddr>,
    pub group: Group,
    pub since: Moment,
    /// When the job was last sent to the peer.
    pub last_sent: Moment,
    /// Whether the peer has accepted the job.
    pub is_accepted: bool,
}

impl Submitted {
    /// Returns when the job is sent to the peer again, as a message may have been lost.
    pub fn resend_at(&self, tuning: &Tuning) -> Moment {
        self.last_sent
            + if self.is_accepted { tuning.resubmit_accepted } else { tuning.resubmit_unaccepted }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub enum Phase {
    /// Waits for the admission decision.
    AwaitingAdmission {
        until: Moment,
    },
    RunningStages,
    /// Waits until the build of its stream is known.
    AwaitingBuild,
    /// Waits for the engine that the scheduler chooses.
    AwaitingEndpoint {
        until: Moment,
    },
    /// Waits until its endpoint takes another request.
    AwaitingPermit(Box<PermitWait>),
    Calling(ActiveCall),
}

#[derive(Debug, Clone, PartialEq)]
pub struct ActiveCall {
    pub call: CallId,
    pub endpoint: EndpointId,
    pub build: BuildId,
    /// Which start of the endpoint it is.
    pub started: u64,
    /// The peer that runs the request, by the address at which it receives datagrams; none if an
    /// endpoint does.
    pub peer: Option<SocketAddr>,
    /// Endpoints at which it may run the request; a peer repeats it by itself.
    pub n_tries: u32,
    /// Whether it is a retry whose endpoint has not been heard.
    pub is_retry: bool,
    /// Whether its endpoint has begun to write.
    pub has_begun: bool,
    pub sent_at: Moment,
    /// When the call last made progress.
    pub last_heard: Moment,
    /// When another run beside it was last looked for; zero before that.
    pub checked_at: Moment,
    /// Time in which an endpoint of normal speed answers.
    pub expected: Duration,
    /// Time after which it is silent if it has not begun.
    pub patience: Duration,
    /// Whether the head of its stream has arrived.
    pub is_streaming: bool,
    /// Whether that head was forwarded, so that no other call may bring another one.
    pub is_relayed: bool,
    /// Whether its caller takes no more of the stream for now, so that nothing is read from the
    /// endpoint.
    pub is_blocked: bool,
    /// When the endpoint will have fetched its inputs, so that they may be freed; none afterwards.
    pub fetched_at: Option<Moment>,
}

impl StageState {
    /// A stage without items.
    pub const EMPTY: StageState =
        StageState::Done { handles: Vec::new(), peer: None, is_retained: false };
}

impl ActiveRequest {
    pub fn call(&self) -> Option<CallId> {
        match &self.phase {
            Phase::AwaitingAdmission { .. }
            | Phase::RunningStages
            | Phase::AwaitingBuild
            | Phase::AwaitingEndpoint { .. }
            | Phase::AwaitingPermit(_) => None,
            Phase::Calling(current) => Some(current.call),
        }
    }

    /// Whether an endpoint has begun to write its answer.
    pub fn has_begun(&self) -> bool {
        let current = match &self.phase {
            Phase::AwaitingAdmission { .. }
            | Phase::RunningStages
            | Phase::AwaitingBuild
            | Phase::AwaitingEndpoint { .. }
            | Phase::AwaitingPermit(_) => None,
            Phase::Calling(current) => Some(current),
        };
        self.silent.iter().chain(current).any(|it| it.has_begun)
    }

    /// Returns the calls in progress.
    pub fn calls(&self) -> impl Iterator<Item = CallId> {
        self.call().into_iter().chain(self.silent.iter().map(|it| it.call))
    }

    /// Whether nothing was heard of the permit that it waits for.
    pub fn is_permit_overdue(&self, now: Moment) -> bool {
        matches!(&self.phase, Phase::AwaitingPermit(it) if it.permit.until <= now)
    }

    /// Returns the permit that it waits for.
    pub fn permit(&self) -> Option<PermitId> {
        match &self.phase {
            Phase::AwaitingPermit(wait) => Some(wait.permit.id),
            _ => None,
        }
    }

    /// Returns the build that an endpoint must have to go on with its stream.
    pub fn needed_build(&self) -> Option<&str> {
        match &self.build {
            StreamBuild::Known(build) => Some(build),
            StreamBuild::Any | StreamBuild::Asked(_) => None,
        }
    }

    /// Returns the open question which build began its stream.
    pub fn inquiry(&self) -> Option<&Inquiry> {
        match &self.build {
            StreamBuild::Asked(inquiry) => Some(inquiry),
            StreamBuild::Any | StreamBuild::Known(_) => None,
        }
    }

    /// Returns the pool of its endpoints.
    pub fn own_pool(&self) -> Option<&GatewayPool> {
        self.pools.get(&self.pool)
    }

    pub fn job_key(&self, stage: usize) -> JobKey {
        let restart = self.restarts.get(stage).copied().unwrap_or_default();
        JobKey { attempt: self.head.attempt.clone(), stage: stage as u8, restart }
    }

    /// Whether every stage has its results.
    pub fn stages_done(&self) -> bool {
        self.stages.iter().all(|it| matches!(it, StageState::Done { .. }))
    }

    /// Whether the caller has the headers of a stream.
    pub fn is_streaming(&self) -> bool {
        self.began_at.is_some()
    }

    /// Returns when the answer, or the first event, is due.
    pub fn objective(&self) -> Moment {
        self.arrived + self.route.objective
    }

    /// Whether it may have reached an endpoint, so that the next call is a retry.
    pub fn has_arrived(&self) -> bool {
        0 < self.n_runs + self.n_refusals || !self.silent.is_empty()
    }

    /// Returns how many endpoints may run it.
    pub fn max_tries(&self) -> u32 {
        let max_tries = self.route.max_tries;
        self.head.relayed.as_ref().map_or(max_tries, |it| max_tries.min(it.n_tries))
    }

    /// Whether the kind of the request and the number of its runs allow another run.
    pub fn may_run_again(&self) -> bool {
        let n_runs = self.n_runs + self.silent.len() as u32;
        n_runs == 0 || (self.route.is_repeatable() && n_runs < self.max_tries())
    }

    /// Whether another run may be started beside the call in progress.
    pub fn may_run_beside(&self) -> bool {
        let n_runs = self.n_runs + self.silent.len() as u32 + 1;
        self.route.is_repeatable() && n_runs < self.max_tries()
    }

    /// Whether its endpoint has been silent for so long that another run is looked for.
    pub fn is_timed_out(&self, now: Moment, tuning: &Tuning) -> bool {
        self.timeout_at(tuning).is_some_and(|it| it <= now)
    }

    pub fn next_wake(&self, tuning: &Tuning) -> Moment {
        let submitted = self.stages.iter().filter_map(|it| match it {
            StageState::Submitted(it) if it.peer.is_some() => Some(it.resend_at(tuning)),
            StageState::Submitted(_) | StageState::Waiting | StageState::Done { .. } => None,
        });
        submitted
            .chain(self.inquiry().map(|it| it.until))
            .chain(self.timeout_at(tuning))
            .chain(self.fetched_at())
            .chain(self.answer_timeout())
            .fold(self.deadline, Moment::min)
    }

    fn answer_timeout(&self) -> Option<Moment> {
        match &self.phase {
            Phase::AwaitingAdmission { until } | Phase::AwaitingEndpoint { until } => Some(*until),
            Phase::AwaitingPermit(wait) => Some(wait.permit.until),
            Phase::RunningStages | Phase::AwaitingBuild | Phase::Calling(_) => None,
        }
    }

    pub fn fetched_at(&self) -> Option<Moment> {
        match &self.phase {
            Phase::AwaitingAdmission { .. }
            | Phase::RunningStages
            | Phase::AwaitingBuild
            | Phase::AwaitingEndpoint { .. }
            | Phase::AwaitingPermit(_) => None,
            Phase::Calling(current) => current.fetched_at,
        }
    }

    /// Excuses the silence of its endpoint while this process stood still.
    pub fn excuse_silence(&mut self, now: Moment, time: Duration) {
        if let Phase::Calling(current) = &mut self.phase {
            current.last_heard = (current.last_heard + time).min(now);
            current.checked_at = (current.checked_at + time).min(now);
        }
    }

    /// Returns when another run is looked for; none if the request may not run again, or its caller is
    /// what it waits for.
    fn timeout_at(&self, tuning: &Tuning) -> Option<Moment> {
        let Phase::Calling(current) = &self.phase else { return None };
        // A peer looks for other runs itself.
        if current.is_blocked || current.peer.is_some() || !self.may_run_beside() {
            return None;
        }
        let silence = match (self.route.kind, current.is_streaming) {
            (RouteKind::Stream, true) => tuning.event_timeout,
            (RouteKind::Stream, false) => tuning.first_event_timeout.max(current.patience),
            (RouteKind::Idempotent | RouteKind::NonIdempotent, _) => tuning.answer_timeout,
        };
        Some(current.last_heard.max(current.checked_at) + silence)
    }
}
