//! How long the stages of a request take, and when their results become useless.

use std::time::Duration;

use ferry_model::{BatchLimits, GatewayPool};

use super::active::{ActiveRequest, StageState};
use super::call;
use crate::pass::Pass;

/// Time between the results of a stage and the start of the next, including a wait for an endpoint.
const HANDOVER_TIME: Duration = Duration::from_millis(60);
/// Time before the expiry of results by which a call that reads them must have started.
const TTL_MARGIN: Duration = Duration::from_millis(300);

/// Returns the shortest time that the remaining stages take.
pub fn min_path_time(request: &ActiveRequest) -> Duration {
    longest_path(request, |idx| call_time(request, idx))
}

/// Returns the time that no decision could save: calls with the request's own items alone, and the
/// prefill of its own part.
pub fn floor(cx: &Pass<'_>, request: &ActiveRequest) -> Duration {
    longest_path(request, |idx| own_call_time(request, idx)) + call::own_engine_time(cx, request)
}

/// Returns the time of a stage if its items wait for nothing and share their calls with no others.
pub fn own_call_time(request: &ActiveRequest, idx: usize) -> Duration {
    let n_items = request.head.items.get(idx).copied().unwrap_or_default();
    match batch_limits(request, idx) {
        Some(limits) if 0 < n_items => {
            let n_items = usize::from(n_items).min(limits.max_items) as u32;
            limits.call_time + limits.item_time * n_items
        }
        Some(_) | None => Duration::ZERO,
    }
}

/// Returns the time that the remaining stages take in full calls, without a queue.
pub fn full_path_time(request: &ActiveRequest) -> Duration {
    longest_path(request, |idx| full_call_time(request, idx))
}

fn longest_path(request: &ActiveRequest, time: impl Fn(usize) -> Duration) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(request.stages.len());
    for idx in 0..request.stages.len() {
        let begin = request.graph.reads(idx).iter().filter_map(|it| ends.get(*it)).max().copied();
        let own = match &request.stages[idx] {
            StageState::Waiting => time(idx),
            StageState::Submitted(_) | StageState::Done { .. } => Duration::ZERO,
        };
        ends.push(begin.unwrap_or_default() + own);
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the limits of a stage's pool under which the request came.
fn batch_limits(request: &ActiveRequest, idx: usize) -> Option<&BatchLimits> {
    request.pools.get(&request.route.stages[idx].pool).and_then(GatewayPool::batch_limits)
}

fn call_time(request: &ActiveRequest, idx: usize) -> Duration {
    batch_limits(request, idx).map_or(Duration::ZERO, |it| it.call_time)
}

/// Returns the time of a full call until its results are known.
fn full_call_time(request: &ActiveRequest, idx: usize) -> Duration {
    let full = |it: &BatchLimits| it.call_time + it.item_time * it.max_items as u32 + HANDOVER_TIME;
    batch_limits(request, idx).map_or(Duration::ZERO, full)
}

/// Returns the time until the results of a stage are useless, or its inputs expire.
pub fn time_left(cx: &Pass<'_>, request: &ActiveRequest, idx: usize) -> Duration {
    let time_left = request.deadline.saturating_sub(cx.now + min_remaining_time(cx, request, idx));
    let ttls = request.graph.reads(idx).iter().filter_map(|it| {
        batch_limits(request, *it).map(|it| it.result_ttl.saturating_sub(TTL_MARGIN))
    });
    ttls.fold(time_left, Duration::min)
}

/// Returns the time that the request needs after the stage is done, if calls are full.
pub fn remaining_time(cx: &Pass<'_>, request: &ActiveRequest, idx: usize) -> Duration {
    match next_stage(request, idx) {
        Some(next) => full_call_time(request, next) + remaining_time(cx, request, next),
        None => call::engine_time(cx, request),
    }
}

/// Returns the shortest time that the request needs after the stage is done.
fn min_remaining_time(cx: &Pass<'_>, request: &ActiveRequest, idx: usize) -> Duration {
    match next_stage(request, idx) {
        Some(next) => call_time(request, next) + min_remaining_time(cx, request, next),
        None => cx.ctx.tuning.first_token,
    }
}

/// Returns the stage that reads the results of another.
fn next_stage(request: &ActiveRequest, idx: usize) -> Option<usize> {
    request.graph.readers(idx).find(|next| idx < *next)
}
