//! Accepts or refuses a new request.

use std::time::Duration;

use ferry_model::{Moment, RouteKind};

use super::active::{ActiveRequest, EventPauses, Phase, StageState, StreamBuild};
use super::end::{self, RetryHint};
use super::graph::StageGraph;
use super::{call, origin, pause, permit, stages, times};
use crate::admission;
use crate::batch::Batcher;
use crate::catalog::{Rejection, ResolvedRequest};
use crate::notices;
use crate::pass::{Pass, RouteComparison};
use crate::{
    Arrival, Decision, DecisionKind, Effect, Mechanism, Metric, Refusal, Status, groups,
    workspace_digest,
};

/// Returns the request if it is accepted; otherwise it has been answered.
pub fn accept(cx: &mut Pass<'_>, batcher: &Batcher, arrival: Arrival) -> Option<ActiveRequest> {
    cx.count(Metric::RequestsArrived);
    if let Some(relayed) = &arrival.head.relayed {
        notices::on_notices(cx, &relayed.notices);
    }
    let resolved = match cx.ctx.catalog.resolve(&arrival.head) {
        Ok(resolved) => resolved,
        Err(rejection) => {
            reject(cx, &arrival, rejection);
            return None;
        }
    };
    let (now, tuning) = (cx.now, cx.ctx.tuning.clone());
    // The peer that passed a request on has counted it.
    if arrival.head.relayed.is_none() {
        cx.ctx.retry_budget(&resolved.pool).record_request(now, &tuning);
    }
    let mut comparison = cx.ctx.compare_to_route(&resolved.route, &arrival.head);
    // The caller of a continuation has its first event, so the time that this took delays it no longer.
    if !tuning.is_enabled(Mechanism::AttemptAges) || arrival.head.resumed.is_some() {
        comparison.elapsed = Duration::ZERO;
    }
    let mut request = new_request(cx.now, comparison, arrival, resolved);
    request.build = origin::known(cx, &request);
    if request.deadline <= cx.now {
        end::refuse(cx, &request, Status::NotRun, RetryHint::Soon, "no time is left");
        return None;
    }
    if request.route.kind == RouteKind::Stream {
        cx.ctx.collector.on_arrival(now, &request.pool, &request.head.prompt);
    }
    if let Some(found) = end::quarantined(cx, &request) {
        end::refuse_quarantined(cx, &request, &found);
        return None;
    }
    if let Some((hint, reason)) = refusal_reason(cx, batcher, &request) {
        if let RetryHint::After(_) = hint {
            cx.count(Metric::RequestsHeldBack);
        }
        end::refuse(cx, &request, Status::NotRun, hint, reason);
        return None;
    }
    cx.log(
        Decision::new(DecisionKind::Admit, "its route and key are known")
            .with_attempt(&request.head.attempt)
            .with_route(&request.route.name)
            .with_pool(&request.pool)
            .with_resumed(request.head.resumed.as_ref())
            .with_digest(request.digest)
            .with_times(comparison.elapsed, times::floor(cx, &request))
            .with_prompt(call::prompt_tokens(&request, 0))
            .with_slack(request.objective().saturating_sub(cx.now))
            .with_budget(request.deadline - cx.now),
    );
    Some(request)
}

fn reject(cx: &mut Pass<'_>, arrival: &Arrival, rejection: Rejection) {
    let (status, reason) = match rejection {
        Rejection::Unconfigured => (Status::NotRun, "no configuration is known yet"),
        Rejection::NoRoute => (Status::NoRoute, "no route matches"),
        Rejection::UnknownKey => (Status::UnknownKey, "the key is unknown"),
        Rejection::ItemCounts => {
            (Status::Malformed, "the numbers of items are not one for each stage of the route")
        }
    };
    cx.count(Metric::RequestsRefused);
    cx.log(Decision::new(DecisionKind::Refuse, reason).with_attempt(&arrival.head.attempt));
    let retry_after = (status == Status::NotRun).then_some(cx.ctx.tuning.retry_after);
    let refusal = Refusal { status, retry_after, reason };
    cx.effects.push(Effect::Refuse { ticket: arrival.ticket, refusal });
}

