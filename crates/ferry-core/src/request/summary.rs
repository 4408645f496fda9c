//! What a heartbeat says of the requests in flight.

use ferry_model::{PoolId, PoolLoad, SortedMap, WorkspaceId};

use super::Requests;

/// Most workspaces named in a heartbeat.
const MAX_WORKSPACES: usize = 8;

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
            match flight.attempt {
                Some(_) => load.running += 1,
                None => load.queued += 1,
            }
        }
        pools.values().cloned().collect()
    }

    /// Requests in flight by workspace, the largest ones only, sorted by name.
    pub fn demand(&self) -> Vec<(WorkspaceId, u32)> {
        let mut demand: SortedMap<WorkspaceId, u32> = SortedMap::new();
        for flight in self.flights.values() {
            *demand.entry_or_with(flight.workspace.clone(), || 0) += 1;
        }
        let mut largest: Vec<(WorkspaceId, u32)> =
            demand.iter().map(|(name, count)| (name.clone(), *count)).collect();
        largest.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        largest.truncate(MAX_WORKSPACES);
        largest.sort();
        largest
    }
}
