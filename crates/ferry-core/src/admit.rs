//! Admission: the measured service times, queue and budgets of each pool; see
//! docs/design/requests.md.

pub mod budget;
pub mod histogram;
pub mod queue;
pub mod workspace_share;

use std::time::Duration;

use ferry_model::{Moment, Pipeline, PoolId, SortedMap};
use serde::{Deserialize, Serialize};

pub use budget::Budget;
pub use histogram::Histogram;
pub use queue::{Queue, QueuedRequest};
pub use workspace_share::WorkspaceShares;

/// Weight of the latest interval between two completions in the moving average.
const INTERVAL_RATE: f64 = 0.05;
/// Service time assumed for a pool until enough calls have completed.
const DEFAULT_SERVICE: Duration = Duration::from_millis(20);

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Pools {
    pools: SortedMap<PoolId, PoolState>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PoolState {
    pub queue: Queue,
    /// Time until a response is complete.
    pub service_time: Histogram,
    /// Time until the first part of a response.
    pub first_response: Histogram,
    pub retry_budget: Budget,
    pub hedge_budget: Budget,
    /// Calls in flight.
    pub running: u32,
    /// Mean time between completions while requests were waiting.
    interval: Option<Duration>,
    /// When the last call completed, if requests were waiting then.
    completed_at: Option<Moment>,
}

impl PoolState {
    pub fn median_service(&self) -> Duration {
        self.service_time.quantile(0.5).unwrap_or(DEFAULT_SERVICE)
    }

    /// Returns the service time to expect of a call whose first response takes `first`.
    pub fn scaled_service(&self, first: Duration) -> Duration {
        let median = self.first_response.quantile(0.5).unwrap_or(DEFAULT_SERVICE);
        self.median_service().mul_f64(first.as_secs_f64() / median.as_secs_f64().max(1e-6))
    }

    /// Updates the mean interval between completions.
    pub fn record_completion(&mut self, now: Moment) {
        if let Some(before) = self.completed_at {
            let interval = now.saturating_sub(before);
            self.interval = Some(match self.interval {
                Some(mean) => mean.mul_f64(1.0 - INTERVAL_RATE) + interval.mul_f64(INTERVAL_RATE),
                None => interval,
            });
        }
        self.completed_at = (!self.queue.is_empty()).then_some(now);
    }

    /// Returns how long a new request is expected to wait.
    pub fn expected_wait(&self, priority: u8, workspace: &str, weight: u32) -> Duration {
        if self.queue.is_empty() {
            return Duration::ZERO;
        }
        let n_ahead = self.queue.n_ahead(priority, workspace, weight);
        let interval = self.interval.unwrap_or_else(|| self.median_service() / self.running.max(1));
        interval.mul_f64(n_ahead)
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

    /// Returns the expected time of the stages from `stage` on, without waiting in queues.
    pub fn remaining_service(&self, pipeline: &Pipeline, stage: usize) -> Duration {
        pipeline.stages[stage..].iter().map(|it| self.median_service(&it.pool)).sum()
    }

    /// Returns the expected time of all stages, including waiting in queues.
    pub fn expected_time(&self, pipeline: &Pipeline, workspace: &str, weight: u32) -> Duration {
        let wait = |pool: &str| {
            let state = self.pools.get(pool);
            state
                .map_or(Duration::ZERO, |it| it.expected_wait(pipeline.priority, workspace, weight))
        };
        let waits: Duration = pipeline.stages.iter().map(|it| wait(&it.pool)).sum();
        waits + self.remaining_service(pipeline, 0)
    }

    pub fn median_service(&self, pool: &str) -> Duration {
        self.pools.get(pool).map_or(DEFAULT_SERVICE, PoolState::median_service)
    }
}
