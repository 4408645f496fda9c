//! What the instances record in the store of builds and streams, and the calls for it and for other
//! records.

use ferry_model::{BuildId, InstanceId, PoolId, store_revision};
use serde::{Deserialize, Serialize};

use crate::{CallerAttempt, QuarantineCall, QuarantineReply};

/// Numbers the reads of this process.
pub type ReadId = u64;

/// The builds with which streams of a pool may have begun that callers may still take up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolBuilds {
    pub pool: PoolId,
    /// Sorted.
    pub builds: Vec<BuildId>,
    /// Revision of the object in the store; none if there is no object.
    pub revision: Option<u64>,
}

impl PoolBuilds {
    /// Replaces the position by the revision of the store.
    pub fn drop_era(&mut self) {
        self.revision = self.revision.map(store_revision);
    }
}

/// The build that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRecord {
    /// The attempt that brought the first event.
    pub attempt: CallerAttempt,
    pub build: BuildId,
}

/// An object with records of an instance; it has several, which it writes in turns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamSlot {
    pub instance: InstanceId,
    pub number: u32,
    /// Revision of the object; none if there is no object.
    pub revision: Option<u64>,
    pub streams: Vec<StreamRecord>,
}

/// What a read of the store has returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecords {
    pub pools: Vec<PoolBuilds>,
    /// None if only the pools were read.
    pub streams: Option<Vec<StreamSlot>>,
}

/// A call to the store for records.
///
/// Every write is conditional on the revision, so that one which is executed late replaces nothing
/// newer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordCall {
    /// Reads the builds of all pools, and if wanted the records of streams.
    Read {
        id: ReadId,
        with_streams: bool,
    },
    WriteBuilds(PoolBuilds),
    WriteStreams(StreamSlot),
    /// Deletes the records of an instance that is gone.
    DeleteStreams(StreamSlot),
    Quarantine(QuarantineCall),
}

/// Why a write is not known to have taken place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteFailure {
    /// The object has another revision.
    Conflict,
    /// Refused, or without an answer; it may still be executed.
    Failed,
}

/// The result of a [`RecordCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordReply {
    Read {
        id: ReadId,
        /// None if the store did not answer.
        records: Option<StoredRecords>,
    },
    /// The object's new revision.
    Builds {
        pool: PoolId,
        result: Result<u64, WriteFailure>,
    },
    /// The same.
    Streams {
        slot: u32,
        result: Result<u64, WriteFailure>,
    },
    Quarantine(QuarantineReply),
}
