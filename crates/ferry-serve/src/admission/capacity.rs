//! Capacity of the endpoints of a pool, as reported by the batchers of its groups.

use std::time::Duration;

use ferry_model::{BatchLimits, Moment};

use super::{N_CLASSES, Shard};
use crate::batch::{Batcher, batch_limits, full_call};
use crate::pass::Context;
use crate::{Backlog, EndpointView, Group, groups};

/// Fraction of the rate that is granted: the closer to 1.0, the longer the queues.
const USABLE_FRACTION: f64 = 0.9;

/// Requests per second of a pool that is not known to limit them.
const UNLIMITED: f64 = 1e9;

/// Capacity of a pool that one admission shard may grant.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Capacity {
    /// Items per second, in full calls; requests per second of a pool that limits them.
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
        let share = 1.0 / f64::from(shard.count.max(1));
        let Some(limits) = batch_limits(ctx, pool) else {
            let rate = ctx.endpoints.pool_rate(pool).unwrap_or(UNLIMITED);
            return Capacity { rate: rate * share, ..total };
        };
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
    let full_rate = 1.0 / full.as_secs_f64().max(1e-3);
    let calls = |it: &EndpointView| {
        it.rate_limit().map_or(full_rate, |limit| limit.per_second().min(full_rate))
    };
    members.map(calls).sum::<f64>() * limits.max_items as f64
}
