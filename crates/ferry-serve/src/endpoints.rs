//! What is known of each endpoint: its entry, its load and how its calls went.

mod delta;
mod observe;

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{EndpointId, EndpointState, GatewayEndpoint, Moment, PoolId, SortedMap, ZoneId};
use serde::{Deserialize, Serialize};

use crate::{StoreNews, Tuning};

use delta::Changes;

pub use delta::Delta;
pub use observe::{Observation, Observations};

/// Weight of the newest observation in averages.
const NEWEST: f64 = 0.3;
/// Time after which a load report says nothing any more.
const REPORT_LIFE: Duration = Duration::from_millis(600);
/// Time for which an engine is taken to keep a part of a prompt.
const CACHE_LIFE: Duration = Duration::from_secs(20);
/// Parts remembered for each engine.
const CACHE_PARTS: usize = 1024;
/// Failures in a row after which the pause grows no more.
const MAX_STRIKES: u32 = 6;

/// An endpoint's own words about its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
}

#[derive(Debug, Clone)]
pub struct EndpointView {
    pub endpoint: GatewayEndpoint,
    /// Calls of this process in progress.
    pub outstanding: u32,
    /// Observed times over expected ones.
    pub slow: f64,
    /// Share of calls that failed lately.
    pub fails: f64,
    report: Option<(Moment, LoadReport)>,
    strikes: u32,
    blocked: Moment,
    /// Missing from the list since the store's return.
    is_absent: bool,
    /// Chains of prompt parts and when each was used last.
    parts: SortedMap<u64, Moment>,
}

impl EndpointView {
    fn new(endpoint: GatewayEndpoint) -> EndpointView {
        EndpointView {
            endpoint,
            outstanding: 0,
            slow: 1.0,
            fails: 0.0,
            report: None,
            strikes: 0,
            blocked: Moment::ZERO,
            is_absent: false,
            parts: SortedMap::new(),
        }
    }

    /// Whether it may get new work; one that failed lately may not, for a while.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.takes_work() && self.blocked <= now
    }

    pub fn takes_work(&self) -> bool {
        self.endpoint.state == EndpointState::Live
    }

    pub fn blocked_until(&self) -> Moment {
        self.blocked
    }

    /// Requests at the endpoint: those of this process, or what it said itself if that is more.
    pub fn occupancy(&self, now: Moment) -> u32 {
        let reported = match self.report {
            Some((at, report)) if now < at + REPORT_LIFE => report.running + report.waiting,
            Some(_) | None => 0,
        };
        self.outstanding.max(reported)
    }

    pub fn reported(&mut self, now: Moment, report: Option<LoadReport>) {
        if let Some(report) = report {
            self.report = Some((now, report));
        }
    }

    /// Notes a call that went well and how long it took over what was expected.
    pub fn succeeded(&mut self, ratio: f64) {
        self.slow += NEWEST * (ratio - self.slow);
        self.fails -= NEWEST * self.fails;
        self.strikes = 0;
    }

    /// Notes an answer that says that the run failed.
    pub fn answered_error(&mut self) {
        self.fails += NEWEST * (1.0 - self.fails);
        self.strikes = 0;
    }

    /// Notes a call that got no answer, and gives the endpoint a pause.
    pub fn failed(&mut self, now: Moment, tuning: &Tuning) {
        self.fails += NEWEST * (1.0 - self.fails);
        let pause = tuning.eject * (1 << self.strikes.min(MAX_STRIKES));
        self.strikes += 1;
        self.block(now + pause.min(tuning.eject_max));
    }

    /// Notes that a call takes longer than expected, before it has ended.
    pub fn is_late(&mut self, ratio: f64) {
        self.slow = self.slow.max(ratio);
    }

    pub fn block(&mut self, until: Moment) {
        self.blocked = self.blocked.max(until);
    }

    /// Returns how many tokens of the chain the endpoint is taken to have cached.
    pub fn cached(&self, now: Moment, chain: &[(u64, u32)]) -> u32 {
        let is_kept = |hash: &u64| self.parts.get(hash).is_some_and(|at| now < *at + CACHE_LIFE);
        chain.iter().take_while(|(hash, _)| is_kept(hash)).map(|(_, tokens)| tokens).sum()
    }

    pub fn cache(&mut self, now: Moment, chain: &[(u64, u32)]) {
        if CACHE_PARTS <= self.parts.len() + chain.len() {
            self.parts.retain(|_, at| now < *at + CACHE_LIFE);
        }
        for (hash, _) in chain {
            self.parts.insert(*hash, now);
        }
    }
}

/// All endpoints that may be used, by id and by pool.
#[derive(Debug, Clone, Default)]
pub struct Endpoints {
    views: SortedMap<EndpointId, EndpointView>,
    pools: SortedMap<PoolId, Vec<EndpointId>>,
    zones: SortedMap<SocketAddr, ZoneId>,
    /// Revision of the store that the entries show.
    stamp: u64,
    /// Revision of the last change among them, as far as it is known.
    news: u64,
    changes: Changes,
    is_lost: bool,
    /// End of the time in which endpoints register again after the store's return.
    rejoin: Option<Moment>,
}

impl Endpoints {
    pub fn new() -> Endpoints {
        Endpoints::default()
    }

    pub fn get(&self, id: &str) -> Option<&EndpointView> {
        self.views.get(id)
    }

    pub fn get_mut(&mut self, id: &str) -> Option<&mut EndpointView> {
        self.views.get_mut(id)
    }

    /// Returns the endpoints of a pool, sorted by id.
    pub fn pool(&self, pool: &str) -> impl Iterator<Item = &EndpointView> {
        let ids = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        ids.iter().filter_map(|it| self.views.get(it))
    }

