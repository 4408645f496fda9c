//! How long the stages of a request take, and when their results are worthless.

use std::time::Duration;

use ferry_model::PoolKind;

use super::call;
use super::flight::{Flight, StageState};
use crate::batch::batch_limits;
use crate::pass::Pass;

/// Time between the results of a stage and the start of the next, with a wait for an endpoint.
const HANDOVER: Duration = Duration::from_millis(60);
/// Time before results are dropped by their maker at which a call that reads them must start.
const LIFE_MARGIN: Duration = Duration::from_millis(300);

/// Returns the least time that the remaining stages take.
pub fn path_time(cx: &Pass<'_>, flight: &Flight) -> Duration {
    longest_path(flight, |pool| call_time(cx, pool))
}

/// Returns the time that the remaining stages take in full calls, without a queue.
pub fn full_path_time(cx: &Pass<'_>, flight: &Flight) -> Duration {
    longest_path(flight, |pool| full_call_time(cx, pool))
}

fn longest_path(flight: &Flight, time: impl Fn(&str) -> Duration) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(flight.stages.len());
    for (idx, stage) in flight.route.stages.iter().enumerate() {
        let begin = stage.after.iter().filter_map(|it| ends.get(*it)).max().copied();
        let own = match &flight.stages[idx] {
            StageState::Waiting => time(&stage.pool),
            StageState::Submitted(_) | StageState::Done { .. } => Duration::ZERO,
        };
        ends.push(begin.unwrap_or_default() + own);
    }
    ends.into_iter().max().unwrap_or_default()
}

fn call_time(cx: &Pass<'_>, pool: &str) -> Duration {
    match cx.ctx.catalog.pool(pool).map(|it| &it.kind) {
        Some(PoolKind::Batch(limits)) => limits.call_time,
        Some(PoolKind::Plain | PoolKind::Engine { .. }) | None => Duration::ZERO,
    }
}

/// Returns the time of a full call, and until its results are known.
fn full_call_time(cx: &Pass<'_>, pool: &str) -> Duration {
    match cx.ctx.catalog.pool(pool).map(|it| &it.kind) {
        Some(PoolKind::Batch(limits)) => {
            limits.call_time + limits.item_time * limits.max_items as u32 + HANDOVER
        }
        Some(PoolKind::Plain | PoolKind::Engine { .. }) | None => Duration::ZERO,
    }
}

/// Returns the time until results of a stage are worthless, or its inputs are dropped.
pub fn time_left(cx: &Pass<'_>, flight: &Flight, idx: usize) -> Duration {
    let time_left = flight.deadline.saturating_sub(cx.now + least_rest(cx, flight, idx));
    let lives = flight.route.stages[idx].after.iter().filter_map(|it| {
        let pool = &flight.route.stages[*it].pool;
        batch_limits(cx.ctx, pool).map(|it| it.result_ttl.saturating_sub(LIFE_MARGIN))
    });
    lives.fold(time_left, Duration::min)
}

/// Returns the time that the request needs once the stage has its results, if calls are full.
pub fn rest_time(cx: &Pass<'_>, flight: &Flight, idx: usize) -> Duration {
    match next_stage(flight, idx) {
        Some(next) => {
            let pool = &flight.route.stages[next].pool;
            full_call_time(cx, pool) + rest_time(cx, flight, next)
        }
        None => call::engine_time(cx, flight),
    }
}

/// Returns the least time that the request needs once the stage has its results.
fn least_rest(cx: &Pass<'_>, flight: &Flight, idx: usize) -> Duration {
    match next_stage(flight, idx) {
        Some(next) => call_time(cx, &flight.route.stages[next].pool) + least_rest(cx, flight, next),
        None => cx.ctx.tuning.first_token,
    }
}

/// Returns the stage that reads the results of another.
fn next_stage(flight: &Flight, idx: usize) -> Option<usize> {
    let mut followers = flight.route.stages.iter().enumerate().skip(idx + 1);
    followers.find(|(_, it)| it.after.contains(&idx)).map(|(next, _)| next)
}
