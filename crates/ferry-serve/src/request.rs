//! Takes each request through its stages to an endpoint, and ends it exactly once.

mod active;
mod admit;
mod answer;
mod arrive;
mod call;
mod crash;
mod end;
mod graph;
pub mod origin;
mod pause;
pub mod permit;
mod reach;
mod relay;
mod retry;
pub mod schedule;
mod silent;
mod stages;
mod times;

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{BuildId, Moment, SortedMap, Ticket};

use crate::admission::AdmissionAnswer;
use crate::batch::{Batcher, JobKey, JobOutcome};
use crate::gateway::shutdown;
use crate::origins::exchange::Read;
use crate::pass::Pass;
use crate::{
    Arrival, CallEvent, CallId, CallerAttempt, Effect, PermitAnswer, PermitId, Scheduled, Tuning,
};

use active::{ActiveRequest, Phase};
pub use admit::evaluate;

/// Requests in progress.
#[derive(Debug, Default, Clone)]
pub struct Requests {
    active: SortedMap<Ticket, ActiveRequest>,
    /// Ticket of the request that a call serves.
    calls: SortedMap<CallId, Ticket>,
    /// Ticket of the request that waits for a permit.
    permits: SortedMap<PermitId, Ticket>,
    attempts: SortedMap<CallerAttempt, Ticket>,
}

impl Requests {
    pub fn new() -> Requests {
        Requests::default()
    }

    pub fn len(&self) -> usize {
        self.active.len()
    }

    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    pub fn arrive(&mut self, cx: &mut Pass<'_>, batcher: &mut Batcher, arrival: Arrival) {
        let Some(mut request) = arrive::accept(cx, batcher, arrival) else { return };
        let is_relayed = relay::is_needed(cx, &request) && relay::start(cx, batcher, &mut request);
        if !is_relayed {
            origin::ask(cx, &mut request);
            if admit::request_admission(cx, batcher, &mut request) {
                return;
            }
        }
        self.attempts.insert(request.head.attempt.clone(), request.ticket);
        self.proceed(cx, batcher, request);
    }

    /// Ends a request whose caller has disconnected.
    pub fn caller_gone(&mut self, cx: &mut Pass<'_>, batcher: &mut Batcher, ticket: Ticket) {
        let Some(mut request) = self.active.remove(&ticket) else { return };
        self.forget(cx, &mut request);
        end::drop_request(cx, batcher, request);
    }

    pub fn on_call(
        &mut self,
        cx: &mut Pass<'_>,
        batcher: &mut Batcher,
        call: CallId,
        event: CallEvent,
    ) {
        let Some(ticket) = self.calls.get(&call) else { return };
        let Some(mut request) = self.active.remove(ticket) else { return };
        let before: Vec<CallId> = request.calls().collect();
        let permit = request.permit();
        let ended = call::on_event(cx, batcher, &mut request, call, event);
        for call in before.iter().filter(|it| request.calls().all(|call| call != **it)) {
            self.calls.remove(call);
        }
        if let Some(id) = permit.filter(|it| request.permit() != Some(*it)) {
            self.permits.remove(&id);
        }
        match ended {
            true => self.forget(cx, &mut request),
            false => self.proceed(cx, batcher, request),
        }
    }

    /// Applies the admission decision of a request.
    pub fn on_admission_answer(
        &mut self,
        cx: &mut Pass<'_>,
        batcher: &mut Batcher,
        attempt: &CallerAttempt,
        answer: AdmissionAnswer,
    ) {
        self.on_answer(cx, batcher, attempt, |cx, _, request| {
            let is_open = matches!(request.phase, Phase::AwaitingAdmission { .. });
            is_open && admit::on_answer(cx, request, answer)
        });
    }

    /// Applies the answer of a peer that knows the build of a stream.
    pub fn on_origin(
        &mut self,
        cx: &mut Pass<'_>,
        batcher: &mut Batcher,
        attempt: &CallerAttempt,
        build: BuildId,
    ) {
        self.on_answer(cx, batcher, attempt, |cx, batcher, request| {
            origin::on_answer(cx, batcher, request, build)
        });
    }

    /// Applies a peer's answer with the only build of a stream's pool.
    pub fn on_only_build(
        &mut self,
        cx: &mut Pass<'_>,
        batcher: &mut Batcher,
        attempt: &CallerAttempt,
        build: Option<BuildId>,
    ) {
        self.on_answer(cx, batcher, attempt, |cx, batcher, request| {
            origin::on_only_build(cx, batcher, request, build)
        });
    }

    /// Decides on the continuations that have waited for a read of the store.
    pub fn on_records(&mut self, cx: &mut Pass<'_>, batcher: &mut Batcher, read: Read) {
        let waiting = self.active.iter().filter(|it| origin::waits_for(it.1, read));
        let tickets: Vec<Ticket> = waiting.map(|it| *it.0).collect();
        for ticket in tickets {
            let Some(mut request) = self.active.remove(&ticket) else { continue };
            match origin::on_read(cx, batcher, &mut request, read) {
                true => self.forget(cx, &mut request),
                false => self.proceed(cx, batcher, request),
            }
        }
    }

