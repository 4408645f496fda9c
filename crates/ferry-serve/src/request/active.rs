//! One request in progress.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ferry_model::{
    EndpointId, Moment, PoolId, ResultHandle, Route, RouteKind, Ticket, WorkspaceId,
};

use crate::batch::JobKey;
use crate::{CallId, Group, RequestHead, Tuning};

#[derive(Debug, Clone)]
pub struct ActiveRequest {
    pub ticket: Ticket,
    pub head: RequestHead,
    pub route: Arc<Route>,
    pub pool: PoolId,
    pub workspace: Option<WorkspaceId>,
    /// Zero is served first.
    pub priority: u8,
    /// Order among the requests for its stages; zero is served first.
    pub class: u8,
    /// Worth for the work of its stages, one for the usual request of its route.
    pub value: f64,
    /// Whether an earlier attempt of the caller was refused or failed.
    pub is_retry: bool,
    /// When the caller sent its first attempt, as far as its time left tells.
    pub arrived: Moment,
    /// When the caller, or the operator, wants no answer any more.
    pub deadline: Moment,
    pub stages: Vec<StageState>,
    /// How often each stage started over.
    pub restarts: Vec<u8>,
    pub phase: Phase,
    /// Endpoints that had the request.
    pub tried: Vec<EndpointId>,
    /// Endpoints that may have run it.
    pub n_runs: u32,
    /// Endpoints that said that they had not run it.
    pub n_refusals: u32,
    /// Times that stages started over.
    pub n_restarts: u32,
    /// Whether the caller has the head of a stream.
    pub is_streaming: bool,
    /// Last whole event that the caller has.
    pub last_event: Option<u64>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum StageState {
    /// Its inputs are not there yet.
    Waiting,
    Submitted(Submitted),
    /// `to` has gathered the results and frees them; `is_held` until they may go.
    Done {
        handles: Vec<ResultHandle>,
        to: Option<SocketAddr>,
        is_retained: bool,
    },
}

/// A stage whose items are being gathered.
#[derive(Debug, Clone, PartialEq)]
pub struct Submitted {
    /// The peer that gathers them; none if this instance does.
    pub to: Option<SocketAddr>,
    pub group: Group,
    pub since: Moment,
    /// When the peer was told last.
    pub last_sent: Moment,
    /// Whether the peer has said that it gathers them.
    pub is_accepted: bool,
}

impl Submitted {
    /// Returns when the peer is to be told again, as a message may have been lost.
    pub fn resend_at(&self, tuning: &Tuning) -> Moment {
        self.last_sent
            + if self.is_accepted { tuning.resubmit_accepted } else { tuning.resubmit_unaccepted }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub enum Phase {
    /// Waits for the decision whether it is begun.
    AwaitingAdmission {
        until: Moment,
    },
    RunningStages,
    Calling(ActiveCall),
}

#[derive(Debug, Clone, PartialEq)]
pub struct ActiveCall {
    pub call: CallId,
    pub endpoint: EndpointId,
    pub sent_at: Moment,
    /// When something came of the call last.
    pub last_heard: Moment,
    /// Time in which an endpoint of usual speed answers.
    pub expected: Duration,
    pub is_streaming: bool,
    /// When the endpoint has fetched its inputs, and they may go; none once they have.
    pub fetched_at: Option<Moment>,
}

impl StageState {
    /// A stage without items.
    pub const EMPTY: StageState =
        StageState::Done { handles: Vec::new(), to: None, is_retained: false };
}

impl ActiveRequest {
    pub fn call(&self) -> Option<CallId> {
        match &self.phase {
            Phase::AwaitingAdmission { .. } | Phase::RunningStages => None,
            Phase::Calling(current) => Some(current.call),
        }
    }

    pub fn job_key(&self, stage: usize) -> JobKey {
        let restart = self.restarts.get(stage).copied().unwrap_or_default();
        JobKey { attempt: self.head.attempt.clone(), stage: stage as u8, restart }
    }

    /// Whether every stage has its results.
    pub fn stages_done(&self) -> bool {
        self.stages.iter().all(|it| matches!(it, StageState::Done { .. }))
    }

    /// When the answer, or the first event, should be there.
    pub fn objective(&self) -> Moment {
        self.arrived + self.route.objective
    }

    /// Whether another run would be allowed by what the request is and how often it ran.
    pub fn may_run_again(&self) -> bool {
        let is_first = self.n_runs == 0;
        is_first || (self.route.is_repeatable() && self.n_runs < self.route.max_tries)
    }

    /// Whether its endpoint has been silent for so long that another one should go on.
    pub fn is_timed_out(&self, now: Moment, tuning: &Tuning) -> bool {
        self.timeout_at(tuning).is_some_and(|it| it <= now)
    }

    pub fn next_wake(&self, tuning: &Tuning) -> Moment {
        let submitted = self.stages.iter().filter_map(|it| match it {
            StageState::Submitted(it) if it.to.is_some() => Some(it.resend_at(tuning)),
            StageState::Submitted(_) | StageState::Waiting | StageState::Done { .. } => None,
        });
        submitted
            .chain(self.timeout_at(tuning))
            .chain(self.fetched_at())
            .chain(self.admission_timeout())
            .fold(self.deadline, Moment::min)
    }

    fn admission_timeout(&self) -> Option<Moment> {
        match &self.phase {
            Phase::AwaitingAdmission { until } => Some(*until),
            Phase::RunningStages | Phase::Calling(_) => None,
        }
    }

    pub fn fetched_at(&self) -> Option<Moment> {
        match &self.phase {
            Phase::AwaitingAdmission { .. } | Phase::RunningStages => None,
            Phase::Calling(current) => current.fetched_at,
        }
    }

    /// Returns when the silence of an endpoint is over for a request that may run again.
    fn timeout_at(&self, tuning: &Tuning) -> Option<Moment> {
        let Phase::Calling(current) = &self.phase else { return None };
        if !self.route.is_repeatable() || self.route.max_tries <= self.n_runs + 1 {
            return None;
        }
        let silence = match (self.route.kind, current.is_streaming) {
            (RouteKind::Stream, true) => tuning.event_timeout,
            (RouteKind::Stream, false) => tuning.first_event_timeout.max(current.expected * 4),
            (RouteKind::Idempotent | RouteKind::NonIdempotent, _) => tuning.answer_timeout,
        };
        Some(current.last_heard + silence)
    }
}
