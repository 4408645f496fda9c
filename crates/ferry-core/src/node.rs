//! The reducer of a process: every event passes through [`Node::reduce`].

use std::sync::Arc;

use ferry_model::{Config, Digest, InstanceId, Moment, PeerMessage, Revision};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::admin::Admin;
use crate::config::{self, ConfigState};
use crate::drain::Drain;
use crate::fleet::Fleet;
use crate::member::heartbeat::{self, LoadSummary};
use crate::member::{Members, addresses, status_poll};
use crate::pass::{Context, Identity, Pass};
use crate::place::Placement;
use crate::request::Requests;
use crate::store::StoreCalls;
use crate::workspaces::{self, Workspaces, WorkspacesState};
use crate::{Effect, Event, Owner, Tuning};

/// The complete state of a process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Node {
    ctx: Context,
    config: ConfigState,
    workspaces: WorkspacesState,
    admin: Admin,
    requests: Requests,
    drain: Drain,
    placement: Placement,
}

impl Node {
    /// Creates the state of a new process; the same `seed` and events give the same effects.
    pub fn new(identity: Identity, tuning: Tuning, seed: u64) -> Node {
        Node {
            ctx: Context {
                identity,
                tuning,
                rng: Pcg64Mcg::seed_from_u64(seed),
                calls: StoreCalls::new(),
                config: None,
                fleet: Fleet::new(),
                members: Members::new(),
                workspaces: Arc::default(),
            },
            config: ConfigState::new(),
            workspaces: WorkspacesState::new(),
            admin: Admin::new(),
            requests: Requests::new(),
            drain: Drain::new(),
            placement: Placement::new(),
        }
    }

    /// Returns the state that all components share, so that a benchmark can run one of them alone.
    pub fn into_context(self) -> Context {
        self.ctx
    }

    /// Handles one event at `now` and returns what the process has to do, in order.
    pub fn reduce(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let cx = &mut Pass { now, ctx: &mut self.ctx, effects: &mut effects };
        match event {
            Event::Tick => {
                self.placement.tick(cx);
                self.config.tick(cx);
                self.workspaces.tick(cx);
                self.admin.tick(cx);
                self.requests.tick(cx);
            }
            Event::Arrive(arrival) => self.requests.on_arrival(cx, arrival),
            Event::CallerGone { ticket } => self.requests.on_caller_gone(cx, ticket),
            Event::Call { attempt, event } => self.requests.on_call(cx, attempt, event),
            Event::Store { call, result } => match cx.ctx.calls.finish(call) {
                Some(Owner::Config) => self.config.on_store(cx, call, result),
                Some(Owner::Workspaces) => self.workspaces.on_store(cx, call, result),
                Some(Owner::Admin) => self.admin.on_store(cx, call, result),
                Some(Owner::Claims) => self.requests.on_store(cx, call, result),
                Some(
                    owner @ (Owner::Lease
                    | Owner::Plan
                    | Owner::PlanWatch
                    | Owner::PlanPoll
                    | Owner::History),
                ) => self.placement.on_store(cx, owner, result),
                None => (),
            },
            Event::Fleet { endpoints, instances } => {
                let Context { identity, members, tuning, fleet, .. } = &mut *cx.ctx;
                fleet.update(endpoints, &identity.zone, tuning);
                self.placement.on_instances(&instances);
                self.requests.on_instances(&instances);
                members.update(now, identity, tuning.heartbeat_fanout, instances);
            }
            Event::Cache(update) => cx.ctx.fleet.on_cache_event(cx.now, &update),
            Event::AskKey { ticket, workspace, key } => {
                self.requests.on_ask_key(cx, ticket, &workspace, &key);
            }
            Event::AskInstances { ticket, zone } => {
                let own_load = self.requests.n_in_flight();
                let answer = Box::new(addresses::choose(cx, zone.as_ref(), own_load));
                cx.effects.push(Effect::Instances { ticket, answer });
            }
            Event::Admin(request) => self.admin.on_request(cx, request),
            Event::Peer { from, message } => self.on_peer(now, &mut effects, from, message),
            Event::Ordered { endpoint, fence, result } => {
                self.placement.on_ordered(cx, &endpoint, fence, &result);
            }
            Event::Report { endpoint, report } => self.placement.on_report(cx, &endpoint, report),
            Event::Shutdown => {
                self.placement.shutdown(cx);
                self.drain.start(cx);
            }
        }
        self.finish(now, &mut effects);
        effects
    }

