//! Sends and receives heartbeats.

use ferry_model::{
    Heartbeat, InstanceId, InstanceState, Moment, PeerMessage, PoolLoad, SortedMap, WorkspaceId,
};

use super::{LEAVING_TTL, LastHeartbeat, Members};
use crate::config::feed::jitter;
use crate::pass::Pass;
use crate::{Decision, DecisionKind, Effect};

/// Minimum time between two heartbeats outside the regular interval.
const ANNOUNCE_GAP: Moment = Moment::from_millis(100);
/// Heartbeats missed before a peer is pulled for one.
const MISSED_HEARTBEATS: u32 = 3;
/// Maximum number of leaving instances named in a heartbeat.
const MAX_LEAVING: usize = 8;
/// How long a change may take to spread before a peer that lacks it is notified.
const LAG_GRACE: Moment = Moment::from_secs(1);

/// The load that a heartbeat reports.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadSummary {
    pub loads: Vec<PoolLoad>,
    pub demand: Vec<(WorkspaceId, u32)>,
}

impl Members {
    pub fn next_wake(&self) -> Option<Moment> {
        let due = [Some(self.next_heartbeat), self.next_announce, self.status_poll.next_wake()];
        due.into_iter().flatten().min()
    }

    /// Whether the regular heartbeat is due, which includes the load.
    pub fn is_heartbeat_due(&self, now: Moment) -> bool {
        self.next_heartbeat <= now
    }

    /// Schedules a heartbeat as soon as the gap to the last announcement allows.
    pub fn announce(&mut self, now: Moment) {
        let earliest = self.announced_at.map_or(now, |it| it + ANNOUNCE_GAP);
        self.next_announce = Some(earliest.max(now));
    }
}

/// Sends the heartbeats that are due.
pub fn tick(cx: &mut Pass<'_>, summary: LoadSummary) {
    let now = cx.now;
    let is_regular = cx.ctx.members.is_heartbeat_due(now);
    let is_announcement = cx.ctx.members.next_announce.is_some_and(|it| it <= now);
    if is_regular {
        let interval = cx.ctx.tuning.heartbeat_interval;
        cx.ctx.members.next_heartbeat = now + jitter(cx, interval);
        cx.ctx.members.leaving.retain(|_, (_, at)| now.saturating_sub(*at) < LEAVING_TTL);
        pull_silent(cx);
    }
    if is_announcement {
        cx.ctx.members.next_announce = None;
        cx.ctx.members.announced_at = Some(now);
    }
    if is_regular || is_announcement {
        let message = PeerMessage::Heartbeat(build_heartbeat(cx, summary));
        for target in cx.ctx.members.targets.clone() {
            cx.send(&target, message.clone());
        }
    }
}

/// Answers a peer that asks for a heartbeat, with the state and the revisions but no load.
pub fn on_pull(cx: &mut Pass<'_>, from: &str) {
    let message = PeerMessage::Heartbeat(build_heartbeat(cx, LoadSummary::default()));
    cx.send(from, message);
}

/// Merges a heartbeat into what is known of its sender and returns the result; `None` if the sender
/// is unknown or the heartbeat is from an earlier incarnation.
pub fn on_heartbeat(
    cx: &mut Pass<'_>,
    from: &InstanceId,
    mut heartbeat: Heartbeat,
) -> Option<Heartbeat> {
    let now = cx.now;
    let suspect_after = cx.ctx.tuning.suspect_after;
    if heartbeat.instance != *from || *from == cx.ctx.identity.instance {
        return None;
    }
    note_leaving(cx, &heartbeat);
    let members = &mut cx.ctx.members;
    let member = members.peers.get_mut(from)?;
    if let Some(last) = &member.heartbeat
        && heartbeat.incarnation < last.incarnation
        && now.saturating_sub(last.received_at) < suspect_after
    {
        return None;
    }
    let polled = member.polled_at.take().is_some();
    let was_requested = member.pulled_at.take().is_some() || polled;
    let old = member.heartbeat.take().filter(|it| it.incarnation == heartbeat.incarnation);
    let pushed_at = match was_requested {
        true => old.as_ref().and_then(|it| it.pushed_at),
        false => Some(now),
    };
    // A heartbeat sent on request has no load, so the last known load is kept.
    let keeps_loads = heartbeat.loads.is_empty() && heartbeat.demand.is_empty();
    if let Some(old) = old {
        // Messages may arrive out of order; within one incarnation these only ever rise.
        heartbeat.revision = heartbeat.revision.max(old.revision);
        heartbeat.plan = heartbeat.plan.max(old.plan);
        if old.state == InstanceState::Leaving {
            heartbeat.state = InstanceState::Leaving;
        }
        if keeps_loads {
            heartbeat.loads = old.loads;
            heartbeat.demand = old.demand;
        }
    }
    member.heartbeat = Some(LastHeartbeat {
        received_at: now,
        pushed_at,
        incarnation: heartbeat.incarnation,
        state: heartbeat.state,
        revision: heartbeat.revision,
        plan: heartbeat.plan,
        workspaces: heartbeat.workspaces,
        loads: heartbeat.loads.clone(),
        demand: heartbeat.demand.clone(),
    });
    members.note_revision(now, heartbeat.revision);
    if !was_requested {
        notify_lagging(cx, from, &heartbeat);
    }
    Some(heartbeat)
}

