//! What the instances write into the store about candidates, and the calls for it.

use std::time::Duration;

use super::ledger::RecordKey;
use ferry_model::PoolId;

use super::{
    CrashCandidate, Crashed, Exposure, QuarantineNotice, QuarantineReason, QuarantineState,
};
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

/// The crashes of a pool that no quarantine explains, with what speaks against their candidates.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OpenCrashes {
    pub crashes: Vec<OpenCrash>,
    /// Time since the last sound answer to a candidate, if one is known.
    pub sound: Vec<(CrashCandidate, Duration)>,
}

/// A crash, with the candidates that other crashes have as well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenCrash {
    pub crashed: Crashed,
    /// Number of calls that it has broken off.
    pub n_calls: usize,
    pub exposures: Vec<Exposure>,
}

/// The object of the store with the open crashes of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredCrashes {
    pub pool: PoolId,
    /// None if it is damaged, or of a later release; it stays as it is then.
    pub open: Option<OpenCrashes>,
    /// Revision of the object.
    pub revision: u64,
}

/// All that the store has of the quarantine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredQuarantine {
    pub entries: Vec<StoredEntry>,
    pub crashes: Vec<StoredCrashes>,
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
    /// Conditional likewise.
    WriteCrashes {
        pool: PoolId,
        open: OpenCrashes,
        revision: Option<u64>,
    },
    DeleteCrashes {
        pool: PoolId,
        revision: u64,
    },
}

/// The result of a [`QuarantineCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineReply {
    /// None if the store did not answer.
    Read(Option<StoredQuarantine>),
    /// The object's new revision; none if it was deleted.
    Written(Result<Option<u64>, WriteFailure>),
}
