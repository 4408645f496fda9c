//! What a heartbeat says of the requests in flight.

use ferry_model::{Config, Moment, PoolId, PoolLoad, SortedMap, WorkspaceId};

use super::Requests;

impl Requests {
    pub fn n_in_flight(&self) -> u32 {
        self.in_flight.len() as u32
    }

    /// Requests in flight by the pool of their present stage, sorted by pool.
    ///
    /// An idle instance names the first pool of `config`: a heartbeat without any
    /// loads leaves the last known ones in place.
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

    /// Requests in flight by workspace, the largest ones only, sorted by name.
    pub fn announce_demand(&mut self, now: Moment, interval: Moment) -> Vec<(WorkspaceId, u32)> {
        self.shares.announce_demand(now, interval)
    }
}

fn empty(pool: &PoolId) -> PoolLoad {
    PoolLoad { pool: pool.clone(), running: 0, queued: 0, arrived: 0 }
}
