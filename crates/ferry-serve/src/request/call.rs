//! The call of a request to an endpoint: where it goes, and what its outcome means.

use std::time::Duration;

use ferry_model::{BuildId, Moment, PoolKind, RouteKind, ZoneId};

use super::active::{ActiveCall, ActiveRequest, Phase, StageState};
use super::permit::{self, Gate};
use super::{answer, crash, end, origin, pause, reach, relay, retry, schedule, silent, stages};
use crate::batch::Batcher;
use crate::choose::{Requirements, choose_endpoint, likely_prefill, prefixes};
use crate::pass::Pass;
use crate::{
    Call, CallEvent, CallId, Choice, Decision, DecisionKind, Effect, LoadReport, Metric,
    Observation, PromptTokens, ScheduleProgress, StreamEnd,
};

/// Urgency of priority zero, and the increase with each further priority.
const FIRST_URGENCY: u8 = 2;
const URGENCY_STEP: u8 = 2;
const LAST_URGENCY: u8 = 9;
const MEGABYTE: f64 = 1e6;
/// Multiple of the time to read the whole prompt after which an endpoint is silent.
const PATIENCE_FACTOR: u32 = 4;

/// Sends a request to an endpoint once that takes it, or to another one that does; returns whether
/// it has ended instead, as none is left for it.
pub fn start(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    choice: Option<Choice>,
) -> bool {
    if let Some(found) = end::quarantined(cx, request) {
        end::end_quarantined(cx, batcher, request, &found);
        return true;
    }
    if relay::is_needed(cx, request) && relay::start(cx, batcher, request) {
        return false;
    }
    if relay::is_foreign(request) {
        return end::fail(cx, batcher, request, "no peer goes on with a stream that a peer began");
    }
    let mut next = choice;
    while let Some(choice) = next.filter(|_| !permit::is_hopeless(request)) {
        match permit::request(cx, request, &choice) {
            Gate::Open => return send(cx, batcher, request, choice),
            Gate::Waits => return false,
            Gate::Closed => next = pick(cx, request),
        }
    }
    let (hint, reason) = permit::retry_hint(cx, request);
    end::give_up(cx, batcher, request, hint, reason)
}

/// Sends a request to an endpoint that takes it; returns whether it has ended instead, as it would
/// be a retry for which nothing is left of the budget.
pub fn send(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    choice: Choice,
) -> bool {
    let is_retry = request.has_arrived();
    if is_retry && !retry::reserve(cx, request) {
        let reason = "nothing is left of the retry budget";
        let hint = pause::hint(cx, request);
        return end::give_up(cx, batcher, request, hint, reason);
    }
    request.has_retry = false;
    let call = cx.next_call();
    let tokens = prefixes(&request.head.prompt);
    let (mut build, mut started) = (BuildId::new(), 0);
    if let Some(view) = cx.ctx.endpoints.get_mut(&choice.endpoint) {
        view.record_sent(cx.now);
        view.record_prompt(cx.now, &tokens);
        build = view.endpoint.build.clone();
        started = view.endpoint.started;
        if view.rate_limit().is_some() {
            cx.count(Metric::LimitedCalls);
        }
    }
    cx.count(Metric::CallsSent);
    let time_left = request.deadline.saturating_sub(cx.now);
    cx.log(
        Decision::new(DecisionKind::Route, choice.chooser.to_string())
            .with_attempt(&request.head.attempt)
            .with_route(&request.route.name)
            .with_pool(&request.pool)
            .with_times(cx.now - request.arrived, choice.expected)
            .with_prompt(choice.prompt)
            .with_endpoint(&choice.endpoint)
            .with_build(Some(&build))
            .with_score(choice.considered, choice.cost.as_micros() as u64)
            .with_budget(time_left),
    );
    // Results are kept until the endpoint is heard where a connection may not be opened.
    let has_inputs = !request.route.stages.is_empty() && !cx.ctx.reach.has_failed(&request.pool);
    request.tried.push(choice.endpoint.clone());
    request.phase = Phase::Calling(ActiveCall {
        call,
        endpoint: choice.endpoint.clone(),
        build,
        started,
        peer: None,
        n_tries: 1,
        is_retry,
        has_begun: false,
        sent_at: cx.now,
        last_heard: cx.now,
        checked_at: Moment::ZERO,
        expected: choice.expected,
        patience: whole_prefill(cx, request).max(choice.expected) * PATIENCE_FACTOR,
        is_streaming: false,
        is_relayed: false,
        is_blocked: false,
        fetched_at: has_inputs.then(|| cx.now + cx.ctx.tuning.fetch_time),
    });
    cx.effects.push(Effect::Call(Box::new(Call {
        call,
        ticket: request.ticket,
        endpoint: choice.endpoint,
        started,
        address: choice.address,
        relayed: None,
        workspace: request.workspace.clone(),
        time_left,
        urgency: urgency(request),
        inputs: (!request.route.stages.is_empty()).then(|| stages::inputs(request)),
        resume: request.last_event,
        is_stream: request.route.kind == RouteKind::Stream,
    })));
    false
}

