//! Capacity of the endpoints of a pool, as reported by the batchers of its groups.

use std::time::Duration;

use ferry_model::{BatchLimits, Moment};

use super::{N_CLASSES, Shard};
use crate::batch::{Batcher, batch_limits, full_call};
use crate::pass::Context;
use crate::{Backlog, Group, groups};

/// Fraction of the rate that is granted: the closer to 1.0, the longer the queues.
const USABLE_FRACTION: f64 = 0.9;

/// Capacity of a pool that one admission shard may grant.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Capacity {
    /// Items per second, in full calls.
    pub rate: f64,
    /// Items that wait at the batchers, by class.
    pub queued: [f64; N_CLASSES],
}

impl Capacity {
    /// Returns the share of a pool's capacity that belongs to `shard`.
    pub fn new(
        ctx: &Context,
        batcher: &Batcher,
        now: Moment,
        pool: &str,
        shard: Shard,
    ) -> Capacity {
        let mut total = Capacity::default();
        let Some(limits) = batch_limits(ctx, pool) else { return total };
        let share = 1.0 / f64::from(shard.count.max(1));
        for group in groups(&ctx.endpoints, pool) {
            let reported = reported_backlog(ctx, batcher, now, &group);
            let rate = reported
                .as_ref()
                .map_or_else(|| configured_rate(ctx, &group, &limits), |it| it.rate);
            total.rate += rate * share * USABLE_FRACTION;
            let queued = reported.map_or([0; N_CLASSES], |it| it.queued);
            for (sum, n_items) in total.queued.iter_mut().zip(queued) {
                *sum += f64::from(n_items) * share;
            }
        }
        total
    }
}

/// Returns the backlog that the batcher of a group reports, if it reports one.
fn reported_backlog(
    ctx: &Context,
    batcher: &Batcher,
    now: Moment,
    group: &Group,
) -> Option<Backlog> {
    match ctx.batcher(now, group) {
        None => batcher.backlog(now, ctx, group),
        Some(peer) => {
            let backlog = &ctx.peers.get(peer)?.heartbeat.backlog;
            backlog.iter().find(|it| it.group == *group).cloned()
        }
    }
}

/// Returns the rate of a group, in items per second, if its endpoints are as fast as configured.
fn configured_rate(ctx: &Context, group: &Group, limits: &BatchLimits) -> f64 {
    let members =
        ctx.endpoints.pool(&group.pool).filter(|it| group.contains(it) && it.accepts_work());
    let full: Duration = full_call(limits);
    members.count() as f64 * limits.max_items as f64 / full.as_secs_f64().max(1e-3)
}
