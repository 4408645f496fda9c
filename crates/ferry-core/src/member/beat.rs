//! Sends and takes heartbeats.

use ferry_model::{
    Heartbeat, InstanceId, InstanceState, Moment, PeerMessage, PoolLoad, SortedMap, WorkspaceId,
};

use super::{Heard, Members, NEWS_LIFE};
use crate::config::feed::jitter;
use crate::turn::Turn;
use crate::{Decision, DecisionKind, Effect};

/// Least time between two heartbeats out of turn.
const ANNOUNCE_GAP: Moment = Moment::from_millis(100);
/// Heartbeats missed before a peer is asked for one.
const MISSED_BEATS: u32 = 3;
/// Most leaving instances named in a heartbeat.
const MAX_NEWS: usize = 8;
/// How long a change travels before a peer that lacks it is told.
const REMIND_AFTER: Moment = Moment::from_secs(1);

/// What the rest of the node puts into a heartbeat.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Summary {
    pub loads: Vec<PoolLoad>,
    pub demand: Vec<(WorkspaceId, u32)>,
}

impl Members {
    pub fn next_wake(&self) -> Option<Moment> {
        let due = [Some(self.next_beat), self.next_announce, self.sweep.next_wake()];
        due.into_iter().flatten().min()
    }

    /// Whether the regular heartbeat is due, which carries a summary of the loads.
    pub fn is_beat_due(&self, now: Moment) -> bool {
        self.next_beat <= now
    }

    /// Makes a heartbeat go out as soon as the gap to the last one out of turn allows.
    pub fn announce(&mut self, now: Moment) {
        let earliest = self.announced_at.map_or(now, |it| it + ANNOUNCE_GAP);
        self.next_announce = Some(earliest.max(now));
    }
}

/// Sends the heartbeats that are due.
pub fn tick(cx: &mut Turn<'_>, summary: Summary) {
    let now = cx.now;
    let is_beat = cx.ctx.members.is_beat_due(now);
    let is_announce = cx.ctx.members.next_announce.is_some_and(|it| it <= now);
    if is_beat {
        let interval = cx.ctx.tuning.beat_interval;
        cx.ctx.members.next_beat = now + jitter(cx, interval);
        cx.ctx.members.leaving.retain(|_, (_, at)| now.saturating_sub(*at) < NEWS_LIFE);
        ask_silent(cx);
    }
    if is_announce {
        cx.ctx.members.next_announce = None;
        cx.ctx.members.announced_at = Some(now);
    }
    if is_beat || is_announce {
        let message = PeerMessage::Heartbeat(heartbeat(cx, summary));
        for target in cx.ctx.members.targets.clone() {
            cx.send(&target, message.clone());
        }
    }
}

/// Answers a peer that asks for a heartbeat; it wants the state and the revisions only.
pub fn on_ask(cx: &mut Turn<'_>, from: &str) {
    let message = PeerMessage::Heartbeat(heartbeat(cx, Summary::default()));
    cx.send(from, message);
}

