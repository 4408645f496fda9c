//! A segment of a claim journal: one object to which records are added until it is sealed.

use ferry_model::{ClaimKey, ClaimRecord, ClaimResult, ClaimState, JournalOp, RequestId};
use serde::{Deserialize, Serialize};

/// Size above which a segment is sealed, in bytes; well below the object API's limit of 1 MB.
pub const MAX_SEGMENT_BYTES: usize = 192 * 1024;
/// Size of a record as JSON without its holder and output, in bytes.
const RECORD_BYTES: usize = 200;

/// Claims are only written to the open segment. Each write is conditional on the segment's version,
/// which fences off concurrent writers. A sealed segment never changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    pub number: u64,
    /// Milliseconds since the Unix epoch by the creator's clock; zero if unknown.
    pub opened: u64,
    /// The segment is complete and the next one follows.
    pub sealed: bool,
    /// Identifies the last batch written.
    pub nonce: String,
    /// At most one record per key.
    pub records: Vec<ClaimRecord>,
}

impl Segment {
    pub fn new(number: u64, opened: u64) -> Segment {
        Segment { number, opened, ..Segment::default() }
    }

    pub fn find(&self, key: ClaimKey) -> Option<&ClaimRecord> {
        self.records.iter().find(|it| it.key == key)
    }

    /// Whether `additional` more bytes would exceed the maximum size.
    pub fn is_full(&self, additional: usize) -> bool {
        let current: usize = self.records.iter().map(record_bytes).sum();
        MAX_SEGMENT_BYTES < current + additional
    }

    /// Replaces the record of the same key, or appends the record if there is none.
    pub fn put(&mut self, record: ClaimRecord) {
        match self.records.iter_mut().find(|it| it.key == record.key) {
            Some(it) => *it = record,
            None => self.records.push(record),
        }
    }
}

/// Returns the approximate size of a record as JSON, in bytes.
pub fn record_bytes(record: &ClaimRecord) -> usize {
    let output = match &record.state {
        ClaimState::Settled { output, .. } => output.as_ref().map_or(0, |it| 6 * it.len()),
        ClaimState::Active | ClaimState::Released => 0,
    };
    RECORD_BYTES + record.holder.len() + output
}

/// What has to be done for a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The record must be written.
    Write,
    /// Nothing has to be written, because this record or a conflicting one is already there.
    Done(ClaimResult),
}

/// Decides a change, given `found`, the newest record of its key in the journal.
///
/// This is the only place where a claim is granted.
pub fn decide(op: &JournalOp, found: Option<&ClaimRecord>) -> Step {
    let (record, replaces) = match op {
        JournalOp::Claim { record, replaces } => (record, replaces),
        JournalOp::Record(record) => return decide_record(record, found),
    };
    let Some(found) = found else { return Step::Write };
    let is_free = found.state == ClaimState::Released || replaces.contains(&found.request);
    if found.digest != record.digest && !is_free {
        return Step::Done(ClaimResult::Taken(found.clone()));
    }
    if found.request == record.request && found.state == ClaimState::Active {
        return Step::Done(ClaimResult::Claimed);
    }
    let is_same_request = found.request == record.request;
    match is_free && !is_same_request {
        true => Step::Write,
        false => Step::Done(ClaimResult::Taken(found.clone())),
    }
}

fn decide_record(record: &ClaimRecord, found: Option<&ClaimRecord>) -> Step {
    let is_open_claim = found.is_some_and(|it| is_open(it, record.request));
    if is_open_claim { Step::Write } else { Step::Done(ClaimResult::Claimed) }
}

fn is_open(found: &ClaimRecord, request: RequestId) -> bool {
    found.request == request && found.state == ClaimState::Active
}
