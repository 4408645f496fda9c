//! Checks that repeats at a pool stay within the retry budget of all gateways together.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use super::{Attempt, Checker};
use crate::config::{BUDGET_EXTRA, BUDGET_RATIO, BUDGET_WINDOW};

/// Requests that reached a pool.
#[derive(Debug, Default)]
pub struct PoolLog {
    seen: BTreeSet<String>,
    /// When requests reached it that had reached it before.
    repeats: Vec<Instant>,
}

/// The repeats in the window in which fewest more were allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorstWindow {
    pub n_repeats: usize,
    pub allowed: f64,
}

impl Checker {
    /// Records that a request has reached an endpoint of a pool, whether or not it runs it.
    pub fn record_reached(&self, id: &str, pool: &'static str) {
        let mut log = self.pool_log.borrow_mut();
        let log = log.get_or_insert_with(pool.to_owned(), PoolLog::default);
        if !log.seen.insert(id.to_owned()) {
            log.repeats.push(Instant::now());
        }
    }

    /// Returns the worst window of each pool.
    pub fn worst_windows(&self) -> Vec<(String, WorstWindow)> {
        let logs = self.pool_log.borrow();
        let attempts = self.attempts.borrow();
        let mut worst = Vec::new();
        for (pool, log) in logs.iter() {
            let is_to_pool =
                |id: &str, it: &Attempt| it.route.pool() == pool || log.seen.contains(id);
            let to_pool = attempts.iter().filter(|(id, it)| is_to_pool(id, it));
            let mut sent: Vec<Instant> = to_pool.map(|(_, it)| it.sent).collect();
            sent.sort_unstable();
            let windows = log.repeats.iter().map(|end| window(&log.repeats, &sent, *end));
            let slack = |it: &WorstWindow| it.allowed - it.n_repeats as f64;
            let least = windows.min_by(|a, b| slack(a).total_cmp(&slack(b)));
            worst.extend(least.map(|it| (pool.clone(), it)));
        }
        worst
    }
}

/// Counts the window that ends at `end`.
fn window(repeats: &[Instant], sent: &[Instant], end: Instant) -> WorstWindow {
    let earlier = [Duration::ZERO, BUDGET_WINDOW / 2, BUDGET_WINDOW];
    let ends = earlier.iter().filter_map(|it| end.checked_sub(*it));
    let n_sent = ends.map(|it| count(sent, it)).max().unwrap_or_default();
    WorstWindow {
        n_repeats: count(repeats, end),
        allowed: BUDGET_RATIO * n_sent as f64 + BUDGET_EXTRA,
    }
}

/// Counts the sorted moments in the window that ends at `end`.
fn count(moments: &[Instant], end: Instant) -> usize {
    let start = end.checked_sub(BUDGET_WINDOW);
    let first = start.map_or(0, |start| moments.partition_point(|it| *it <= start));
    moments.partition_point(|it| *it <= end) - first
}
