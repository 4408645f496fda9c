//! The way of a stage from ready to called: queue, endpoint, budget.

use std::time::Duration;

use ferry_model::{AttemptId, EndpointId, FailureReason, Moment, PoolId, RequestId, StageKind};

use crate::admit::Waiting;
use crate::request::Requests;
use crate::request::flight::{Attempt, Flight, NextCall, Phase};
use crate::route::{self, Choice, Pick, Query};
use crate::turn::Turn;
use crate::{Connection, Decision, DecisionKind, Effect, Metric, StageCall};

/// Factor of the usual slowest first answer after which silence means a silent connection.
const PATIENCE: u32 = 4;
/// Quantile of the first answer taken for the usual slowest.
const SLOWEST: f64 = 0.99;

/// What became of an attempt to start a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Start {
    Started,
    /// Every endpoint that would do is full; the request goes on waiting.
    Full,
    /// The request was given up.
    Ended,
}

impl Requests {
    /// Makes a stage ready; it is called at once if an endpoint is free and nobody waits.
    pub(super) fn enqueue(&mut self, cx: &mut Turn<'_>, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.phase = Phase::Queued;
        let pool = flight.current().pool.clone();
        let waiting = Waiting {
            request: id,
            priority: flight.pipeline.priority,
            workspace: flight.workspace.clone(),
            weight: cx.ctx.workspaces.get(&flight.workspace).map_or(1, |it| it.weight.max(1)),
            deadline: flight.deadline,
        };
        let state = self.pools.get_mut(&pool);
        let is_managed = cx.ctx.tuning.policy.is_managed();
        if !is_managed {
            self.start_call(cx, id, None);
            return;
        }
        if cx.ctx.tuning.max_queue <= state.queue.len() {
            let last = state.queue.last();
            let is_worse =
                |it: &&Waiting| (waiting.priority, waiting.deadline) < (it.priority, it.deadline);
            match last.filter(is_worse).map(|it| it.request) {
                Some(last) => self.give_up(cx, last, FailureReason::QueueFull),
                None => {
                    self.give_up(cx, id, FailureReason::QueueFull);
                    return;
                }
            }
        }
        self.pools.get_mut(&pool).queue.push(waiting);
        self.drain(cx, &pool, None);
        self.set_timer(id);
    }

    /// Starts waiting requests of a pool while an endpoint is free; `hint` has just become so.
    pub(super) fn drain(&mut self, cx: &mut Turn<'_>, pool: &PoolId, hint: Option<&EndpointId>) {
        loop {
            let Some(state) = self.pools.get(pool) else { return };
            let Some(first) = state.queue.first().map(|it| it.request) else { return };
            match self.start_call(cx, first, hint) {
                Start::Started => self.pools.get_mut(pool).queue.start(first),
                Start::Ended => self.pools.get_mut(pool).queue.remove(first),
                Start::Full => return,
            }
        }
    }

    fn start_call(&mut self, cx: &mut Turn<'_>, id: RequestId, hint: Option<&EndpointId>) -> Start {
        let Some(flight) = self.flights.get_mut(&id) else { return Start::Ended };
        let left = flight.deadline.saturating_sub(cx.now);
        let rest = self.pools.rest(&flight.pipeline, flight.stage);
        if cx.ctx.tuning.policy.is_managed() && left < rest {
            self.give_up(cx, id, FailureReason::DeadlinePassed);
            return Start::Ended;
        }
        if let Some(next) = flight.next_call.take()
            && let Some(view) = cx.ctx.fleet.get(&next.endpoint)
            && view.takes_work()
        {
            let choice = Choice {
                endpoint: next.endpoint,
                address: view.endpoint.address,
                considered: 1,
                score: 0,
                is_silent: next.connection == Connection::Fresh,
            };
            self.send_call(cx, id, &choice, false);
            return Start::Started;
        }
        match self.pick(cx, id, hint) {
            Pick::Chosen(choice) => {
                self.send_call(cx, id, &choice, false);
                Start::Started
            }
            Pick::Full => Start::Full,
            Pick::Nobody => {
                self.give_up(cx, id, FailureReason::NoEndpoint);
                Start::Ended
            }
        }
    }

