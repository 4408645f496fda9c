//! Limits of workspaces that hold over all instances together.

use ferry_model::{Heartbeat, SortedMap, Workspace, WorkspaceId};
use serde::{Deserialize, Serialize};

/// Most workspaces that one heartbeat names.
const MOST_NAMED: usize = 32;

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Shares {
    workspaces: SortedMap<WorkspaceId, Workspace>,
    running: SortedMap<WorkspaceId, u32>,
    /// Requests in flight at live peers.
    elsewhere: SortedMap<WorkspaceId, u32>,
    n_peers: u32,
}

impl Shares {
    pub fn new() -> Shares {
        Shares::default()
    }

    pub fn set_workspaces(&mut self, workspaces: Vec<Workspace>) {
        self.workspaces = workspaces.into_iter().map(|it| (it.name.clone(), it)).collect();
    }

    /// Takes the last heartbeat of each live peer.
    pub fn set_peers<'a>(&mut self, peers: impl Iterator<Item = &'a Heartbeat>) {
        self.elsewhere = SortedMap::new();
        self.n_peers = 0;
        for peer in peers {
            self.n_peers += 1;
            for (workspace, running) in &peer.demand {
                *self.elsewhere.entry_or_with(workspace.clone(), || 0) += running;
            }
        }
    }

    /// Returns the largest demands here, for the next heartbeat.
    pub fn demand(&self) -> Vec<(WorkspaceId, u32)> {
        let mut demand: Vec<(WorkspaceId, u32)> =
            self.running.iter().map(|(name, running)| (name.clone(), *running)).collect();
        demand.sort_by(|left, right| right.1.cmp(&left.1).then(left.0.cmp(&right.0)));
        demand.truncate(MOST_NAMED);
        demand.sort();
        demand
    }

    pub fn weight(&self, workspace: &str) -> u32 {
        self.workspaces.get(workspace).map_or(1, |it| it.weight.max(1))
    }

    /// Whether one more request of the workspace fits into this instance's share.
    pub fn has_room(&self, workspace: &str) -> bool {
        let limit = self.workspaces.get(workspace).map_or(0, |it| it.concurrent);
        if limit == 0 {
            return true;
        }
        let running = self.running.get(workspace).copied().unwrap_or(0);
        let elsewhere = self.elsewhere.get(workspace).copied().unwrap_or(0);
        running < share_of(limit, running, elsewhere, self.n_peers)
    }

    pub fn started(&mut self, workspace: &WorkspaceId) {
        *self.running.entry_or_with(workspace.clone(), || 0) += 1;
    }

    pub fn ended(&mut self, workspace: &str) {
        let Some(running) = self.running.get_mut(workspace) else { return };
        *running = running.saturating_sub(1);
        if *running == 0 {
            self.running.remove(workspace);
        }
    }
}

/// Splits a limit by demand, with one spare request for each instance so that an idle one can start.
fn share_of(limit: u32, running: u32, elsewhere: u32, n_peers: u32) -> u32 {
    let own = u64::from(running) + 1;
    let all = u64::from(running) + u64::from(elsewhere) + u64::from(n_peers) + 1;
    let share = (u64::from(limit) * own / all) as u32;
    let has_spare = running + elsewhere < limit;
    share.max(u32::from(has_spare))
}
