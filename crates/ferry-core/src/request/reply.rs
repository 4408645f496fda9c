//! What comes back from endpoints: matched to its call, or dropped.

use std::time::Duration;

use ferry_model::{
    Answer, AttemptId, FailureReason, Load, Outcome, RequestId, StageKind, StageReport,
};
use rand::RngExt;

use crate::request::Requests;
use crate::request::flight::{Attempt, NextCall, TokenStep};
use crate::request::settle::drop_reply;
use crate::turn::Turn;
use crate::{CallEvent, Connection, Decision, DecisionKind, Echo, Effect, Metric};

impl Requests {
    pub fn on_call(&mut self, cx: &mut Turn<'_>, attempt: AttemptId, event: CallEvent) {
        let Some(&id) = self.attempts.get(&attempt) else {
            drop_reply(cx, attempt, "attempt has ended");
            return;
        };
        match event {
            CallEvent::Unsent { error } => self.on_unsent(cx, id, attempt, &error),
            CallEvent::Refused { error, leaving, .. } => {
                self.on_refused(cx, id, attempt, &error, leaving);
            }
            CallEvent::Accepted { echo } => {
                if self.expect_echo(cx, id, attempt, &echo)
                    && let Some(it) = self.attempt_mut(id, attempt)
                {
                    it.accepted = true;
                    it.heard = cx.now;
                }
            }
            CallEvent::Token { number, text } => self.on_token(cx, id, attempt, number, &text),
            CallEvent::Reply { echo, output, load } => {
                if self.expect_echo(cx, id, attempt, &echo) {
                    self.report_load(cx, id, attempt, load);
                    self.finish_stage(cx, id, attempt, output);
                }
            }
            CallEvent::End { echo, count, digest, load } => {
                if !self.expect_echo(cx, id, attempt, &echo) {
                    return;
                }
                self.report_load(cx, id, attempt, load);
                let Some(flight) = self.flights.get(&id) else { return };
                match flight.is_whole(count, &digest) {
                    true => {
                        let output = flight.emitted.clone();
                        self.finish_stage(cx, id, attempt, output);
                    }
                    false => self.on_broken(cx, id, attempt, "the stream has gaps"),
                }
            }
            CallEvent::Failed { echo, error } => {
                let is_own = echo.is_none_or(|it| self.expect_echo(cx, id, attempt, &it));
                if is_own {
                    self.on_failed(cx, id, attempt, &error);
                }
            }
            CallEvent::Broken { error } => self.on_broken(cx, id, attempt, &error),
        }
    }

    fn attempt_mut(&mut self, id: RequestId, attempt: AttemptId) -> Option<&mut Attempt> {
        self.flights.get_mut(&id)?.attempt_mut(attempt)
    }

    fn on_token(
        &mut self,
        cx: &mut Turn<'_>,
        id: RequestId,
        attempt: AttemptId,
        number: u32,
        text: &str,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        let Some(from) = flight.attempt_mut(attempt) else { return };
        if !from.accepted {
            self.on_broken(cx, id, attempt, "a token came before its stream was accepted");
            return;
        }
        from.heard = cx.now;
        from.hedge_at = None;
        let took = cx.now.saturating_sub(from.started);
        let is_first = flight.tokens == 0;
        match flight.take_token(number, text, cx.out) {
            TokenStep::Gap => self.on_broken(cx, id, attempt, "a token is missing"),
            TokenStep::Repeated => (),
            TokenStep::Taken if is_first => {
                let pool = flight.current().pool.clone();
                self.pools.get_mut(&pool).first.record(took);
                self.cancel_others(cx, id, attempt);
            }
            TokenStep::Taken => (),
        }
    }

    /// No byte was written: the call may go elsewhere, also one that may not be repeated.
    fn on_unsent(&mut self, cx: &mut Turn<'_>, id: RequestId, attempt: AttemptId, error: &str) {
        self.fail_endpoint(cx, id, attempt);
        self.end_attempt(cx, id, attempt);
        self.retry(cx, id, error, Duration::ZERO, None);
    }

