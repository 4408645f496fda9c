//! Dispatch of stage calls: queueing, endpoint choice, hedges and retries.

use std::time::Duration;

use ferry_model::{AttemptId, EndpointId, FailureReason, Moment, PoolId, RequestId, StageKind};

use crate::admit::QueuedRequest;
use crate::pass::Pass;
use crate::request::Requests;
use crate::request::state::{Attempt, NextCall, Phase, RequestState};
use crate::route::{self, Choice, Pick, Query};
use crate::{Connection, Decision, DecisionKind, Effect, Metric, StageCall};

/// Multiple of the slow first-response time after which a connection without data counts as silent.
const SILENCE_FACTOR: u32 = 4;
/// Quantile of the first-response time that is considered slow.
const SLOW_QUANTILE: f64 = 0.99;

/// Result of trying to start a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartResult {
    Started,
    /// Every eligible endpoint is full; the request keeps waiting.
    Full,
    /// The request has ended without a call.
    Ended,
}

impl Requests {
    /// Queues the current stage; the call starts immediately if no request is ahead of it and an
    /// endpoint is free.
    pub(super) fn enqueue(&mut self, cx: &mut Pass<'_>, id: RequestId) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        request.phase = Phase::Queued;
        let pool = request.current().pool.clone();
        let waiting = QueuedRequest {
            request: id,
            priority: request.pipeline.priority,
            workspace: request.workspace.clone(),
            weight: cx.ctx.workspaces.get(&request.workspace).map_or(1, |it| it.weight.max(1)),
            deadline: request.deadline,
        };
        let state = self.pools.get_mut(&pool);
        let is_managed = cx.ctx.tuning.policy.is_managed();
        if !is_managed {
            self.start_call(cx, id, None);
            return;
        }
        if cx.ctx.tuning.max_queue <= state.queue.len() {
            let last = state.queue.last();
            let is_worse = |it: &&QueuedRequest| {
                (waiting.priority, waiting.deadline) < (it.priority, it.deadline)
            };
            match last.filter(is_worse).map(|it| it.request) {
                Some(last) => self.give_up(cx, last, FailureReason::QueueFull),
                None => {
                    self.give_up(cx, id, FailureReason::QueueFull);
                    return;
                }
            }
        }
        self.pools.get_mut(&pool).queue.push(waiting);
        self.dispatch_queued(cx, &pool, None);
        self.set_timer(id);
    }

    /// Starts waiting requests of a pool while an endpoint is free; `hint` has just become free.
    pub(super) fn dispatch_queued(
        &mut self,
        cx: &mut Pass<'_>,
        pool: &PoolId,
        hint: Option<&EndpointId>,
    ) {
        loop {
            let Some(state) = self.pools.get(pool) else { return };
            let Some(first) = state.queue.first().map(|it| it.request) else { return };
            match self.start_call(cx, first, hint) {
                StartResult::Started => self.pools.get_mut(pool).queue.start(first),
                StartResult::Ended => self.pools.get_mut(pool).queue.remove(first),
                StartResult::Full => return,
            }
        }
    }

    fn start_call(
        &mut self,
        cx: &mut Pass<'_>,
        id: RequestId,
        hint: Option<&EndpointId>,
    ) -> StartResult {
        let Some(request) = self.in_flight.get_mut(&id) else { return StartResult::Ended };
        let left = request.deadline.saturating_sub(cx.now);
        let remaining = self.pools.remaining_service(&request.pipeline, request.stage);
        if cx.ctx.tuning.policy.is_managed() && left < remaining {
            self.give_up(cx, id, FailureReason::DeadlinePassed);
            return StartResult::Ended;
        }
        if let Some(next) = request.next_call.take()
            && let Some(view) = cx.ctx.fleet.get(&next.endpoint)
            && view.accepts_work()
        {
            let choice = Choice {
                endpoint: next.endpoint,
                address: view.endpoint.address,
                considered: 1,
                score: 0,
                is_silent: next.connection == Connection::Fresh,
            };
            self.send_call(cx, id, &choice, false);
            return StartResult::Started;
        }
        match self.choose_endpoint(cx, id, hint) {
            Pick::Chosen(choice) => {
                self.send_call(cx, id, &choice, false);
                StartResult::Started
            }
            Pick::Full => StartResult::Full,
            Pick::NoEndpoint => {
                self.give_up(cx, id, FailureReason::NoEndpoint);
                StartResult::Ended
            }
        }
    }

