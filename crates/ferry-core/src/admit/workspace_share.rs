//! Each instance's share of the workspace limits, which apply to all instances together.

use ferry_model::{Moment, SortedMap, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::pass::{Context, Pass};

/// Maximum number of workspaces in a heartbeat.
const MAX_ANNOUNCED: usize = 8;
/// Age at which the sum of the peers' demand is computed again.
const REFRESH_INTERVAL: Moment = Moment::from_millis(200);

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WorkspaceShares {
    running: SortedMap<WorkspaceId, u32>,
    /// Requests refused since the last regular heartbeat.
    refused: SortedMap<WorkspaceId, u32>,
    /// Demand when the last regular heartbeat was sent.
    announced: SortedMap<WorkspaceId, u32>,
    /// Demand when the regular heartbeat before that was sent.
    announced_before: SortedMap<WorkspaceId, u32>,
    announced_at: Moment,
    peer_demand: PeerDemand,
}

/// The demand that live peers announced in their latest heartbeats.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct PeerDemand {
    demand: SortedMap<WorkspaceId, u32>,
    n_peers: u32,
    /// Peers that have announced their demand; the others are assumed to have the same on average.
    n_reporting: u32,
    at: Option<Moment>,
}

impl WorkspaceShares {
    pub fn new() -> WorkspaceShares {
        WorkspaceShares::default()
    }

    /// Returns the highest demands of this instance, for the heartbeat that is about to be sent.
    pub fn announce_demand(&mut self, now: Moment, interval: Moment) -> Vec<(WorkspaceId, u32)> {
        let names = self.running.keys().chain(self.refused.keys());
        let demand: SortedMap<WorkspaceId, u32> =
            names.map(|it| (it.clone(), self.demand_of(it))).collect();
        if self.announced_at + interval / 2 <= now {
            self.announced_before = std::mem::replace(&mut self.announced, demand.clone());
            self.announced_at = now;
            self.refused = SortedMap::new();
        }
        let mut demand: Vec<(WorkspaceId, u32)> =
            demand.iter().map(|(name, count)| (name.clone(), *count)).collect();
        demand.sort_by(|left, right| right.1.cmp(&left.1).then(left.0.cmp(&right.0)));
        demand.truncate(MAX_ANNOUNCED);
        demand.sort();
        demand
    }

    /// Whether another request of the workspace fits into this instance's share; if not, it is
    /// counted as refused.
    pub fn has_room(&mut self, cx: &Pass<'_>, workspace: &str) -> bool {
        let limit = cx.ctx.workspaces.get(workspace).map_or(0, |it| it.concurrent);
        if limit == 0 {
            return true;
        }
        let is_old = self.peer_demand.at.is_none_or(|at| at + REFRESH_INTERVAL <= cx.now);
        if is_old {
            self.peer_demand = PeerDemand::new(cx.ctx, cx.now);
        }
        let running = count_of(&self.running, workspace);
        let announced = self.announced_demand(workspace);
        let peer_demand = self.peer_demand.estimate(workspace);
        let has_room = running < share_of(limit, announced, peer_demand, self.peer_demand.n_peers);
        if !has_room {
            *self.refused.get_or_insert_with(workspace.to_owned(), || 0) += 1;
        }
        has_room
    }

    /// Returns the demand of this instance that peers have known for a whole heartbeat interval.
    ///
    /// By then the peers have announced theirs, so that a simultaneous burst on all instances stays
    /// within the limit.
    fn announced_demand(&self, workspace: &str) -> u32 {
        count_of(&self.announced, workspace).min(count_of(&self.announced_before, workspace))
    }

    /// Returns the number of requests in flight and of those recently refused.
    fn demand_of(&self, workspace: &str) -> u32 {
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

impl PeerDemand {
    fn new(ctx: &Context, now: Moment) -> PeerDemand {
        let mut sum = PeerDemand { at: Some(now), ..PeerDemand::default() };
        let live = ctx.members.live(now, ctx.tuning.suspect_after);
        for member in live.filter(|it| it.instance.is_entry) {
            sum.n_peers += 1;
            let Some(heartbeat) = &member.heartbeat else { continue };
            sum.n_reporting += 1;
            for (workspace, running) in &heartbeat.demand {
                *sum.demand.get_or_insert_with(workspace.clone(), || 0) += running;
            }
        }
        sum
    }

    /// Returns the demand of a workspace on all live peers, extrapolated from the known demands.
    fn estimate(&self, workspace: &str) -> u32 {
        let reported = self.demand.get(workspace).copied().unwrap_or(0);
        let all =
            u64::from(reported) * u64::from(self.n_peers) / u64::from(self.n_reporting.max(1));
        u32::try_from(all).unwrap_or(u32::MAX)
    }
}

fn count_of(counts: &SortedMap<WorkspaceId, u32>, workspace: &str) -> u32 {
    counts.get(workspace).copied().unwrap_or(0)
}

/// Splits a limit by demand. Each instance's demand is counted one higher, so that an idle
/// instance can start a request.
fn share_of(limit: u32, announced: u32, peer_demand: u32, n_peers: u32) -> u32 {
    let own = u64::from(announced) + 1;
    let all = u64::from(announced) + u64::from(peer_demand) + u64::from(n_peers) + 1;
    let share = (u64::from(limit) * own / all) as u32;
    let has_spare = announced.saturating_add(peer_demand) < limit;
    share.max(u32::from(has_spare))
}
