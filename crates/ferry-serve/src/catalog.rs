//! Resolves the route, workspace and pool of a request by the current configuration.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use ferry_model::{
    ApiKey, BatchLimits, ConfigVersion, GatewayConfig, GatewayPool, Moment, PoolId, Route,
    RouteKind, SortedMap, WorkspaceId,
};

use crate::RequestHead;

/// Longest time until a newer configuration is known to all instances that reach each other.
const SPREAD_TIME: Duration = Duration::from_secs(10);

pub type Pools = SortedMap<PoolId, GatewayPool>;

/// The current configuration, none until the first one is known, and what requests still need of
/// former ones.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    config: Option<Arc<GatewayConfig>>,
    /// The pools of the configuration. Requests share them, as they must not keep all of its keys.
    pools: Arc<Pools>,
    former_times: Vec<FormerTime>,
    /// Limits that batch pools had before, and until when items may come under them.
    former_limits: SortedMap<PoolId, (Moment, BatchLimits)>,
    /// Priorities of requests, sorted.
    ranks: Vec<Rank>,
    /// Pools of routes whose streams may be taken up, sorted.
    resumable: Vec<PoolId>,
}

/// Priority of a request, and that of its route. Where every workspace has a priority of its own,
/// the route's decides among requests of equal priority.
type Rank = (u8, u8);

/// A time limit of former configurations.
#[derive(Debug, Clone, Copy)]
struct FormerTime {
    /// When the last request ends that came under it, at any instance.
    until: Moment,
    limit: Duration,
}

/// The settings that the configuration has for a request that it allows.
#[derive(Debug, Clone, PartialEq)]
pub struct ResolvedRequest {
    pub route: Arc<Route>,
    pub pool: PoolId,
    pub pools: Arc<Pools>,
    pub workspace: Option<WorkspaceId>,
    pub priority: u8,
    /// Index of its priorities among all that the configuration has.
    pub rank: usize,
    pub n_ranks: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// No configuration is known yet.
    Unconfigured,
    NoRoute,
    UnknownKey,
    /// The request does not have one number of items for each stage of its route.
    ItemCounts,
}

impl Catalog {
    pub fn new() -> Catalog {
        Catalog::default()
    }

    /// Replaces the configuration by a newer one; returns whether it is newer.
    pub fn update(&mut self, now: Moment, config: Arc<GatewayConfig>) -> bool {
        let is_newer = self.config.as_ref().is_none_or(|it| it.version < config.version);
        if is_newer {
            self.keep_former(now, &config.pools);
            if *self.pools != config.pools {
                self.pools = Arc::new(config.pools.clone());
            }
            self.ranks = ranks(&config);
            self.resumable = resumable_pools(&config);
            self.config = Some(config);
        }
        is_newer
    }

    /// Keeps what requests that came under the current configuration still need under the next one.
    fn keep_former(&mut self, now: Moment, next: &Pools) {
        if let Some(limit) = self.longest_time_limit() {
            let until = now + limit + SPREAD_TIME;
            let is_longer = |it: &FormerTime| limit < it.limit && now <= it.until;
            self.former_times.retain(is_longer);
            self.former_times.push(FormerTime { until, limit });
        }
        self.former_limits.retain(|_, (until, _)| now <= *until);
        let Some(until) = self.former_times.iter().map(|it| it.until).max() else { return };
        for (id, pool) in self.pools.iter() {
            let Some(limits) = pool.batch_limits() else { continue };
            if next.get(id).and_then(GatewayPool::batch_limits) != Some(limits) {
                let limits = self.with_shortest_times(id, limits.clone());
                self.former_limits.insert(id.clone(), (until, limits));
            }
        }
    }

    pub fn config(&self) -> Option<&Arc<GatewayConfig>> {
        self.config.as_ref()
    }

    /// Returns the current version, zero before the first.
    pub fn version(&self) -> ConfigVersion {
        self.config.as_ref().map_or(0, |it| it.version)
    }

    /// Returns the longest time limit of requests that may be in progress at any instance.
    pub fn longest_request(&self, now: Moment) -> Option<Duration> {
        let former = self.former_times.iter().filter(|it| now <= it.until).map(|it| it.limit);
        former.chain(self.longest_time_limit()).max()
    }

    fn longest_time_limit(&self) -> Option<Duration> {
        self.config.as_ref()?.routes.iter().map(|it| it.time_limit).max()
    }

    /// Returns the pools of routes whose streams may be taken up, sorted.
    pub fn resumable_pools(&self) -> &[PoolId] {
        &self.resumable
    }

