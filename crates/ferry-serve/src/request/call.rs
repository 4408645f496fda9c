//! The call of a request to an endpoint: where it goes, and what its outcome means.

use std::time::Duration;

use ferry_model::{RouteKind, ZoneId};

use super::end::Comeback;
use super::flight::{Calling, Flight, Phase, StageState};
use super::{end, stages};
use crate::batch::Batcher;
use crate::choose::{Requirements, chain, choose_endpoint, likely_read};
use crate::pass::Pass;
use crate::{
    Call, CallEvent, Choice, Decision, DecisionKind, Effect, LoadReport, Metric, NotRunReason,
    Observation, Status,
};

/// Refusals of endpoints after which a request is given up.
const MAX_REFUSALS: u32 = 4;
/// Urgency of priority zero, and what each further priority adds.
const FIRST_URGENCY: u8 = 2;
const URGENCY_STEP: u8 = 2;
const LAST_URGENCY: u8 = 9;
const MEGABYTE: f64 = 1e6;

/// Sends a request whose stages are done; returns whether it has ended instead.
pub fn start(cx: &mut Pass<'_>, batcher: &mut Batcher, flight: &mut Flight) -> bool {
    let Some(choice) = pick(cx, flight) else {
        end::give_up(cx, batcher, flight, Comeback::Soon, "no endpoint is left for it");
        return true;
    };
    let call = cx.next_call();
    let tokens = chain(&flight.head.prompt);
    if let Some(view) = cx.ctx.endpoints.get_mut(&choice.endpoint) {
        view.outstanding += 1;
        view.record_prompt(cx.now, &tokens);
    }
    cx.count(Metric::CallsSent);
    let time_left = flight.deadline.saturating_sub(cx.now);
    cx.log(
        Decision::new(DecisionKind::Route, flight.route.name.clone())
            .with_attempt(&flight.head.attempt)
            .with_pool(&flight.pool)
            .with_endpoint(&choice.endpoint)
            .with_score(choice.considered, choice.cost.as_micros() as u64)
            .with_budget(time_left),
    );
    flight.tried.push(choice.endpoint.clone());
    flight.phase = Phase::Calling(Calling {
        call,
        endpoint: choice.endpoint.clone(),
        sent: cx.now,
        last_heard: cx.now,
        expected: choice.expected,
        is_begun: false,
        fetched_at: (!flight.route.stages.is_empty()).then(|| cx.now + cx.ctx.tuning.fetch_time),
    });
    cx.effects.push(Effect::Call(Box::new(Call {
        call,
        ticket: flight.ticket,
        endpoint: choice.endpoint,
        address: choice.address,
        workspace: flight.workspace.clone(),
        time_left,
        urgency: urgency(flight),
        inputs: (!flight.route.stages.is_empty()).then(|| stages::inputs(flight)),
        resume: flight.last_event,
        is_stream: flight.route.kind == RouteKind::Stream,
    })));
    false
}

/// Takes an event of the call in progress; returns whether the request has ended.
pub fn on_event(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    flight: &mut Flight,
    event: CallEvent,
) -> bool {
    let Phase::Calling(calling) = flight.phase.clone() else { return false };
    match event {
        CallEvent::Unsent { error } => {
            leave(cx, flight, &calling);
            note_failure(cx, &calling);
            again(cx, batcher, flight, &format!("could not connect: {error}"))
        }
        CallEvent::NotRun { reason, load } => {
            leave(cx, flight, &calling);
            if let Some(view) = cx.ctx.endpoints.get_mut(&calling.endpoint) {
                view.record_load(cx.now, load);
            }
            on_refusal(cx, batcher, flight, &calling, reason)
        }
        CallEvent::Began { load } => {
            on_began(cx, batcher, flight, &calling, load);
            false
        }
        CallEvent::Progress { last_event } => {
            flight.last_event = last_event.or(flight.last_event);
            if let Phase::Calling(calling) = &mut flight.phase {
                calling.last_heard = cx.now;
            }
            false
        }
        CallEvent::Ended => {
            leave(cx, flight, &calling);
            cx.effects.push(Effect::Finish { ticket: flight.ticket });
            end::complete(cx, batcher, flight, &calling.endpoint);
            true
        }
        CallEvent::Answer { is_error, load } => {
            on_answer(cx, batcher, flight, &calling, is_error, load)
        }
        CallEvent::Broken { error } => {
            leave(cx, flight, &calling);
            note_failure(cx, &calling);
            flight.n_runs += 1;
            repeat(cx, batcher, flight, &format!("no whole answer: {error}"))
        }
    }
}

/// Leaves an endpoint that has been silent for too long; returns whether the request has ended.
pub fn on_silence(cx: &mut Pass<'_>, batcher: &mut Batcher, flight: &mut Flight) -> bool {
    let Phase::Calling(calling) = flight.phase.clone() else { return false };
    leave(cx, flight, &calling);
    note_failure(cx, &calling);
    flight.n_runs += 1;
    cx.effects.push(Effect::Cancel { call: calling.call });
    repeat(cx, batcher, flight, "endpoint is silent")
}

