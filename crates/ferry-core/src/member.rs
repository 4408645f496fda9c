//! Membership: the instance list, which lags, joined with heartbeats between peers.
//!
//! It only affects efficiency: no guarantee depends on it. docs/design/membership.md compares the
//! alternatives.

pub mod addresses;
pub mod heartbeat;
pub mod status_poll;
pub mod subset;

use std::net::SocketAddr;

use ferry_model::{
    EndpointState, Incarnation, Instance, InstanceId, InstanceState, Moment, PoolLoad, Revision,
    SortedMap, WorkspaceId,
};
use serde::{Deserialize, Serialize};

use crate::Identity;
use crate::member::status_poll::StatusPoll;

/// How long an instance that is neither listed nor sends heartbeats stays in the status.
const FORGET_AFTER: Moment = Moment::from_secs(60);
/// How long heartbeats repeat that an instance is leaving.
const LEAVING_TTL: Moment = Moment::from_secs(30);

/// What is known of another instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    pub instance: Instance,
    /// When the instance list last contained it.
    pub listed_at: Moment,
    pub heartbeat: Option<LastHeartbeat>,
    /// When it was first asked for a heartbeat that has not arrived yet.
    pulled_at: Option<Moment>,
    /// When it was last asked for its revision on behalf of an operator.
    polled_at: Option<Moment>,
}

impl Member {
    fn new(instance: Instance, listed_at: Moment) -> Member {
        Member { instance, listed_at, heartbeat: None, pulled_at: None, polled_at: None }
    }

    /// Whether a heartbeat has been due for at least `timeout`.
    fn is_silent(&self, now: Moment, timeout: Moment) -> bool {
        let is_overdue = |since: Moment| timeout <= now.saturating_sub(since);
        let is_late = |it: &LastHeartbeat| !it.sends_elsewhere() && is_overdue(it.received_at);
        self.heartbeat.as_ref().is_some_and(is_late) || self.pulled_at.is_some_and(is_overdue)
    }
}

/// The last heartbeat of an instance, merged with earlier ones of the same incarnation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LastHeartbeat {
    pub received_at: Moment,
    /// When it last sent a heartbeat without being asked, if it ever did.
    pub pushed_at: Option<Moment>,
    pub incarnation: Incarnation,
    pub state: InstanceState,
    pub revision: Revision,
    /// Revision of the placement plan that it follows.
    pub plan: Revision,
    /// Digest of the revisions of its workspaces.
    pub workspaces: u32,
    pub loads: Vec<PoolLoad>,
    pub demand: Vec<(WorkspaceId, u32)>,
}

impl LastHeartbeat {
    /// Whether this instance is not among the targets of its regular heartbeats, so that silence is
    /// no sign of failure.
    fn sends_elsewhere(&self) -> bool {
        self.pushed_at.is_none_or(|it| FORGET_AFTER <= self.received_at.saturating_sub(it))
    }

    /// Returns the number of requests in flight and queued over all pools.
    pub fn load(&self) -> u32 {
        self.loads.iter().map(|it| it.running + it.queued).sum()
    }
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Members {
    peers: SortedMap<InstanceId, Member>,
    /// Peers that this instance sends its heartbeats to.
    targets: Vec<InstanceId>,
    listed_at: Moment,
    /// This instance as the instance list describes it.
    own: Option<Instance>,
    next_heartbeat: Moment,
    /// When the next heartbeat outside the regular interval is due.
    next_announce: Option<Moment>,
    announced_at: Option<Moment>,
    /// Instances known to leave, with the leaving incarnation and when that was learned.
    leaving: SortedMap<InstanceId, (Incarnation, Moment)>,
    is_leaving: bool,
    /// Highest revision known here, and since when.
    highest: Revision,
    highest_at: Moment,
    status_poll: StatusPoll,
}

impl Members {
    pub fn new() -> Members {
        Members::default()
    }

    /// Returns the number of other instances that are known.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    pub fn get(&self, id: &str) -> Option<&Member> {
        self.peers.get(id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.peers.values()
    }

    pub fn targets(&self) -> &[InstanceId] {
        &self.targets
    }

    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.peers.get(id).map(|it| it.instance.peer)
    }

    /// Returns this instance once the instance list contains it.
    pub fn own_instance(&self) -> Option<&Instance> {
        self.own.as_ref()
    }

    /// Returns the other instances that are believed to serve requests.
    pub fn live(&self, now: Moment, suspect_after: Moment) -> impl Iterator<Item = &Member> {
        self.peers
            .values()
            .filter(move |it| self.state(now, suspect_after, it) == InstanceState::Live)
    }

    pub fn state(&self, now: Moment, suspect_after: Moment, member: &Member) -> InstanceState {
        let is_listed = member.listed_at == self.listed_at;
        let is_silent = member.is_silent(now, suspect_after);
        if !is_listed && (is_silent || member.heartbeat.is_none()) {
            return InstanceState::Gone;
        }
        if member.instance.state == EndpointState::Leaving || self.is_known_to_leave(member) {
            return InstanceState::Leaving;
        }
        if is_silent {
            return InstanceState::Suspect;
        }
        member.heartbeat.as_ref().map_or(InstanceState::Live, |it| it.state)
    }

    /// Applies a fresh copy of the instance list.
    pub fn update(
        &mut self,
        now: Moment,
        identity: &Identity,
        fanout: usize,
        instances: Vec<Instance>,
    ) {
        let last = std::mem::replace(&mut self.listed_at, now);
        self.own = instances.iter().find(|it| it.id == identity.instance).cloned();
        let mut is_changed = false;
        for instance in instances.into_iter().filter(|it| it.id != identity.instance) {
            match self.peers.get_mut(&instance.id) {
                Some(known) => {
                    let has_moved = known.instance.zone != instance.zone
                        || known.instance.region != instance.region;
                    is_changed |= has_moved || known.listed_at != last;
                    known.instance = instance;
                    known.listed_at = now;
                }
                None => {
                    is_changed = true;
                    self.peers.insert(instance.id.clone(), Member::new(instance, now));
                }
            }
        }
        is_changed |= self.peers.values().any(|it| it.listed_at == last && last < now);
        self.peers.retain(|_, it| {
            let received_at = it.heartbeat.as_ref().map_or(Moment::ZERO, |it| it.received_at);
            now.saturating_sub(it.listed_at.max(received_at)) < FORGET_AFTER
        });
        if is_changed {
            self.choose_targets(identity, fanout);
        }
    }

    fn choose_targets(&mut self, identity: &Identity, fanout: usize) {
        let is_listed = |it: &&Member| it.listed_at == self.listed_at;
        let listed: Vec<&Instance> =
            self.peers.values().filter(is_listed).map(|it| &it.instance).collect();
        self.targets = subset::choose(identity, &listed, fanout);
    }

    /// Records the highest revision and when it was first seen, to know since when others lag.
    pub fn note_revision(&mut self, now: Moment, revision: Revision) {
        if self.highest < revision {
            self.highest = revision;
            self.highest_at = now;
        }
    }

    pub fn highest_revision(&self) -> (Revision, Moment) {
        (self.highest, self.highest_at)
    }

    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Marks this instance as leaving and notifies its peers at once.
    pub fn leave(&mut self, now: Moment) {
        self.is_leaving = true;
        self.announce(now);
    }

    fn is_known_to_leave(&self, member: &Member) -> bool {
        let Some((incarnation, _)) = self.leaving.get(&member.instance.id) else { return false };
        member.heartbeat.as_ref().is_none_or(|it| it.incarnation == *incarnation)
    }
}
