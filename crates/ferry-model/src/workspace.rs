//! Workspaces: whose requests they are, their share and their credentials.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::WorkspaceId;

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
