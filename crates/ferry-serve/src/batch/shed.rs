//! Jobs that are given up before their deadline.

use super::backlog::usable_endpoints;
use super::outcomes::finish;
use super::{Batcher, Job, JobKey, JobOutcome, SentCall, group_pause, plan};
use crate::pass::Pass;

impl Batcher {
    /// Ends jobs that would be served too late, so that their callers get a refusal at once.
    pub(super) fn shed(&mut self, cx: &mut Pass<'_>) {
        for group in self.groups() {
            let limits = cx.ctx.catalog.shortest_limits(cx.now, &group.pool);
            let Some(limits) = limits else { continue };
            let start = cx.now + group_pause(cx.ctx, cx.now, &group);
            let n_endpoints = usable_endpoints(cx.ctx, start, &group, &limits);
            let mut waiting = self.waiting(&group);
            waiting.retain(|(key, job)| !self.is_in_calls(key, job));
            for key in plan::too_late(cx.now, start, &waiting, n_endpoints, &limits) {
                let Some(job) = self.jobs.get_mut(&key) else { continue };
                finish(cx, &key, job, JobOutcome::Late);
            }
        }
    }

    /// Whether all items of a job are in calls, so that it may be served before those that wait are.
    fn is_in_calls(&self, key: &JobKey, job: &Job) -> bool {
        let has =
            |call: &SentCall, item: u16| call.items.iter().any(|it| it.0 == *key && it.1 == item);
        // Most jobs have no item in a call.
        job.pending.len() <= job.n_in_flight
            && job.pending.iter().all(|item| self.calls.values().any(|it| has(it, *item)))
    }
}
