//! What the instances write into the store about candidates, and the calls for it.

use std::time::Duration;

use super::ledger::RecordKey;
use super::{QuarantineNotice, QuarantineReason, QuarantineState};
use crate::WriteFailure;

/// An object of the store: what is known of one candidate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEntry {
    pub key: RecordKey,
    /// None if it is damaged, or of a later release; it says nothing then, and stays as it is.
    pub record: Option<StoredRecord>,
    /// Revision of the object; none if there is no object.
    pub revision: Option<u64>,
}

/// A record of the quarantine. When a request was last refused is not stored, as it changes often.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredRecord {
    pub state: QuarantineState,
    pub reason: QuarantineReason,
    pub version: u32,
    /// Time since the state changed, by the clocks of the writer and the reader.
    pub age: Duration,
}

impl StoredEntry {
    /// Returns what it tells an instance; none if it cannot be read.
    pub fn notice(&self) -> Option<QuarantineNotice> {
        let StoredRecord { state, reason, version, age } = self.record?;
        let (pool, candidate) = self.key.clone();
        let idle = Duration::ZERO;
        Some(QuarantineNotice { pool, candidate, state, reason, version, age, idle })
    }
}

/// A call to the store, one at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineCall {
    Read,
    /// Conditional on the revision, so that one which is executed late replaces nothing newer.
    Write {
        key: RecordKey,
        record: StoredRecord,
        revision: Option<u64>,
    },
    Delete {
        key: RecordKey,
        revision: Option<u64>,
    },
}

/// The result of a [`QuarantineCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineReply {
    /// None if the store did not answer.
    Read(Option<Vec<StoredEntry>>),
    /// The object's new revision; none if it was deleted.
    Written(Result<Option<u64>, WriteFailure>),
}