    /// The endpoint did not take the call, but its bytes were written.
    fn on_refused(
        &mut self,
        cx: &mut Turn<'_>,
        id: RequestId,
        attempt: AttemptId,
        error: &str,
        leaving: bool,
    ) {
        match self.endpoint_of(id, attempt) {
            Some(endpoint) if leaving => cx.ctx.fleet.leaves(&endpoint),
            _ => self.fail_endpoint(cx, id, attempt),
        }
        let Some(flight) = self.flights.get_mut(&id) else { return };
        if !flight.current().repeatable {
            self.lose(cx, id, attempt, FailureReason::StageFailed);
            return;
        }
        self.end_attempt(cx, id, attempt);
        let wait = if leaving { Duration::ZERO } else { self.backoff(cx, id) };
        self.retry(cx, id, error, wait, None);
    }

    fn on_failed(&mut self, cx: &mut Turn<'_>, id: RequestId, attempt: AttemptId, error: &str) {
        self.fail_endpoint(cx, id, attempt);
        let Some(flight) = self.flights.get_mut(&id) else { return };
        if !flight.current().repeatable {
            self.lose(cx, id, attempt, FailureReason::StageFailed);
            return;
        }
        flight.note_run();
        self.end_attempt(cx, id, attempt);
        let wait = self.backoff(cx, id);
        self.retry(cx, id, error, wait, None);
    }

    /// The call may have run: only a repeatable stage goes on, a stream where it stopped.
    fn on_broken(&mut self, cx: &mut Turn<'_>, id: RequestId, attempt: AttemptId, error: &str) {
        self.fail_endpoint(cx, id, attempt);
        cx.out.push(Effect::Cancel { attempt });
        let Some(flight) = self.flights.get_mut(&id) else { return };
        if !flight.current().repeatable {
            self.lose(cx, id, attempt, FailureReason::ConnectionLost);
            return;
        }
        flight.note_run();
        let has_begun = 0 < flight.tokens;
        let Some(ended) = self.end_attempt(cx, id, attempt) else { return };
        match has_begun {
            true => self.resume(cx, id, &ended, error),
            false => {
                let wait = self.backoff(cx, id);
                self.retry(cx, id, error, wait, None);
            }
        }
    }

    /// Goes on with a stream: on a new connection to its engine first, then on another engine.
    fn resume(&mut self, cx: &mut Turn<'_>, id: RequestId, ended: &Attempt, error: &str) {
        if let Some(flight) = self.flights.get_mut(&id)
            && ended.offset < flight.tokens
        {
            flight.calls = 1;
        }
        let next = (ended.connection == Connection::Pooled)
            .then(|| NextCall { endpoint: ended.endpoint.clone(), connection: Connection::Fresh });
        self.retry(cx, id, error, Duration::ZERO, next);
    }

