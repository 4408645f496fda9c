//! The other instances: who lives, what they know, and what they say to each other.
//!
//! Peers exchange datagrams that may be lost, doubled or late; each message may be repeated without
//! harm. docs/design/platform.md says why no connection is kept between instances.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{ConfigVersion, Incarnation, InstanceId, Moment, SortedMap, ZoneId};
use serde::{Deserialize, Serialize};

use crate::admission::{AdmissionRequest, N_CLASSES, Verdict};
use crate::{
    CallerAttempt, Group, Identity, ItemInput, JobKey, JobOutcome, Observation, Tuning,
    rendezvous_hash,
};

/// Peers that get each heartbeat of an instance; more get theirs in turns.
const HEARTBEAT_FANOUT: usize = 8;
/// Most peers greeted with one heartbeat, and the pause before the next ones: the heartbeats in turns
/// would take seconds to reach all of a large fleet, which has to agree on who does what.
const MAX_GREETINGS: usize = 48;
const GREETING_INTERVAL: Duration = Duration::from_millis(40);
/// Instances that follow the store closely, so that two may fail at once.
const N_WATCHERS: usize = 3;
/// Draws the watchers apart from other roles.
const WATCHERS_KEY: u64 = 0x77;
/// Fewest addresses that a caller is given, where as many instances live.
const MIN_ADDRESSES: usize = 2;
/// Most addresses that a caller is given.
const MAX_ADDRESSES: usize = 64;

/// What an instance says of itself; lost ones are replaced by the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub zone: ZoneId,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Whether it has a configuration and takes requests.
    pub is_ready: bool,
    pub is_leaving: bool,
    /// Whether it gets too little processor time to work for others.
    pub is_overloaded: bool,
    /// Its part of a core.
    pub weight: f64,
    pub version: ConfigVersion,
    /// Revision of the last change of an endpoint that it knows.
    pub last_change: u64,
    /// Expected waits at the pools whose items it gathers.
    pub backlog: Vec<Backlog>,
    /// How its latest calls went.
    pub observations: Vec<Observation>,
}

impl Heartbeat {
    /// Whether it takes requests, and work of peers.
    pub fn accepts_work(&self) -> bool {
        self.is_ready && !self.is_leaving
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Backlog {
    pub group: Group,
    /// Time until an item that comes now is started.
    pub wait: Duration,
    /// Items a second that its endpoints do in full calls.
    pub rate: f64,
    /// Items that wait, by class.
    pub queued: [u32; N_CLASSES],
}

/// Items of one stage of one request, for the instance that gathers items of their pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSubmission {
    pub key: JobKey,
    pub group: Group,
    pub n_items: u16,
    /// Approximate size of one result.
    pub result_bytes: u64,
    /// Zero is served first.
    pub class: u8,
    /// Availability zone in which the items are best worked on, if that matters.
    pub zone: Option<ZoneId>,
    pub input: ItemInput,
    /// Time until the results should be there for the answer to be worth most.
    pub due: Duration,
    /// Time until the results are worthless.
    pub time_left: Duration,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    Heartbeat(Heartbeat),
    Submit(Box<JobSubmission>),
    /// Asks whether a request may be begun.
    Ask(Box<AdmissionRequest>),
    /// Says what becomes of a request.
    Verdict {
        attempt: CallerAttempt,
        verdict: Verdict,
    },
    /// The items are being gathered.
    #[serde(rename = "Taken")]
    Accepted(JobKey),
    /// The results are not needed, or not needed any more.
    Withdraw(JobKey),
    Settled {
        key: JobKey,
        outcome: JobOutcome,
    },
}

#[derive(Debug, Clone)]
pub struct PeerView {
    pub heartbeat: Heartbeat,
    pub last_heard: Moment,
}

/// Peers by the address at which they take datagrams.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    /// Every address that is known, also of peers that are silent: they may return.
    known: Vec<SocketAddr>,
    views: SortedMap<SocketAddr, PeerView>,
    next_heartbeat: Moment,
    cursor: usize,
    /// Peers that have not heard of this life yet, or are new.
    unannounced: Vec<SocketAddr>,
}