    /// Records the streams in progress of a pool that has got a second build.
    pub fn record_streams(&mut self, cx: &mut Pass<'_>, pool: &str) {
        let streams = self.active.values().filter(|it| it.pool == pool);
        streams.for_each(|it| origin::record(cx, it));
    }

    /// Sends a request to the engine that its scheduler has chosen.
    pub fn on_scheduled(
        &mut self,
        cx: &mut Pass<'_>,
        batcher: &mut Batcher,
        attempt: &CallerAttempt,
        scheduled: Scheduled,
    ) {
        self.on_answer(cx, batcher, attempt, |cx, batcher, request| {
            let is_open = matches!(request.phase, Phase::AwaitingEndpoint { .. });
            is_open && schedule::on_scheduled(cx, batcher, request, scheduled)
        });
    }

    /// Applies the answer of a limiter to the request with this number, if it has one; returns
    /// whether a request waits for this permit.
    pub fn on_permit(
        &mut self,
        cx: &mut Pass<'_>,
        batcher: &mut Batcher,
        id: PermitId,
        n_asks: Option<u8>,
        answer: &PermitAnswer,
    ) -> bool {
        let request = self.permits.remove(&id).and_then(|it| self.active.remove(&it));
        let Some(mut request) = request else { return false };
        match permit::on_answer(cx, batcher, &mut request, n_asks, answer) {
            true => self.forget(cx, &mut request),
            false => self.proceed(cx, batcher, request),
        }
        true
    }

