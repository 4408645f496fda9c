//! The load of requests in flight, as sent in heartbeats.

use ferry_model::{Config, Moment, PoolId, PoolLoad, SortedMap, WorkspaceId};

use super::Requests;

impl Requests {
    pub fn n_in_flight(&self) -> u32 {
        self.in_flight.len() as u32
    }

    /// Returns the requests in flight by the pool of their current stage, sorted by pool.
    ///
    /// The first pool of `config` is always included, even without load: a heartbeat with an empty
    /// list would leave the previous loads in place.
    pub fn loads(&self, config: Option<&Config>) -> Vec<PoolLoad> {
        let mut pools: SortedMap<PoolId, PoolLoad> = SortedMap::new();
        if let Some(pool) = config.and_then(|it| it.pools.first()) {
            pools.insert(pool.name.clone(), empty(&pool.name));
        }
        for request in self.in_flight.values() {
            let Some(stage) = request.pipeline.stages.get(request.stage) else { continue };
            let load = pools.get_or_insert_with(stage.pool.clone(), || empty(&stage.pool));
            match request.attempts.is_empty() {
                true => load.queued += 1,
                false => load.running += 1,
            }
        }
        pools.values().cloned().collect()
    }

    /// Returns the demand of the workspaces with the highest demand, sorted by name.
    pub fn announce_demand(&mut self, now: Moment, interval: Moment) -> Vec<(WorkspaceId, u32)> {
        self.shares.announce_demand(now, interval)
    }
}

fn empty(pool: &PoolId) -> PoolLoad {
    PoolLoad { pool: pool.clone(), running: 0, queued: 0, arrived: 0 }
}