impl Peers {
    pub fn new() -> Peers {
        Peers::default()
    }

    /// Adds addresses of instances that have registered.
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

    /// Takes a heartbeat; returns whether it starts a new life of that peer.
    pub fn on_heartbeat(&mut self, now: Moment, from: SocketAddr, heartbeat: Heartbeat) -> bool {
        if let Err(idx) = self.known.binary_search(&from) {
            self.known.insert(idx, from);
        }
        let before = self.views.get(&from);
        if before.is_some_and(|it| heartbeat.incarnation < it.heartbeat.incarnation) {
            return false;
        }
        let is_new = before.is_none_or(|it| it.heartbeat.incarnation < heartbeat.incarnation);
        self.views.insert(from, PeerView { heartbeat, last_heard: now });
        if is_new && !self.unannounced.contains(&from) {
            self.unannounced.push(from);
            self.next_heartbeat = self.next_heartbeat.min(now + GREETING_INTERVAL);
        }
        is_new
    }

    pub fn get(&self, address: SocketAddr) -> Option<&PeerView> {
        self.views.get(&address)
    }

    /// Returns the peers that were heard lately.
    pub fn live<'a>(
        &'a self,
        now: Moment,
        tuning: &Tuning,
    ) -> impl Iterator<Item = (SocketAddr, &'a PeerView)> {
        let timeout = self.timeout(tuning);
        self.views
            .iter()
            .filter(move |(_, it)| now < it.last_heard + timeout)
            .map(|(address, it)| (*address, it))
    }

    /// Counts this instance and the live peers.
    pub fn n_instances(&self, now: Moment, tuning: &Tuning) -> usize {
        1 + self.live(now, tuning).count()
    }

    pub fn next_wake(&self) -> Moment {
        self.next_heartbeat
    }

    /// Returns the peers that the heartbeat due now goes to, owners of jobs among them; none if
    /// it is not due.
    pub fn due(&mut self, now: Moment, tuning: &Tuning, owners: &[SocketAddr]) -> Vec<SocketAddr> {
        if now < self.next_heartbeat {
            return Vec::new();
        }
        let n_greetings = self.unannounced.len().min(MAX_GREETINGS);
        let greetings: Vec<SocketAddr> = self.unannounced.drain(..n_greetings).collect();
        self.next_heartbeat = now
            + if self.unannounced.is_empty() {
                tuning.heartbeat_interval
            } else {
                GREETING_INTERVAL
            };
        let n_peers = self.known.len();
        let n_sent = n_peers.min(HEARTBEAT_FANOUT);
        let first = self.cursor;
        self.cursor = (self.cursor + n_sent) % n_peers.max(1);
        let in_turn = (0..n_sent).map(|it| self.known[(first + it) % n_peers]);
        let mut due: Vec<SocketAddr> =
            in_turn.chain(owners.iter().copied()).chain(greetings).collect();
        due.sort_unstable();
        due.dedup();
        due
    }

    /// Sends the next heartbeat at once, as there is news.
    pub fn heartbeat_now(&mut self, now: Moment) {
        self.next_heartbeat = now;
    }

    /// Whether this instance is one of the few that follow the store closely; the others learn from
    /// them what they have missed.
    pub fn is_watcher(&self, now: Moment, tuning: &Tuning, own: &Identity) -> bool {
        let rank = rendezvous_hash(WATCHERS_KEY, &own.instance);
        let ahead = self
            .live(now, tuning)
            .filter(|(_, it)| rank < rendezvous_hash(WATCHERS_KEY, &it.heartbeat.instance));
        ahead.count() < N_WATCHERS
    }

    /// Returns the live peers that have a newer configuration or newer entries, with its version.
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

    /// Returns the peer that does the work named `key` for all; none if this instance does.
    ///
    /// Strained instances do so only if every one is.
    pub fn coordinator(
        &self,
        now: Moment,
        tuning: &Tuning,
        own: &Identity,
        is_overloaded: bool,
        key: u64,
    ) -> Option<SocketAddr> {
        let peers = self.live(now, tuning).filter(|(_, it)| it.heartbeat.accepts_work()).map(
            |(address, PeerView { heartbeat, .. })| {
                (
                    !heartbeat.is_overloaded,
                    weighted_score(key, &heartbeat.instance, heartbeat.weight),
                    Some(address),
                )
            },
        );
        let me =
            std::iter::once((!is_overloaded, weighted_score(key, &own.instance, own.weight), None));
        let best = peers.chain(me).max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.and_then(|it| it.2)
    }

    /// Whether a peer that has had a job since `since` still works on it: it tells the owners of
    /// its jobs with each heartbeat that it lives. A strained one keeps what it has, as work in
    /// progress would be done twice.
    pub fn still_works(
        &self,
        now: Moment,
        tuning: &Tuning,
        address: SocketAddr,
        since: Moment,
    ) -> bool {
        let Some(view) = self.views.get(&address) else { return false };
        now < view.last_heard.max(since) + tuning.peer_timeout
    }

    /// Takes a peer for gone until it is heard again.
    pub fn suspect(&mut self, address: SocketAddr) {
        if let Some(view) = self.views.get_mut(&address) {
            view.last_heard = Moment::ZERO;
        }
    }

    /// Returns addresses for a caller: those of its zone, and others where that has too few.
    pub fn directory(
        &self,
        now: Moment,
        tuning: &Tuning,
        own: &Identity,
        (is_ready, is_overloaded): (bool, bool),
        zone: Option<&str>,
    ) -> Vec<SocketAddr> {
        let ready: Vec<&Heartbeat> = self
            .live(now, tuning)
            .map(|(_, it)| &it.heartbeat)
            .filter(|it| it.accepts_work())
            .collect();
        let others_fit = ready.iter().any(|it| !it.is_overloaded);
        let mut choices: Vec<(bool, u64, SocketAddr)> = ready
            .iter()
            .filter(|it| !it.is_overloaded || !others_fit)
            .map(|it| sort_key(zone, &it.zone, it.front))
            .collect();
        let is_fit = is_ready && !(is_overloaded && others_fit);
        if is_fit || choices.is_empty() {
            choices.push(sort_key(zone, &own.zone, own.front));
        }
        choices.sort_unstable();
        let n_near = choices.iter().filter(|it| !it.0).count();
        choices.truncate(n_near.clamp(MIN_ADDRESSES, MAX_ADDRESSES));
        choices.into_iter().map(|it| it.2).collect()
    }

    /// Returns the time in which each peer gets a heartbeat.
    pub fn round_time(&self, tuning: &Tuning) -> Duration {
        tuning.heartbeat_interval * self.n_rounds()
    }

    /// Silence after which a peer is taken for gone; it grows with the turns of heartbeats.
    fn timeout(&self, tuning: &Tuning) -> Duration {
        tuning.peer_timeout * self.n_rounds()
    }

    fn n_rounds(&self) -> u32 {
        self.known.len().div_ceil(HEARTBEAT_FANOUT).max(1) as u32
    }
}

/// Draws a number for an instance that is the highest as often as its weight says.
fn weighted_score(key: u64, instance: &str, weight: f64) -> f64 {
    let uniform = (rendezvous_hash(key, instance) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -weight.max(f64::MIN_POSITIVE) / uniform.ln()
}

/// Sorts addresses of the caller's zone first, and others in an order of that zone's own.
fn sort_key(zone: Option<&str>, at: &str, front: SocketAddr) -> (bool, u64, SocketAddr) {
    let is_far = zone.is_some_and(|it| it != at);
    let mut hasher = DefaultHasher::new();
    (zone, front).hash(&mut hasher);
    (is_far, hasher.finish(), front)
}
