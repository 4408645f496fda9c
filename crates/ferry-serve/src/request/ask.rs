//! Whether a request with stages is begun: asks the instance that keeps account of them.

use std::time::Duration;

use ferry_model::{Moment, PoolId};

use super::end::{self, Comeback};
use super::flight::{Flight, Phase, StageState};
use super::{call, times};
use crate::admission::{Ask, Capacity, Judgement, LATE_CLASS, Part, Verdict};
use crate::batch::Batcher;
use crate::turn::{Context, Turn};
use crate::{Decision, DecisionKind, Effect, Metric, PeerMessage, Status};

/// Time for an answer, after which the request is begun: several round trips between instances
/// that get little processor time.
pub const PATIENCE: Duration = Duration::from_millis(60);

/// Asks for a request that has just come; returns whether it has ended.
pub fn ask(cx: &mut Turn<'_>, batcher: &Batcher, flight: &mut Flight) -> bool {
    let items = needed(flight);
    if items.is_empty() {
        return false;
    }
    let slack = slack(cx, flight);
    if slack.is_none() {
        flight.class = LATE_CLASS;
    }
    let n_instances = cx.ctx.peers.n_instances(cx.now, &cx.ctx.tuning);
    let part = Part::of_attempt(&flight.head.attempt, n_instances);
    let ask = Ask {
        attempt: flight.head.attempt.clone(),
        part,
        class: flight.class,
        is_back: flight.is_back,
        worth: flight.worth,
        items,
        slack: slack.unwrap_or_default(),
        left: flight.limit.saturating_sub(cx.now + times::full_path_time(cx, flight)),
    };
    match cx.ctx.accountant(cx.now, part) {
        None => {
            let verdict = judge(cx, batcher, &ask);
            on_verdict(cx, flight, verdict)
        }
        Some(to) => {
            flight.phase = Phase::Asking { until: cx.now + PATIENCE };
            cx.out.push(Effect::Send { to, message: PeerMessage::Ask(Box::new(ask)) });
            false
        }
    }
}

/// Decides on a request by the account that this instance keeps.
pub fn judge(cx: &mut Turn<'_>, batcher: &Batcher, ask: &Ask) -> Verdict {
    let pools = ask.items.iter().map(|(pool, _)| pool);
    let capacity: Vec<Capacity> =
        pools.map(|it| capacity(cx.now, cx.ctx, batcher, it, ask.part)).collect();
    let judgement = cx.ctx.account.judge(cx.now, ask, &capacity);
    if judgement.verdict == Verdict::Refuse {
        log_refusal(cx, ask, &judgement);
    }
    judgement.verdict
}

fn capacity(
    now: Moment,
    ctx: &mut Context,
    batcher: &Batcher,
    pool: &PoolId,
    part: Part,
) -> Capacity {
    if let Some(known) = ctx.account.capacity(now, pool, part) {
        return known;
    }
    let fresh = Capacity::new(ctx, batcher, now, pool, part);
    ctx.account.note_capacity(now, pool, part, fresh);
    fresh
}

fn log_refusal(cx: &mut Turn<'_>, ask: &Ask, judgement: &Judgement) {
    let reason = format!(
        "class {} worth {:.2} would wait; allowed is {:?} at {:.0} items a second",
        ask.class, ask.worth, judgement.allowed, judgement.rate,
    );
    let mut decision = Decision::new(DecisionKind::Refuse, reason)
        .with_attempt(&ask.attempt)
        .with_score(ask.items.len() as u32, judgement.wait.as_micros() as u64);
    decision.pool.clone_from(&judgement.longest);
    cx.log(decision);
}

/// Takes the decision on a request; returns whether it has ended.
pub fn on_verdict(cx: &mut Turn<'_>, flight: &mut Flight, verdict: Verdict) -> bool {
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
pub fn on_silence(cx: &mut Turn<'_>, flight: &mut Flight) {
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
fn slack(cx: &Turn<'_>, flight: &Flight) -> Option<Duration> {
    let least = times::path_time(cx, flight) + cx.ctx.tuning.first_token;
    if flight.objective() < cx.now + least {
        return None;
    }
    let usual = times::full_path_time(cx, flight) + call::engine_time(cx, flight);
    Some(flight.objective().saturating_sub(cx.now + usual))
}
