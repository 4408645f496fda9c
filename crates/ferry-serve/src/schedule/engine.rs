//! What the scheduler knows of one engine.

use ferry_model::{Moment, SortedMap};

use crate::{CallerAttempt, PromptPart};

/// Weight of the newest call in the average slowdown.
const NEWEST_WEIGHT: f64 = 0.3;
const MIN_SLOWDOWN: f64 = 0.25;
const MAX_SLOWDOWN: f64 = 8.0;
/// Expected milliseconds from which a call shows how fast an engine is.
const MIN_SAMPLE: f64 = 50.0;
/// Fraction of the prompts that are not known to be read that still counts once they should be.
const UNREAD_FRACTION: f64 = 0.5;
/// Prompt parts that are tracked for each engine.
const MAX_PARTS: usize = 4096;

/// A call whose first token has not arrived.
#[derive(Debug, Clone)]
struct Pending {
    attempt: CallerAttempt,
    /// Expected milliseconds to read its prompt.
    read: f64,
    /// Expected milliseconds to its first token.
    expected: f64,
    since: Moment,
}

#[derive(Debug, Clone)]
pub(super) struct Engine {
    pending: Vec<Pending>,
    /// Milliseconds of reading that were left at `at`.
    work: f64,
    at: Moment,
    n_begun: u32,
    /// Average ratio of observed to expected time.
    slowdown: f64,
    /// Ids of prompt parts that it has read, and when each was last used.
    parts: SortedMap<u64, Moment>,
}

impl Default for Engine {
    fn default() -> Self {
        Engine {
            pending: Vec::new(),
            work: 0.0,
            at: Moment::ZERO,
            n_begun: 0,
            slowdown: 1.0,
            parts: SortedMap::new(),
        }
    }
}

impl Engine {
    /// Counts a call that is sent now.
    pub(super) fn add(&mut self, now: Moment, attempt: &CallerAttempt, read: f64, expected: f64) {
        self.work = self.backlog(now) + read;
        self.at = now;
        self.pending.push(Pending { attempt: attempt.clone(), read, expected, since: now });
    }

    /// Records the first token of a call.
    pub(super) fn begin(&mut self, now: Moment, attempt: &CallerAttempt) {
        let Some(call) = self.take(attempt) else { return };
        let took = now.saturating_sub(call.since).as_secs_f64() * 1e3;
        if MIN_SAMPLE <= call.expected {
            let ratio = self.slowdown * took / call.expected;
            self.slowdown += NEWEST_WEIGHT * (ratio - self.slowdown);
            self.slowdown = self.slowdown.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        }
        self.work = self.backlog(now).min(self.unread());
        self.at = now;
        self.n_begun += 1;
    }

    /// Records the end of a call.
    pub(super) fn end(&mut self, now: Moment, attempt: &CallerAttempt) {
        match self.take(attempt) {
            Some(_) => {
                self.work = self.backlog(now).min(self.unread());
                self.at = now;
            }
            None => self.n_begun = self.n_begun.saturating_sub(1),
        }
    }

    /// Returns the milliseconds until the prompts of earlier calls are read.
    pub(super) fn backlog(&self, now: Moment) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64() * 1e3;
        let overdue = self.pending.iter().map(|it| {
            now.saturating_sub(it.since).as_secs_f64() * 1e3 - 2.0 * it.expected - MIN_SAMPLE
        });
        let overdue = overdue.fold(0.0, f64::max);
        (self.work - elapsed).max(self.unread() * UNREAD_FRACTION) + overdue
    }

    pub(super) fn n_running(&self) -> u32 {
        self.n_begun + self.pending.len() as u32
    }

    pub(super) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns how many tokens of the prompt the engine has read, or is about to.
    pub(super) fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        let is_kept = |it: &&PromptPart| self.parts.get(&it.id).is_some();
        parts.iter().take_while(is_kept).map(|it| it.tokens).sum()
    }

    pub(super) fn record_parts(&mut self, now: Moment, parts: &[PromptPart]) {
        if MAX_PARTS <= self.parts.len() + parts.len() {
            let mut used: Vec<Moment> = self.parts.values().copied().collect();
            used.sort_unstable();
            let median = used[used.len() / 2];
            self.parts.retain(|_, at| median < *at);
        }
        for part in parts {
            self.parts.insert(part.id, now);
        }
    }

    fn take(&mut self, attempt: &CallerAttempt) -> Option<Pending> {
        let idx = self.pending.iter().position(|it| it.attempt == *attempt)?;
        Some(self.pending.remove(idx))
    }

    fn unread(&self) -> f64 {
        self.pending.iter().map(|it| it.read).sum()
    }
}