/// Processes an event of a call in progress; returns whether the request has ended.
pub fn on_event(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    call: CallId,
    event: CallEvent,
) -> bool {
    if request.call() != Some(call) && !silent::on_event(cx, batcher, request, call, &event) {
        return false;
    }
    let Phase::Calling(current) = request.phase.clone() else { return false };
    crash::observe(cx, request, &current, &event);
    reach::observe(cx, request, &current, &event);
    match event {
        CallEvent::Unsent { error } => {
            request.has_retry = current.is_retry;
            leave_endpoint(cx, request, &ActiveCall { is_retry: false, ..current.clone() });
            record_failure(cx, &current);
            retry::resend(cx, batcher, request, &format!("could not connect: {error}"))
        }
        CallEvent::NotRun { reason, load } => {
            leave_endpoint(cx, request, &current);
            if let Some(view) = cx.ctx.endpoints.get_mut(&current.endpoint) {
                view.record_load(cx.now, load);
            }
            if current.peer.is_some() {
                let reason = "the peer that it was passed on to refuses it";
                return end::give_up(cx, batcher, request, end::RetryHint::Soon, reason);
            }
            retry::on_refusal(cx, batcher, request, &current, reason)
        }
        CallEvent::Began { load } => {
            answer::on_began(cx, batcher, request, &current, load);
            false
        }
        CallEvent::Progress { last_event } => {
            answer::relay_head(cx, batcher, request, &current);
            request.last_event = last_event.or(request.last_event);
            request.pauses.record(cx.now);
            if current.peer.is_none() {
                origin::on_event(cx, request, &current.build);
            }
            if let Phase::Calling(current) = &mut request.phase {
                current.last_heard = cx.now;
                current.is_blocked = false;
            }
            false
        }
        CallEvent::Blocked => {
            if let Phase::Calling(current) = &mut request.phase {
                current.is_blocked = true;
            }
            false
        }
        CallEvent::Ended(end) if !end.is_complete() => {
            let StreamEnd { framing, n_events, partial } = end;
            let error = format!(
                "the stream ended ({framing}) after {n_events} events and {partial} bytes of another"
            );
            on_broken(cx, batcher, request, &current, &error)
        }
        CallEvent::Ended(end) => {
            answer::relay_head(cx, batcher, request, &current);
            leave_endpoint(cx, request, &current);
            cx.effects.push(Effect::Finish { ticket: request.ticket });
            end::complete(cx, batcher, request, &current.endpoint, Some(end));
            true
        }
        CallEvent::Answer { kind, load } => {
            answer::on_answer(cx, batcher, request, &current, kind, load)
        }
        CallEvent::Broken { error } => on_broken(cx, batcher, request, &current, &error),
    }
}

/// Handles a run whose complete answer will not arrive; returns whether the request has ended.
fn on_broken(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    current: &ActiveCall,
    error: &str,
) -> bool {
    leave_endpoint(cx, request, current);
    record_failure(cx, current);
    request.n_runs += current.n_tries;
    retry::rerun(cx, batcher, request, &format!("no complete answer: {error}"))
}

/// Releases the results that the endpoint has fetched by now.
pub fn on_fetched(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest) {
    if let Phase::Calling(current) = &mut request.phase {
        current.fetched_at = None;
    }
    release_results(cx, batcher, request);
}

/// Removes a call that has ended from the endpoint's outstanding calls.
pub fn release_endpoint(cx: &mut Pass<'_>, request: &ActiveRequest, call: &ActiveCall) {
    if call.is_retry {
        cx.settle_retry(&request.pool);
    }
    if let Some(view) = cx.ctx.endpoints.get_mut(&call.endpoint) {
        view.outstanding = view.outstanding.saturating_sub(1);
    }
}

/// Ends the call in progress as far as its endpoint and its scheduler are concerned.
pub fn leave_endpoint(cx: &mut Pass<'_>, request: &mut ActiveRequest, current: &ActiveCall) {
    release_endpoint(cx, request, current);
    schedule::report(cx, request, ScheduleProgress::Ended);
    request.phase = Phase::RunningStages;
}

