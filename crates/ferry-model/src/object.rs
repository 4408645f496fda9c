//! The platform's object API as the reducer sees it.
//!
//! Values are JSON text of at most a megabyte. Each call may end in
//! [`StoreError::Unknown`]: the effect may have taken place.

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
    /// The one configuration object.
    Config,
    /// Sharded workspace lists.
    Workspaces,
    /// Sharded claim journals.
    Claims,
    /// The placement lease.
    Lease,
    /// The placement plan.
    Plan,
    /// Demand of earlier days.
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
    /// Replaces the object if it still has the version `expect`; zero creates it.
    Put {
        key: ObjectKey,
        expect: Version,
        value: String,
    },
    Delete {
        key: ObjectKey,
        expect: Version,
    },
    /// Waits for one change of the kind after `since`; the driver answers with each batch.
    Watch {
        kind: ObjectKind,
        since: Version,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// Answers `Get`; the object may not exist.
    Object(Option<StoredObject>),
    /// Answers `List`, with the version of the list as a whole.
    List {
        objects: Vec<StoredObject>,
        version: Version,
    },
    /// Answers `Put`, with the new version.
    Written(Version),
    Deleted,
    /// Answers `Watch`: changed objects in order, and where to go on.
    Changed {
        objects: Vec<StoredObject>,
        version: Version,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum StoreError {
    /// Another writer was first; nothing was written.
    #[error("the object has version {0}, not the expected one")]
    Conflict(Version),
    /// The watch position is no longer kept; list again.
    #[error("the watch position is gone")]
    Gone,
    /// Refused or not reached: nothing was written.
    #[error("the object API is unavailable: {0}")]
    Unavailable(String),
    /// The answer was lost: it may have been written.
    #[error("the answer was lost: {0}")]
    Unknown(String),
    #[error("the object API refused the call: {0}")]
    Refused(String),
}
