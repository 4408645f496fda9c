//! Limits of workspaces that hold over all instances together.

use ferry_model::{Moment, SortedMap, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::turn::{Context, Turn};

/// Most workspaces that one heartbeat names.
const MOST_NAMED: usize = 8;
/// Age at which the demand of peers is summed up anew.
const REFRESH: Moment = Moment::from_millis(200);

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Shares {
    running: SortedMap<WorkspaceId, u32>,
    /// Requests that found no room since the last regular heartbeat.
    refused: SortedMap<WorkspaceId, u32>,
    /// Demand as the last regular heartbeat told it, and the one before.
    told: SortedMap<WorkspaceId, u32>,
    told_before: SortedMap<WorkspaceId, u32>,
    told_at: Moment,
    elsewhere: Elsewhere,
}

/// What live peers last said of their requests in flight.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Elsewhere {
    demand: SortedMap<WorkspaceId, u32>,
    n_peers: u32,
    /// Peers that have said something; the others are taken for alike.
    n_heard: u32,
    at: Option<Moment>,
}

impl Shares {
    pub fn new() -> Shares {
        Shares::default()
    }

    /// Returns the largest demands here, for the heartbeat that goes out now.
    pub fn tell_demand(&mut self, now: Moment, interval: Moment) -> Vec<(WorkspaceId, u32)> {
        let names = self.running.keys().chain(self.refused.keys());
        let demand: SortedMap<WorkspaceId, u32> =
            names.map(|it| (it.clone(), self.wanted(it))).collect();
        if self.told_at + interval / 2 <= now {
            self.told_before = std::mem::replace(&mut self.told, demand.clone());
            self.told_at = now;
            self.refused = SortedMap::new();
        }
        let mut demand: Vec<(WorkspaceId, u32)> =
            demand.iter().map(|(name, wanted)| (name.clone(), *wanted)).collect();
        demand.sort_by(|left, right| right.1.cmp(&left.1).then(left.0.cmp(&right.0)));
        demand.truncate(MOST_NAMED);
        demand.sort();
        demand
    }

    /// Whether one more request of the workspace fits into this instance's share.
    pub fn has_room(&mut self, cx: &Turn<'_>, workspace: &str) -> bool {
        let limit = cx.ctx.workspaces.get(workspace).map_or(0, |it| it.concurrent);
        if limit == 0 {
            return true;
        }
        let is_old = self.elsewhere.at.is_none_or(|at| at + REFRESH <= cx.now);
        if is_old {
            self.elsewhere = Elsewhere::new(cx.ctx, cx.now);
        }
        let running = count_of(&self.running, workspace);
        let known = self.known(workspace);
        let elsewhere = self.elsewhere.of(workspace);
        let has_room = running < share_of(limit, known, elsewhere, self.elsewhere.n_peers);
        if !has_room {
            *self.refused.get_or_insert_with(workspace.to_owned(), || 0) += 1;
        }
        has_room
    }

    /// Returns the demand here that peers have known for a whole interval.
    ///
    /// By then they have told theirs, so a burst everywhere at once stays within the limit.
    fn known(&self, workspace: &str) -> u32 {
        count_of(&self.told, workspace).min(count_of(&self.told_before, workspace))
    }

    /// Returns the requests in flight, and those that lately found no room.
    fn wanted(&self, workspace: &str) -> u32 {
        count_of(&self.running, workspace) + count_of(&self.refused, workspace)
    }

    pub fn started(&mut self, workspace: &WorkspaceId) {
        *self.running.get_or_insert_with(workspace.clone(), || 0) += 1;
    }

    pub fn ended(&mut self, workspace: &str) {
        let Some(running) = self.running.get_mut(workspace) else { return };
        *running = running.saturating_sub(1);
        if *running == 0 {
            self.running.remove(workspace);
        }
    }
}

impl Elsewhere {
    fn new(ctx: &Context, now: Moment) -> Elsewhere {
        let mut sum = Elsewhere { at: Some(now), ..Elsewhere::default() };
        let live = ctx.members.live(now, ctx.tuning.suspect_after);
        for member in live.filter(|it| it.instance.is_entry) {
            sum.n_peers += 1;
            let Some(heard) = &member.heartbeat else { continue };
            sum.n_heard += 1;
            for (workspace, running) in &heard.demand {
                *sum.demand.get_or_insert_with(workspace.clone(), || 0) += running;
            }
        }
        sum
    }

    /// Returns the demand of a workspace at all live peers, by those that were heard.
    fn of(&self, workspace: &str) -> u32 {
        let heard = self.demand.get(workspace).copied().unwrap_or(0);
        let all = u64::from(heard) * u64::from(self.n_peers) / u64::from(self.n_heard.max(1));
        u32::try_from(all).unwrap_or(u32::MAX)
    }
}

fn count_of(counts: &SortedMap<WorkspaceId, u32>, workspace: &str) -> u32 {
    counts.get(workspace).copied().unwrap_or(0)
}

/// Splits a limit by demand, with a spare request for each instance so that an idle one can start.
fn share_of(limit: u32, known: u32, elsewhere: u32, n_peers: u32) -> u32 {
    let own = u64::from(known) + 1;
    let all = u64::from(known) + u64::from(elsewhere) + u64::from(n_peers) + 1;
    let share = (u64::from(limit) * own / all) as u32;
    let has_spare = known.saturating_add(elsewhere) < limit;
    share.max(u32::from(has_spare))
}
