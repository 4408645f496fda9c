//! The other instances: which ones are alive, and what they know.

mod directory;
mod message;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{ConfigVersion, Incarnation, Moment, SortedMap};

use crate::{Identity, Tuning, rendezvous_hash};

pub use message::{Backlog, Heartbeat, JobSubmission, OriginRequest, PeerMessage};

/// Peers to which an instance sends each heartbeat; if there are more, it rotates among them.
const HEARTBEAT_FANOUT: usize = 8;
/// Peers that are told at once of what an endpoint says; each of them tells as many others.
const N_TOLD: usize = 8;
/// Maximum number of new peers to which one heartbeat is sent in addition, and the pause before the
/// next ones. The rotation alone would take seconds to reach all of a large fleet, whose instances
/// have to agree on the role of each.
const MAX_NEW_PEERS: usize = 48;
const NEW_PEERS_INTERVAL: Duration = Duration::from_millis(40);
/// Longest time by which a datagram may be overtaken by later ones.
const OVERTAKING_TIME: Duration = Duration::from_secs(1);
/// Time after which a silent peer counts as gone for good, not as cut off.
const MEMORY: Duration = Duration::from_secs(60);
/// Time after its last message for which a peer counts where the instances share something: longer
/// than most partitions, and short enough that replaced instances do not add up.
const SHARE_MEMORY: Duration = Duration::from_secs(300);
/// Instances that watch the store closely, so that two may fail at once.
const N_WATCHERS: usize = 3;
/// Hash key that separates the choice of watchers from other roles.
const WATCHERS_KEY: u64 = 0x77;

#[derive(Debug, Clone)]
pub struct PeerView {
    pub heartbeat: Heartbeat,
    pub last_heard: Moment,
    /// Whether it counts as dead until its next message.
    is_suspect: bool,
}

/// Peers by the address at which they receive datagrams.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    /// Every known address, including those of silent peers, which may return.
    known: Vec<SocketAddr>,
    views: SortedMap<SocketAddr, PeerView>,
    next_heartbeat: Moment,
    cursor: usize,
    /// Peers that are new or restarted, and have not yet been sent a heartbeat.
    unannounced: Vec<SocketAddr>,
    /// Peers that are not asked for permits, and until when.
    avoided: SortedMap<SocketAddr, Moment>,
}

impl Peers {
    pub fn new() -> Peers {
        Peers::default()
    }

    /// Adds addresses of registered instances.
    pub fn add_known(&mut self, addresses: &[SocketAddr], own: SocketAddr) {
        for address in addresses {
            if let Err(idx) = self.known.binary_search(address)
                && *address != own
            {
                self.known.insert(idx, *address);
                self.unannounced.push(*address);
            }
        }
    }

    /// Processes a heartbeat; returns whether the peer is new or was restarted.
    pub fn on_heartbeat(&mut self, now: Moment, from: SocketAddr, heartbeat: Heartbeat) -> bool {
        if let Err(idx) = self.known.binary_search(&from) {
            self.known.insert(idx, from);
        }
        if self.is_overtaken(now, from, heartbeat.incarnation) {
            return false;
        }
        let before = self.views.get(&from);
        let is_new = before.is_none_or(|it| it.heartbeat.incarnation != heartbeat.incarnation);
        self.views.insert(from, PeerView { heartbeat, last_heard: now, is_suspect: false });
        if is_new && !self.unannounced.contains(&from) {
            self.unannounced.push(from);
            self.next_heartbeat = self.next_heartbeat.min(now + NEW_PEERS_INTERVAL);
        }
        is_new
    }

    /// Whether a heartbeat is of a process that another one has replaced at its address.
    ///
    /// Incarnations begin with the time of the start, by a clock that may have been set back since, so
    /// that a lower one may be of a later process. It counts once the known process is silent.
    pub fn is_overtaken(&self, now: Moment, from: SocketAddr, incarnation: Incarnation) -> bool {
        self.views.get(&from).is_some_and(|it| {
            incarnation < it.heartbeat.incarnation && now < it.last_heard + OVERTAKING_TIME
        })
    }