    fn choose_endpoint(
        &mut self,
        cx: &mut Pass<'_>,
        id: RequestId,
        hint: Option<&EndpointId>,
    ) -> Pick {
        let Some(request) = self.in_flight.get_mut(&id) else { return Pick::NoEndpoint };
        let median = self.pools.median_service(&request.current().pool);
        let query = Query {
            stage: &request.pipeline.stages[request.stage],
            input: &request.input,
            tried: &request.tried,
            median,
            hint: hint.map(String::as_str),
            is_resumed: 0 < request.tokens,
        };
        let picked = route::choose(cx.now, cx.ctx, &mut self.round_robin, query);
        if picked != Pick::NoEndpoint || request.tried.is_empty() {
            return picked;
        }
        // Every eligible endpoint was tried, so the next call may go to one that failed before.
        request.tried.clear();
        let query = Query { tried: &[], ..query_of(request, median, hint) };
        route::choose(cx.now, cx.ctx, &mut self.round_robin, query)
    }

    fn send_call(&mut self, cx: &mut Pass<'_>, id: RequestId, choice: &Choice, is_hedge: bool) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        self.n_attempts += 1;
        let attempt = self.n_attempts;
        let stage = request.current().clone();
        let state = self.pools.get_mut(&stage.pool);
        state.running += 1;
        if request.calls == 0 {
            state.retry_budget.earn(cx.ctx.tuning.retry_share);
            state.hedge_budget.earn(cx.ctx.tuning.hedge_share);
        }
        let slowest =
            state.first_response.quantile(SLOW_QUANTILE).unwrap_or_default() * SILENCE_FACTOR;
        let silence_timeout = slowest.max(cx.ctx.tuning.stall_timeout);
        let hedge = state.first_response.quantile(cx.ctx.tuning.hedge_quantile);
        let may_hedge = cx.ctx.tuning.policy.is_managed() && stage.repeatable && !is_hedge;
        let connection = match stage.repeatable && !choice.is_silent {
            true => Connection::Pooled,
            false => Connection::Fresh,
        };
        let budget = request.deadline.saturating_sub(cx.now);
        log_route(cx, request, choice, budget);
        cx.effects.push(Effect::Count { metric: Metric::CallsSent, by: 1 });
        cx.effects.push(Effect::Call(Box::new(StageCall {
            attempt,
            request: id,
            stage: stage.name.clone(),
            kind: stage.kind,
            endpoint: choice.endpoint.clone(),
            address: choice.address,
            key: request.key.clone(),
            input: request.input.clone(),
            model: stage.model.clone(),
            max_tokens: stage.max_tokens,
            offset: request.tokens,
            emitted: request.emitted.clone(),
            priority: request.pipeline.priority,
            budget,
            repeatable: stage.repeatable,
            connection,
        })));
        cx.ctx.fleet.call_started(&choice.endpoint);
        // A new connection to the same endpoint is not counted as a call: it only shows whether the
        // connection or the endpoint failed.
        let is_same = request.tried.last() == Some(&choice.endpoint);
        request.tried.push(choice.endpoint.clone());
        request.calls += u32::from(!is_same);
        request.phase = Phase::Running;
        request.attempts.push(Attempt {
            id: attempt,
            endpoint: choice.endpoint.clone(),
            started: cx.now,
            received_at: cx.now,
            silence_timeout: stage.repeatable.then_some(silence_timeout),
            hedge_at: hedge.filter(|_| may_hedge && request.tokens == 0).map(|it| cx.now + it),
            connection,
            accepted: false,
            is_hedge,
            offset: request.tokens,
        });
        self.attempts.insert(attempt, id);
        self.set_timer(id);
    }

    /// Hedges a slow call with a second one, if the pool is not overloaded and has hedge budget.
    pub(super) fn hedge(&mut self, cx: &mut Pass<'_>, id: RequestId, attempt: AttemptId) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let pool = request.current().pool.clone();
        let Some(slow) = request.attempt_mut(attempt) else { return };
        slow.hedge_at = None;
        let (endpoint, running) = (slow.endpoint.clone(), cx.now.saturating_sub(slow.started));
        let state = self.pools.get_mut(&pool);
        cx.ctx.fleet.record_slow_call(cx.now, &endpoint, state.scaled_service(running));
        let is_overloaded = !state.queue.is_empty();
        if is_overloaded || 0 < request.tokens || !state.hedge_budget.spend() {
            return;
        }
        let Pick::Chosen(choice) = self.choose_endpoint(cx, id, None) else { return };
        if choice.endpoint == endpoint {
            return;
        }
        let Some(request) = self.in_flight.get(&id) else { return };
        let decision = Decision::new(DecisionKind::Hedge, "slow first response", request.revision);
        cx.effects.push(Effect::Log(decision.with_request(id).with_endpoint(&choice.endpoint)));
        cx.effects.push(Effect::Count { metric: Metric::CallsHedged, by: 1 });
        self.send_call(cx, id, &choice, true);
    }

