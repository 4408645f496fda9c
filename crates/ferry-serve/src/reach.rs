//! Which pools this instance reaches itself, and which only its peers do.
//!
//! An instance may lose its links to endpoints while callers and peers still reach it. Every call
//! opens a connection, so that shows soon; that the endpoints live shows only at the peers, who say
//! in their heartbeats which pools they reach. docs/design/platform.md weighs that.

use std::time::Duration;

use ferry_model::{EndpointId, Moment, PoolId, SortedMap};

use crate::{EndpointView, Endpoints};

/// Time for which a pool counts as reached since one of its endpoints was last heard.
const REACHED_TIME: Duration = Duration::from_millis(300);
/// Age of the first failure from which on reports of peers are newer than what has failed here.
const EVIDENCE_DELAY: Duration = Duration::from_millis(400);
/// Endpoints of a pool that must fail before others are probed, if it has as many.
const MIN_DOUBTED: usize = 2;
/// The same for a cut.
const MIN_FAILED: usize = 3;
/// Time after which a failure is too old to speak for a cut.
const FAILURE_TTL: Duration = Duration::from_secs(3);
/// Interval of the probes of a pool that is not reached.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The same of one that may not be.
const DOUBT_INTERVAL: Duration = Duration::from_millis(50);
/// Endpoints of such a pool that are probed, if it has as many.
const MIN_PROBED: usize = 9;
/// Endpoints that must accept a probe to end a cut, or half of the pool if that is less.
const MIN_ACCEPTED: usize = 3;

/// What is known of the way to one pool.
#[derive(Debug, Clone, Default)]
struct PoolReach {
    /// Since when connections to each endpoint fail.
    failed: SortedMap<EndpointId, Moment>,
    /// When an endpoint last responded to a call, if one did.
    heard_at: Option<Moment>,
    /// When the latest call was sent to which an endpoint responded.
    opened_at: Option<Moment>,
    /// Whether enough endpoints fail for a cut.
    is_doubted: bool,
    is_cut: bool,
    /// Endpoints that accepted their last probe.
    accepted: Vec<EndpointId>,
    next_probe: Moment,
    n_probes: usize,
    /// Probes since the pool may not be reached.
    n_doubted: usize,
}

impl PoolReach {
    /// Returns the endpoint whose turn it is to be probed.
    fn next_endpoint(&mut self, pool: &str, endpoints: &Endpoints) -> Option<EndpointId> {
        self.n_probes += 1;
        let is_probed = |it: &&EndpointView| it.is_listed_live() && !it.is_evacuated();
        let live = endpoints.pool(pool).filter(is_probed);
        let live: Vec<&EndpointId> = live.map(|it| &it.endpoint.id).collect();
        live.get(self.n_probes % live.len().max(1)).map(|it| (*it).clone())
    }
}

/// A pool that is reached no longer, or again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachChange {
    pub pool: PoolId,
    pub is_cut: bool,
}

/// The ways to all pools.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    pools: SortedMap<PoolId, PoolReach>,
}

impl Reach {
    pub fn new() -> Reach {
        Reach::default()
    }

    /// Records that an endpoint has responded to a call that was sent at `sent_at`.
    pub fn on_heard(&mut self, now: Moment, sent_at: Moment, pool: &str, endpoint: &str) {
        let it = self.pool(pool);
        it.heard_at = Some(now);
        it.opened_at = it.opened_at.max(Some(sent_at));
        if it.failed.get(endpoint).is_some_and(|at| *at < sent_at) {
            it.failed.remove(endpoint);
        }
    }

    /// Records that a connection to an endpoint could not be opened.
    pub fn on_failed(&mut self, now: Moment, pool: &str, endpoint: &str) {
        let it = self.pool(pool);
        it.failed.get_or_insert_with(endpoint.to_owned(), || now);
    }

