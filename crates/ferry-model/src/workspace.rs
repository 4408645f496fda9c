//! Workspaces, which own requests, with their fair share and credentials.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{Change, Revision, WorkspaceId};

/// Number of shard objects for workspaces; the names of stored objects depend on it.
pub const N_SHARDS: usize = 64;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Workspace {
    pub name: WorkspaceId,
    /// Share of queued work relative to other workspaces, at least 1.
    pub weight: u32,
    /// Most requests in flight over all instances; zero means no limit.
    pub concurrent: u32,
    /// BLAKE3 hashes of the bearer tokens that map to this workspace, in hex.
    pub tokens: Vec<String>,
}

/// A workspace with the revision of its last change, which an edit has to specify.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct WorkspaceEntry {
    pub revision: Revision,
    pub workspace: Workspace,
}

/// One of the [`N_SHARDS`] objects that hold the workspaces.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Grows by one with each change of the shard.
    pub revision: Revision,
    /// Sorted by name.
    pub entries: Vec<WorkspaceEntry>,
    /// The most recent changes, newest last.
    pub history: Vec<Change>,
}

impl Shard {
    pub fn get(&self, name: &str) -> Option<&WorkspaceEntry> {
        self.position(name).ok().map(|idx| &self.entries[idx])
    }

    pub fn position(&self, name: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|it| it.workspace.name.as_str().cmp(name))
    }
}

/// Returns the number of the shard that holds the workspace.
pub fn shard_of(name: &str) -> usize {
    // FNV-1a is written out here so that no library update changes where workspaces are stored.
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash % N_SHARDS as u64) as usize
}

/// Returns the name of the object that stores the shard.
pub fn shard_name(shard: usize) -> String {
    format!("shard-{shard:02}")
}

/// Returns the shard number in the name of an object, if it names a shard.
pub fn parse_shard(name: &str) -> Option<usize> {
    let shard = name.strip_prefix("shard-")?.parse().ok()?;
    (shard < N_SHARDS).then_some(shard)
}