    /// Returns the availability zone of the endpoint with this address.
    pub fn zone_at(&self, address: SocketAddr) -> Option<&ZoneId> {
        self.zones.get(&address)
    }

    /// Returns the entries that the store shows; those that may only have lapsed are not among
    /// them, as a peer that reads them would take them for present.
    pub fn listed(&self) -> impl Iterator<Item = &GatewayEndpoint> {
        self.views.values().filter(|it| !it.is_absent).map(|it| &it.endpoint)
    }

    pub fn len(&self) -> usize {
        self.views.len()
    }

    pub fn is_empty(&self) -> bool {
        self.views.is_empty()
    }

    pub fn stamp(&self) -> u64 {
        self.stamp
    }

    /// Returns the revision of the last change, which peers compare: the store's own grows with each
    /// write to it.
    pub fn news(&self) -> u64 {
        self.news
    }

    /// Whether the store does not answer this process.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    pub fn next_wake(&self) -> Option<Moment> {
        self.rejoin
    }

    /// Takes news of the store; returns whether they changed anything.
    pub fn apply(&mut self, now: Moment, tuning: &Tuning, news: StoreNews) -> bool {
        let is_changed = match news {
            StoreNews::List { stamp, endpoints } => self.replace(now, stamp, endpoints),
            // A peer or a list has told what came after it.
            StoreNews::Changed { stamp, .. } | StoreNews::Removed { stamp, .. }
                if stamp < self.stamp =>
            {
                false
            }
            StoreNews::Changed { stamp, endpoint } => {
                self.stamp = self.stamp.max(stamp);
                self.put(stamp, endpoint)
            }
            StoreNews::Removed { stamp, id } => {
                self.stamp = self.stamp.max(stamp);
                self.remove(now, stamp, &id)
            }
            StoreNews::Peer(delta) => self.join(now, delta),
            StoreNews::Lost => {
                self.is_lost = true;
                false
            }
            StoreNews::Back => {
                self.is_lost = false;
                self.rejoin = Some(now + tuning.rejoin);
                false
            }
        };
        if is_changed {
            self.index();
        }
        is_changed
    }

    /// Drops the entries that have not come back after the store's return.
    pub fn tick(&mut self, now: Moment) {
        if self.rejoin.is_none_or(|it| now < it) {
            return;
        }
        self.rejoin = None;
        let gone: Vec<EndpointId> = self
            .views
            .values()
            .filter(|it| it.is_absent)
            .map(|it| it.endpoint.id.clone())
            .collect();
        for id in gone {
            self.views.remove(&id);
            self.note(self.stamp, &id);
        }
        self.index();
    }

    /// Whether a missing entry may only have lapsed while the store was away.
    fn may_have_lapsed(&self, now: Moment) -> bool {
        self.is_lost || self.rejoin.is_some_and(|it| now < it)
    }

    fn replace(&mut self, now: Moment, stamp: u64, endpoints: Vec<GatewayEndpoint>) -> bool {
        if stamp < self.stamp {
            return false;
        }
        let is_first = self.stamp == 0;
        self.stamp = stamp;
        let mut ids: Vec<EndpointId> = endpoints.iter().map(|it| it.id.clone()).collect();
        ids.sort();
        let missing: Vec<EndpointId> =
            self.views.keys().filter(|it| ids.binary_search(it).is_err()).cloned().collect();
        let mut is_changed = false;
        for id in missing {
            is_changed |= self.remove(now, stamp, &id);
        }
        for endpoint in endpoints {
            is_changed |= self.put(stamp, endpoint);
        }
        if is_first {
            // What it read first is no news for those that run already.
            self.changes.begin(stamp);
            self.news = 0;
        }
        is_changed
    }

    fn note(&mut self, stamp: u64, id: &str) {
        self.news = self.news.max(stamp);
        self.changes.note(stamp, id);
    }

    fn put(&mut self, stamp: u64, endpoint: GatewayEndpoint) -> bool {
        let id = endpoint.id.clone();
        let is_changed = self.put_view(endpoint);
        if is_changed {
            self.note(stamp, &id);
        }
        is_changed
    }

    fn put_view(&mut self, endpoint: GatewayEndpoint) -> bool {
        let id = endpoint.id.clone();
        let Some(view) = self.views.get_mut(&id) else {
            self.views.insert(id, EndpointView::new(endpoint));
            return true;
        };
        view.is_absent = false;
        let is_new_life = view.endpoint.started != endpoint.started
            || view.endpoint.address != endpoint.address
            || view.endpoint.pool != endpoint.pool;
        if is_new_life {
            *view = EndpointView::new(endpoint);
            return true;
        }
        let is_changed = view.endpoint != endpoint;
        view.endpoint = endpoint;
        is_changed
    }

    fn remove(&mut self, now: Moment, stamp: u64, id: &str) -> bool {
        let may_lapse = self.may_have_lapsed(now);
        let Some(view) = self.views.get_mut(id) else { return false };
        if may_lapse && view.takes_work() {
            view.is_absent = true;
            return false;
        }
        self.views.remove(id);
        self.note(stamp, id);
        true
    }

    fn index(&mut self) {
        self.pools = SortedMap::new();
        self.zones = SortedMap::new();
        for (id, view) in self.views.iter() {
            let endpoint = &view.endpoint;
            self.pools.get_or_insert_with(endpoint.pool.clone(), Vec::new).push(id.clone());
            self.zones.insert(endpoint.address, endpoint.zone.clone());
        }
    }
}
