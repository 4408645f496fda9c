//! Events of stage calls. Responses that do not match a call in flight are dropped.

use std::time::Duration;

use ferry_model::{
    Answer, AttemptId, FailureReason, Load, Outcome, RequestId, StageKind, StageReport,
};
use rand::RngExt;

use crate::pass::Pass;
use crate::request::Requests;
use crate::request::answer::drop_reply;
use crate::request::state::{Attempt, NextCall, TokenStep};
use crate::{CallEvent, Connection, Decision, DecisionKind, Echo, Effect, Metric};

impl Requests {
    pub fn on_call(&mut self, cx: &mut Pass<'_>, attempt: AttemptId, event: CallEvent) {
        let Some(&id) = self.attempts.get(&attempt) else {
            drop_reply(cx, attempt, "the attempt has ended");
            return;
        };
        match event {
            CallEvent::Unsent { error } => self.on_unsent(cx, id, attempt, &error),
            CallEvent::Refused { error, leaving, .. } => {
                self.on_refused(cx, id, attempt, &error, leaving);
            }
            CallEvent::Accepted { echo } => {
                if self.check_echo(cx, id, attempt, &echo)
                    && let Some(it) = self.attempt_mut(id, attempt)
                {
                    it.accepted = true;
                    it.received_at = cx.now;
                }
            }
            CallEvent::Token { number, text } => self.on_token(cx, id, attempt, number, &text),
            CallEvent::Reply { echo, output, load } => {
                if self.check_echo(cx, id, attempt, &echo) {
                    self.record_load(cx, id, attempt, load);
                    self.complete_stage(cx, id, attempt, output);
                }
            }
            CallEvent::End { echo, count, digest, load } => {
                if !self.check_echo(cx, id, attempt, &echo) {
                    return;
                }
                self.record_load(cx, id, attempt, load);
                let Some(request) = self.in_flight.get(&id) else { return };
                match request.is_complete(count, &digest) {
                    true => {
                        let output = request.emitted.clone();
                        self.complete_stage(cx, id, attempt, output);
                    }
                    false => self.on_broken(cx, id, attempt, "the stream is incomplete"),
                }
            }
            CallEvent::Failed { echo, error } => {
                let is_own = echo.is_none_or(|it| self.check_echo(cx, id, attempt, &it));
                if is_own {
                    self.on_failed(cx, id, attempt, &error);
                }
            }
            CallEvent::Broken { error } => self.on_broken(cx, id, attempt, &error),
        }
    }

    fn attempt_mut(&mut self, id: RequestId, attempt: AttemptId) -> Option<&mut Attempt> {
        self.in_flight.get_mut(&id)?.attempt_mut(attempt)
    }