    fn on_peer(
        &mut self,
        now: Moment,
        effects: &mut Vec<Effect>,
        from: InstanceId,
        message: PeerMessage,
    ) {
        let cx = &mut Pass { now, ctx: &mut self.ctx, effects };
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                let Some(merged) = heartbeat::on_heartbeat(cx, &from, heartbeat) else { return };
                self.placement.on_heartbeat(cx, &merged);
                self.workspaces.on_digest(cx, &from, merged.workspaces);
                self.config.on_announced(cx, from, merged.revision);
            }
            PeerMessage::PullHeartbeat => heartbeat::on_pull(cx, &from),
            PeerMessage::PullConfig { above } => self.config.on_pull(cx, &from, above),
            PeerMessage::Config(config) => config::apply_newer(cx, *config),
            PeerMessage::PullWorkspaces { above } => workspaces::on_pull(cx, &from, &above),
            PeerMessage::Workspaces(shards) => {
                for (number, shard) in shards {
                    workspaces::apply_newer(cx, usize::from(number), shard);
                }
            }
            claims @ (PeerMessage::PullOutcome { .. }
            | PeerMessage::OutcomeReply { .. }
            | PeerMessage::Journal(_)
            | PeerMessage::JournalReply(_)) => self.requests.on_peer(cx, &from, claims),
        }
    }

    /// Does what may be due after any event: heartbeats and the steps of a shutdown.
    fn finish(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let cx = &mut Pass { now, ctx: &mut self.ctx, effects };
        if cx.ctx.members.next_wake().is_some_and(|it| it <= now) {
            let loads = self.requests.loads(cx.ctx.config.as_deref());
            let interval = cx.ctx.tuning.heartbeat_interval;
            let demand = self.requests.announce_demand(now, interval);
            let summary = LoadSummary { loads, demand };
            heartbeat::tick(cx, summary);
            status_poll::tick(cx);
        }
        if self.drain.close_if_due(cx) {
            self.requests.close();
        }
        let is_idle = self.requests.is_idle(now) && self.admin.is_idle();
        self.drain.exit_if_idle(cx, is_idle);
    }

    /// Returns when [`Event::Tick`] is due next.
    pub fn next_wake(&self) -> Option<Moment> {
        let due = [
            self.config.next_wake(),
            self.workspaces.next_wake(),
            self.admin.next_wake(),
            self.ctx.members.next_wake(),
            self.requests.next_wake(),
            self.placement.next_wake(&self.ctx),
            self.drain.next_wake(),
        ];
        due.into_iter().flatten().min()
    }

    /// Returns a digest of the complete state, to compare a replay with the recorded run.
    pub fn digest(&self) -> Digest {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        *blake3::hash(&bytes).as_bytes()
    }

    pub fn revision(&self) -> Revision {
        self.ctx.revision()
    }

    pub fn identity(&self) -> &Identity {
        &self.ctx.identity
    }

    /// Returns the number of requests in flight.
    pub fn n_requests(&self) -> usize {
        self.requests.n_in_flight() as usize
    }

    pub fn fleet(&self) -> &Fleet {
        &self.ctx.fleet
    }

    pub fn members(&self) -> &Members {
        &self.ctx.members
    }

    /// Returns the workspaces in force, so that tokens can be looked up without an event.
    pub fn workspaces(&self) -> &Arc<Workspaces> {
        &self.ctx.workspaces
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.ctx.config.as_ref()
    }

    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Whether new requests are accepted: a configuration is in force, the endpoints are known and
    /// the shutdown has not closed the instance.
    pub fn is_ready(&self) -> bool {
        let Context { config, fleet, .. } = &self.ctx;
        config.is_some() && fleet.is_known() && !self.requests.is_leaving()
    }
}