/// Joins a heartbeat; returns it, with the loads known, if it is of the sender's present life.
pub fn on_heartbeat(
    cx: &mut Turn<'_>,
    from: &InstanceId,
    mut beat: Heartbeat,
) -> Option<Heartbeat> {
    let now = cx.now;
    let suspect_after = cx.ctx.tuning.suspect_after;
    if beat.instance != *from || *from == cx.ctx.identity.instance {
        return None;
    }
    note_leaving(cx, &beat);
    let members = &mut cx.ctx.members;
    let member = members.views.get_mut(from)?;
    if let Some(heard) = &member.heard
        && beat.incarnation < heard.incarnation
        && now.saturating_sub(heard.at) < suspect_after
    {
        return None;
    }
    let swept = member.swept_at.take().is_some();
    let asked = member.asked_at.take().is_some() || swept;
    let old = member.heard.take().filter(|it| it.incarnation == beat.incarnation);
    let pushed_at = match asked {
        true => old.as_ref().and_then(|it| it.pushed_at),
        false => Some(now),
    };
    // A bare heartbeat says nothing of loads, so the last known ones stand.
    let keeps_loads = beat.loads.is_empty() && beat.demand.is_empty();
    if let Some(old) = old {
        // Messages may overtake each other; within one life these only ever rise.
        beat.revision = beat.revision.max(old.revision);
        beat.plan = beat.plan.max(old.plan);
        if old.state == InstanceState::Leaving {
            beat.state = InstanceState::Leaving;
        }
        if keeps_loads {
            beat.loads = old.loads;
            beat.demand = old.demand;
        }
    }
    member.heard = Some(Heard {
        at: now,
        pushed_at,
        incarnation: beat.incarnation,
        state: beat.state,
        revision: beat.revision,
        plan: beat.plan,
        workspaces: beat.workspaces,
        loads: beat.loads.clone(),
        demand: beat.demand.clone(),
    });
    members.saw_revision(now, beat.revision);
    if !asked {
        remind(cx, from, &beat);
    }
    Some(beat)
}

/// Tells a peer that lags of the revision in force here, so that it can pull.
fn remind(cx: &mut Turn<'_>, from: &str, beat: &Heartbeat) {
    let (highest, since) = cx.ctx.members.highest();
    let own = cx.ctx.revision();
    if own == highest && beat.revision < own && REMIND_AFTER <= cx.now.saturating_sub(since) {
        on_ask(cx, from);
    }
}

fn note_leaving(cx: &mut Turn<'_>, beat: &Heartbeat) {
    let now = cx.now;
    let own = cx.ctx.identity.instance.clone();
    let itself =
        (beat.state == InstanceState::Leaving).then(|| (beat.instance.clone(), beat.incarnation));
    let news = beat.leaving.iter().cloned().chain(itself);
    for (instance, incarnation) in news.filter(|(instance, _)| *instance != own) {
        let known = cx.ctx.members.leaving.get(&instance).map(|(it, _)| *it);
        if known.is_some_and(|it| incarnation <= it) {
            continue;
        }
        let reason = format!("instance {instance} is leaving");
        let decision = Decision::new(DecisionKind::Membership, reason, cx.ctx.revision());
        cx.out.push(Effect::Log(decision));
        cx.ctx.members.leaving.insert(instance, (incarnation, now));
        cx.ctx.members.announce(now);
    }
}

/// Asks targets and peers that have stopped to send; the answer clears the suspicion.
fn ask_silent(cx: &mut Turn<'_>) {
    let now = cx.now;
    let patience = cx.ctx.tuning.beat_interval * MISSED_BEATS;
    let Members { views, targets, .. } = &mut cx.ctx.members;
    let mut asked = Vec::new();
    for (id, member) in views.iter_mut() {
        let is_target = targets.binary_search(id).is_ok();
        let is_fresh = member.heard.as_ref().is_some_and(|it| now.saturating_sub(it.at) < patience);
        let is_stranger = member.heard.as_ref().is_none_or(Heard::is_stranger);
        if is_fresh || (is_stranger && !is_target) {
            continue;
        }
        member.asked_at.get_or_insert(now);
        asked.push(id.clone());
    }
    for id in asked {
        cx.send(&id, PeerMessage::PullHeartbeat);
    }
}

fn heartbeat(cx: &Turn<'_>, summary: Summary) -> Heartbeat {
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
        leaving: latest(&ctx.members.leaving),
        workspaces: ctx.workspaces.digest(),
    }
}

/// The news learned last.
fn latest(leaving: &SortedMap<InstanceId, (u64, Moment)>) -> Vec<(InstanceId, u64)> {
    let mut news: Vec<_> = leaving.iter().collect();
    news.sort_by_key(|(_, (_, at))| std::cmp::Reverse(*at));
    news.into_iter().take(MAX_NEWS).map(|(id, (life, _))| (id.clone(), *life)).collect()
}