    /// Nothing was heard for long: tries a new connection, and ejects the endpoint if that is
    /// silent too.
    pub(super) fn on_silent(&mut self, cx: &mut Turn<'_>, id: RequestId, attempt: AttemptId) {
        cx.out.push(Effect::Cancel { attempt });
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.note_run();
        let Some(ended) = self.end_attempt(cx, id, attempt) else { return };
        match ended.connection {
            Connection::Pooled => {
                let until = cx.now + cx.ctx.tuning.bypass_time;
                cx.ctx.fleet.silent(&ended.endpoint, until);
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

    fn finish_stage(
        &mut self,
        cx: &mut Turn<'_>,
        id: RequestId,
        attempt: AttemptId,
        output: String,
    ) {
        self.cancel_others(cx, id, attempt);
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.note_run();
        let Some(ended) = flight.attempt(attempt).cloned() else { return };
        let stage = flight.current().clone();
        let took = cx.now.saturating_sub(ended.started);
        let state = self.pools.get_mut(&stage.pool);
        state.service.record(took);
        if stage.kind == StageKind::Generate {
            cx.ctx.fleet.prefilled(cx.now, &ended.endpoint, &flight.input);
        } else {
            state.first.record(took);
        }
        state.completed(cx.now);
        let usual = state.median();
        cx.ctx.fleet.served(cx.now, &ended.endpoint, usual, took, &cx.ctx.tuning);
        flight.reports.push(StageReport {
            stage: stage.name,
            endpoint: ended.endpoint,
            took,
            attempts: flight.calls,
        });
        flight.input = output;
        flight.tried.clear();
        flight.calls = 0;
        self.end_attempt(cx, id, attempt);
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.stage += 1;
        if flight.stage < flight.pipeline.stages.len() {
            self.enqueue(cx, id);
            return;
        }
        flight.stage -= 1;
        let output = std::mem::take(&mut flight.input);
        let whole =
            Answer::new(id, Outcome::Complete, flight.revision).with_output(output, flight.tokens);
        self.settle(cx, id, whole);
    }

    /// Ends a request whose call may have run and may not be repeated.
    fn lose(
        &mut self,
        cx: &mut Turn<'_>,
        id: RequestId,
        attempt: AttemptId,
        reason: FailureReason,
    ) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.note_run();
        }
        self.end_attempt(cx, id, attempt);
        self.give_up(cx, id, reason);
    }

    fn cancel_others(&mut self, cx: &mut Turn<'_>, id: RequestId, winner: AttemptId) {
        let Some(flight) = self.flights.get(&id) else { return };
        let pool = flight.current().pool.clone();
        let losers: Vec<AttemptId> =
            flight.attempts.iter().map(|it| it.id).filter(|it| *it != winner).collect();
        for attempt in losers {
            cx.out.push(Effect::Cancel { attempt });
            let ended = self.end_attempt(cx, id, attempt);
            if let Some(ended) = ended {
                let pool = self.pools.get(&pool);
                let running = cx.now.saturating_sub(ended.started);
                let service = pool.map_or(running, |it| it.scaled(running));
                cx.ctx.fleet.lags(cx.now, &ended.endpoint, service);
            }
        }
    }

    /// Checks that an answer names its own call; any other is dropped and its connection closed.
    fn expect_echo(
        &mut self,
        cx: &mut Turn<'_>,
        id: RequestId,
        attempt: AttemptId,
        echo: &Echo,
    ) -> bool {
        let Some(flight) = self.flights.get(&id) else { return false };
        let stage = flight.stage_name();
        if echo.request == id && echo.attempt == attempt && echo.stage == *stage {
            return true;
        }
        drop_reply(cx, attempt, "reply belongs to another call");
        self.on_broken(cx, id, attempt, "misaddressed reply");
        false
    }

    fn report_load(
        &self,
        cx: &mut Turn<'_>,
        id: RequestId,
        attempt: AttemptId,
        load: Option<Load>,
    ) {
        let Some(load) = load else { return };
        if let Some(endpoint) = self.endpoint_of(id, attempt) {
            cx.ctx.fleet.reported(cx.now, &endpoint, load);
        }
    }

    fn fail_endpoint(&self, cx: &mut Turn<'_>, id: RequestId, attempt: AttemptId) {
        let Some(endpoint) = self.endpoint_of(id, attempt) else { return };
        let is_managed = cx.ctx.tuning.policy.is_managed();
        if is_managed && cx.ctx.fleet.failed(cx.now, &endpoint, &cx.ctx.tuning) {
            log_eject(cx, &endpoint, "failures in a row");
        }
    }

    fn endpoint_of(&self, id: RequestId, attempt: AttemptId) -> Option<String> {
        Some(self.flights.get(&id)?.attempt(attempt)?.endpoint.clone())
    }

    /// Returns the wait before the next call: doubled with each one, and jittered.
    fn backoff(&self, cx: &mut Turn<'_>, id: RequestId) -> Duration {
        let calls = self.flights.get(&id).map_or(1, |it| it.calls);
        let jitter = cx.ctx.rng.random_range(0.5..1.5);
        let doubled = cx.ctx.tuning.backoff * 2_u32.pow(calls.saturating_sub(1).min(6));
        doubled.mul_f64(jitter)
    }
}

fn log_eject(cx: &mut Turn<'_>, endpoint: &str, reason: &str) {
    cx.out.push(Effect::Count { metric: Metric::EndpointsEjected, by: 1 });
    let decision = Decision::new(DecisionKind::Eject, reason, cx.ctx.revision());
    cx.out.push(Effect::Log(decision.with_endpoint(endpoint)));
}