    fn pool(&mut self, pool: &str) -> &mut PoolReach {
        // Most calls are for a pool that is known.
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.to_owned(), PoolReach::default());
        }
        self.pools.get_or_insert_with(pool.into(), PoolReach::default)
    }

    /// Whether connections to endpoints of a pool fail.
    pub fn has_failed(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|it| it.is_cut || !it.failed.is_empty())
    }

    /// Whether the endpoints of a pool are reached by peers only.
    pub fn is_cut(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|it| it.is_cut)
    }

    /// Whether any pool is reached by peers only.
    pub fn is_any_cut(&self) -> bool {
        self.pools.values().any(|it| it.is_cut)
    }

    /// Returns these pools.
    pub fn cut_pools(&self) -> Vec<PoolId> {
        self.pools.iter().filter(|it| it.1.is_cut).map(|it| it.0.clone()).collect()
    }

    /// Returns the pools whose endpoints fail here, and may be reached by peers.
    pub fn doubted(&self) -> Vec<PoolId> {
        let doubted = self.pools.iter().filter(|it| it.1.is_doubted);
        doubted.map(|it| it.0.clone()).collect()
    }

    /// Returns the pools of which an endpoint was heard lately.
    pub fn reached(&self, now: Moment) -> Vec<PoolId> {
        let is_recent = |it: &PoolReach| it.heard_at.is_some_and(|at| now < at + REACHED_TIME);
        self.pools.iter().filter(|it| is_recent(it.1)).map(|it| it.0.clone()).collect()
    }

    /// Compares what has failed here with what peers reach. `is_reached` tells whether a peer has
    /// said since a moment that it reaches a pool.
    pub fn update(
        &mut self,
        now: Moment,
        endpoints: &Endpoints,
        is_reached: impl Fn(&str, Moment) -> bool,
    ) -> Vec<ReachChange> {
        let mut changes = Vec::new();
        let suspects = self.pools.iter_mut().filter(|it| it.1.is_cut || !it.1.failed.is_empty());
        for (pool, it) in suspects {
            let live = endpoints.pool(pool).filter(|it| it.may_be_called());
            let live: Vec<&EndpointId> = live.map(|it| &it.endpoint.id).collect();
            it.failed.retain(|id, _| live.contains(&id));
            if it.is_cut {
                it.accepted.retain(|it| live.contains(&it));
                let n_needed = MIN_ACCEPTED.min(live.len().div_ceil(2));
                if n_needed <= it.accepted.len() {
                    *it = PoolReach { heard_at: it.heard_at, ..PoolReach::default() };
                    changes.push(ReachChange { pool: pool.clone(), is_cut: false });
                }
                continue;
            }
            let opened_at = it.opened_at;
            it.failed
                .retain(|_, at| now < *at + FAILURE_TTL && opened_at.is_none_or(|it| it < *at));
            let first = it.failed.values().min().copied();
            it.is_doubted = !live.is_empty() && MIN_DOUBTED.min(live.len()) <= it.failed.len();
            if !it.is_doubted {
                it.n_doubted = 0;
            }
            let has_failed = it.is_doubted
                && MIN_FAILED.min(live.len()) <= it.failed.len()
                && MIN_PROBED.min(live.len()) <= it.n_doubted;
            let since = first.filter(|_| has_failed).map(|it| it + EVIDENCE_DELAY);
            if since.is_some_and(|it| it <= now && is_reached(pool, it)) {
                it.is_cut = true;
                it.is_doubted = false;
                it.n_doubted = 0;
                it.next_probe = now + PROBE_INTERVAL;
                changes.push(ReachChange { pool: pool.clone(), is_cut: true });
            }
        }
        changes
    }

    /// Returns the endpoints that are probed now: one of each pool that is not reached, or may not
    /// be, in turns.
    pub fn probes(&mut self, now: Moment, endpoints: &Endpoints) -> Vec<EndpointId> {
        let is_due = |it: &PoolReach| (it.is_cut || it.is_doubted) && it.next_probe <= now;
        let due = self.pools.iter_mut().filter(|it| is_due(it.1));
        due.filter_map(|(pool, it)| {
            it.next_probe = now + if it.is_cut { PROBE_INTERVAL } else { DOUBT_INTERVAL };
            it.n_doubted += 1;
            it.next_endpoint(pool, endpoints)
        })
        .collect()
    }

    /// Returns an endpoint to probe for a peer that doubts whether the pool is alive, unless one
    /// was heard or probed lately.
    pub fn probe_for_peer(
        &mut self,
        now: Moment,
        pool: &str,
        endpoints: &Endpoints,
    ) -> Option<EndpointId> {
        let it = self.pool(pool);
        let is_recent = it.heard_at.is_some_and(|at| now < at + REACHED_TIME / 2);
        if is_recent || it.is_cut || now < it.next_probe {
            return None;
        }
        it.next_probe = now + PROBE_INTERVAL;
        it.next_endpoint(pool, endpoints)
    }

    /// Records whether an endpoint of a pool accepted a connection.
    pub fn on_probed(&mut self, now: Moment, pool: &str, endpoint: &str, is_alive: bool) {
        let Some(it) = self.pools.get_mut(pool) else { return };
        if !it.is_cut {
            return match is_alive {
                true => self.on_heard(now, now, pool, endpoint),
                false => self.on_failed(now, pool, endpoint),
            };
        }
        match is_alive {
            true if it.accepted.iter().any(|it| it == endpoint) => (),
            true => it.accepted.push(endpoint.to_owned()),
            false => it.accepted.retain(|it| it != endpoint),
        }
    }

    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        let evidence = |it: &PoolReach| {
            let first = it.failed.values().min().map(|it| *it + EVIDENCE_DELAY);
            first.filter(|it| now < *it)
        };
        let next = |it: &PoolReach| match it.is_cut || it.is_doubted {
            true => Some(it.next_probe),
            false => evidence(it),
        };
        self.pools.values().filter_map(next).min()
    }
}
