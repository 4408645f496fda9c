//! The reducer of a gateway: every event passes through [`Gateway::reduce`].

mod behind;
mod explain;
pub(crate) mod shutdown;
mod updates;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ferry_model::{ConfigVersion, GatewayConfig, Moment, SortedMap};

use behind::Behind;
pub use explain::{EndpointExplanation, Explanation, PoolExplanation, Standing, Step};

use crate::admission::{AdmissionController, Shard};
use crate::batch::{Batcher, JobKey, JobOutcome};
use crate::limits::exchange;
use crate::notices;
use crate::origins;
use crate::overload::OverloadDetector;
use crate::pass::{Context, Identity, Pass, Snapshot};
use crate::quarantine;
use crate::request::{Requests, schedule};
use crate::{
    Backlog, CallerAttempt, Catalog, CrashCollector, CrashWatch, Decision, DecisionKind, Effect,
    Endpoints, Event, Group, Heartbeat, Limiter, Mechanism, Observation, Observations, Origins,
    PeerMessage, Peers, PermitAnswer, PermitId, Quarantine, QuarantineLedger, Reach, Scheduled,
    Scheduler, Tuning,
};

/// Lateness of a pass from which on this process stood still, so that it heard no endpoint.
const MAX_LATENESS: Duration = Duration::from_millis(50);
/// Bits of a permit's id below those of the process.
const PERMIT_BITS: u32 = 24;

/// What one pass leaves for those on this instance that wait for it.
#[derive(Debug, Default)]
struct Settlement {
    outcomes: Vec<(JobKey, JobOutcome)>,
    released: Vec<(CallerAttempt, Scheduled)>,
    permits: Vec<(PermitId, PermitAnswer)>,
}

impl Settlement {
    fn is_empty(&self) -> bool {
        self.outcomes.is_empty() && self.released.is_empty() && self.permits.is_empty()
    }
}

/// The complete state of a gateway process.
#[derive(Debug, Clone)]
pub struct Gateway {
    ctx: Context,
    batcher: Batcher,
    requests: Requests,
    /// Since when a peer has been ahead, if one is.
    behind: Option<Behind>,
    has_begun: bool,
    /// When the shutdown started.
    leaving: Option<Moment>,
    is_closed: bool,
    has_exited: bool,
    /// Number of requests whose bodies are on the way; only kept up to date during the shutdown.
    n_receiving: usize,
}

impl Gateway {
    pub fn new(identity: Identity, tuning: Tuning) -> Gateway {
        let scheduler = Scheduler::new(!identity.is_first_start);
        let endpoints = match tuning.has_evacuations {
            true => Endpoints::new().with_evacuations(),
            false => Endpoints::new(),
        };
        // A limiter may still know the permits that a former process here has asked for.
        let last_permit = identity.incarnation << PERMIT_BITS;
        Gateway {
            ctx: Context {
                identity,
                tuning,
                began_at: Moment::ZERO,
                catalog: Catalog::new(),
                endpoints,
                origins: Origins::new(),
                peers: Peers::new(),
                reach: Reach::new(),
                overload: OverloadDetector::new(),
                observations: Observations::default(),
                admission: AdmissionController::default(),
                scheduler,
                route_averages: SortedMap::new(),
                retry_budgets: SortedMap::new(),
                last_call: 0,
                last_permit,
                limiter: Limiter::new(),
                quarantine: Quarantine::new(),
                quarantine_ledger: QuarantineLedger::new(),
                crash_watch: CrashWatch::default(),
                collector: CrashCollector::new(),
                is_leaving: false,
            },
            batcher: Batcher::new(),
            requests: Requests::new(),
            behind: None,
            has_begun: false,
            leaving: None,
            is_closed: false,
            has_exited: false,
            n_receiving: 0,
        }
    }

