//! What the calls of a batcher tell about crashes of its endpoints.

use super::{Batcher, Job, JobKey, SentCall};
use crate::pass::{Context, Pass};
use crate::quarantine::CallTrace;
use crate::{BatchFailure, CrashCandidate, Exposure, Group, ItemResult};

impl Batcher {
    /// Records what the result of a call tells about its endpoint and the requests of its items.
    pub(super) fn observe(
        &self,
        cx: &mut Pass<'_>,
        sent: &SentCall,
        result: &Result<Vec<ItemResult>, BatchFailure>,
    ) {
        let now = cx.now;
        let SentCall { group, endpoint, started, .. } = sent;
        match result {
            Ok(_) | Err(BatchFailure::NotRun(_) | BatchFailure::Failed(_)) => {
                cx.ctx.reach.on_heard(now, sent.sent_at, &group.pool, endpoint);
            }
            Err(BatchFailure::Unsent(_)) => cx.ctx.reach.on_failed(now, &group.pool, endpoint),
            Err(BatchFailure::TimedOut | BatchFailure::Broken(_)) => (),
        }
        let watch = &mut cx.ctx.crash_watch;
        match result {
            Ok(results) => {
                watch.on_heard(now, endpoint, *started);
                let done = results.iter().zip(&sent.items);
                let done = done.filter(|it| matches!(it.0, ItemResult::Done(_))).map(|it| it.1);
                watch.on_sound(now, &self.trace(sent, done));
            }
            Err(BatchFailure::NotRun(_) | BatchFailure::Failed(_)) => {
                watch.on_heard(now, endpoint, *started)
            }
            // It is silent, which is no crash.
            Err(BatchFailure::TimedOut) => (),
            Err(BatchFailure::Unsent(_)) => watch.on_gone(now, endpoint),
            Err(BatchFailure::Broken(_)) => watch.on_broken(now, self.trace(sent, &sent.items)),
        }
    }

    /// Returns the jobs of a group with items to send whose requests are not in quarantine.
    pub(super) fn sendable(&self, ctx: &Context, group: &Group) -> Vec<(&JobKey, &Job)> {
        let is_free = |it: &&(&JobKey, &Job)| ctx.quarantine.find_request(it.1.digest).is_none();
        let waiting = self.waiting(group);
        waiting.iter().filter(is_free).copied().collect()
    }

    fn trace<'a>(
        &self,
        sent: &SentCall,
        items: impl IntoIterator<Item = &'a (JobKey, u16)>,
    ) -> CallTrace {
        let digests = items.into_iter().filter_map(|it| self.jobs.get(&it.0)).map(|it| it.digest);
        let mut digests: Vec<_> = digests.collect();
        digests.sort_unstable();
        digests.dedup();
        let exposure = |digest| Exposure {
            candidate: CrashCandidate::Request(digest),
            request: digest as u32,
            place: 0,
            run_time: None,
        };
        CallTrace {
            pool: sent.group.pool.clone(),
            endpoint: sent.endpoint.clone(),
            started: sent.started,
            sent_at: sent.sent_at,
            exposures: digests.into_iter().map(exposure).collect(),
        }
    }
}
