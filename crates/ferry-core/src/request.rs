//! Requests in flight, from arrival to their final answer; see docs/design/requests.md.

mod answer;
mod arrival;
mod claiming;
mod dispatch;
pub mod load;
mod lookup;
pub mod recent_answers;
mod reply;
pub mod state;
mod timers;

use std::time::Duration;

use ferry_model::{
    AttemptId, ClaimKey, Instance, Moment, RequestId, SortedMap, StoreError, StoreReply, Ticket,
};
use serde::{Deserialize, Serialize};

use crate::CallId;
use crate::admit::{Pools, WorkspaceShares};
use crate::claim::Claims;
use crate::request::recent_answers::RecentAnswers;
use crate::request::state::{Phase, RequestState};
use crate::request::timers::Timers;
use crate::route::RoundRobin;
use crate::turn::Turn;

/// How long a leaving process waits for its journals once its requests have ended.
const JOURNAL_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Requests {
    in_flight: SortedMap<RequestId, RequestState>,
    attempts: SortedMap<AttemptId, RequestId>,
    tickets: SortedMap<Ticket, RequestId>,
    /// Requests in flight by their key.
    keys: SortedMap<ClaimKey, RequestId>,
    recent: RecentAnswers,
    claims: Claims,
    pools: Pools,
    shares: WorkspaceShares,
    round_robin: RoundRobin,
    timers: Timers,
    n_requests: u64,
    n_attempts: AttemptId,
    leaving: bool,
    /// When the process exits even if journals still wait.
    leave_by: Option<Moment>,
    /// That moment has passed.
    journal_timed_out: bool,
}

impl Requests {
    pub fn new() -> Requests {
        Requests::default()
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    pub fn next_wake(&self) -> Option<Moment> {
        let claims = self.claims.next_wake();
        self.timers.next().into_iter().chain(claims).chain(self.leave_by).min()
    }

    pub fn on_instances(&mut self, instances: &[Instance]) {
        self.claims.set_instances(instances);
    }

    pub fn on_store(
        &mut self,
        cx: &mut Turn<'_>,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) {
        let results = self.claims.on_store(cx, call, result);
        self.on_claim_results(cx, results);
    }

    pub fn tick(&mut self, cx: &mut Turn<'_>) {
        let results = self.claims.tick(cx);
        self.on_claim_results(cx, results);
        while let Some(id) = self.timers.pop(cx.now) {
            if let Some(request) = self.in_flight.get_mut(&id) {
                request.wake = None;
                self.on_timer(cx, id);
            }
        }
        if self.leave_by.is_some_and(|it| it <= cx.now) {
            self.leave_by = None;
            self.journal_timed_out = true;
        }
    }

    /// Refuses every later arrival; requests in flight go on to their end.
    pub fn close(&mut self) {
        self.leaving = true;
    }

    /// Whether every request has ended and its end is journalled, or the wait for that is over.
    pub fn is_idle(&mut self, now: Moment) -> bool {
        if !self.in_flight.is_empty() {
            return false;
        }
        if self.claims.is_idle() || self.journal_timed_out {
            return true;
        }
        if self.leaving {
            self.leave_by.get_or_insert(now + JOURNAL_TIMEOUT);
        }
        false
    }

    /// Sets the timer of a request for whatever is due next.
    fn set_timer(&mut self, id: RequestId) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let remaining = match request.phase {
            Phase::Claiming | Phase::Queued | Phase::Backoff(_) => {
                self.pools.remaining_service(&request.pipeline, request.stage)
            }
            Phase::AwaitingHolder { .. } | Phase::Running => Duration::ZERO,
        };
        let due = request.next_due(remaining);
        match request.wake {
            // An early timer only finds that it has to be set again.
            Some(wake) if wake <= due => return,
            Some(wake) => self.timers.clear(wake, id),
            None => (),
        }
        request.wake = Some(due);
        self.timers.set(due, id);
    }
}
