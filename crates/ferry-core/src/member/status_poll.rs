//! Asks every instance for its revision while an operator reads the status.
//!
//! An instance gets heartbeats of only a few others; a bounded rate keeps the polling within the
//! traffic budget.

use ferry_model::{InstanceId, InstanceStatus, Moment, PeerMessage};
use serde::{Deserialize, Serialize};

use super::Members;
use crate::pass::Pass;

/// How long polling continues after an operator last read the status.
const POLL_TIME: Moment = Moment::from_secs(30);
/// Minimum time between two polls of one instance.
const POLL_INTERVAL: Moment = Moment::from_secs(2);
/// Time between two rounds of polling.
const ROUND_INTERVAL: Moment = Moment::from_millis(100);

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StatusPoll {
    until: Moment,
    next: Option<Moment>,
    /// Polls that the rate still allows, in tenths, as there are ten rounds in a second.
    allowance: u32,
    cursor: InstanceId,
}

impl StatusPoll {
    pub fn next_wake(&self) -> Option<Moment> {
        self.next
    }
}

/// Returns the revision and state of every known peer, and starts to poll for fresher ones.
pub fn status(cx: &mut Pass<'_>) -> Vec<InstanceStatus> {
    let now = cx.now;
    let suspect_after = cx.ctx.tuning.suspect_after;
    let members = &mut cx.ctx.members;
    members.status_poll.until = now + POLL_TIME;
    members.status_poll.next.get_or_insert(now);
    let members = &cx.ctx.members;
    let (highest, since) = members.highest_revision();
    members
        .iter()
        .map(|member| {
            let revision = member.heartbeat.as_ref().map_or(0, |it| it.revision);
            InstanceStatus {
                instance: member.instance.clone(),
                state: members.state(now, suspect_after, member),
                revision,
                lag: (revision < highest).then(|| now.saturating_sub(since)),
            }
        })
        .collect()
}

pub fn tick(cx: &mut Pass<'_>) {
    let now = cx.now;
    let rate = cx.ctx.tuning.status_rate;
    let poll = &mut cx.ctx.members.status_poll;
    if poll.next.is_none_or(|it| now < it) {
        return;
    }
    if poll.until <= now {
        poll.next = None;
        return;
    }
    poll.next = Some(now + ROUND_INTERVAL);
    poll.allowance = (poll.allowance + rate).min(10 * rate);
    let mut due = due_peers(now, &cx.ctx.members, poll_cursor(&cx.ctx.members));
    due.truncate((cx.ctx.members.status_poll.allowance / 10) as usize);
    cx.ctx.members.status_poll.allowance -= 10 * due.len() as u32;
    for id in due {
        cx.ctx.members.status_poll.cursor.clone_from(&id);
        if let Some(member) = cx.ctx.members.peers.get_mut(&id) {
            member.polled_at = Some(now);
        }
        cx.send(&id, PeerMessage::PullHeartbeat);
    }
}

fn poll_cursor(members: &Members) -> &str {
    &members.status_poll.cursor
}

/// Returns the instances due for a poll because their revision lags, those after the cursor first.
fn due_peers(now: Moment, members: &Members, cursor: &str) -> Vec<InstanceId> {
    let (highest, _) = members.highest_revision();
    let is_due = |id: &str| {
        members.get(id).is_some_and(|it| {
            let is_polled = it.polled_at.is_some_and(|at| now.saturating_sub(at) < POLL_INTERVAL);
            let is_current = it.heartbeat.as_ref().is_some_and(|last| last.revision == highest);
            !is_polled && !is_current
        })
    };
    let ids: Vec<&InstanceId> = members.peers.keys().filter(|it| is_due(it)).collect();
    let split = ids.partition_point(|it| it.as_str() <= cursor);
    ids[split..].iter().chain(&ids[..split]).map(|it| (*it).clone()).collect()
}
