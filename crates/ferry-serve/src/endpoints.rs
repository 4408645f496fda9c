//! What is known of each endpoint: its entry, its load and the results of its calls.

mod builds;
mod cold;
mod delta;
mod departed;
mod evacuation;
mod leaving;
mod missing;
mod notices;
mod observe;
mod pause;
mod prompt;
mod rate_limit;
mod results;
mod statements;

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{
    EndpointId, EndpointState, GatewayEndpoint, Moment, PoolId, SortedMap, StorePosition, ZoneId,
    store_era,
};
use serde::{Deserialize, Serialize};

use crate::{StoreUpdate, Tuning};

use cold::{Cold, ColdPace};
use delta::Changes;
use departed::Departed;
use evacuation::Evacuations;
use statements::Statements;

pub use cold::ColdChange;
pub use delta::EndpointsDelta;
pub use evacuation::EvacuatedZones;
pub use leaving::{HealthReport, LeavingReport};
pub use notices::{EndpointNotice, Restriction};
pub use observe::{Observation, Observations};
pub use pause::PauseReport;
pub use rate_limit::{LimitChange, LimitNotice, LimitReport, RequestRate};

/// Time for which a load report is used.
const REPORT_TTL: Duration = Duration::from_millis(600);
/// Interval at which invalid headers in responses of an endpoint are logged.
const INVALID_INTERVAL: Duration = Duration::from_secs(10);

/// Load that an endpoint reports of itself.
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
    /// Average ratio of observed to expected time.
    pub slowdown: f64,
    /// Average fraction of recent calls that failed.
    pub failure_rate: f64,
    report: Option<(Moment, LoadReport)>,
    failure_streak: u32,
    paused: Moment,
    /// What it has said of itself in responses.
    statements: Statements,
    cold: Cold,
    /// Store revision at which its entry was last read.
    revision: u64,
    /// Store revision at which a peer has read that it leaves or is gone; none if this instance has
    /// read as much.
    withdrawn: Option<u64>,
    /// Until when no more invalid headers of its responses are logged.
    invalid_until: Moment,
    /// Whether it gets nothing until its build is recorded; see [`Endpoints::withhold`].
    is_withheld: bool,
    /// Whether its zone is evacuated, or it is not known yet which ones are.
    is_evacuated: bool,
    /// Since when its entry may be missing, if it may only have expired while the store was
    /// unreachable.
    missing_since: Option<Moment>,
    /// Hashes of prompt prefixes, and when each was last used.
    parts: SortedMap<u64, Moment>,
}

impl EndpointView {
    fn new(endpoint: GatewayEndpoint, revision: u64) -> EndpointView {
        EndpointView {
            endpoint,
            outstanding: 0,
            slowdown: 1.0,
            failure_rate: 0.0,
            report: None,
            failure_streak: 0,
            paused: Moment::ZERO,
            statements: Statements::default(),
            cold: Cold::default(),
            revision,
            withdrawn: None,
            invalid_until: Moment::ZERO,
            is_withheld: false,
            is_evacuated: false,
            missing_since: None,
            parts: SortedMap::new(),
        }
    }

    /// Whether it should get new work; one that failed recently gets none for a while.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.is_open(now) && self.paused <= now
    }

    /// Whether it may get new work now, as far as it has said itself.
    pub fn is_open(&self, now: Moment) -> bool {
        self.accepts_work() && self.next_call() <= now
    }

    /// Whether it may get work, now or after a pause.
    pub fn accepts_work(&self) -> bool {
        self.may_be_called() && !self.is_withheld
    }

    /// Whether its entry, here or at a peer, or a response of it says that it leaves.
    pub fn leaves(&self) -> bool {
        !self.is_listed_live() || self.has_announced() || self.withdrawn.is_some()
    }

    /// Whether its entry says that it accepts work. Instances that have to agree on something go by
    /// that: not all of them have received an announcement.
    pub fn is_listed_live(&self) -> bool {
        self.endpoint.state == EndpointState::Live
    }

    /// Records that a header of its responses is invalid; returns whether to log it.
    pub fn note_invalid(&mut self, now: Moment) -> bool {
        let is_due = self.invalid_until <= now;
        if is_due {
            self.invalid_until = now + INVALID_INTERVAL;
        }
        is_due
    }

    /// Whether it has the build, if one is needed.
    pub fn has_build(&self, build: Option<&str>) -> bool {
        build.is_none_or(|it| it == self.endpoint.build)
    }

    pub fn paused_until(&self) -> Moment {
        self.paused.max(self.next_call())
    }

    /// Requests at the endpoint: those of this process, or the number that it reports if that is
    /// higher.
    pub fn occupancy(&self, now: Moment) -> u32 {
        let reported = match self.report {
            Some((at, report)) if now < at + REPORT_TTL => report.running + report.waiting,
            Some(_) | None => 0,
        };
        self.outstanding.max(reported)
    }

    pub fn pause_until(&mut self, until: Moment) {
        self.paused = self.paused.max(until);
    }
}

