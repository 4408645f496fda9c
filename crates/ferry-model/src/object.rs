//! Calls to the platform's object API and their replies, as the reducer sees them.
//!
//! Values are JSON text of at most one megabyte. Any call may fail with [`StoreError::Unknown`],
//! in which case it may have taken effect.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};
use thiserror::Error;

use crate::Version;

#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ObjectKind {
    /// The single configuration object.
    Config,
    /// The shards of the workspace list.
    Workspaces,
    /// The shards of the claim journal.
    Claims,
    /// The placement lease.
    Lease,
    /// The placement plan.
    Plan,
    /// Demand on previous days.
    Demand,
    /// Status written for operators.
    Status,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ObjectKey {
    pub kind: ObjectKind,
    pub name: String,
}

impl ObjectKey {
    pub fn new(kind: ObjectKind, name: impl Into<String>) -> ObjectKey {
        ObjectKey { kind, name: name.into() }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    pub name: String,
    pub version: Version,
    /// JSON text.
    pub value: String,
}

/// One call to the object API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreOp {
    Get {
        key: ObjectKey,
    },
    List {
        kind: ObjectKind,
    },
    /// Replaces the object if its version is still `expect`; zero creates the object.
    Put {
        key: ObjectKey,
        expect: Version,
        value: String,
    },
    Delete {
        key: ObjectKey,
        expect: Version,
    },
    /// Waits for a change to an object of the kind after version `since`; the driver replies with
    /// each batch of changes.
    Watch {
        kind: ObjectKind,
        since: Version,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// Reply to `Get`; `None` if the object does not exist.
    Object(Option<StoredObject>),
    /// Reply to `List`, with the version of the whole list.
    List {
        objects: Vec<StoredObject>,
        version: Version,
    },
    /// Reply to `Put`, with the new version.
    Written(Version),
    Deleted,
    /// Reply to `Watch`: the changed objects in order, and the version to resume the watch from.
    Changed {
        objects: Vec<StoredObject>,
        version: Version,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum StoreError {
    /// Another writer changed the object first; nothing was written.
    #[error("the object has version {0}, not the expected one")]
    Conflict(Version),
    /// The store no longer keeps changes from the requested version; the caller has to list again.
    #[error("the watch position is gone")]
    Gone,
    /// The API rejected the call or could not be reached; nothing was written.
    #[error("the object API is unavailable: {0}")]
    Unavailable(String),
    /// The response was lost; the call may have taken effect.
    #[error("the answer was lost: {0}")]
    Unknown(String),
    #[error("the object API refused the call: {0}")]
    Refused(String),
}