/// Sends a lagging peer a heartbeat with the revision in force here, so that it can pull it.
fn notify_lagging(cx: &mut Pass<'_>, from: &str, heartbeat: &Heartbeat) {
    let (highest, since) = cx.ctx.members.highest_revision();
    let own = cx.ctx.revision();
    if own == highest && heartbeat.revision < own && LAG_GRACE <= cx.now.saturating_sub(since) {
        on_pull(cx, from);
    }
}

fn note_leaving(cx: &mut Pass<'_>, heartbeat: &Heartbeat) {
    let now = cx.now;
    let own = cx.ctx.identity.instance.clone();
    let sender = (heartbeat.state == InstanceState::Leaving)
        .then(|| (heartbeat.instance.clone(), heartbeat.incarnation));
    let leaving = heartbeat.leaving.iter().cloned().chain(sender);
    for (instance, incarnation) in leaving.filter(|(instance, _)| *instance != own) {
        let known = cx.ctx.members.leaving.get(&instance).map(|(it, _)| *it);
        if known.is_some_and(|it| incarnation <= it) {
            continue;
        }
        let reason = format!("instance {instance} is leaving");
        let decision = Decision::new(DecisionKind::Membership, reason, cx.ctx.revision());
        cx.effects.push(Effect::Log(decision));
        cx.ctx.members.leaving.insert(instance, (incarnation, now));
        cx.ctx.members.announce(now);
    }
}

/// Asks silent peers for a heartbeat: targets, and peers that used to send to this instance. The
/// answer clears the suspicion.
fn pull_silent(cx: &mut Pass<'_>) {
    let now = cx.now;
    let timeout = cx.ctx.tuning.heartbeat_interval * MISSED_HEARTBEATS;
    let Members { peers, targets, .. } = &mut cx.ctx.members;
    let mut pulled = Vec::new();
    for (id, member) in peers.iter_mut() {
        let is_target = targets.binary_search(id).is_ok();
        let is_fresh = member
            .heartbeat
            .as_ref()
            .is_some_and(|it| now.saturating_sub(it.received_at) < timeout);
        let sends_elsewhere = member.heartbeat.as_ref().is_none_or(LastHeartbeat::sends_elsewhere);
        if is_fresh || (sends_elsewhere && !is_target) {
            continue;
        }
        member.pulled_at.get_or_insert(now);
        pulled.push(id.clone());
    }
    for id in pulled {
        cx.send(&id, PeerMessage::PullHeartbeat);
    }
}

fn build_heartbeat(cx: &Pass<'_>, summary: LoadSummary) -> Heartbeat {
    let ctx = &cx.ctx;
    Heartbeat {
        instance: ctx.identity.instance.clone(),
        incarnation: ctx.identity.incarnation,
        zone: ctx.identity.zone.clone(),
        state: match ctx.members.is_leaving {
            true => InstanceState::Leaving,
            false => InstanceState::Live,
        },
        revision: ctx.revision(),
        plan: ctx.fleet.plan_revision(),
        loads: summary.loads,
        demand: summary.demand,
        leaving: latest_leaving(&ctx.members.leaving),
        workspaces: ctx.workspaces.digest(),
    }
}

/// Returns the leaving instances learned of most recently.
fn latest_leaving(leaving: &SortedMap<InstanceId, (u64, Moment)>) -> Vec<(InstanceId, u64)> {
    let mut latest: Vec<_> = leaving.iter().collect();
    latest.sort_by_key(|(_, (_, at))| std::cmp::Reverse(*at));
    latest.into_iter().take(MAX_LEAVING).map(|(id, (it, _))| (id.clone(), *it)).collect()
}