    fn on_token(
        &mut self,
        cx: &mut Pass<'_>,
        id: RequestId,
        attempt: AttemptId,
        number: u32,
        text: &str,
    ) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let Some(current) = request.attempt_mut(attempt) else { return };
        if !current.accepted {
            self.on_broken(cx, id, attempt, "a token preceded its response");
            return;
        }
        current.received_at = cx.now;
        current.hedge_at = None;
        let took = cx.now.saturating_sub(current.started);
        let is_first = request.tokens == 0;
        match request.accept_token(number, text, cx.effects) {
            TokenStep::Gap => self.on_broken(cx, id, attempt, "a token is missing"),
            TokenStep::Duplicate => (),
            TokenStep::Accepted if is_first => {
                let pool = request.current().pool.clone();
                self.pools.get_mut(&pool).first_response.record(took);
                self.cancel_others(cx, id, attempt);
            }
            TokenStep::Accepted => (),
        }
    }

    /// No byte was written, so even a call that must not be repeated may go to another endpoint.
    fn on_unsent(&mut self, cx: &mut Pass<'_>, id: RequestId, attempt: AttemptId, error: &str) {
        self.fail_endpoint(cx, id, attempt);
        self.end_attempt(cx, id, attempt);
        self.retry(cx, id, error, Duration::ZERO, None);
    }

    /// The endpoint refused the call after its bytes were written.
    fn on_refused(
        &mut self,
        cx: &mut Pass<'_>,
        id: RequestId,
        attempt: AttemptId,
        error: &str,
        leaving: bool,
    ) {
        match self.endpoint_of(id, attempt) {
            Some(endpoint) if leaving => cx.ctx.fleet.mark_leaving(&endpoint),
            _ => self.fail_endpoint(cx, id, attempt),
        }
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        if !request.current().repeatable {
            self.fail_unrepeatable(cx, id, attempt, FailureReason::StageFailed);
            return;
        }
        self.end_attempt(cx, id, attempt);
        let wait = if leaving { Duration::ZERO } else { self.backoff(cx, id) };
        self.retry(cx, id, error, wait, None);
    }

    fn on_failed(&mut self, cx: &mut Pass<'_>, id: RequestId, attempt: AttemptId, error: &str) {
        self.fail_endpoint(cx, id, attempt);
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        if !request.current().repeatable {
            self.fail_unrepeatable(cx, id, attempt, FailureReason::StageFailed);
            return;
        }
        request.mark_ran();
        self.end_attempt(cx, id, attempt);
        let wait = self.backoff(cx, id);
        self.retry(cx, id, error, wait, None);
    }

    /// The call may have run, so only a repeatable stage is retried. A stream resumes where it
    /// stopped.
    fn on_broken(&mut self, cx: &mut Pass<'_>, id: RequestId, attempt: AttemptId, error: &str) {
        self.fail_endpoint(cx, id, attempt);
        cx.effects.push(Effect::Cancel { attempt });
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        if !request.current().repeatable {
            self.fail_unrepeatable(cx, id, attempt, FailureReason::ConnectionLost);
            return;
        }
        request.mark_ran();
        let has_begun = 0 < request.tokens;
        let Some(ended) = self.end_attempt(cx, id, attempt) else { return };
        match has_begun {
            true => self.resume(cx, id, &ended, error),
            false => {
                let wait = self.backoff(cx, id);
                self.retry(cx, id, error, wait, None);
            }
        }
    }

    /// Resumes a call, first on a new connection to the same endpoint, then on another endpoint.
    fn resume(&mut self, cx: &mut Pass<'_>, id: RequestId, ended: &Attempt, error: &str) {
        if let Some(request) = self.in_flight.get_mut(&id)
            && ended.offset < request.tokens
        {
            request.calls = 1;
        }
        let next = (ended.connection == Connection::Pooled)
            .then(|| NextCall { endpoint: ended.endpoint.clone(), connection: Connection::Fresh });
        self.retry(cx, id, error, Duration::ZERO, next);
    }

    /// The silence timeout has passed: tries a new connection, and ejects the endpoint if that is
    /// silent too.
    pub(super) fn on_silent(&mut self, cx: &mut Pass<'_>, id: RequestId, attempt: AttemptId) {
        cx.effects.push(Effect::Cancel { attempt });
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        request.mark_ran();
        let Some(ended) = self.end_attempt(cx, id, attempt) else { return };
        match ended.connection {
            Connection::Pooled => {
                let until = cx.now + cx.ctx.tuning.bypass_time;
                cx.ctx.fleet.mark_silent(&ended.endpoint, until);
                self.resume(cx, id, &ended, "the connection is silent");
            }
            Connection::Fresh => {
                if cx.ctx.fleet.eject(cx.now, &ended.endpoint, &cx.ctx.tuning) {
                    log_eject(cx, &ended.endpoint, "silent on a new connection");
                }
                self.retry(cx, id, "the endpoint is silent", Duration::ZERO, None);
            }
        }
    }

    fn complete_stage(
        &mut self,
        cx: &mut Pass<'_>,
        id: RequestId,
        attempt: AttemptId,
        output: String,
    ) {
        self.cancel_others(cx, id, attempt);
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        request.mark_ran();
        let Some(ended) = request.attempt(attempt).cloned() else { return };
        let stage = request.current().clone();
        let took = cx.now.saturating_sub(ended.started);
        let state = self.pools.get_mut(&stage.pool);
        state.service_time.record(took);
        if stage.kind == StageKind::Generate {
            cx.ctx.fleet.record_prefill(cx.now, &ended.endpoint, &request.input);
        } else {
            state.first_response.record(took);
        }
        state.record_completion(cx.now);
        let median = state.median_service();
        cx.ctx.fleet.record_success(cx.now, &ended.endpoint, median, took, &cx.ctx.tuning);
        request.reports.push(StageReport {
            stage: stage.name,
            endpoint: ended.endpoint,
            took,
            attempts: request.calls,
        });
        request.input = output;
        request.tried.clear();
        request.calls = 0;
        self.end_attempt(cx, id, attempt);
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        request.stage += 1;
        if request.stage < request.pipeline.stages.len() {
            self.enqueue(cx, id);
            return;
        }
        request.stage -= 1;
        let output = std::mem::take(&mut request.input);
        let answer = Answer::new(id, Outcome::Complete, request.revision)
            .with_output(output, request.tokens);
        self.settle(cx, id, answer);
    }

    /// Ends a request whose call may have run and must not be repeated.
    fn fail_unrepeatable(
        &mut self,
        cx: &mut Pass<'_>,
        id: RequestId,
        attempt: AttemptId,
        reason: FailureReason,
    ) {
        if let Some(request) = self.in_flight.get_mut(&id) {
            request.mark_ran();
        }
        self.end_attempt(cx, id, attempt);
        self.give_up(cx, id, reason);
    }

    fn cancel_others(&mut self, cx: &mut Pass<'_>, id: RequestId, winner: AttemptId) {
        let Some(request) = self.in_flight.get(&id) else { return };
        let pool = request.current().pool.clone();
        let losers: Vec<AttemptId> =
            request.attempts.iter().map(|it| it.id).filter(|it| *it != winner).collect();
        for attempt in losers {
            cx.effects.push(Effect::Cancel { attempt });
            let ended = self.end_attempt(cx, id, attempt);
            if let Some(ended) = ended {
                let pool = self.pools.get(&pool);
                let running = cx.now.saturating_sub(ended.started);
                let service = pool.map_or(running, |it| it.scaled_service(running));
                cx.ctx.fleet.record_slow_call(cx.now, &ended.endpoint, service);
            }
        }
    }

    /// Checks that a response identifies its own call. If not, the response is dropped and its
    /// connection closed.
    fn check_echo(
        &mut self,
        cx: &mut Pass<'_>,
        id: RequestId,
        attempt: AttemptId,
        echo: &Echo,
    ) -> bool {
        let Some(request) = self.in_flight.get(&id) else { return false };
        let stage = request.stage_name();
        if echo.request == id && echo.attempt == attempt && echo.stage == *stage {
            return true;
        }
        drop_reply(cx, attempt, "the reply belongs to another call");
        self.on_broken(cx, id, attempt, "the reply belongs to another call");
        false
    }

    fn record_load(
        &self,
        cx: &mut Pass<'_>,
        id: RequestId,
        attempt: AttemptId,
        load: Option<Load>,
    ) {
        let Some(load) = load else { return };
        if let Some(endpoint) = self.endpoint_of(id, attempt) {
            cx.ctx.fleet.record_load(cx.now, &endpoint, load);
        }
    }

    fn fail_endpoint(&self, cx: &mut Pass<'_>, id: RequestId, attempt: AttemptId) {
        let Some(endpoint) = self.endpoint_of(id, attempt) else { return };
        let is_managed = cx.ctx.tuning.policy.is_managed();
        if is_managed && cx.ctx.fleet.record_failure(cx.now, &endpoint, &cx.ctx.tuning) {
            log_eject(cx, &endpoint, "consecutive failures");
        }
    }

    fn endpoint_of(&self, id: RequestId, attempt: AttemptId) -> Option<String> {
        Some(self.in_flight.get(&id)?.attempt(attempt)?.endpoint.clone())
    }

    /// Returns the delay before the next call, with exponential backoff and jitter.
    fn backoff(&self, cx: &mut Pass<'_>, id: RequestId) -> Duration {
        let calls = self.in_flight.get(&id).map_or(1, |it| it.calls);
        let jitter = cx.ctx.rng.random_range(0.5..1.5);
        let doubled = cx.ctx.tuning.backoff * 2_u32.pow(calls.saturating_sub(1).min(6));
        doubled.mul_f64(jitter)
    }
}

fn log_eject(cx: &mut Pass<'_>, endpoint: &str, reason: &str) {
    cx.effects.push(Effect::Count { metric: Metric::EndpointsEjected, by: 1 });
    let decision = Decision::new(DecisionKind::Eject, reason, cx.ctx.revision());
    cx.effects.push(Effect::Log(decision.with_endpoint(endpoint)));
}