/// Gives up the results that the endpoint has fetched by now.
pub fn on_fetched(cx: &mut Pass<'_>, batcher: &mut Batcher, flight: &mut Flight) {
    if let Phase::Calling(calling) = &mut flight.phase {
        calling.fetched_at = None;
    }
    release_results(cx, batcher, flight);
}

/// Takes the call out of the endpoint's count.
pub fn leave(cx: &mut Pass<'_>, flight: &mut Flight, calling: &Calling) {
    if let Some(view) = cx.ctx.endpoints.get_mut(&calling.endpoint) {
        view.outstanding = view.outstanding.saturating_sub(1);
    }
    flight.phase = Phase::Staging;
}

/// Returns the zone of the endpoint that would get the request now.
pub fn home_zone(cx: &Pass<'_>, flight: &Flight) -> Option<ZoneId> {
    let choice = pick(cx, flight)?;
    cx.ctx.endpoints.get(&choice.endpoint).map(|it| it.endpoint.zone.clone())
}

/// Returns the time until the first event once the stages are done, with a prompt partly cached.
pub fn engine_time(cx: &Pass<'_>, flight: &Flight) -> Duration {
    let tuning = &cx.ctx.tuning;
    tuning.first_token
        + Duration::from_secs_f64(likely_read(&flight.head.prompt) / tuning.tokens_per_ms / 1e3)
}

fn pick(cx: &Pass<'_>, flight: &Flight) -> Option<Choice> {
    let kind = cx.ctx.catalog.pool(&flight.pool)?;
    let mut results: Vec<(ZoneId, f64)> = Vec::new();
    for (idx, stage) in flight.route.stages.iter().enumerate() {
        let StageState::Done { handles, .. } = &flight.stages[idx] else { continue };
        for handle in handles {
            let Some(zone) = cx.ctx.endpoints.zone_at(handle.address) else { continue };
            results.push((zone.clone(), stage.result_bytes as f64 / MEGABYTE));
        }
    }
    let need = Requirements {
        pool: &flight.pool,
        kind,
        prompt: &flight.head.prompt,
        results: &results,
        salt: &flight.head.attempt,
        tried: &flight.tried,
        slack: flight.objective().saturating_sub(cx.now),
        zone: &cx.ctx.identity.zone,
    };
    choose_endpoint(cx.now, &cx.ctx.endpoints, &cx.ctx.tuning, need)
}

fn urgency(flight: &Flight) -> u8 {
    let rank = FIRST_URGENCY.saturating_add(flight.priority.saturating_mul(URGENCY_STEP));
    rank.min(LAST_URGENCY)
}

fn note_failure(cx: &mut Pass<'_>, calling: &Calling) {
    let Some(view) = cx.ctx.endpoints.get_mut(&calling.endpoint) else { return };
    view.record_failure(cx.now, &cx.ctx.tuning);
    observe(cx, calling, None, None);
    cx.count(Metric::EndpointsEjected);
    cx.log(Decision::new(DecisionKind::Eject, "call failed").with_endpoint(&calling.endpoint));
}

/// Notes how a call went, for peers.
fn observe(cx: &mut Pass<'_>, calling: &Calling, load: Option<LoadReport>, ratio: Option<f64>) {
    let endpoint = calling.endpoint.clone();
    cx.ctx.observations.record(cx.now, Observation { endpoint, load, ratio });
}

fn on_began(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    flight: &mut Flight,
    calling: &Calling,
    load: Option<LoadReport>,
) {
    let took = cx.now.saturating_sub(calling.sent).as_secs_f64();
    if let Some(view) = cx.ctx.endpoints.get_mut(&calling.endpoint) {
        let ratio = took / calling.expected.as_secs_f64().max(1e-3);
        view.record_load(cx.now, load);
        view.record_success(ratio);
        observe(cx, calling, load, Some(ratio));
    }
    cx.effects.push(Effect::Relay { call: calling.call, ticket: flight.ticket });
    release_results(cx, batcher, flight);
    flight.is_begun = true;
    if let Phase::Calling(calling) = &mut flight.phase {
        calling.last_heard = cx.now;
        calling.is_begun = true;
    }
}

fn on_answer(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    flight: &mut Flight,
    calling: &Calling,
    is_error: bool,
    load: Option<LoadReport>,
) -> bool {
    leave(cx, flight, calling);
    flight.n_runs += 1;
    let took = cx.now.saturating_sub(calling.sent).as_secs_f64();
    if let Some(view) = cx.ctx.endpoints.get_mut(&calling.endpoint) {
        view.record_load(cx.now, load);
        match is_error {
            true => view.record_error(),
            false => view.record_success(took / calling.expected.as_secs_f64().max(1e-3)),
        }
    }
    if is_error && flight.route.is_repeatable() && flight.may_run_again() && has_time(cx, flight) {
        let pool = flight.pool.clone();
        if pick(cx, flight).is_some() && cx.try_spend(&pool) {
            cx.count(Metric::CallsRepeated);
            log_retry(cx, flight, "endpoint answered with an error");
            return false;
        }
    }
    cx.effects.push(Effect::Relay { call: calling.call, ticket: flight.ticket });
    end::complete(cx, batcher, flight, &calling.endpoint);
    true
}

