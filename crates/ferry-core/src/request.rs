//! Requests in flight, from arrival to their final answer; see docs/design/requests.md.

mod arrive;
mod claimed;
mod dispatch;
pub mod flight;
mod lookup;
pub mod recent;
mod reply;
mod settle;
mod timers;

use std::time::Duration;

use ferry_model::{
    AttemptId, ClaimKey, Heartbeat, Instance, Moment, PoolLoad, RequestId, SortedMap, StoreError,
    StoreReply, Ticket, Workspace, WorkspaceId,
};
use serde::{Deserialize, Serialize};

use crate::admit::{Pools, Shares};
use crate::claim::Claims;
use crate::node::Turn;
use crate::request::flight::{Flight, Phase};
use crate::request::recent::Recent;
use crate::request::timers::Timers;
use crate::route::Turns;
use crate::{CallId, Effect};

/// How long a leaving process waits for its journals once its requests have ended.
const JOURNAL_GRACE: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Requests {
    flights: SortedMap<RequestId, Flight>,
    attempts: SortedMap<AttemptId, RequestId>,
    tickets: SortedMap<Ticket, RequestId>,
    /// Requests in flight by their key.
    keys: SortedMap<ClaimKey, RequestId>,
    recent: Recent,
    claims: Claims,
    pools: Pools,
    shares: Shares,
    turns: Turns,
    timers: Timers,
    n_requests: u64,
    n_attempts: AttemptId,
    leaving: bool,
    /// When the process exits even if journals still wait.
    leave_by: Option<Moment>,
    exited: bool,
}

impl Requests {
    pub fn new() -> Requests {
        Requests::default()
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Requests in flight.
    pub fn len(&self) -> usize {
        self.flights.len()
    }

    pub fn is_empty(&self) -> bool {
        self.flights.is_empty()
    }

    pub fn next_wake(&self) -> Option<Moment> {
        let claims = self.claims.next_wake();
        let leave_by = self.leave_by.filter(|_| !self.exited);
        self.timers.next().into_iter().chain(claims).chain(leave_by).min()
    }

    /// Takes the workspaces whose limits and weights apply.
    pub fn set_workspaces(&mut self, workspaces: Vec<Workspace>) {
        self.shares.set_workspaces(workspaces);
    }

    /// Takes the last heartbeat of each live peer, to split the limits of workspaces.
    pub fn set_peers<'a>(&mut self, peers: impl Iterator<Item = &'a Heartbeat>) {
        self.shares.set_peers(peers);
    }

    /// Returns the largest demands by workspace, for a heartbeat.
    pub fn demand(&self) -> Vec<(WorkspaceId, u32)> {
        self.shares.demand()
    }

    /// Returns the load by pool since the last call, for a heartbeat.
    pub fn take_loads(&mut self) -> Vec<PoolLoad> {
        self.pools.take_loads()
    }

    pub fn on_instances(&mut self, instances: &[Instance]) {
        self.claims.set_instances(instances);
    }

    pub fn set_clock(&mut self, now: Moment, unix_ms: u64) {
        self.claims.set_clock(now, unix_ms);
    }

    pub fn on_store(
        &mut self,
        cx: &mut Turn<'_>,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) {
        let verdicts = self.claims.on_store(cx, call, result);
        self.on_verdicts(cx, verdicts);
        self.exit_when_idle(cx);
    }

    pub fn tick(&mut self, cx: &mut Turn<'_>) {
        let verdicts = self.claims.tick(cx);
        self.on_verdicts(cx, verdicts);
        while let Some(id) = self.timers.pop(cx.now) {
            if let Some(flight) = self.flights.get_mut(&id) {
                flight.wake = None;
                self.on_timer(cx, id);
            }
        }
        self.exit_when_idle(cx);
    }

    pub fn shutdown(&mut self, cx: &mut Turn<'_>) {
        self.leaving = true;
        self.exit_when_idle(cx);
    }

    fn exit_when_idle(&mut self, cx: &mut Turn<'_>) {
        if !self.leaving || self.exited || !self.flights.is_empty() {
            return;
        }
        let leave_by = *self.leave_by.get_or_insert(cx.now + JOURNAL_GRACE);
        if leave_by <= cx.now || self.claims.is_idle() {
            self.exited = true;
            cx.out.push(Effect::Exit);
        }
    }

    /// Sets the timer of a request for whatever is due next.
    fn set_timer(&mut self, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        let rest = match flight.phase {
            Phase::Claiming | Phase::Queued | Phase::Backoff(_) => {
                self.pools.rest(&flight.pipeline, flight.stage)
            }
            Phase::Asking { .. } | Phase::Running => Duration::ZERO,
        };
        let due = flight.next_due(rest);
        match flight.wake {
            // An early timer only finds that it has to be set again.
            Some(wake) if wake <= due => return,
            Some(wake) => self.timers.clear(wake, id),
            None => (),
        }
        flight.wake = Some(due);
        self.timers.set(due, id);
    }
}
