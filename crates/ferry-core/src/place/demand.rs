//! Demand as reported by heartbeats, and the plan that each instance follows.

use ferry_model::{
    Heartbeat, Instance, InstanceId, InstanceState, Moment, PoolId, PoolLoad, Revision, SortedMap,
};
use serde::{Deserialize, Serialize};

use super::PlaceTuning;

/// Weight of a sample in the mean level; low, to filter the noise of single samples.
const MEAN_WEIGHT: f64 = 0.1;
/// Weight of a sample in the level by which bursts are detected.
const BURST_WEIGHT: f64 = 0.5;
/// Standard deviations above the mean from which a level counts as a burst.
const BURST_DEVIATIONS: f64 = 2.0;

/// The last heartbeat of one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct InstanceDemand {
    state: InstanceState,
    plan: Revision,
    at: Moment,
    loads: Vec<PoolLoad>,
}

/// Smoothed number of concurrent calls to one pool.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct Level {
    mean: f64,
    recent: f64,
}

impl Level {
    fn add(&mut self, sample: f64) {
        self.mean += MEAN_WEIGHT * (sample - self.mean);
        self.recent += BURST_WEIGHT * (sample - self.recent);
    }
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Demand {
    members: SortedMap<InstanceId, InstanceDemand>,
    /// Entry instances on the instance list, sorted.
    listed: Vec<InstanceId>,
    levels: SortedMap<PoolId, Level>,
}

impl Demand {
    pub fn on_heartbeat(&mut self, now: Moment, heartbeat: &Heartbeat) {
        let loads = heartbeat.loads.clone();
        let member =
            InstanceDemand { state: heartbeat.state, plan: heartbeat.plan, at: now, loads };
        self.members.insert(heartbeat.instance.clone(), member);
    }

    pub fn on_instances(&mut self, instances: &[Instance]) {
        self.listed = instances.iter().filter(|it| it.is_entry).map(|it| it.id.clone()).collect();
        self.listed.sort();
    }

    /// Samples the concurrent calls of each pool.
    pub fn sample(&mut self, now: Moment, tuning: &PlaceTuning) {
        let mut sums: SortedMap<PoolId, f64> = SortedMap::new();
        let fresh = self.members.values().filter(|it| now < it.at + tuning.heartbeat_ttl);
        for load in fresh.flat_map(|it| &it.loads) {
            *sums.get_or_insert_with(load.pool.clone(), || 0.0) +=
                f64::from(load.running + load.queued);
        }
        for (pool, _) in self.levels.iter() {
            sums.get_or_insert_with(pool.clone(), || 0.0);
        }
        for (pool, sample) in sums.iter() {
            let first = Level { mean: *sample, recent: *sample };
            self.levels.get_or_insert_with(pool.clone(), || first).add(*sample);
        }
    }

    /// Returns the number of concurrent calls to a pool: the mean, or a burst above it.
    pub fn level(&self, pool: &str) -> f64 {
        let level = self.levels.get(pool).copied().unwrap_or_default();
        match level.mean + BURST_DEVIATIONS * level.mean.sqrt() < level.recent {
            true => level.recent,
            false => level.mean,
        }
    }

    /// Returns the mean number of concurrent calls to a pool.
    pub fn mean(&self, pool: &str) -> f64 {
        self.levels.get(pool).map_or(0.0, |it| it.mean)
    }

    /// Whether each instance that may send work follows the plan `revision` or a later one.
    ///
    /// An entry instance counts as long as it is on the instance list: a paused one
    /// may resume and send work under an old plan.
    pub fn has_acknowledged(&self, now: Moment, tuning: &PlaceTuning, revision: Revision) -> bool {
        let has_applied =
            |it: &InstanceDemand| it.state == InstanceState::Gone || revision <= it.plan;
        let is_fresh = |it: &InstanceDemand| now < it.at + tuning.heartbeat_ttl;
        let listed_applied = self
            .listed
            .iter()
            .all(|id| self.members.get(id).is_some_and(|it| is_fresh(it) && has_applied(it)));
        listed_applied && self.members.values().filter(|it| is_fresh(it)).all(has_applied)
    }
}