/// Decides on a request that an endpoint did not run.
fn on_refusal(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    flight: &mut Flight,
    calling: &Calling,
    reason: NotRunReason,
) -> bool {
    flight.n_refusals += 1;
    match reason {
        NotRunReason::Full => {
            let pause = cx.now + cx.ctx.tuning.base_ejection / 2;
            if let Some(view) = cx.ctx.endpoints.get_mut(&calling.endpoint) {
                view.pause_until(pause);
            }
        }
        NotRunReason::Moved => {
            let pause = cx.now + cx.ctx.tuning.max_ejection;
            if let Some(view) = cx.ctx.endpoints.get_mut(&calling.endpoint) {
                view.pause_until(pause);
            }
        }
        NotRunReason::InputsGone => {
            if flight.n_redone < stages::MAX_REDONE {
                flight.tried.pop();
                redo_all(cx, batcher, flight);
                return false;
            }
        }
        NotRunReason::Malformed => {
            end::give_up(cx, batcher, flight, Comeback::Soon, "endpoint takes it for malformed");
            return true;
        }
    }
    let pool = flight.pool.clone();
    if MAX_REFUSALS <= flight.n_refusals || !has_time(cx, flight) || !cx.try_spend(&pool) {
        end::give_up(cx, batcher, flight, Comeback::Soon, "endpoints refuse it");
        return true;
    }
    cx.count(Metric::CallsRepeated);
    redo_released(cx, batcher, flight);
    log_retry(cx, flight, reason.into());
    false
}

/// Sends a request elsewhere that no endpoint has seen; returns whether it has ended.
fn again(cx: &mut Pass<'_>, batcher: &mut Batcher, flight: &mut Flight, reason: &str) -> bool {
    if !has_time(cx, flight) {
        end::give_up(cx, batcher, flight, Comeback::Soon, "no time is left");
        return true;
    }
    redo_released(cx, batcher, flight);
    log_retry(cx, flight, reason);
    false
}

/// Runs a request again that may have run, if that is allowed; returns whether it has ended.
fn repeat(cx: &mut Pass<'_>, batcher: &mut Batcher, flight: &mut Flight, reason: &str) -> bool {
    let pool = flight.pool.clone();
    let may = flight.route.is_repeatable() && flight.may_run_again() && has_time(cx, flight);
    if !may || !cx.try_spend(&pool) {
        end::fail(cx, batcher, flight, reason);
        return true;
    }
    cx.count(Metric::CallsRepeated);
    if flight.is_begun {
        cx.count(Metric::StreamsResumed);
    }
    redo_released(cx, batcher, flight);
    log_retry(cx, flight, reason);
    false
}

fn redo_all(cx: &mut Pass<'_>, batcher: &mut Batcher, flight: &mut Flight) {
    for idx in 0..flight.stages.len() {
        if matches!(flight.stages[idx], StageState::Done { .. }) {
            stages::redo(cx, batcher, flight, idx, "results are needed once more");
        }
    }
}

/// Makes stages start over if results that an endpoint reads were given up.
fn redo_released(cx: &mut Pass<'_>, batcher: &mut Batcher, flight: &mut Flight) {
    let is_released = |idx: &usize| match &flight.stages[*idx] {
        StageState::Done { handles, is_held, .. } => !handles.is_empty() && !is_held,
        StageState::Waiting | StageState::Submitted(_) => false,
    };
    if stages::last_stages(flight).any(|it| is_released(&it)) {
        redo_all(cx, batcher, flight);
    }
}

fn release_results(cx: &mut Pass<'_>, batcher: &mut Batcher, flight: &mut Flight) {
    for idx in 0..flight.stages.len() {
        stages::release(cx, batcher, flight, idx);
    }
}

/// Whether another call could still end in time.
fn has_time(cx: &Pass<'_>, flight: &Flight) -> bool {
    cx.now + cx.ctx.tuning.first_token < flight.deadline
}

fn log_retry(cx: &mut Pass<'_>, flight: &Flight, reason: &str) {
    cx.log(
        Decision::new(DecisionKind::Retry, reason)
            .with_attempt(&flight.head.attempt)
            .with_pool(&flight.pool)
            .with_budget(flight.deadline.saturating_sub(cx.now)),
    );
}

/// Status of a request that ends without an answer of an endpoint.
pub fn final_status(flight: &Flight) -> Status {
    match flight.n_runs {
        0 => Status::NotRun,
        _ => Status::InDoubt,
    }
}