    fn pick(&mut self, cx: &mut Turn<'_>, id: RequestId, hint: Option<&EndpointId>) -> Pick {
        let Some(flight) = self.flights.get_mut(&id) else { return Pick::Nobody };
        let usual = self.pools.median(&flight.current().pool);
        let query = Query {
            stage: &flight.pipeline.stages[flight.stage],
            input: &flight.input,
            tried: &flight.tried,
            usual,
            hint: hint.map(String::as_str),
            is_resumed: 0 < flight.tokens,
        };
        let picked = route::choose(cx.now, cx.ctx, &mut self.turns, query);
        if picked != Pick::Nobody || flight.tried.is_empty() {
            return picked;
        }
        // Every endpoint had its turn: the next call may go where one has failed before.
        flight.tried.clear();
        let query = Query { tried: &[], ..query_of(flight, usual, hint) };
        route::choose(cx.now, cx.ctx, &mut self.turns, query)
    }

    fn send_call(&mut self, cx: &mut Turn<'_>, id: RequestId, choice: &Choice, is_hedge: bool) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        self.n_attempts += 1;
        let attempt = self.n_attempts;
        let stage = flight.current().clone();
        let state = self.pools.get_mut(&stage.pool);
        state.running += 1;
        if flight.calls == 0 {
            state.retries.earn(cx.ctx.tuning.retry_share);
            state.hedges.earn(cx.ctx.tuning.hedge_share);
        }
        let slowest = state.first.quantile(SLOWEST).unwrap_or_default() * PATIENCE;
        let patience = slowest.max(cx.ctx.tuning.stall_timeout);
        let hedge = state.first.quantile(cx.ctx.tuning.hedge_quantile);
        let may_hedge = cx.ctx.tuning.policy.is_managed() && stage.repeatable && !is_hedge;
        let connection = match stage.repeatable && !choice.is_silent {
            true => Connection::Pooled,
            false => Connection::Fresh,
        };
        let budget = flight.deadline.saturating_sub(cx.now);
        log_route(cx, flight, choice, budget);
        cx.out.push(Effect::Count { metric: Metric::CallsSent, by: 1 });
        cx.out.push(Effect::Call(Box::new(StageCall {
            attempt,
            request: id,
            stage: stage.name.clone(),
            kind: stage.kind,
            endpoint: choice.endpoint.clone(),
            address: choice.address,
            key: flight.key.clone(),
            input: flight.input.clone(),
            model: stage.model.clone(),
            max_tokens: stage.max_tokens,
            offset: flight.tokens,
            emitted: flight.emitted.clone(),
            priority: flight.pipeline.priority,
            budget,
            repeatable: stage.repeatable,
            connection,
        })));
        cx.ctx.fleet.started(&choice.endpoint);
        // A new connection to the same endpoint only tells which of the two is at fault.
        let is_same = flight.tried.last() == Some(&choice.endpoint);
        flight.tried.push(choice.endpoint.clone());
        flight.calls += u32::from(!is_same);
        flight.phase = Phase::Running;
        flight.attempts.push(Attempt {
            id: attempt,
            endpoint: choice.endpoint.clone(),
            started: cx.now,
            heard: cx.now,
            patience: stage.repeatable.then_some(patience),
            hedge_at: hedge.filter(|_| may_hedge && flight.tokens == 0).map(|it| cx.now + it),
            connection,
            accepted: false,
            is_hedge,
            offset: flight.tokens,
        });
        self.attempts.insert(attempt, id);
        self.set_timer(id);
    }

    /// Makes a second call beside a slow one, if the pool has room and budget for it.
    pub(super) fn hedge(&mut self, cx: &mut Turn<'_>, id: RequestId, attempt: AttemptId) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        let pool = flight.current().pool.clone();
        let Some(slow) = flight.attempt_mut(attempt) else { return };
        slow.hedge_at = None;
        let (endpoint, running) = (slow.endpoint.clone(), cx.now.saturating_sub(slow.started));
        let state = self.pools.get_mut(&pool);
        cx.ctx.fleet.lags(cx.now, &endpoint, state.scaled(running));
        let is_overloaded = !state.queue.is_empty();
        if is_overloaded || 0 < flight.tokens || !state.hedges.spend() {
            return;
        }
        let Pick::Chosen(choice) = self.pick(cx, id, None) else { return };
        if choice.endpoint == endpoint {
            return;
        }
        let Some(flight) = self.flights.get(&id) else { return };
        let decision = Decision::new(DecisionKind::Hedge, "slow first answer", flight.revision);
        cx.out.push(Effect::Log(decision.with_request(id).with_endpoint(&choice.endpoint)));
        cx.out.push(Effect::Count { metric: Metric::CallsHedged, by: 1 });
        self.send_call(cx, id, &choice, true);
    }