    /// Returns the shortest objective for the pauses of streams, by pool.
    pub fn max_pauses(&self) -> SortedMap<PoolId, Duration> {
        let mut max_pauses: SortedMap<PoolId, Duration> = SortedMap::new();
        for route in self.config.iter().flat_map(|it| &it.routes) {
            let Some(max_pause) = route.max_gap else { continue };
            for target in &route.targets {
                let known = max_pauses.get_or_insert_with(target.pool.clone(), || max_pause);
                *known = max_pause.min(*known);
            }
        }
        max_pauses
    }

    /// Whether the current configuration has a pool.
    pub fn has_pool(&self, pool: &str) -> bool {
        self.pools.contains_key(pool)
    }

    /// Returns the limits of a batch pool, for items of any instance: those that came under a former
    /// configuration may be for a pool that the current one no longer has.
    pub fn batch_limits(&self, pool: &str) -> Option<&BatchLimits> {
        let current = self.pools.get(pool).and_then(GatewayPool::batch_limits);
        current.or_else(|| self.former_limits.get(pool).map(|it| &it.1))
    }

    /// Returns the limits of a batch pool with the shortest times that any request in progress came
    /// under, so that none is dropped for what a newer configuration expects.
    pub fn shortest_limits(&self, now: Moment, pool: &str) -> Option<BatchLimits> {
        let limits = self.batch_limits(pool)?.clone();
        let is_in_use = self.former_limits.get(pool).is_some_and(|(until, _)| now <= *until);
        Some(if is_in_use { self.with_shortest_times(pool, limits) } else { limits })
    }

    fn with_shortest_times(&self, pool: &str, limits: BatchLimits) -> BatchLimits {
        let Some((_, former)) = self.former_limits.get(pool) else { return limits };
        BatchLimits {
            call_time: limits.call_time.min(former.call_time),
            item_time: limits.item_time.min(former.item_time),
            ..limits
        }
    }

    pub fn resolve(&self, head: &RequestHead) -> Result<ResolvedRequest, Rejection> {
        let config = self.config.as_ref().ok_or(Rejection::Unconfigured)?;
        let route = config.route(&head.host, &head.path).ok_or(Rejection::NoRoute)?;
        let owner = match (&config.keys, &head.key) {
            (None, _) => None,
            (Some(keys), Some(key)) => keys.get::<ApiKey>(key),
            (Some(_), None) => None,
        };
        if config.keys.is_some() && owner.is_none() && !route.anonymous {
            return Err(Rejection::UnknownKey);
        }
        let n_counts = head.items.len();
        if n_counts != route.stages.len() && n_counts != 0 && !route.stages.is_empty() {
            return Err(Rejection::ItemCounts);
        }
        let priority = owner.and_then(|it| it.priority).unwrap_or(route.priority);
        Ok(ResolvedRequest {
            pool: target(route, head.first_attempt()),
            pools: self.pools.clone(),
            workspace: owner.map(|it| it.workspace.clone()),
            priority,
            rank: self.ranks.binary_search(&(priority, route.priority)).unwrap_or_else(|it| it),
            n_ranks: self.ranks.len(),
            route: Arc::new(route.clone()),
        })
    }
}

fn resumable_pools(config: &GatewayConfig) -> Vec<PoolId> {
    let streams = config.routes.iter().filter(|it| it.kind == RouteKind::Stream && it.resumable);
    let mut pools: Vec<PoolId> =
        streams.flat_map(|it| &it.targets).map(|it| it.pool.clone()).collect();
    pools.sort_unstable();
    pools.dedup();
    pools
}

/// Returns the priorities that requests with stages may have, sorted.
fn ranks(config: &GatewayConfig) -> Vec<Rank> {
    let owners = config.keys.iter().flat_map(|it| it.values());
    let mut own: Vec<Option<u8>> = owners.map(|it| it.priority).collect();
    own.sort_unstable();
    own.dedup();
    let staged = config.routes.iter().filter(|it| !it.stages.is_empty());
    let mut routes: Vec<(u8, bool)> = staged.map(|it| (it.priority, it.anonymous)).collect();
    routes.sort_unstable();
    routes.dedup();
    let mut ranks: Vec<Rank> = Vec::new();
    for (priority, is_anonymous) in routes {
        if config.keys.is_none() || is_anonymous {
            ranks.push((priority, priority));
        }
        ranks.extend(own.iter().map(|it| (it.unwrap_or(priority), priority)));
    }
    ranks.sort_unstable();
    ranks.dedup();
    ranks
}

/// Divides requests among the targets by weight; an attempt always gets the same one.
fn target(route: &Route, attempt: &str) -> PoolId {
    let total: u64 = route.targets.iter().map(|it| u64::from(it.weight)).sum();
    let mut hasher = DefaultHasher::new();
    attempt.hash(&mut hasher);
    let mut rest = hasher.finish() % total.max(1);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if rest < weight {
            return target.pool.clone();
        }
        rest -= weight;
    }
    route.targets.last().map(|it| it.pool.clone()).unwrap_or_default()
}