    /// Applies a peer's answer, if the request is still in progress; `apply` returns whether that
    /// ends it.
    fn on_answer(
        &mut self,
        cx: &mut Pass<'_>,
        batcher: &mut Batcher,
        attempt: &CallerAttempt,
        apply: impl FnOnce(&mut Pass<'_>, &mut Batcher, &mut ActiveRequest) -> bool,
    ) {
        let Some(ticket) = self.attempts.get(attempt).copied() else { return };
        let Some(mut request) = self.active.remove(&ticket) else { return };
        match apply(cx, batcher, &mut request) {
            true => self.forget(cx, &mut request),
            false => self.proceed(cx, batcher, request),
        }
    }

    /// Applies the results of a stage.
    pub fn on_job_outcome(
        &mut self,
        cx: &mut Pass<'_>,
        batcher: &mut Batcher,
        key: &JobKey,
        outcome: JobOutcome,
    ) {
        let request = self.attempts.get(&key.attempt).and_then(|it| self.active.remove(it));
        let Some(mut request) = request else {
            return stages::free_orphaned(cx, outcome);
        };
        match stages::on_outcome(cx, batcher, &mut request, key, outcome) {
            true => self.forget(cx, &mut request),
            false => self.proceed(cx, batcher, request),
        }
    }

    /// Records that a peer has accepted the items of a stage.
    pub fn on_accepted(&mut self, key: &JobKey) {
        let ticket = self.attempts.get(&key.attempt);
        if let Some(request) = ticket.and_then(|it| self.active.get_mut(it)) {
            stages::on_accepted(request, key);
        }
    }

    /// Submits the jobs again that a peer had accepted before it restarted.
    pub fn batcher_lost(&mut self, cx: &mut Pass<'_>, batcher: &mut Batcher, peer: SocketAddr) {
        let tickets: Vec<Ticket> = self.active.keys().copied().collect();
        for ticket in tickets {
            let Some(request) = self.active.get_mut(&ticket) else { continue };
            stages::resubmit(cx, batcher, request, Some(peer));
        }
    }

    /// Returns a request in progress.
    pub fn get(&self, ticket: Ticket) -> Option<&ActiveRequest> {
        self.active.get(&ticket)
    }

    /// Moves the jobs of stages whose group gets nothing more.
    pub fn reassign(&mut self, cx: &mut Pass<'_>, batcher: &mut Batcher) {
        let tickets: Vec<Ticket> = self.active.keys().copied().collect();
        for ticket in tickets {
            let Some(request) = self.active.get_mut(&ticket) else { continue };
            stages::reassign(cx, batcher, request);
        }
    }

    /// Excuses the silence of endpoints while this process stood still for `time`.
    pub fn excuse_silence(&mut self, now: Moment, time: Duration) {
        self.active.values_mut().for_each(|it| it.excuse_silence(now, time));
    }

    /// Ends the requests that have just come into quarantine: those that wait, and those whose endpoint
    /// has not begun to write.
    pub fn enforce_quarantine(&mut self, cx: &mut Pass<'_>, batcher: &mut Batcher) {
        if cx.ctx.quarantine.take_fresh().is_empty() {
            return;
        }
        let early = self.active.iter().filter(|it| !it.1.has_begun());
        let tickets: Vec<Ticket> = early.map(|it| *it.0).collect();
        for ticket in tickets {
            let Some(mut request) = self.active.remove(&ticket) else { continue };
            match end::quarantined(cx, &request) {
                Some(found) => {
                    self.forget(cx, &mut request);
                    end::end_quarantined(cx, batcher, &mut request, &found);
                }
                None => {
                    self.active.insert(ticket, request);
                }
            }
        }
    }

    /// Sends requests elsewhere that wait for a permit of an endpoint which wants none any longer.
    pub fn avoid_closed(&mut self, cx: &mut Pass<'_>, batcher: &mut Batcher) {
        let is_closed = |request: &ActiveRequest| {
            let endpoint = permit::endpoint(request).and_then(|it| cx.ctx.endpoints.get(it));
            permit::endpoint(request).is_some() && !endpoint.is_some_and(|it| it.is_open(cx.now))
        };
        let waiting = self.permits.values().filter(|it| self.active.get(it).is_some_and(is_closed));
        let tickets: Vec<Ticket> = waiting.copied().collect();
        for ticket in tickets {
            let Some(mut request) = self.active.remove(&ticket) else { continue };
            if let Some(id) = request.permit() {
                self.permits.remove(&id);
            }
            permit::withdraw(cx, &request);
            request.phase = Phase::RunningStages;
            self.proceed(cx, batcher, request);
        }
    }

    /// Ends all requests, as the process exits: a caller gets an answer of any kind before that.
    pub fn end_all(&mut self, cx: &mut Pass<'_>, batcher: &mut Batcher) {
        let tickets: Vec<Ticket> = self.active.keys().copied().collect();
        for ticket in tickets {
            let Some(mut request) = self.active.remove(&ticket) else { continue };
            self.forget(cx, &mut request);
            end::expire(cx, batcher, request, shutdown::REASON);
        }
    }

    /// Ends requests past their deadline, and handles timeouts of admission, calls and jobs.
    pub fn tick(&mut self, cx: &mut Pass<'_>, batcher: &mut Batcher) {
        let tickets: Vec<Ticket> = self.active.keys().copied().collect();
        for ticket in tickets {
            let Some(mut request) = self.active.remove(&ticket) else { continue };
            if request.deadline <= cx.now {
                self.forget(cx, &mut request);
                end::expire(cx, batcher, request, "its time is over");
                continue;
            }
            if matches!(request.phase, Phase::AwaitingAdmission { until } if until <= cx.now) {
                admit::on_timeout(cx, &mut request);
            }
            if matches!(request.phase, Phase::AwaitingEndpoint { until } if until <= cx.now)
                && schedule::on_timeout(cx, batcher, &mut request)
            {
                self.forget(cx, &mut request);
                continue;
            }
            if let Some(id) = request.permit().filter(|_| request.is_permit_overdue(cx.now)) {
                let ended = permit::on_timeout(cx, batcher, &mut request);
                self.permits.remove(&id);
                if ended {
                    self.forget(cx, &mut request);
                    continue;
                }
            }
            let is_overdue = request.inquiry().is_some_and(|it| it.until <= cx.now);
            if is_overdue && origin::decide(cx, batcher, &mut request) {
                self.forget(cx, &mut request);
                continue;
            }
            if request.fetched_at().is_some_and(|it| it <= cx.now) {
                call::on_fetched(cx, batcher, &mut request);
            }
            if let (Some(event), Some(call)) = (relay::lost_event(cx, &request), request.call()) {
                cx.effects.push(Effect::Cancel { call });
                self.calls.remove(&call);
                if call::on_event(cx, batcher, &mut request, call, event) {
                    self.forget(cx, &mut request);
                    continue;
                }
            }
            if request.is_timed_out(cx.now, &cx.ctx.tuning) {
                silent::on_timeout(cx, batcher, &mut request);
            }
            stages::resubmit(cx, batcher, &mut request, None);
            self.proceed(cx, batcher, request);
        }
    }

    pub fn next_wake(&self, tuning: &Tuning) -> Option<Moment> {
        self.active.values().map(|it| it.next_wake(tuning)).min()
    }

    /// Starts the next step of a request; it stays in progress unless that ends it.
    fn proceed(&mut self, cx: &mut Pass<'_>, batcher: &mut Batcher, mut request: ActiveRequest) {
        let mut ended = false;
        if matches!(request.phase, Phase::RunningStages) {
            ended = stages::advance(cx, batcher, &mut request);
        }
        if !ended && matches!(request.phase, Phase::RunningStages) && request.stages_done() {
            ended = schedule::start(cx, batcher, &mut request);
        }
        if ended {
            return self.forget(cx, &mut request);
        }
        if let Some(call) = request.call() {
            self.calls.insert(call, request.ticket);
        }
        if let Some(id) = request.permit() {
            self.permits.insert(id, request.ticket);
        }
        self.active.insert(request.ticket, request);
    }

    fn forget(&mut self, cx: &mut Pass<'_>, request: &mut ActiveRequest) {
        retry::release(cx, request);
        self.attempts.remove(&request.head.attempt);
        for call in request.calls() {
            self.calls.remove(&call);
        }
        if let Some(id) = request.permit() {
            self.permits.remove(&id);
        }
    }
}
