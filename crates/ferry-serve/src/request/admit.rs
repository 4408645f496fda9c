//! Asks the admission controller whether a request with stages may start.

use std::time::Duration;

use ferry_model::{Moment, PoolId};

use super::active::{ActiveRequest, Phase, StageState};
use super::end::{self, RetryHint};
use super::{call, schedule, times};
use crate::admission::{
    AdmissionAnswer, AdmissionDecision, AdmissionRequest, Capacity, Evaluation, LATE_CLASS, Shard,
};
use crate::batch::{Batcher, batch_limits};
use crate::pass::{Context, Pass};
use crate::{Decision, DecisionKind, Effect, Mechanism, Metric, PeerMessage, Status};

/// Time to wait for a decision, after which the request starts without one: several round trips
/// between instances with little CPU time.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Asks for the admission of a new request; returns whether the request has ended.
pub fn request_admission(
    cx: &mut Pass<'_>,
    batcher: &Batcher,
    request: &mut ActiveRequest,
) -> bool {
    let items = items_by_pool(cx, request);
    if items.is_empty() || !cx.ctx.tuning.is_enabled(Mechanism::Admission) {
        return false;
    }
    let slack = slack(cx, request);
    if slack.is_none() {
        request.class = LATE_CLASS;
    }
    let n_instances = cx.ctx.peers.n_instances(cx.now, &cx.ctx.tuning);
    let shard = Shard::for_attempt(&request.head.attempt, n_instances);
    let admission = AdmissionRequest {
        attempt: request.head.attempt.clone(),
        shard,
        class: request.class,
        is_retry: request.is_retry,
        value: request.value,
        items,
        engine: schedule::wanted(cx, request),
        slack: slack.unwrap_or_default(),
        time_left: request.deadline.saturating_sub(cx.now + times::full_path_time(request)),
    };
    match cx.ctx.admission_peer(cx.now, shard) {
        None => {
            let answer = evaluate(cx, batcher, &admission);
            on_answer(cx, request, answer)
        }
        Some(to) => {
            request.phase = Phase::AwaitingAdmission { until: cx.now + ANSWER_TIMEOUT };
            cx.effects.push(Effect::Send {
                to,
                message: PeerMessage::AdmissionRequest(Box::new(admission)),
            });
            false
        }
    }
}

/// Decides on a request as the admission controller of its shard.
pub fn evaluate(
    cx: &mut Pass<'_>,
    batcher: &Batcher,
    admission: &AdmissionRequest,
) -> AdmissionAnswer {
    let pools = admission.items.iter().map(|(pool, _)| pool);
    let capacity: Vec<Capacity> =
        pools.map(|it| capacity(cx.now, cx.ctx, batcher, it, admission.shard)).collect();
    let evaluation = cx.ctx.admission.evaluate(cx.now, admission, &capacity);
    if evaluation.decision == AdmissionDecision::Refuse {
        log_refusal(cx, admission, &evaluation);
    }
    let engine = admission.engine.as_ref();
    let zone = engine.and_then(|it| schedule::likely_zone(cx, it));
    let is_limited = |it: &&PoolId| batch_limits(cx.ctx, it).is_none();
    let bottleneck = evaluation.bottleneck.as_ref().filter(is_limited);
    let retry_after = bottleneck.map(|_| evaluation.queue);
    AdmissionAnswer { decision: evaluation.decision, retry_after, zone }
}

fn capacity(
    now: Moment,
    ctx: &mut Context,
    batcher: &Batcher,
    pool: &PoolId,
    shard: Shard,
) -> Capacity {
    if let Some(known) = ctx.admission.capacity(now, pool, shard) {
        return known;
    }
    let fresh = Capacity::new(ctx, batcher, now, pool, shard);
    ctx.admission.note_capacity(now, pool, shard, fresh);
    fresh
}

fn log_refusal(cx: &mut Pass<'_>, admission: &AdmissionRequest, evaluation: &Evaluation) {
    let reason = format!(
        "class {} with value {:.2} would wait longer than {:?} at {:.0} items per second",
        admission.class, admission.value, evaluation.max_wait, evaluation.rate,
    );
    let mut decision = Decision::new(DecisionKind::Refuse, reason)
        .with_attempt(&admission.attempt)
        .with_score(admission.items.len() as u32, evaluation.wait.as_micros() as u64);
    decision.pool.clone_from(&evaluation.bottleneck);
    cx.log(decision);
}

/// Applies the admission decision; returns whether the request has ended.
pub fn on_answer(cx: &mut Pass<'_>, request: &mut ActiveRequest, answer: AdmissionAnswer) -> bool {
    request.phase = Phase::RunningStages;
    request.engine_zone = answer.zone;
    match answer.decision {
        AdmissionDecision::Admit => false,
        AdmissionDecision::AdmitLate => {
            request.class = LATE_CLASS;
            false
        }
        AdmissionDecision::Refuse => {
            let (hint, reason) = match answer.retry_after {
                Some(wait) => {
                    cx.count(Metric::RequestsHeldBack);
                    (RetryHint::After(wait), "its endpoints take no more requests in time")
                }
                None => (RetryHint::Late, "the endpoints of its stages are taken"),
            };
            end::refuse(cx, request, Status::NotRun, hint, reason);
            true
        }
    }
}

/// Starts a request for which no decision has arrived in time.
pub fn on_timeout(cx: &mut Pass<'_>, request: &mut ActiveRequest) {
    request.phase = Phase::RunningStages;
    cx.count(Metric::AsksUnanswered);
}

/// Returns the number of items of the request by pool, sorted. The request itself counts as one if all
/// endpoints of its pool limit their requests.
fn items_by_pool(cx: &Pass<'_>, request: &ActiveRequest) -> Vec<(PoolId, u32)> {
    let mut items_by_pool: Vec<(PoolId, u32)> = Vec::new();
    let is_limited = cx.ctx.endpoints.pool_rate(&request.pool).is_some();
    if is_limited && request.needed_build().is_none() {
        items_by_pool.push((request.pool.clone(), 1));
    }
    for (idx, stage) in request.route.stages.iter().enumerate() {
        let n_items = u32::from(request.head.items.get(idx).copied().unwrap_or_default());
        if request.stages[idx] != StageState::Waiting || n_items == 0 {
            continue;
        }
        match items_by_pool.binary_search_by(|it| it.0.cmp(&stage.pool)) {
            Ok(known) => items_by_pool[known].1 += n_items,
            Err(at) => items_by_pool.insert(at, (stage.pool.clone(), n_items)),
        }
    }
    items_by_pool
}

/// Returns how long a request may wait for its stages and still be in time; none if it will be late
/// anyway.
fn slack(cx: &Pass<'_>, request: &ActiveRequest) -> Option<Duration> {
    let least = times::min_path_time(request) + cx.ctx.tuning.first_token;
    if request.objective() < cx.now + least {
        return None;
    }
    let expected = times::full_path_time(request) + call::engine_time(cx, request);
    // A continuation may have less time left than the objective of its route.
    let until = request.objective().min(request.deadline);
    Some(until.saturating_sub(cx.now + expected))
}
