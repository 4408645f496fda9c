//! The one reducer: every event of a process passes through [`Node::reduce`].

use std::sync::Arc;

use ferry_model::{
    Config, Digest, Incarnation, InstanceId, Moment, PeerMessage, RegionId, Revision, ZoneId,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::config::ConfigState;
use crate::fleet::Fleet;
use crate::place::Placement;
use crate::request::Requests;
use crate::store::StoreCalls;
use crate::{Effect, Event, Owner, Tuning};

/// Who this process is, from its settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub zone: ZoneId,
    pub region: RegionId,
    pub role: InstanceRole,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceRole {
    /// Serves callers.
    Entry,
    /// Serves operators and places capacity.
    Control,
}

/// What every part of the node shares.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Context {
    pub identity: Identity,
    pub tuning: Tuning,
    pub rng: Pcg64Mcg,
    pub calls: StoreCalls,
    /// The configuration in force; none until the first one was read.
    pub config: Option<Arc<Config>>,
    pub fleet: Fleet,
}

impl Context {
    /// Returns the revision in force, zero before the first.
    pub fn revision(&self) -> Revision {
        self.config.as_ref().map_or(0, |it| it.revision)
    }
}

/// One pass through the reducer: the time, the shared state and the effects so far.
#[derive(Debug)]
pub struct Turn<'a> {
    pub now: Moment,
    pub ctx: &'a mut Context,
    pub out: &'a mut Vec<Effect>,
}

/// The whole state of a process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Node {
    ctx: Context,
    config: ConfigState,
    requests: Requests,
    placement: Placement,
}

impl Node {
    /// Makes the state of a fresh process; the same `seed` and events give the same effects.
    pub fn new(identity: Identity, tuning: Tuning, seed: u64) -> Node {
        Node {
            ctx: Context {
                identity,
                tuning,
                rng: Pcg64Mcg::seed_from_u64(seed),
                calls: StoreCalls::new(),
                config: None,
                fleet: Fleet::new(),
            },
            config: ConfigState::new(),
            requests: Requests::new(),
            placement: Placement::new(),
        }
    }

    /// Takes one event at `now` and returns what the process has to do, in order.
    pub fn reduce(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        let cx = &mut Turn { now, ctx: &mut self.ctx, out: &mut out };
        match event {
            Event::Tick => {
                self.placement.tick(cx);
                self.config.tick(cx);
                self.requests.tick(cx);
            }
            Event::Arrive(arrival) => self.requests.arrive(cx, arrival),
            Event::CallerGone { ticket } => self.requests.caller_gone(cx, ticket),
            Event::Call { attempt, event } => self.requests.on_call(cx, attempt, event),
            Event::Store { call, result } => match cx.ctx.calls.finish(call) {
                Some(Owner::Config) => self.config.on_store(cx, result),
                Some(
                    owner @ (Owner::Lease
                    | Owner::Plan
                    | Owner::PlanWatch
                    | Owner::PlanPoll
                    | Owner::History),
                ) => self.placement.on_store(cx, owner, result),
                Some(Owner::Workspaces | Owner::Claims | Owner::Admin) | None => (),
            },
            Event::Fleet { endpoints, instances } => {
                cx.ctx.fleet.update(endpoints);
                self.placement.on_list(&instances);
            }
            Event::Cache(_)
            | Event::AskInstances { .. }
            | Event::AskKey { .. }
            | Event::Admin(_) => (),
            Event::Ordered { endpoint, fence, result } => {
                self.placement.on_ordered(cx, &endpoint, fence, &result);
            }
            Event::Report { endpoint, report } => self.placement.on_report(cx, &endpoint, report),
            Event::Peer { message, .. } => {
                if let PeerMessage::Heartbeat(beat) = &message {
                    self.placement.on_heartbeat(cx, beat);
                }
            }
            Event::Shutdown => {
                self.placement.shutdown(cx);
                self.requests.shutdown(cx);
            }
        }
        out
    }

    /// Returns when [`Event::Tick`] is due next.
    pub fn next_wake(&self) -> Option<Moment> {
        [self.config.next_wake(), self.requests.next_wake(), self.placement.next_wake(&self.ctx)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns a digest of the whole state, to compare a replay with the run it repeats.
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

    pub fn fleet(&self) -> &Fleet {
        &self.ctx.fleet
    }

    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Whether new requests are taken: a configuration is in force and the process is not leaving.
    pub fn is_ready(&self) -> bool {
        self.ctx.config.is_some() && !self.requests.is_leaving()
    }
}