fn new_request(
    now: Moment,
    comparison: RouteComparison,
    arrival: Arrival,
    resolved: ResolvedRequest,
) -> ActiveRequest {
    let Arrival { ticket, digest, head } = arrival;
    let route = resolved.route;
    let time_left = head.time_left.unwrap_or(route.time_limit).min(route.time_limit);
    let (class, value) =
        admission::classify(&head.attempt, resolved.rank, resolved.n_ranks, comparison.value);
    let graph = StageGraph::new(&route.stages, &head.items);
    let stage = |idx: usize| match graph.has_items(idx) {
        true => StageState::Waiting,
        false => StageState::EMPTY,
    };
    ActiveRequest {
        ticket,
        digest: workspace_digest(resolved.workspace.as_deref(), digest),
        stages: (0..route.stages.len()).map(stage).collect(),
        graph,
        has_retry: false,
        was_relayed: false,
        restarts: vec![0; route.stages.len()],
        pool: resolved.pool,
        pools: resolved.pools,
        workspace: resolved.workspace,
        class,
        value,
        priority: resolved.priority,
        is_retry: Duration::ZERO < comparison.elapsed || head.resumed.is_some(),
        arrived: now.saturating_sub(comparison.elapsed),
        deadline: now + time_left,
        phase: Phase::RunningStages,
        silent: Vec::new(),
        held: None,
        engine_zone: None,
        scheduled_by: None,
        tried: Vec::new(),
        n_runs: 0,
        n_breaks: 0,
        n_refusals: 0,
        n_denials: 0,
        n_restarts: 0,
        began_at: None,
        pauses: EventPauses::default(),
        last_event: None,
        build: StreamBuild::Any,
        head,
        route,
    }
}

/// Returns why a request cannot be served in time, if that is already known.
fn refusal_reason(
    cx: &Pass<'_>,
    batcher: &Batcher,
    request: &ActiveRequest,
) -> Option<(RetryHint, &'static str)> {
    if cx.ctx.endpoints.pool(&request.pool).all(|it| !it.accepts_work()) {
        let is_evacuated = cx.ctx.endpoints.pool(&request.pool).any(|it| it.is_evacuated());
        let reason = match is_evacuated {
            true => "the zones of its endpoints are evacuated",
            false => "its pool has no endpoint",
        };
        return Some((RetryHint::Soon, reason));
    }
    if !origin::has_endpoint(cx, request) {
        return Some((RetryHint::Late, "no endpoint of its build is left"));
    }
    let path = times::min_path_time(request);
    if let Some(wait) = pause::wait(cx, request).filter(|it| path < *it) {
        return Some((RetryHint::AfterPause(wait), "its endpoints have asked for a pause"));
    }
    let permit_wait = permit::expected_wait(cx, request);
    if permit::patience(cx, request) < permit_wait {
        let reason = "its endpoints take no more requests in time";
        return Some((RetryHint::After(permit_wait), reason));
    }
    let (mut wait, mut pause) = (Duration::ZERO, Duration::ZERO);
    for (idx, stage) in request.route.stages.iter().enumerate() {
        if request.stages[idx] != StageState::Waiting {
            continue;
        }
        if cx.ctx.endpoints.pool(&stage.pool).all(|it| !it.accepts_work()) {
            return Some((RetryHint::Soon, "a pool of its stages has no endpoint"));
        }
        let groups = groups(&cx.ctx.endpoints, &stage.pool);
        let waits = groups.iter().map(|it| stages::expected_wait(cx, batcher, it));
        wait += waits.min().unwrap_or_default();
        let pauses = groups.iter().map(|it| stages::pause(cx, it));
        pause = pause.max(pauses.min().unwrap_or_default());
    }
    let time_left = request.deadline.saturating_sub(cx.now);
    if wait + path <= time_left {
        return None;
    }
    match pause.is_zero() {
        true => Some((RetryHint::Late, "its stages would take longer than its time")),
        false => {
            let reason = "endpoints of its stages have asked for a pause";
            Some((RetryHint::AfterPause(pause), reason))
        }
    }
}
