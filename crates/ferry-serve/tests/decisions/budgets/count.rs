//! Counts repeats as endpoints see them.

use std::collections::BTreeSet;
use std::time::Duration;

use ferry_model::Moment;

use crate::simulation::Simulation;

/// How many repeats reached a pool in the window in which most did beyond what is allowed.
#[derive(Debug, Clone, Copy)]
pub struct Worst {
    pub n_repeats: usize,
    pub allowed: f64,
    /// Most repeats in any window.
    pub most: usize,
    /// What is allowed in that window.
    pub limit: f64,
}

impl Worst {
    /// Counts the repeats that reached a pool, over all windows.
    pub fn of(sim: &Simulation, pool: &str, paths: &[&str]) -> Worst {
        let window = sim.tuning.retry_window;
        let mut sent: Vec<Moment> =
            paths.iter().flat_map(|it| sim.sent.get(*it).cloned().unwrap_or_default()).collect();
        sent.sort_unstable();
        let repeats = repeats(sim, pool);
        let mut worst =
            Worst { n_repeats: 0, allowed: f64::INFINITY, most: 0, limit: f64::INFINITY };
        for end in &repeats {
            let n_repeats = count(&repeats, *end, window);
            let earlier = [Duration::ZERO, window / 2, window];
            let ends = earlier.iter().filter_map(|it| end.checked_sub(*it));
            let n_requests = ends.map(|it| count(&sent, it, window)).max().unwrap_or_default();
            let allowed = sim.tuning.retry_ratio * n_requests as f64 + sim.tuning.retry_extra;
            if worst.allowed - (worst.n_repeats as f64) > allowed - n_repeats as f64 {
                worst = Worst { n_repeats, allowed, ..worst };
            }
            if worst.most < n_repeats {
                worst = Worst { most: n_repeats, limit: allowed, ..worst };
            }
        }
        worst
    }

    pub fn is_allowed(&self) -> bool {
        self.n_repeats as f64 <= self.allowed
    }

    /// Returns the largest part of the budget that was used in a window.
    pub fn used(&self) -> f64 {
        self.most as f64 / self.limit
    }
}

/// Returns when calls beyond the first of their request reached a pool.
fn repeats(sim: &Simulation, pool: &str) -> Vec<Moment> {
    let mut seen = BTreeSet::new();
    let reached = sim.reached.get(pool).map_or(&[][..], Vec::as_slice);
    reached.iter().filter(|it| !seen.insert(&it.1)).map(|it| it.0).collect()
}

/// Counts the sorted moments in the window that ends at `end`.
fn count(moments: &[Moment], end: Moment, window: Duration) -> usize {
    let start = end.checked_sub(window);
    let first = start.map_or(0, |start| moments.partition_point(|it| *it <= start));
    moments.partition_point(|it| *it <= end) - first
}
