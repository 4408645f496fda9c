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
use crate::pass::Pass;
use crate::request::recent_answers::RecentAnswers;
use crate::request::state::{Phase, RequestState};
use crate::request::timers::Timers;
use crate::route::RoundRobin;

/// How long a leaving process waits for its claim journals once its requests have ended.
const JOURNAL_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Requests {
    in_flight: SortedMap<RequestId, RequestState>,
    attempts: SortedMap<AttemptId, RequestId>,
    tickets: SortedMap<Ticket, RequestId>,
    /// Requests in flight by the hash of their idempotency key.
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
    /// When the process exits even if journal changes are still waiting.
    leave_by: Option<Moment>,
    /// Whether `leave_by` has passed.
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
        cx: &mut Pass<'_>,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) {
        let results = self.claims.on_store(cx, call, result);
        self.on_claim_results(cx, results);
    }

    pub fn tick(&mut self, cx: &mut Pass<'_>) {
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

    /// Refuses new requests from now on; requests in flight continue.
    pub fn close(&mut self) {
        self.leaving = true;
    }

    /// Whether every request has ended and is recorded in the journal, or the wait for the journal
    /// has timed out.
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

    /// Sets the timer of a request to its next due time.
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
            // A timer that fires early does nothing but set itself again.
            Some(wake) if wake <= due => return,
            Some(wake) => self.timers.clear(wake, id),
            None => (),
        }
        request.wake = Some(due);
        self.timers.set(due, id);
    }
}