    /// Processes one event at `now` and returns what the process has to do, in order.
    pub fn reduce(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.ctx.began_at = now;
        }
        // A heartbeat is due several times a second, whatever else happens.
        let late = now.saturating_sub(self.ctx.peers.next_wake());
        if MAX_LATENESS < late {
            self.requests.excuse_silence(now, late);
            self.batcher.excuse_silence(late);
        }
        let mut effects = Vec::new();
        let mut outcomes = Vec::new();
        let mut released = Vec::new();
        let mut permits = Vec::new();
        let cx = &mut Pass {
            now,
            ctx: &mut self.ctx,
            effects: &mut effects,
            outcomes: &mut outcomes,
            released: &mut released,
            permits: &mut permits,
            late,
        };
        match event {
            Event::Tick { late } => {
                cx.ctx.overload.observe(now, late);
                cx.ctx.endpoints.tick(now, &cx.ctx.tuning);
                notices::check(cx);
                exchange::tick(cx);
                quarantine::exchange::tick(cx);
                self.batcher.tick(cx);
                self.requests.tick(cx, &mut self.batcher);
            }
            Event::Config(config) => updates::configure(cx, &mut self.batcher, config),
            Event::Store(update) => {
                if updates::on_store(cx, update) {
                    schedule::release_excluded(cx);
                    self.requests.reassign(cx, &mut self.batcher);
                    self.batcher.dispatch_all(cx);
                }
            }
            Event::Record(reply) => {
                let read = origins::exchange::on_reply(cx, reply);
                read.into_iter().for_each(|it| self.requests.on_records(cx, &mut self.batcher, it));
            }
            Event::PoolBuilds(pools) => origins::exchange::on_pool_builds(cx, pools),
            Event::Members(addresses) => {
                let own = cx.ctx.identity.peer;
                cx.ctx.peers.add_known(&addresses, own);
                cx.ctx.peers.heartbeat_now(now);
            }
            Event::Arrive(arrival) if self.has_exited => shutdown::refuse(cx, &arrival),
            Event::Arrive(arrival) => self.requests.arrive(cx, &mut self.batcher, *arrival),
            Event::CallerGone { ticket } => {
                self.requests.caller_gone(cx, &mut self.batcher, ticket);
            }
            Event::Call { call, event } => {
                self.requests.on_call(cx, &mut self.batcher, call, event);
            }
            Event::Batch { call, result, load } => {
                self.batcher.on_result(cx, call, result, load);
            }
            Event::Limit { endpoint, started, limit } => {
                updates::on_limit(cx, &endpoint, started, limit);
            }
            Event::Leaving { endpoint, started, report } => {
                notices::on_leaving(cx, &endpoint, started, report);
            }
            Event::Pause { endpoint, started, report } => {
                updates::on_pause(cx, &endpoint, started, report);
            }
            Event::Health { endpoint, started, report } => {
                notices::on_health(cx, &endpoint, started, report);
            }
            Event::Cold { endpoint, started, left } => {
                cx.ctx.endpoints.record_cold(now, &endpoint, started, left);
            }
            Event::Cached { endpoint, parts } => {
                cx.ctx.scheduler.on_cached(now, &endpoint, &parts);
            }
            Event::Probed { endpoint, started, is_alive } => {
                updates::on_probed(cx, &endpoint, is_alive);
                quarantine::exchange::on_probed(cx, &endpoint, started, is_alive);
            }
            // Its owner submits the job to another instance.
            Event::Peer { message: PeerMessage::Submit(_), .. } if self.has_exited => (),
            Event::Peer { from, message } => {
                updates::on_peer(cx, &mut self.batcher, &mut self.requests, from, message);
            }
            Event::Quarantine { pool, candidate, long_id, action } => {
                cx.ctx.quarantine.record_long_id(long_id.as_ref());
                quarantine::exchange::on_operator(cx, &pool, candidate, action);
            }
            Event::Retune(tuning) => {
                cx.ctx.tuning = *tuning;
                updates::set_paces(cx);
            }
            Event::Receiving { n_requests } => self.n_receiving = n_requests,
            Event::Shutdown => {
                if self.leaving.is_none() {
                    self.leaving = Some(now);
                    cx.ctx.is_leaving = true;
                    cx.log(Decision::new(DecisionKind::Drain, "asked to stop"));
                    cx.ctx.peers.heartbeat_now(now);
                }
            }
        }
        exchange::on_cold_changes(cx);
        self.requests.enforce_quarantine(cx, &mut self.batcher);
        self.requests.avoid_closed(cx, &mut self.batcher);
        updates::update_reach(cx);
        quarantine::exchange::keep(cx);
        for pool in origins::exchange::update(cx) {
            self.requests.record_streams(cx, &pool);
        }
        self.settle(now, &mut effects, Settlement { outcomes, released, permits });
        self.finish(now, &mut effects);
        effects
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn next_wake(&self, now: Moment) -> Moment {
        let due = [
            self.requests.next_wake(&self.ctx.tuning),
            self.batcher.next_wake(now, &self.ctx.endpoints),
            self.ctx.endpoints.next_wake(now, &self.ctx.tuning),
            self.ctx.limiter.next_wake(),
            self.ctx.crash_watch.next_wake(),
            self.ctx.collector.next_wake(),
            self.ctx.reach.next_wake(now),
            self.ctx.origins.next_wake().filter(|_| !self.ctx.endpoints.is_store_down()),
            self.ctx.quarantine_ledger.next_wake().filter(|_| !self.ctx.endpoints.is_store_down()),
            self.next_shutdown_step(),
        ];
        due.into_iter().flatten().fold(self.ctx.peers.next_wake(), Moment::min)
    }

    /// Whether callers may be sent to this instance, which needs a configuration and the endpoints.
    pub fn is_ready(&self) -> bool {
        let Context { catalog, endpoints, .. } = &self.ctx;
        catalog.config().is_some() && endpoints.is_known() && self.leaving.is_none()
    }

    pub fn n_requests(&self) -> usize {
        self.requests.len()
    }

    pub fn version(&self) -> ConfigVersion {
        self.ctx.catalog.version()
    }

    pub fn config(&self) -> Option<&Arc<GatewayConfig>> {
        self.ctx.catalog.config()
    }

