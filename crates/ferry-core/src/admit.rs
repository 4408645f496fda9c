//! What each pool has learned, and who may start there; see docs/design/requests.md.

pub mod budget;
pub mod histogram;
pub mod queue;
pub mod share;

use std::time::Duration;

use ferry_model::{Moment, Pipeline, PoolId, SortedMap};
use serde::{Deserialize, Serialize};

pub use budget::Budget;
pub use histogram::Histogram;
pub use queue::{Queue, Waiting};
pub use share::Shares;

/// Weight of the newest gap between two completions.
const GAP_RATE: f64 = 0.05;
/// Service time assumed before a pool has answered.
const FIRST_SERVICE: Duration = Duration::from_millis(20);

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Pools {
    pools: SortedMap<PoolId, PoolState>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PoolState {
    pub queue: Queue,
    /// Time to the whole answer.
    pub service: Histogram,
    /// Time to the first part of the answer.
    pub first: Histogram,
    pub retries: Budget,
    pub hedges: Budget,
    /// Calls in flight.
    pub running: u32,
    /// Mean time between completions while requests waited.
    gap: Option<Duration>,
    /// The last completion that left somebody waiting.
    busy_at: Option<Moment>,
}

impl PoolState {
    pub fn median(&self) -> Duration {
        self.service.quantile(0.5).unwrap_or(FIRST_SERVICE)
    }

    /// Returns the service time that a first answer so late stands for.
    pub fn scaled(&self, first: Duration) -> Duration {
        let usual = self.first.quantile(0.5).unwrap_or(FIRST_SERVICE);
        self.median().mul_f64(first.as_secs_f64() / usual.as_secs_f64().max(1e-6))
    }

    /// Counts a completed call.
    pub fn completed(&mut self, now: Moment) {
        if let Some(before) = self.busy_at {
            let gap = now.saturating_sub(before);
            self.gap = Some(match self.gap {
                Some(mean) => mean.mul_f64(1.0 - GAP_RATE) + gap.mul_f64(GAP_RATE),
                None => gap,
            });
        }
        self.busy_at = (!self.queue.is_empty()).then_some(now);
    }

    /// Returns how long a newcomer is likely to wait.
    pub fn wait(&self, priority: u8, workspace: &str, weight: u32) -> Duration {
        if self.queue.is_empty() {
            return Duration::ZERO;
        }
        let n_ahead = self.queue.ahead(priority, workspace, weight);
        let gap = self.gap.unwrap_or_else(|| self.median() / self.running.max(1));
        gap.mul_f64(n_ahead)
    }
}

impl Pools {
    pub fn new() -> Pools {
        Pools::default()
    }

    pub fn get(&self, pool: &str) -> Option<&PoolState> {
        self.pools.get(pool)
    }

    pub fn get_mut(&mut self, pool: &PoolId) -> &mut PoolState {
        self.pools.get_or_insert_with(pool.clone(), PoolState::default)
    }

    /// Returns the usual time of the stages from `stage` on, without any wait.
    pub fn rest(&self, pipeline: &Pipeline, stage: usize) -> Duration {
        pipeline.stages[stage..].iter().map(|it| self.median(&it.pool)).sum()
    }

    /// Returns the time that all stages are likely to take with their waits.
    pub fn outlook(&self, pipeline: &Pipeline, workspace: &str, weight: u32) -> Duration {
        let wait = |pool: &str| {
            let state = self.pools.get(pool);
            state.map_or(Duration::ZERO, |it| it.wait(pipeline.priority, workspace, weight))
        };
        let waits: Duration = pipeline.stages.iter().map(|it| wait(&it.pool)).sum();
        waits + self.rest(pipeline, 0)
    }

    pub fn median(&self, pool: &str) -> Duration {
        self.pools.get(pool).map_or(FIRST_SERVICE, PoolState::median)
    }
}
