//! What operators ask of the administration API and what they are told.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    Change, Config, Instance, InstanceState, Moment, Pipeline, Pool, Preset, PresetName, Revision,
    Ticket, Workspace, WorkspaceEntry,
};

/// One operator's request; the revision that they read is part of every write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdminRequest {
    pub ticket: Ticket,
    pub author: String,
    /// Chosen by the client, so that a repeat of a lost answer is recognised.
    pub id: String,
    /// Wall-clock time in milliseconds since the Unix epoch, for the history.
    pub at: u64,
    pub op: AdminOp,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AdminOp {
    /// Reads the whole configuration as the store has it now.
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
    /// Chooses the preset in force.
    UsePreset {
        expect: Revision,
        name: PresetName,
    },
    ReadWorkspaces,
    PutWorkspace {
        /// Revision of the workspace that was read; zero creates it.
        expect: Revision,
        workspace: Workspace,
    },
    DeleteWorkspace {
        expect: Revision,
        name: String,
    },
    /// Asks which instance has which revision.
    Status,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AdminReply {
    Config(Box<Config>),
    Workspaces(Vec<WorkspaceEntry>),
    /// The write is in the store with this revision.
    Accepted {
        revision: Revision,
    },
    /// Somebody else was first; the changes made since the revision that was read.
    Conflict {
        revision: Revision,
        changes: Vec<Change>,
    },
    /// Every finding at once.
    Invalid(Vec<Finding>),
    NotFound,
    Status(Vec<InstanceStatus>),
    /// The store could not be reached; nothing was written.
    Unavailable(String),
    /// The write may stand; ask again with the same change id.
    #[serde(rename = "Unsettled")]
    Unconfirmed(String),
}

/// One thing wrong with a value, and where.
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

/// Everything wrong with a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (idx, it) in self.0.iter().enumerate() {
            let end = if idx == 0 { "" } else { "\n" };
            write!(f, "{end}{}: {}", it.location, it.problem)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    pub instance: Instance,
    pub state: InstanceState,
    /// Revision in force there, zero if it has not been heard of yet.
    pub revision: Revision,
    /// How long it has lagged behind the highest revision known.
    #[serde(rename = "lagging")]
    pub lag: Option<Moment>,
}