    /// Repeats a stage whose call is known to do no harm twice, within the budgets.
    pub(super) fn retry(
        &mut self,
        cx: &mut Turn<'_>,
        id: RequestId,
        error: &str,
        wait: Duration,
        next: Option<NextCall>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        if !flight.attempts.is_empty() {
            // Another call of the stage is still out.
            return;
        }
        let pool = flight.current().pool.clone();
        let has_calls = flight.calls < cx.ctx.tuning.max_attempts;
        if !has_calls || !self.pools.get_mut(&pool).retries.spend() {
            self.give_up(cx, id, FailureReason::RetriesSpent);
            return;
        }
        let kind = if next.is_some() { DecisionKind::Resume } else { DecisionKind::Retry };
        let decision = Decision::new(kind, error, flight.revision).with_stage(flight.stage_name());
        cx.out.push(Effect::Log(decision.with_request(id)));
        cx.out.push(Effect::Count { metric: Metric::CallsRetried, by: 1 });
        flight.next_call = next;
        if wait == Duration::ZERO {
            self.enqueue(cx, id);
            return;
        }
        flight.phase = Phase::Backoff(cx.now + wait);
        self.set_timer(id);
    }

    /// Looks at a request whose timer is due.
    pub(super) fn on_timer(&mut self, cx: &mut Turn<'_>, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else { return };
        if flight.deadline <= cx.now {
            self.give_up(cx, id, FailureReason::DeadlinePassed);
            return;
        }
        let is_late = flight.deadline.saturating_sub(cx.now)
            <= self.pools.rest(&flight.pipeline, flight.stage);
        match flight.phase.clone() {
            Phase::Claiming if is_late => self.give_up(cx, id, FailureReason::StoreUnavailable),
            Phase::Queued if is_late => self.give_up(cx, id, FailureReason::DeadlinePassed),
            Phase::Claiming | Phase::Queued => (),
            Phase::Asking { until, .. } if until <= cx.now => {
                self.doubt(cx, id, FailureReason::HolderGone);
            }
            Phase::Asking { again, .. } if again <= cx.now => self.ask_holder(cx, id),
            Phase::Asking { .. } => (),
            Phase::Backoff(_) if is_late => self.give_up(cx, id, FailureReason::DeadlinePassed),
            Phase::Backoff(until) if until <= cx.now => self.enqueue(cx, id),
            Phase::Backoff(_) => (),
            Phase::Running => self.check_attempts(cx, id),
        }
        self.set_timer(id);
    }

    fn check_attempts(&mut self, cx: &mut Turn<'_>, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else { return };
        let due: Vec<(AttemptId, bool, Option<Moment>)> =
            flight.attempts.iter().map(|it| (it.id, it.is_silent(cx.now), it.hedge_at)).collect();
        for (attempt, is_silent, hedge_at) in due {
            if is_silent {
                self.on_silent(cx, id, attempt);
            } else if hedge_at.is_some_and(|it| it <= cx.now) {
                self.hedge(cx, id, attempt);
            }
        }
    }
}

fn query_of<'a>(flight: &'a Flight, usual: Duration, hint: Option<&'a EndpointId>) -> Query<'a> {
    Query {
        stage: flight.current(),
        input: &flight.input,
        tried: &flight.tried,
        usual,
        hint: hint.map(String::as_str),
        is_resumed: 0 < flight.tokens,
    }
}

fn log_route(cx: &mut Turn<'_>, flight: &Flight, choice: &Choice, budget: Duration) {
    let reason = match (cx.ctx.tuning.policy.is_managed(), flight.current().kind) {
        (true, StageKind::Generate) => "lowest score with prefix credit",
        (true, _) => "lowest score",
        (false, _) => "simple policy",
    };
    cx.out.push(Effect::Log(
        Decision::new(DecisionKind::Route, reason, flight.revision)
            .with_request(flight.id)
            .with_stage(flight.stage_name())
            .with_endpoint(&choice.endpoint)
            .with_score(choice.considered, choice.score)
            .with_budget(budget),
    ));
}