/// All known endpoints, by id and by pool.
#[derive(Debug, Clone, Default)]
pub struct Endpoints {
    views: SortedMap<EndpointId, EndpointView>,
    pools: SortedMap<PoolId, Vec<EndpointId>>,
    zones: SortedMap<SocketAddr, ZoneId>,
    /// Number of changes so far to the endpoints that may get work.
    n_changes: u64,
    /// Store position of the entries.
    revision: StorePosition,
    /// Position of the last known change among them.
    last_change: StorePosition,
    changes: Changes,
    departed: Departed,
    evacuations: Evacuations,
    /// What cold endpoints take, by pool.
    paces: SortedMap<PoolId, ColdPace>,
    cold_changes: Vec<ColdChange>,
    /// Whether the first list was applied, whose endpoints may have started long ago.
    has_list: bool,
    is_store_down: bool,
    /// Time before the last answer of the store from which on changes may have been missed; none if it is
    /// not known.
    gap: Option<Duration>,
    /// End of the time in which endpoints may register again after the store became reachable.
    rejoin_until: Option<Moment>,
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

    /// Whether the endpoint with this address takes calls that serve no request.
    pub fn takes_messages_at(&self, now: Moment, address: SocketAddr) -> bool {
        let takes_messages = |it: &EndpointView| {
            it.may_be_called() && !it.wants_pause(now) && it.rate_limit().is_none()
        };
        let mut at = self.views.values().filter(|it| it.endpoint.address == address).peekable();
        at.peek().is_some() && at.all(takes_messages)
    }

    /// Returns the entries in the store, without those that may only have expired, as a peer that
    /// reads them would take them for present.
    pub fn listed(&self) -> impl Iterator<Item = &GatewayEndpoint> {
        self.views.values().filter(|it| it.missing_since.is_none()).map(|it| &it.endpoint)
    }

    pub fn len(&self) -> usize {
        self.views.len()
    }

