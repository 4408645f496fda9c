//! Calls that take longer than expected. If all endpoints of a group fall silent at the same moment, that
//! is a pause of all, and says nothing of how fast each is.

use std::time::Duration;

use ferry_model::{Moment, SortedMap};

use super::{Batcher, SentCall};
use crate::pass::Pass;
use crate::{CallId, Decision, DecisionKind, Group, Metric};

/// What is known of the last answers of each group.
#[derive(Debug, Clone, Default)]
pub(super) struct GroupAnswers {
    groups: SortedMap<Group, LastAnswer>,
}

#[derive(Debug, Clone, Copy, Default)]
struct LastAnswer {
    at: Moment,
    /// Whether the call was late. Endpoints that are late together once more are slow.
    is_late: bool,
    pause: Option<Pause>,
}

/// A time in which no endpoint of a group answered.
#[derive(Debug, Clone, Copy)]
struct Pause {
    since: Moment,
    until: Moment,
}

impl GroupAnswers {
    /// Records an answer, and returns for how much of the call all endpoints of its group paused, or
    /// this process stood still.
    pub(super) fn record(
        &mut self,
        now: Moment,
        sent: &SentCall,
        others: &SortedMap<CallId, SentCall>,
    ) -> Duration {
        let silent = self.silent_since(now, &sent.group, others.values().chain([sent]));
        let last = self.groups.get_or_insert_with(sent.group.clone(), LastAnswer::default);
        // An endpoint that is on time was not silent.
        if let Some(since) = silent.filter(|_| sent.due <= now) {
            last.pause = Some(Pause { since, until: now });
        }
        let pause = last.pause.map_or(Duration::ZERO, |it| it.overlap(sent.sent_at));
        last.at = now;
        last.is_late = sent.late_at < now;
        pause + sent.stopped
    }

    /// Returns since when all endpoints of a group with calls are silent, if there are several.
    pub(super) fn silent_since<'a>(
        &self,
        now: Moment,
        group: &Group,
        calls: impl Iterator<Item = &'a SentCall>,
    ) -> Option<Moment> {
        let last = self.groups.get(group).copied().unwrap_or_default();
        if last.is_late {
            return None;
        }
        let is_overdue = |it: &&SentCall| it.group == *group && last.at < it.due && it.due <= now;
        let overdue: Vec<&SentCall> = calls.filter(is_overdue).collect();
        let first = overdue.iter().min_by_key(|it| it.due)?;
        let is_common = overdue.iter().any(|it| it.endpoint != first.endpoint);
        let is_pause = is_common && overdue.iter().any(|it| it.late_at <= now);
        is_pause.then_some(first.due)
    }
}

impl Pause {
    /// Returns for how much of a call that was sent at `start` the pause lasted.
    fn overlap(&self, start: Moment) -> Duration {
        self.until.saturating_sub(self.since.max(start))
    }
}

impl Batcher {
    /// Excuses the silence of endpoints while this process stood still.
    pub fn excuse_silence(&mut self, time: Duration) {
        for sent in self.calls.values_mut() {
            sent.stopped += time;
            sent.due += time;
            sent.late_at += time;
            sent.hedge_at = sent.hedge_at.map(|it| it + time);
        }
    }

    /// Sends the items of slow calls to other endpoints too.
    pub(super) fn hedge_late(&mut self, cx: &mut Pass<'_>) {
        let now = cx.now;
        let is_late = |it: &SentCall| it.hedge_at.is_some_and(|it| it <= now);
        let late: Vec<CallId> =
            self.calls.iter().filter(|it| is_late(it.1)).map(|it| *it.0).collect();
        for call in late {
            let Some(sent) = self.calls.get(&call) else { continue };
            let is_pause =
                self.answers.silent_since(now, &sent.group, self.calls.values()).is_some();
            let Some(sent) = self.calls.get_mut(&call) else { continue };
            sent.hedge_at = None;
            let ratio = (now - sent.sent_at).as_secs_f64() / sent.expected.as_secs_f64().max(1e-3);
            if let Some(view) = cx.ctx.endpoints.get_mut(&sent.endpoint).filter(|_| !is_pause) {
                view.record_late(ratio);
            }
            for (key, item) in &sent.items {
                let Some(job) = self.jobs.get_mut(key) else { continue };
                let is_open = job.outcome.is_none()
                    && job.results.get(usize::from(*item)).is_some_and(Option::is_none);
                if is_open && !job.pending.contains(item) {
                    cx.count(Metric::ItemsRepeated);
                    job.pending.push(*item);
                }
            }
            cx.log(
                Decision::new(
                    DecisionKind::Retry,
                    "call is slow; its items are sent to another endpoint too",
                )
                .with_pool(&sent.group.pool)
                .with_endpoint(&sent.endpoint),
            );
        }
    }
}