/// Returns the zone of the endpoint that the request is likely to go to.
pub fn likely_zone(cx: &Pass<'_>, request: &ActiveRequest) -> Option<ZoneId> {
    if request.engine_zone.is_some() {
        return request.engine_zone.clone();
    }
    let choice = pick(cx, request)?;
    cx.ctx.endpoints.get(&choice.endpoint).map(|it| it.endpoint.zone.clone())
}

/// Returns the time from the end of the stages to the first event if all shared parts are cached.
pub fn own_engine_time(cx: &Pass<'_>, request: &ActiveRequest) -> Duration {
    let tuning = &cx.ctx.tuning;
    let own = request.head.prompt.last().map_or(0.0, |it| f64::from(it.tokens));
    match request.own_pool().map(|it| &it.kind) {
        Some(PoolKind::Engine { .. }) => Duration::from_secs_f64(own / tuning.tokens_per_ms / 1e3),
        Some(PoolKind::Plain | PoolKind::Batch(_)) | None => Duration::ZERO,
    }
}

/// Returns the time from the end of the stages to the first event if nothing is cached.
fn whole_prefill(cx: &Pass<'_>, request: &ActiveRequest) -> Duration {
    let tuning = &cx.ctx.tuning;
    let tokens: f64 = request.head.prompt.iter().map(|it| f64::from(it.tokens)).sum();
    tuning.first_token + Duration::from_secs_f64(tokens / tuning.tokens_per_ms / 1e3)
}

/// Returns the time from the end of the stages to the first event, with a partly cached prompt.
pub fn engine_time(cx: &Pass<'_>, request: &ActiveRequest) -> Duration {
    let tuning = &cx.ctx.tuning;
    tuning.first_token
        + Duration::from_secs_f64(likely_prefill(&request.head.prompt) / tuning.tokens_per_ms / 1e3)
}

/// Returns the megabytes of results that the endpoint reads, by zone.
pub fn results(cx: &Pass<'_>, request: &ActiveRequest) -> Vec<(ZoneId, f64)> {
    let mut results: Vec<(ZoneId, f64)> = Vec::new();
    for (idx, stage) in request.route.stages.iter().enumerate() {
        let StageState::Done { handles, .. } = &request.stages[idx] else { continue };
        for handle in handles {
            let Some(zone) = cx.ctx.endpoints.zone_at(handle.address) else { continue };
            results.push((zone.clone(), stage.result_bytes as f64 / MEGABYTE));
        }
    }
    results
}

/// Returns the tokens of a request's prompt, of which the engine has not cached `uncached` shared
/// ones.
pub fn prompt_tokens(request: &ActiveRequest, uncached: u32) -> Option<PromptTokens> {
    let (own, shared) = request.head.prompt.split_last()?;
    let shared = shared.iter().map(|it| it.tokens).sum();
    Some(PromptTokens { own: own.tokens, shared, uncached })
}

/// Returns the endpoint that costs least as far as this instance knows.
pub fn pick(cx: &Pass<'_>, request: &ActiveRequest) -> Option<Choice> {
    let kind = request.own_pool()?;
    let results = results(cx, request);
    let need = Requirements {
        pool: &request.pool,
        kind,
        prompt: &request.head.prompt,
        results: &results,
        salt: &request.head.attempt,
        tried: &request.tried,
        build: request.needed_build(),
        slack: request.objective().saturating_sub(cx.now),
        max_wait: permit::patience(cx, request),
        zone: &cx.ctx.identity.zone,
    };
    choose_endpoint(cx.now, &cx.ctx.endpoints, &cx.ctx.tuning, need)
}

fn urgency(request: &ActiveRequest) -> u8 {
    let rank = FIRST_URGENCY.saturating_add(request.priority.saturating_mul(URGENCY_STEP));
    rank.min(LAST_URGENCY)
}

/// Records a call without an answer, here and for peers.
pub fn record_failure(cx: &mut Pass<'_>, current: &ActiveCall) {
    let Some(view) = cx.ctx.endpoints.get_mut(&current.endpoint) else { return };
    view.record_failure(cx.now, &cx.ctx.tuning);
    observe(cx, current, None, None);
    cx.count(Metric::EndpointsEjected);
    cx.log(Decision::new(DecisionKind::Eject, "call failed").with_endpoint(&current.endpoint));
}

/// Records the result of a call for peers.
pub fn observe(
    cx: &mut Pass<'_>,
    current: &ActiveCall,
    load: Option<LoadReport>,
    ratio: Option<f64>,
) {
    let endpoint = current.endpoint.clone();
    cx.ctx.observations.record(cx.now, Observation { endpoint, load, ratio });
}

/// Releases the results that the endpoint has read.
pub fn release_results(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest) {
    for idx in 0..request.stages.len() {
        stages::release(cx, batcher, request, idx);
    }
}