    /// Returns what is in quarantine, and what was lifted.
    pub fn quarantine(&self) -> &Quarantine {
        &self.ctx.quarantine
    }

    pub fn context(&self) -> &Context {
        &self.ctx
    }

    /// Returns instance addresses for a caller in `zone`.
    pub fn directory(&self, now: Moment, zone: Option<&str>) -> Vec<SocketAddr> {
        let Context { identity, tuning, peers, .. } = &self.ctx;
        let state = (self.is_ready(), self.ctx.is_hindered(now));
        peers.directory(now, tuning, identity, state, zone)
    }

    /// Whether this instance is one of the few that watch the store closely.
    pub fn is_watcher(&self, now: Moment) -> bool {
        let Context { identity, tuning, peers, .. } = &self.ctx;
        !tuning.is_enabled(Mechanism::WatchSharing) || peers.is_watcher(now, tuning, identity)
    }

    /// Returns what a peer lacks that has this version of the configuration and has seen the store
    /// at revision `since`.
    pub fn snapshot(&self, version: ConfigVersion, since: u64) -> Snapshot {
        let config = self.ctx.catalog.config().filter(|it| version < it.version);
        Snapshot {
            config: config.cloned(),
            endpoints: self.ctx.endpoints.delta(since),
            builds: self.ctx.origins.pool_builds(),
        }
    }

    /// Does what is due after any event: heartbeats, reading from peers, and shutdown steps.
    fn finish(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        self.send_heartbeats(now, effects);
        self.catch_up(now, effects);
        self.advance_shutdown(now, effects);
    }

    /// Passes the outcomes of jobs, and answers of the scheduler and the limiter here, to those that
    /// wait for them until none is left.
    fn settle(&mut self, now: Moment, effects: &mut Vec<Effect>, settlement: Settlement) {
        let mut settlement = settlement;
        while !settlement.is_empty() {
            let mut next = Settlement::default();
            let cx = &mut Pass {
                now,
                ctx: &mut self.ctx,
                effects,
                outcomes: &mut next.outcomes,
                released: &mut next.released,
                permits: &mut next.permits,
                late: Duration::ZERO,
            };
            for (key, outcome) in settlement.outcomes {
                self.requests.on_job_outcome(cx, &mut self.batcher, &key, outcome);
            }
            for (attempt, scheduled) in settlement.released {
                self.requests.on_scheduled(cx, &mut self.batcher, &attempt, scheduled);
            }
            for (id, answer) in settlement.permits {
                updates::on_permit(cx, &mut self.batcher, &mut self.requests, id, None, &answer);
            }
            settlement = next;
        }
    }

    fn send_heartbeats(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let owners = self.direct_peers(now);
        let due = self.ctx.peers.due(now, &self.ctx.tuning, &owners);
        if due.is_empty() {
            return;
        }
        let Context { observations, peers, reach, tuning, .. } = &mut self.ctx;
        let observations = match tuning.is_enabled(Mechanism::Observations) {
            // What fails for want of a way says nothing of the endpoints.
            true if reach.is_any_cut() => Vec::new(),
            true => observations.recent(now, peers.round_time(tuning)),
            false => Vec::new(),
        };
        let heartbeat = self.heartbeat(now, observations);
        for to in due {
            effects.push(Effect::Send {
                to,
                message: PeerMessage::Heartbeat(Box::new(heartbeat.clone())),
            });
        }
    }

    /// Returns the peers that need every heartbeat: the owners of jobs, and the admission
    /// controllers, which need the backlog of its groups.
    fn direct_peers(&self, now: Moment) -> Vec<SocketAddr> {
        let mut peers = self.batcher.owners();
        if peers.is_empty() && self.batcher.is_idle() {
            return peers;
        }
        let n_instances = self.ctx.peers.n_instances(now, &self.ctx.tuning);
        peers.extend(Shard::all(n_instances).filter_map(|it| self.ctx.admission_peer(now, it)));
        peers
    }

    fn heartbeat(&self, now: Moment, observations: Vec<Observation>) -> Heartbeat {
        let identity = &self.ctx.identity;
        Heartbeat {
            instance: identity.instance.clone(),
            incarnation: identity.incarnation,
            zone: identity.zone.clone(),
            front: identity.front,
            relay: identity.relay,
            reached: self.ctx.reach.reached(now),
            doubted: self.ctx.reach.doubted(),
            unreached: self.ctx.reach.cut_pools(),
            weight: identity.weight,
            is_ready: self.is_ready(),
            is_leaving: self.is_leaving(),
            is_overloaded: self.ctx.overload.is_overloaded(now),
            version: self.ctx.catalog.version(),
            last_change: self.ctx.endpoints.last_change(),
            backlog: self.backlog(now),
            observations,
            quarantine: self.ctx.quarantine.digest(),
        }
    }

    fn backlog(&self, now: Moment) -> Vec<Backlog> {
        let groups = self.batcher.groups();
        let backlog = |group: Group| self.batcher.backlog(now, &self.ctx, &group);
        groups.into_iter().filter_map(backlog).collect()
    }
}
