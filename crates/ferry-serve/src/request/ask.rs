//! Whether a request with stages is begun: asks the instance that keeps account of them.

use std::time::Duration;

use ferry_model::{Moment, PoolId};

use super::end::{self, Comeback};
use super::flight::{Flight, Phase, StageState};
use super::{call, times};
use crate::admission::{AdmissionRequest, Capacity, Evaluation, LATE_CLASS, Shard, Verdict};
use crate::batch::Batcher;
use crate::pass::{Context, Pass};
use crate::{Decision, DecisionKind, Effect, Metric, PeerMessage, Status};

/// Time for an answer, after which the request is begun: several round trips between instances
/// that get little processor time.
pub const PATIENCE: Duration = Duration::from_millis(60);

/// Asks for a request that has just come; returns whether it has ended.
pub fn ask(cx: &mut Pass<'_>, batcher: &Batcher, flight: &mut Flight) -> bool {
    let items = needed(flight);
    if items.is_empty() {
        return false;
    }
    let slack = slack(cx, flight);
    if slack.is_none() {
        flight.class = LATE_CLASS;
    }
    let n_instances = cx.ctx.peers.n_instances(cx.now, &cx.ctx.tuning);
    let shard = Shard::for_attempt(&flight.head.attempt, n_instances);
    let ask = AdmissionRequest {
        attempt: flight.head.attempt.clone(),
        shard,
        class: flight.class,
        is_retry: flight.is_retry,
        value: flight.value,
        items,
        slack: slack.unwrap_or_default(),
        time_left: flight.deadline.saturating_sub(cx.now + times::full_path_time(cx, flight)),
    };
    match cx.ctx.admission_peer(cx.now, shard) {
        None => {
            let verdict = evaluate(cx, batcher, &ask);
            on_verdict(cx, flight, verdict)
        }
        Some(to) => {
            flight.phase = Phase::Asking { until: cx.now + PATIENCE };
            cx.effects.push(Effect::Send { to, message: PeerMessage::Ask(Box::new(ask)) });
            false
        }
    }
}

/// Decides on a request by the account that this instance keeps.
pub fn evaluate(cx: &mut Pass<'_>, batcher: &Batcher, ask: &AdmissionRequest) -> Verdict {
    let pools = ask.items.iter().map(|(pool, _)| pool);
    let capacity: Vec<Capacity> =
        pools.map(|it| capacity(cx.now, cx.ctx, batcher, it, ask.shard)).collect();
    let evaluation = cx.ctx.admission.evaluate(cx.now, ask, &capacity);
    if evaluation.verdict == Verdict::Refuse {
        log_refusal(cx, ask, &evaluation);
    }
    evaluation.verdict
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

fn log_refusal(cx: &mut Pass<'_>, ask: &AdmissionRequest, evaluation: &Evaluation) {
    let reason = format!(
        "class {} worth {:.2} would wait; allowed is {:?} at {:.0} items a second",
        ask.class, ask.value, evaluation.max_wait, evaluation.rate,
    );
    let mut decision = Decision::new(DecisionKind::Refuse, reason)
        .with_attempt(&ask.attempt)
        .with_score(ask.items.len() as u32, evaluation.wait.as_micros() as u64);
    decision.pool.clone_from(&evaluation.bottleneck);
    cx.log(decision);
}

/// Takes the decision on a request; returns whether it has ended.
pub fn on_verdict(cx: &mut Pass<'_>, flight: &mut Flight, verdict: Verdict) -> bool {
    flight.phase = Phase::Staging;
    match verdict {
        Verdict::Begin => false,
        Verdict::BeginLate => {
            flight.class = LATE_CLASS;
            false
        }
        Verdict::Refuse => {
            let reason = "the endpoints of its stages are taken";
            end::refuse(cx, flight, Status::NotRun, Comeback::Late, reason);
            true
        }
    }
}

/// Begins a request on which no decision has come.
pub fn on_silence(cx: &mut Pass<'_>, flight: &mut Flight) {
    flight.phase = Phase::Staging;
    cx.count(Metric::AsksUnanswered);
}

/// Items of the request by pool, sorted.
fn needed(flight: &Flight) -> Vec<(PoolId, u32)> {
    let mut needed: Vec<(PoolId, u32)> = Vec::new();
    for (idx, stage) in flight.route.stages.iter().enumerate() {
        let n_items = u32::from(flight.head.items.get(idx).copied().unwrap_or_default());
        if flight.stages[idx] != StageState::Waiting || n_items == 0 {
            continue;
        }
        match needed.binary_search_by(|it| it.0.cmp(&stage.pool)) {
            Ok(known) => needed[known].1 += n_items,
            Err(at) => needed.insert(at, (stage.pool.clone(), n_items)),
        }
    }
    needed
}

/// Time that a request may wait for its stages and still be in time; none if it can only be late.
fn slack(cx: &Pass<'_>, flight: &Flight) -> Option<Duration> {
    let least = times::path_time(cx, flight) + cx.ctx.tuning.first_token;
    if flight.objective() < cx.now + least {
        return None;
    }
    let usual = times::full_path_time(cx, flight) + call::engine_time(cx, flight);
    Some(flight.objective().saturating_sub(cx.now + usual))
}
