//! Limits the retries at a pool to a fraction of its requests, over all instances together.
//!
//! docs/design/platform.md derives why the sum over all instances stays within the limit.

use std::collections::VecDeque;
use std::time::Duration;

use ferry_model::Moment;

use crate::Tuning;

/// Number of slots in the window, each with its own counts.
const SLOTS: usize = 40;
/// Slots that are kept: two windows, and the one that has just begun.
const KEPT_SLOTS: usize = 2 * SLOTS + 1;

/// Counts of a sliding window for one pool at one instance.
///
/// The limit applies to the sum of all instances, so each of them takes the ratio of its own
/// requests and its share of the constant. A retry counts from its decision until a window has
/// passed since its endpoint was heard: until then it may arrive at any moment.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    counts: VecDeque<Count>,
    /// Retries that were decided and have not been heard of.
    n_reserved: u32,
}

/// The part of a budget that an instance may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryShare {
    /// Of the ratio of its requests.
    pub ratio: f64,
    /// Of the constant.
    pub constant: f64,
}

#[derive(Debug, Clone, Copy)]
struct Count {
    slot: u128,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    pub fn new() -> RetryBudget {
        RetryBudget::default()
    }

    /// Counts a caller's request to the pool.
    pub fn record_request(&mut self, now: Moment, tuning: &Tuning) {
        self.current(now, tuning).requests += 1;
    }

    /// Reserves a retry if the budget allows it, and returns whether it does.
    pub fn try_reserve(&mut self, now: Moment, tuning: &Tuning, share: RetryShare) -> bool {
        let slot = self.current(now, tuning).slot;
        // A retry of the slot a window ago may be less than a window old.
        let recent = self.counts.iter().filter(|it| slot <= it.slot + SLOTS as u128);
        let retries = self.n_reserved + recent.map(|it| it.retries).sum::<u32>();
        let requests = f64::from(self.n_requests(slot));
        let limit =
            tuning.retry_ratio * share.ratio * requests + tuning.retry_extra * share.constant;
        let is_allowed = f64::from(retries) + 1.0 <= limit;
        self.n_reserved += u32::from(is_allowed);
        is_allowed
    }

    /// Gives up a retry that has reached no endpoint.
    pub fn release(&mut self) {
        self.n_reserved = self.n_reserved.saturating_sub(1);
    }

    /// Records that the endpoint of a retry was heard, or that its call has ended.
    pub fn settle(&mut self, now: Moment, tuning: &Tuning) {
        self.release();
        self.current(now, tuning).retries += 1;
    }

    /// Returns the requests that every window with the slot `last` in it allows retries for.
    ///
    /// The limit of a window goes by its requests, those of the window before it, or those from
    /// half a window before it, whichever are most. Of the windows that contain `last`, the one
    /// with the fewest counts.
    fn n_requests(&self, last: u128) -> u32 {
        let mut totals = [0; KEPT_SLOTS + 1];
        let first = (last + 1).saturating_sub(KEPT_SLOTS as u128);
        for count in self.counts.iter().filter(|it| first <= it.slot) {
            totals[(count.slot - first) as usize + 1] = count.requests;
        }
        for idx in 0..KEPT_SLOTS {
            totals[idx + 1] += totals[idx];
        }
        // Requests from the slot `idx` on, within a window that ends at `last` at the latest.
        let window = |idx: usize| totals[(idx + SLOTS).min(KEPT_SLOTS)] - totals[idx];
        let starts = SLOTS..KEPT_SLOTS;
        let allowed =
            |start: usize| window(start).max(window(start - SLOTS)).max(window(start - SLOTS / 2));
        starts.map(allowed).min().unwrap_or_default()
    }

    /// Returns the count of the slot that contains `now`, and drops those that are not needed any
    /// longer.
    fn current(&mut self, now: Moment, tuning: &Tuning) -> &mut Count {
        let width = (tuning.retry_window / SLOTS as u32).max(Duration::from_millis(1));
        let slot = now.as_nanos() / width.as_nanos();
        while self.counts.front().is_some_and(|it| it.slot + KEPT_SLOTS as u128 <= slot) {
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|it| it.slot < slot) {
            self.counts.push_back(Count { slot, requests: 0, retries: 0 });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}
