//! What a heartbeat says of the requests in flight.

use ferry_model::{PoolId, PoolLoad, SortedMap, WorkspaceId};

use super::Requests;

impl Requests {
    pub fn n_flights(&self) -> u32 {
        self.flights.len() as u32
    }

    /// Requests in flight by the pool of their present stage, sorted by pool.
    pub fn loads(&self) -> Vec<PoolLoad> {
        let mut pools: SortedMap<PoolId, PoolLoad> = SortedMap::new();
        for flight in self.flights.values() {
            let Some(stage) = flight.pipeline.stages.get(flight.stage) else { continue };
            let load = pools.entry_or_with(stage.pool.clone(), || PoolLoad {
                pool: stage.pool.clone(),
                running: 0,
                queued: 0,
                arrived: 0,
            });
            match flight.attempts.is_empty() {
                true => load.queued += 1,
                false => load.running += 1,
            }
        }
        pools.values().cloned().collect()
    }

    /// Requests in flight by workspace, the largest ones only, sorted by name.
    pub fn demand(&self) -> Vec<(WorkspaceId, u32)> {
        self.shares.demand()
    }
}
