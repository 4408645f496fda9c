//! Requests to the administration API and their replies.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    Change, Config, Instance, InstanceState, Moment, Pipeline, Pool, Preset, PresetName, Revision,
    Ticket, Workspace, WorkspaceEntry,
};

/// An operator's request; every write includes the revision that the operator read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdminRequest {
    pub ticket: Ticket,
    pub author: String,
    /// Set by the client, so that a retry after a lost response is recognised.
    pub id: String,
    /// Wall-clock time in milliseconds since the Unix epoch, for the change history.
    pub at: u64,
    pub op: AdminOp,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AdminOp {
    /// Reads the whole configuration from the store.
    Read,
    PutPipeline {
        expect: Revision,
        pipeline: Pipeline,
    },
    DeletePipeline {
        expect: Revision,
        name: String,
    },
    PutPreset {
        expect: Revision,
        name: PresetName,
        preset: Preset,
    },
    PutPool {
        expect: Revision,
        pool: Pool,
    },
    DeletePool {
        expect: Revision,
        name: String,
    },
    /// Sets the active preset.
    UsePreset {
        expect: Revision,
        name: PresetName,
    },
    ReadWorkspaces,
    PutWorkspace {
        /// Revision of the workspace that was read; zero creates the workspace.
        expect: Revision,
        workspace: Workspace,
    },
    DeleteWorkspace {
        expect: Revision,
        name: String,
    },
    /// Requests the configuration revision of each instance.
    Status,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AdminReply {
    Config(Box<Config>),
    Workspaces(Vec<WorkspaceEntry>),
    /// The change was stored with this revision.
    Accepted {
        revision: Revision,
    },
    /// Another writer was first; lists the changes since the revision that was read.
    Conflict {
        revision: Revision,
        changes: Vec<Change>,
    },
    /// The value is invalid; lists all findings.
    Invalid(Vec<Finding>),
    NotFound,
    Status(Vec<InstanceStatus>),
    /// The store could not be reached; nothing was written.
    Unavailable(String),
    /// The change may have been stored; the client should retry with the same change id.
    #[serde(rename = "Unsettled")]
    Unconfirmed(String),
}

/// A problem with a value, and its location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Finding {
    /// JSON pointer, or `file:section:key` for settings.
    #[serde(rename = "place")]
    pub location: String,
    pub problem: String,
}

impl Finding {
    pub fn new(location: impl Into<String>, problem: impl Into<String>) -> Finding {
        Finding { location: location.into(), problem: problem.into() }
    }
}

/// All problems found in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (idx, it) in self.0.iter().enumerate() {
            let separator = if idx == 0 { "" } else { "\n" };
            write!(f, "{separator}{}: {}", it.location, it.problem)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    pub instance: Instance,
    pub state: InstanceState,
    /// Revision that the instance uses; zero if not known yet.
    pub revision: Revision,
    /// Time that the instance has been behind the highest known revision.
    #[serde(rename = "lagging")]
    pub lag: Option<Moment>,
}
