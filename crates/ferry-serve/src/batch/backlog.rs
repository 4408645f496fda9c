//! Reports to peers on the work that this instance collects.

use std::time::Duration;

use ferry_model::{BatchLimits, Moment};

use super::candidates::MIN_SLOWDOWN;
use super::{Batcher, batch_limits, call_time, full_call};
use crate::admission::{LATE_CLASS, N_CLASSES};
use crate::pass::Context;
use crate::{Backlog, EndpointView, Group};

/// Fewest endpoints that a group is taken to have, as a part of one that limits its requests.
const MIN_ENDPOINTS: f64 = 0.01;

impl Batcher {
    /// Returns the time until a new item of `group` would start; none if it is not a batch pool's.
    pub fn wait(&self, now: Moment, ctx: &Context, group: &Group) -> Option<Duration> {
        let limits = batch_limits(ctx, &group.pool)?;
        let n_items: usize =
            self.jobs.values().filter(|it| it.group == *group).map(|it| it.pending.len()).sum();
        let n_calls = n_items.div_ceil(limits.max_items.max(1));
        let call = call_time(&limits, limits.max_items);
        let calls = self.calls.values().filter(|it| it.group == *group);
        let rest: Duration = calls.map(|it| (it.sent_at + it.expected).saturating_sub(now)).sum();
        let n_endpoints = usable_endpoints(ctx, now, group, &limits);
        let queue = (call * n_calls as u32 + rest).div_f64(n_endpoints.max(MIN_ENDPOINTS));
        Some(queue.max(group_pause(ctx, now, group)))
    }

    /// Returns the backlog of a group to report to peers; none if it is not a batch pool's.
    pub fn backlog(&self, now: Moment, ctx: &Context, group: &Group) -> Option<Backlog> {
        let limits = batch_limits(ctx, &group.pool)?;
        let wait = self.wait(now, ctx, group)?;
        let members = ctx.endpoints.pool(&group.pool).filter(|it| group.contains(it));
        let usable = members.filter(|it| it.is_usable(now));
        let full = full_call(&limits).as_secs_f64().max(1e-3);
        let full_rate =
            |it: &EndpointView| limits.max_items as f64 / (full * it.slowdown.max(MIN_SLOWDOWN));
        let limited_rate = |it: &EndpointView| {
            it.rate_limit().map_or(f64::INFINITY, |it| it.per_second() * limits.max_items as f64)
        };
        let rate = usable.map(|it| full_rate(it).min(limited_rate(it))).sum();
        Some(Backlog { group: group.clone(), wait, rate, queued: self.queued(now, group, &limits) })
    }

    /// Counts the waiting items of a group by class, without those of the next call: they wait for
    /// an endpoint to end its call even where there is no queue.
    fn queued(&self, now: Moment, group: &Group, limits: &BatchLimits) -> [u32; N_CLASSES] {
        let mut queued = [0; N_CLASSES];
        for (_, job) in self.waiting(group) {
            let class = match job.is_late(now, full_call(limits)) {
                true => LATE_CLASS,
                false => job.class.min(LATE_CLASS),
            };
            queued[usize::from(class)] += job.pending.len() as u32;
        }
        let mut next_call = limits.max_items as u32;
        for n_items in &mut queued {
            let served = next_call.min(*n_items);
            *n_items -= served;
            next_call -= served;
        }
        queued
    }
}

/// Returns the time until the first endpoint of a group takes calls, if all have asked for a pause.
pub(crate) fn group_pause(ctx: &Context, now: Moment, group: &Group) -> Duration {
    let members = ctx.endpoints.pool(&group.pool).filter(|it| group.contains(it));
    let live = members.filter(|it| it.accepts_work());
    live.map(|it| it.pause_left(now)).min().unwrap_or_default()
}

/// Counts the endpoints of a group that may get new work; one that limits its requests counts as the
/// part of its time that they take.
pub(super) fn usable_endpoints(
    ctx: &Context,
    now: Moment,
    group: &Group,
    limits: &BatchLimits,
) -> f64 {
    let members = ctx.endpoints.pool(&group.pool).filter(|it| group.contains(it));
    members.filter(|it| it.is_usable(now)).map(|it| usable_share(it, limits)).sum()
}

/// Returns the share of its time for which an endpoint may work on full calls.
fn usable_share(view: &EndpointView, limits: &BatchLimits) -> f64 {
    let full = full_call(limits).as_secs_f64();
    view.rate_limit().map_or(1.0, |it| (it.per_second() * full).min(1.0))
}