    /// Retries a stage that is safe to call again, within the limits on attempts and retries.
    pub(super) fn retry(
        &mut self,
        cx: &mut Pass<'_>,
        id: RequestId,
        error: &str,
        wait: Duration,
        next: Option<NextCall>,
    ) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        if !request.attempts.is_empty() {
            // Another call of the stage is still in flight.
            return;
        }
        let pool = request.current().pool.clone();
        let has_calls = request.calls < cx.ctx.tuning.max_attempts;
        if !has_calls || !self.pools.get_mut(&pool).retry_budget.spend() {
            self.give_up(cx, id, FailureReason::RetriesSpent);
            return;
        }
        let kind = if next.is_some() { DecisionKind::Resume } else { DecisionKind::Retry };
        let decision =
            Decision::new(kind, error, request.revision).with_stage(request.stage_name());
        cx.effects.push(Effect::Log(decision.with_request(id)));
        cx.effects.push(Effect::Count { metric: Metric::CallsRetried, by: 1 });
        request.next_call = next;
        if wait == Duration::ZERO {
            self.enqueue(cx, id);
            return;
        }
        request.phase = Phase::Backoff(cx.now + wait);
        self.set_timer(id);
    }

    /// Handles the timer of a request.
    pub(super) fn on_timer(&mut self, cx: &mut Pass<'_>, id: RequestId) {
        let Some(request) = self.in_flight.get(&id) else { return };
        if request.deadline <= cx.now {
            self.give_up(cx, id, FailureReason::DeadlinePassed);
            return;
        }
        let is_late = request.deadline.saturating_sub(cx.now)
            <= self.pools.remaining_service(&request.pipeline, request.stage);
        match request.phase.clone() {
            Phase::Claiming if is_late => self.give_up(cx, id, FailureReason::StoreUnavailable),
            Phase::Queued if is_late => self.give_up(cx, id, FailureReason::DeadlinePassed),
            Phase::Claiming | Phase::Queued => (),
            Phase::AwaitingHolder { until, .. } if until <= cx.now => {
                self.end_in_doubt(cx, id, FailureReason::HolderGone);
            }
            Phase::AwaitingHolder { ask_at, .. } if ask_at <= cx.now => self.ask_holder(cx, id),
            Phase::AwaitingHolder { .. } => (),
            Phase::Backoff(_) if is_late => self.give_up(cx, id, FailureReason::DeadlinePassed),
            Phase::Backoff(until) if until <= cx.now => self.enqueue(cx, id),
            Phase::Backoff(_) => (),
            Phase::Running => self.check_attempts(cx, id),
        }
        self.set_timer(id);
    }

    fn check_attempts(&mut self, cx: &mut Pass<'_>, id: RequestId) {
        let Some(request) = self.in_flight.get(&id) else { return };
        let due: Vec<(AttemptId, bool, Option<Moment>)> =
            request.attempts.iter().map(|it| (it.id, it.is_silent(cx.now), it.hedge_at)).collect();
        for (attempt, is_silent, hedge_at) in due {
            if is_silent {
                self.on_silent(cx, id, attempt);
            } else if hedge_at.is_some_and(|it| it <= cx.now) {
                self.hedge(cx, id, attempt);
            }
        }
    }
}

fn query_of<'a>(
    request: &'a RequestState,
    median: Duration,
    hint: Option<&'a EndpointId>,
) -> Query<'a> {
    Query {
        stage: request.current(),
        input: &request.input,
        tried: &request.tried,
        median,
        hint: hint.map(String::as_str),
        is_resumed: 0 < request.tokens,
    }
}

fn log_route(cx: &mut Pass<'_>, request: &RequestState, choice: &Choice, budget: Duration) {
    let reason = match (cx.ctx.tuning.policy.is_managed(), request.current().kind) {
        (true, StageKind::Generate) => "lowest score with prefix credit",
        (true, _) => "lowest score",
        (false, _) => "simple policy",
    };
    cx.effects.push(Effect::Log(
        Decision::new(DecisionKind::Route, reason, request.revision)
            .with_request(request.id)
            .with_stage(request.stage_name())
            .with_endpoint(&choice.endpoint)
            .with_score(choice.considered, choice.score)
            .with_budget(budget),
    ));
}
