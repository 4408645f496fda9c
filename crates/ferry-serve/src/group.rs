//! The endpoints of a batch pool whose items one instance collects.
//!
//! A small pool is one group, as fuller calls matter most there. A large pool is divided by
//! availability zone, so that results stay within it, and a large zone is divided again: the items
//! of a call name all their inputs, and the link of one instance cannot carry those of many
//! endpoints.

use ferry_model::{PoolId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::{EndpointView, Endpoints, Shard};

/// Number of endpoints from which a pool is divided by zone; it is more than one instance of a small
/// deployment can collect items for.
const DIVIDE_THRESHOLD: usize = 12;
/// Endpoints per group of a zone: about 25 calls per second of 30 KB each.
const MAX_GROUP_SIZE: usize = 8;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Group {
    pub pool: PoolId,
    /// None for the whole pool.
    pub zone: Option<ZoneId>,
    /// Shard of the zone's endpoints.
    pub shard: Shard,
}

impl Group {
    pub fn whole(pool: &str) -> Group {
        Group { pool: pool.to_owned(), zone: None, shard: Shard::WHOLE }
    }

    /// Whether an endpoint of the pool belongs to the group.
    pub fn contains(&self, view: &EndpointView) -> bool {
        let is_in_zone = self.zone.as_ref().is_none_or(|it| *it == view.endpoint.zone);
        is_in_zone && self.shard.contains(&view.endpoint.id)
    }
}

/// Returns the groups of a pool, sorted, without those whose zones are evacuated; none if it has no
/// endpoint whose entry says that it accepts work.
///
/// An evacuation does not change how the others are divided, so that no job moves that need not.
pub fn groups(endpoints: &Endpoints, pool: &str) -> Vec<Group> {
    let live: Vec<&EndpointView> = endpoints.pool(pool).filter(|it| it.is_listed_live()).collect();
    let mut open = live.iter().filter(|it| !it.is_evacuated()).peekable();
    if open.peek().is_none() {
        return Vec::new();
    }
    if live.len() < DIVIDE_THRESHOLD {
        return vec![Group::whole(pool)];
    }
    let mut groups: Vec<Group> = open.map(|it| group(it, &live)).collect();
    groups.sort();
    groups.dedup();
    groups
}

/// Returns the group of an endpoint of a divided pool. The number of shards is a power of two, so
/// that it rarely changes.
fn group(view: &EndpointView, live: &[&EndpointView]) -> Group {
    let endpoint = &view.endpoint;
    let n_in_zone = live.iter().filter(|it| it.endpoint.zone == endpoint.zone).count();
    let n_shards =
        n_in_zone.div_ceil(MAX_GROUP_SIZE).next_power_of_two().min(usize::from(u16::MAX));
    Group {
        pool: endpoint.pool.clone(),
        zone: Some(endpoint.zone.clone()),
        shard: Shard::for_name(&endpoint.id, n_shards as u16),
    }
}
