//! What heartbeats say of demand, and which plan each instance obeys.

use ferry_model::{
    Heartbeat, Instance, InstanceId, InstanceState, Moment, PoolId, PoolLoad, Revision, SortedMap,
};
use serde::{Deserialize, Serialize};

use super::PlaceTuning;

/// Weight of a higher sample in the running level: bursts count at once.
const RISE: f64 = 0.6;
/// Weight of a lower sample.
const FALL: f64 = 0.15;

/// The last heartbeat of one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Member {
    state: InstanceState,
    plan: Revision,
    at: Moment,
    loads: Vec<PoolLoad>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Demand {
    members: SortedMap<InstanceId, Member>,
    /// Entries on the instance list, sorted.
    listed: Vec<InstanceId>,
    /// Smoothed number of concurrent calls by pool.
    levels: SortedMap<PoolId, f64>,
}

impl Demand {
    pub fn on_heartbeat(&mut self, now: Moment, beat: &Heartbeat) {
        let loads = beat.loads.clone();
        let member = Member { state: beat.state, plan: beat.plan, at: now, loads };
        self.members.insert(beat.instance.clone(), member);
    }

    pub fn on_list(&mut self, instances: &[Instance]) {
        self.listed = instances.iter().filter(|it| it.is_entry).map(|it| it.id.clone()).collect();
        self.listed.sort();
    }

    /// Takes one sample of each pool's concurrent calls.
    pub fn sample(&mut self, now: Moment, tuning: &PlaceTuning) {
        let mut sums: SortedMap<PoolId, f64> = SortedMap::new();
        let fresh = self.members.values().filter(|it| now < it.at + tuning.beat_life);
        for load in fresh.flat_map(|it| &it.loads) {
            *sums.entry_or_with(load.pool.clone(), || 0.0) += f64::from(load.running + load.queued);
        }
        for (pool, _) in self.levels.iter() {
            sums.entry_or_with(pool.clone(), || 0.0);
        }
        for (pool, sample) in sums.iter() {
            let level = self.levels.entry_or_with(pool.clone(), || *sample);
            let weight = if *level < *sample { RISE } else { FALL };
            *level += weight * (sample - *level);
        }
    }

    /// Returns the smoothed number of concurrent calls to a pool.
    pub fn level(&self, pool: &str) -> f64 {
        self.levels.get(pool).copied().unwrap_or(0.0)
    }

    /// Whether each instance that may send work obeys the plan `revision` or a later one.
    ///
    /// An entry on the instance list counts until the list drops it: one that is
    /// paused may wake and send work under an old plan.
    pub fn has_acknowledged(&self, now: Moment, tuning: &PlaceTuning, revision: Revision) -> bool {
        let obeys = |it: &Member| it.state == InstanceState::Gone || revision <= it.plan;
        let is_fresh = |it: &Member| now < it.at + tuning.beat_life;
        let listed_obey = self
            .listed
            .iter()
            .all(|id| self.members.get(id).is_some_and(|it| is_fresh(it) && obeys(it)));
        listed_obey && self.members.values().filter(|it| is_fresh(it)).all(obeys)
    }
}