    pub fn is_empty(&self) -> bool {
        self.views.is_empty()
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether a list was received from the store or from a peer, and the evacuated zones if the
    /// deployment has them.
    pub fn is_known(&self) -> bool {
        0 < self.revision && self.evacuations.is_known()
    }

    /// Returns the revision of the last change. Peers compare it instead of the store's revision,
    /// which grows with each write to the store.
    pub fn last_change(&self) -> u64 {
        self.last_change.max(self.evacuations.last_change)
    }

    /// Whether the store does not answer this process.
    pub fn is_store_down(&self) -> bool {
        self.is_store_down
    }

    /// Applies an update of the store; returns whether it changed anything.
    pub fn apply(&mut self, now: Moment, tuning: &Tuning, update: StoreUpdate) -> bool {
        let is_changed = match update {
            StoreUpdate::List { revision, endpoints } => self.replace(now, revision, endpoints),
            // A peer or a list already contained a later state.
            StoreUpdate::Changed { revision, .. }
            | StoreUpdate::Removed { revision, .. }
            | StoreUpdate::Unreadable { revision, .. }
                if revision < self.revision =>
            {
                false
            }
            StoreUpdate::Changed { revision, endpoint } => {
                self.revision = self.revision.max(revision);
                self.put(now, revision, endpoint)
            }
            StoreUpdate::Removed { revision, id } => {
                self.revision = self.revision.max(revision);
                self.remove(now, revision, &id)
            }
            StoreUpdate::Unreadable { revision, id } => self.discard(now, revision, &id),
            StoreUpdate::Peer(delta) => self.merge(now, tuning, delta),
            StoreUpdate::EvacuatedZones(zones) => {
                self.replace_zones(now, tuning.rejoin_window, &zones)
            }
            StoreUpdate::Evacuated { revision, zone } => self.set_zone(now, revision, &zone, true),
            StoreUpdate::Readmitted { revision, zone } => {
                self.set_zone(now, revision, &zone, false)
            }
            StoreUpdate::Unreachable => {
                self.is_store_down = true;
                false
            }
            StoreUpdate::Answered { gap } => {
                self.gap = Some(gap);
                false
            }
            StoreUpdate::Reachable => {
                self.is_store_down = false;
                if self.gap.is_none_or(|it| tuning.renewal <= it) {
                    self.rejoin_until = Some(now + tuning.rejoin_window);
                }
                false
            }
            // Entries that the copy lacks are written again.
            StoreUpdate::Restored => {
                self.is_store_down = false;
                self.rejoin_until = Some(now + tuning.rejoin_window);
                false
            }
        };
        let is_changed = self.end_withdrawals() || is_changed;
        if is_changed {
            self.index();
        }
        is_changed
    }

    fn replace(&mut self, now: Moment, revision: u64, endpoints: Vec<GatewayEndpoint>) -> bool {
        if revision < self.revision {
            return false;
        }
        let is_first = self.revision == 0;
        if store_era(self.revision) < store_era(revision) {
            // Peers may have read changes of the former era that this instance has not, and that the
            // store has lost.
            self.changes.reset(revision);
        }
        self.revision = revision;
        let mut ids: Vec<EndpointId> = endpoints.iter().map(|it| it.id.clone()).collect();
        ids.sort();
        let missing: Vec<EndpointId> =
            self.views.keys().filter(|it| ids.binary_search(it).is_err()).cloned().collect();
        let mut is_changed = false;
        for id in missing {
            is_changed |= self.remove(now, revision, &id);
        }
        for endpoint in endpoints {
            is_changed |= self.put(now, revision, endpoint);
        }
        self.has_list = true;
        if is_first {
            // The first list is not a change for instances that already run.
            self.changes.reset(revision);
            self.last_change = 0;
        }
        is_changed
    }

    fn record_change(&mut self, revision: u64, id: &str) {
        self.last_change = self.last_change.max(revision);
        self.changes.record_change(revision, id);
    }

    fn put(&mut self, now: Moment, revision: u64, endpoint: GatewayEndpoint) -> bool {
        let id = endpoint.id.clone();
        let is_changed = self.put_view(now, revision, endpoint);
        if is_changed {
            self.record_change(revision, &id);
        }
        is_changed
    }

    fn put_view(&mut self, now: Moment, revision: u64, endpoint: GatewayEndpoint) -> bool {
        let id = endpoint.id.clone();
        let Some(view) = self.views.get_mut(&id) else {
            self.insert(now, revision, endpoint);
            return true;
        };
        let was_missing = view.missing_since.take().is_some();
        let is_restarted = view.endpoint.started != endpoint.started
            || view.endpoint.address != endpoint.address
            || view.endpoint.pool != endpoint.pool
            || view.endpoint.build != endpoint.build;
        if is_restarted {
            self.restart(now, revision, endpoint);
            return true;
        }
        // Peers may have removed a missing entry, and learn from this instance that it is back.
        // An endpoint that warms up writes its entry again and again.
        let before = GatewayEndpoint { cold_left: endpoint.cold_left, ..view.endpoint.clone() };
        let is_changed = was_missing || before != endpoint;
        let cold_left = endpoint.cold_left;
        // A copy of an entry that was read before says nothing new.
        let has_news = cold_left != view.endpoint.cold_left;
        let (was_cold, started) = (view.is_cold(), endpoint.started);
        view.endpoint = endpoint;
        view.revision = revision;
        if has_news {
            self.record_cold(now, &id, started, cold_left);
        }
        is_changed || (!was_cold && self.get(&id).is_some_and(EndpointView::is_cold))
    }

    fn remove(&mut self, now: Moment, revision: u64, id: &str) -> bool {
        let may_lapse = self.may_have_lapsed(now);
        let gap = self.gap.filter(|_| !self.is_store_down).unwrap_or_default();
        let Some(view) = self.views.get_mut(id) else { return false };
        if may_lapse && !view.leaves() {
            view.missing_since.get_or_insert(now.saturating_sub(gap));
            return false;
        }
        self.forget(now, revision, id);
        self.record_change(revision, id);
        true
    }

    /// Removes an endpoint whose entry is there, so that it has not lapsed, but names none.
    fn discard(&mut self, now: Moment, revision: u64, id: &str) -> bool {
        if self.get(id).is_none() {
            return false;
        }
        self.revision = self.revision.max(revision);
        self.forget(now, revision, id);
        self.record_change(revision, id);
        true
    }

    fn index(&mut self) {
        self.n_changes += 1;
        self.pools = SortedMap::new();
        self.zones = SortedMap::new();
        for (id, view) in self.views.iter() {
            let endpoint = &view.endpoint;
            self.pools.get_or_insert_with(endpoint.pool.clone(), Vec::new).push(id.clone());
            self.zones.insert(endpoint.address, endpoint.zone.clone());
        }
        self.mark_evacuated();
    }
}