    pub fn get(&self, address: SocketAddr) -> Option<&PeerView> {
        self.views.get(&address)
    }

    /// Returns the peers from which a message arrived recently.
    pub fn live<'a>(
        &'a self,
        now: Moment,
        tuning: &Tuning,
    ) -> impl Iterator<Item = (SocketAddr, &'a PeerView)> {
        let timeout = self.timeout(tuning);
        self.views
            .iter()
            .filter(move |(_, it)| !it.is_suspect && now < it.last_heard + timeout)
            .map(|(address, it)| (*address, it))
    }

    /// Counts this instance and the live peers.
    pub fn n_instances(&self, now: Moment, tuning: &Tuning) -> usize {
        1 + self.live(now, tuning).count()
    }

    pub fn next_wake(&self) -> Moment {
        self.next_heartbeat
    }

    /// Returns the recipients of the heartbeat that is due now, including the owners of jobs; none
    /// if no heartbeat is due.
    pub fn due(&mut self, now: Moment, tuning: &Tuning, owners: &[SocketAddr]) -> Vec<SocketAddr> {
        if now < self.next_heartbeat {
            return Vec::new();
        }
        let n_new = self.unannounced.len().min(MAX_NEW_PEERS);
        let new_peers: Vec<SocketAddr> = self.unannounced.drain(..n_new).collect();
        self.next_heartbeat = now
            + if self.unannounced.is_empty() {
                tuning.heartbeat_interval
            } else {
                NEW_PEERS_INTERVAL
            };
        let n_peers = self.known.len();
        let n_sent = n_peers.min(HEARTBEAT_FANOUT);
        let first = self.cursor;
        self.cursor = (self.cursor + n_sent) % n_peers.max(1);
        let rotated = (0..n_sent).map(|it| self.known[(first + it) % n_peers]);
        let mut due: Vec<SocketAddr> =
            rotated.chain(owners.iter().copied()).chain(new_peers).collect();
        due.sort_unstable();
        due.dedup();
        due
    }

    /// Makes the next heartbeat due at once, as there is a change to report.
    pub fn heartbeat_now(&mut self, now: Moment) {
        self.next_heartbeat = now;
    }

    /// Whether this instance is one of the few that watch the store closely; the others learn from
    /// them what they have missed.
    pub fn is_watcher(&self, now: Moment, tuning: &Tuning, own: &Identity) -> bool {
        let rank = rendezvous_hash(WATCHERS_KEY, &own.instance);
        let ahead = self
            .live(now, tuning)
            .filter(|(_, it)| rank < rendezvous_hash(WATCHERS_KEY, &it.heartbeat.instance));
        ahead.count() < N_WATCHERS
    }

    /// Whether a live peer has said since a moment that it reaches a pool.
    pub fn reach(&self, now: Moment, tuning: &Tuning, pool: &str, since: Moment) -> bool {
        let mut live = self.live(now, tuning).map(|it| it.1).filter(|it| since <= it.last_heard);
        live.any(|it| it.heartbeat.reached.iter().any(|it| it == pool))
    }

    /// Returns the live peers that have a newer configuration or newer entries, with the version of
    /// their configuration.
    pub fn ahead(
        &self,
        now: Moment,
        tuning: &Tuning,
        version: ConfigVersion,
        last_change: u64,
    ) -> Vec<(SocketAddr, ConfigVersion)> {
        let is_ahead = |it: &PeerView| {
            version < it.heartbeat.version || last_change < it.heartbeat.last_change
        };
        let ahead = self.live(now, tuning).filter(|(_, it)| is_ahead(it));
        ahead.map(|(address, it)| (address, it.heartbeat.version)).collect()
    }

    /// Whether a live peer knows of a later change of an endpoint.
    pub fn has_newer_endpoints(&self, now: Moment, tuning: &Tuning, last_change: u64) -> bool {
        self.live(now, tuning).any(|(_, it)| last_change < it.heartbeat.last_change)
    }

    /// Returns the peer that does the work identified by `key` for all instances; none if this
    /// instance does.
    ///
    /// An instance that is overloaded or cut off from endpoints is chosen only if all of them are.
    pub fn coordinator(
        &self,
        now: Moment,
        tuning: &Tuning,
        own: &Identity,
        is_hindered: bool,
        key: u64,
    ) -> Option<SocketAddr> {
        let me = (!is_hindered, weighted_score(key, &own.instance, own.weight), None);
        let peers = self.scores(now, tuning, key);
        let peers = peers.map(|(at, it, score)| (!it.is_hindered(), score, Some(at)));
        let best = peers.chain([me]).max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.and_then(|it| it.2)
    }

    /// Returns the peer that grants the permits identified by `key`; none if this instance does, which
    /// does not unless it `is_willing` or is alone.
    ///
    /// Whether a peer is overloaded is known from its last heartbeat, which may be seconds old: two
    /// instances that differ on it would both grant. A limiter says itself that it is not willing.
    pub fn limiter(
        &self,
        now: Moment,
        tuning: &Tuning,
        own: &Identity,
        is_willing: bool,
        key: u64,
    ) -> Option<SocketAddr> {
        let me = (weighted_score(key, &own.instance, own.weight), None);
        let peers = self.scores(now, tuning, key).filter(|it| !self.is_avoided(now, it.0));
        let peers = peers.map(|(at, _, score)| (score, Some(at)));
        let best = peers.chain(is_willing.then_some(me)).max_by(|a, b| a.0.total_cmp(&b.0));
        best.and_then(|it| it.1)
    }

    /// Returns the peers that work for others, and their scores for the work identified by `key`.
    fn scores<'a>(
        &'a self,
        now: Moment,
        tuning: &Tuning,
        key: u64,
    ) -> impl Iterator<Item = (SocketAddr, &'a Heartbeat, f64)> {
        let peers = self.live(now, tuning).map(|(address, it)| (address, &it.heartbeat));
        let peers = peers.filter(|it| it.1.accepts_work());
        peers.map(move |(address, it)| (address, it, weighted_score(key, &it.instance, it.weight)))
    }

    /// Returns the live peers that keep what belongs to `key`, best first. The choice changes little as
    /// peers come and go.
    pub fn ranked(
        &self,
        now: Moment,
        tuning: &Tuning,
        key: impl Hash,
        n_peers: usize,
    ) -> Vec<SocketAddr> {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        let key = hasher.finish();
        let live = self.live(now, tuning).filter(|(_, it)| !it.heartbeat.is_leaving);
        let rank = |(address, it): (SocketAddr, &PeerView)| {
            (rendezvous_hash(key, &it.heartbeat.instance), address)
        };
        let mut ranked: Vec<(u64, SocketAddr)> = live.map(rank).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|it| it.1).take(n_peers).collect()
    }

    /// Returns the peers that this instance tells at once of what an endpoint has said.
    pub fn told(
        &self,
        now: Moment,
        tuning: &Tuning,
        own: &Identity,
        endpoint: &str,
    ) -> Vec<SocketAddr> {
        self.ranked(now, tuning, (endpoint, &own.instance), N_TOLD)
    }

    /// Returns the first of this instance, which none stands for, and the live peers in the order of
    /// [`Peers::ranked`].
    pub fn ranked_with(
        &self,
        now: Moment,
        tuning: &Tuning,
        own: &Identity,
        key: impl Hash,
        n_instances: usize,
    ) -> Vec<Option<SocketAddr>> {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        let key = hasher.finish();
        let live = self.live(now, tuning).filter(|(_, it)| !it.heartbeat.is_leaving);
        let rank = |(address, it): (SocketAddr, &PeerView)| {
            (rendezvous_hash(key, &it.heartbeat.instance), Some(address))
        };
        let me = (rendezvous_hash(key, &own.instance), None);
        let mut ranked: Vec<(u64, Option<SocketAddr>)> = live.map(rank).chain([me]).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|it| it.1).take(n_instances).collect()
    }

    /// Whether a peer that got a job at `since` still works on it: it sends each of its heartbeats
    /// to the owners of its jobs. An overloaded peer keeps its jobs, as moving them would repeat
    /// work in progress.
    pub fn still_works(
        &self,
        now: Moment,
        tuning: &Tuning,
        address: SocketAddr,
        since: Moment,
    ) -> bool {
        let Some(view) = self.views.get(&address) else { return false };
        let last_heard = if view.is_suspect { Moment::ZERO } else { view.last_heard };
        now < last_heard.max(since) + tuning.peer_timeout
    }

    /// Treats a peer as dead until its next message.
    pub fn suspect(&mut self, address: SocketAddr) {
        if let Some(view) = self.views.get_mut(&address) {
            view.is_suspect = true;
        }
    }

    /// Asks a peer for no permits until then; returns whether it was asked so far.
    pub fn avoid(&mut self, now: Moment, address: SocketAddr, time: Duration) -> bool {
        let was_asked = !self.is_avoided(now, address);
        self.avoided.insert(address, now + time);
        was_asked
    }

    pub fn stop_avoiding_one(&mut self, address: SocketAddr) {
        self.avoided.remove(&address);
    }

    /// Lets all peers be asked for permits again; returns whether one was avoided.
    pub fn stop_avoiding(&mut self, now: Moment) -> bool {
        std::mem::take(&mut self.avoided).values().any(|it| now < *it)
    }

    /// Returns the peers that are not asked for permits.
    pub fn avoided(&self, now: Moment) -> Vec<SocketAddr> {
        self.avoided.iter().filter(|it| now < *it.1).map(|it| *it.0).collect()
    }

    fn is_avoided(&self, now: Moment, address: SocketAddr) -> bool {
        self.avoided.get(&address).is_some_and(|it| now < *it)
    }

    /// Returns the number of instances that may be alive although none of them is heard.
    pub fn n_expected(&self, now: Moment) -> usize {
        1 + if now < MEMORY { self.known.len() } else { 0 }
    }

    /// Counts this instance, the peers that were heard within some minutes, and those of which only
    /// the address is known so far.
    pub fn n_remembered(&self, now: Moment) -> usize {
        let is_remembered = |address: &&SocketAddr| {
            let last_heard = self.views.get(*address).map_or(Moment::ZERO, |it| it.last_heard);
            now < last_heard + SHARE_MEMORY
        };
        1 + self.known.iter().filter(is_remembered).count()
    }

    /// Returns the peers that were alive lately; those that are silent may be cut off.
    pub fn recent(&self, now: Moment) -> Vec<SocketAddr> {
        let is_recent = |it: &PeerView| now < it.last_heard + MEMORY && !it.heartbeat.is_leaving;
        self.views.iter().filter(|(_, it)| is_recent(it)).map(|it| *it.0).collect()
    }

    /// Whether a heartbeat of an instance has arrived within [`MEMORY`].
    pub fn was_heard(&self, now: Moment, instance: &str) -> bool {
        let is_recent = |it: &&PeerView| now < it.last_heard + MEMORY;
        self.views.values().filter(is_recent).any(|it| it.heartbeat.instance == instance)
    }

    /// Returns the time in which each peer gets a heartbeat.
    pub fn round_time(&self, tuning: &Tuning) -> Duration {
        tuning.heartbeat_interval * self.n_rounds()
    }

    /// Returns the silence after which a peer is considered dead; it grows with the number of
    /// heartbeats needed to reach all peers.
    fn timeout(&self, tuning: &Tuning) -> Duration {
        tuning.peer_timeout * self.n_rounds()
    }

    fn n_rounds(&self) -> u32 {
        self.known.len().div_ceil(HEARTBEAT_FANOUT).max(1) as u32
    }
}

/// Returns a score; over many keys, an instance has the highest one in proportion to its weight.
fn weighted_score(key: u64, instance: &str, weight: f64) -> f64 {
    let uniform = (rendezvous_hash(key, instance) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -weight.max(f64::MIN_POSITIVE) / uniform.ln()
}
