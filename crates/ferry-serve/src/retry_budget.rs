//! Limits the retries at a pool to a fraction of its requests, over all instances together.

use std::collections::VecDeque;
use std::time::Duration;

use ferry_model::Moment;

use crate::Tuning;

/// Number of slots in the window, each with its own counts.
const SLOTS: u32 = 10;

/// Counts of a sliding window for one pool at one instance.
///
/// The limit applies to the sum of all instances, so each of them takes the ratio of its own
/// requests and its share of the constant.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    counts: VecDeque<Count>,
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

    /// Counts a retry if the budget allows it, and returns whether it does.
    pub fn try_spend(&mut self, now: Moment, tuning: &Tuning, n_instances: usize) -> bool {
        self.current(now, tuning);
        let requests: u32 = self.counts.iter().map(|it| it.requests).sum();
        let retries: u32 = self.counts.iter().map(|it| it.retries).sum();
        let extra = tuning.retry_extra / n_instances.max(1) as f64;
        let limit = (tuning.retry_ratio * f64::from(requests) + extra) * tuning.retry_margin;
        let is_allowed = f64::from(retries) + 1.0 <= limit;
        if is_allowed {
            self.current(now, tuning).retries += 1;
        }
        is_allowed
    }

    /// Returns the count of the slot that contains `now`, and drops those that left the window.
    fn current(&mut self, now: Moment, tuning: &Tuning) -> &mut Count {
        let width = (tuning.retry_window / SLOTS).max(Duration::from_millis(1));
        let slot = now.as_nanos() / width.as_nanos();
        while self.counts.front().is_some_and(|it| it.slot + u128::from(SLOTS) <= slot) {
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|it| it.slot < slot) {
            self.counts.push_back(Count { slot, requests: 0, retries: 0 });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}
