//! Endpoints indexed by pool and model, so that a routing decision needs no scan of the fleet.

use ferry_model::{ModelId, PoolId, SortedMap, ZoneId};
use serde::{Deserialize, Serialize};

use crate::fleet::EndpointView;

/// Indices of the endpoints that serve a model of a pool.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Group {
    pub all: Vec<u32>,
    /// The endpoints in this instance's availability zone.
    pub same_zone: Vec<u32>,
}

/// Groups by pool and model; the group with model `None` contains the whole pool.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Groups {
    pools: SortedMap<PoolId, SortedMap<Option<ModelId>, Group>>,
}

impl Groups {
    pub fn new<'a>(views: impl Iterator<Item = &'a EndpointView>, zone: &ZoneId) -> Groups {
        let mut groups = Groups::default();
        for (idx, view) in (0..).zip(views) {
            let is_same_zone = view.endpoint.zone == *zone;
            let pool = groups.pools.get_or_insert_with(view.endpoint.pool.clone(), SortedMap::new);
            let models = view.endpoint.models.iter().cloned().map(Some);
            for model in models.chain([None]) {
                let group = pool.get_or_insert_with(model, Group::default);
                group.all.push(idx);
                if is_same_zone {
                    group.same_zone.push(idx);
                }
            }
        }
        groups
    }

    pub fn get(&self, pool: &str, model: &Option<ModelId>) -> Option<&Group> {
        self.pools.get(pool)?.get(model)
    }
}
