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
/// Multiple of the expected time after which a call is overdue.
const OVERDUE_FACTOR: f64 = 2.0;
/// Milliseconds after which an overdue call is forgotten.
const MAX_OVERDUE: f64 = 3_000.0;
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
    /// Ids of the parts that the engine reads for it.
    parts: Vec<u64>,
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

impl Pending {
    /// Returns the milliseconds by which its first token is later than an engine that serves others
    /// explains.
    fn overdue(&self, now: Moment) -> f64 {
        let waited = now.saturating_sub(self.since).as_secs_f64() * 1e3;
        (waited - OVERDUE_FACTOR * self.expected - MIN_SAMPLE).max(0.0)
    }
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
    pub(super) fn add(
        &mut self,
        now: Moment,
        attempt: &CallerAttempt,
        read: f64,
        expected: f64,
        prompt: &[PromptPart],
    ) {
        // The report of such a call is lost, or another instance has ended it.
        self.pending.retain(|it| it.overdue(now) < MAX_OVERDUE);
        self.work = self.backlog(now) + read;
        self.at = now;
        let parts = prompt.iter().map(|it| it.id).filter(|it| self.parts.get(it).is_none());
        let parts = parts.collect();
        let attempt = attempt.clone();
        self.pending.push(Pending { attempt, read, expected, since: now, parts });
        self.record_parts(now, prompt);
    }

    /// Counts the time of a call that waited from now on.
    pub(super) fn restart(&mut self, now: Moment, attempt: &CallerAttempt) {
        if let Some(call) = self.pending.iter_mut().find(|it| it.attempt == *attempt) {
            call.since = now;
            call.expected = call.read;
        }
    }

    /// Returns the attempt for which the engine is reading one of these parts.
    pub(super) fn reader(&self, now: Moment, parts: &[PromptPart]) -> Option<CallerAttempt> {
        let reads = |it: &&Pending| {
            it.overdue(now) <= 0.0 && parts.iter().any(|part| it.parts.contains(&part.id))
        };
        self.pending.iter().find(reads).map(|it| it.attempt.clone())
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

    /// Records the end of a call; returns whether it had begun, so that its prompt was read.
    pub(super) fn end(&mut self, now: Moment, attempt: &CallerAttempt) -> bool {
        let Some(call) = self.take(attempt) else {
            self.n_begun = self.n_begun.saturating_sub(1);
            return true;
        };
        for part in call.parts {
            self.parts.remove(&part);
        }
        self.work = self.backlog(now).min(self.unread());
        self.at = now;
        false
    }

    /// Returns the milliseconds until the prompts of earlier calls are read.
    pub(super) fn backlog(&self, now: Moment) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64() * 1e3;
        let overdue = self.pending.iter().map(|it| it.overdue(now)).fold(0.0, f64::max);
        (self.work - elapsed).max(self.unread() * UNREAD_FRACTION) + overdue
    }

    pub(super) fn n_running(&self) -> u32 {
        self.n_begun + self.pending.len() as u32
    }

    /// Counts the streams that it writes.
    pub(super) fn n_begun(&self) -> u32 {
        self.n_begun
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
