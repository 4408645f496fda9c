//! One object of a claim journal: records appended until it is sealed.

use ferry_model::{ClaimKey, ClaimRecord, ClaimResult, ClaimState, JournalOp, RequestId};
use serde::{Deserialize, Serialize};

/// Size above which a segment is sealed, in bytes; far under the object API's megabyte.
pub const MAX_SEGMENT_BYTES: usize = 192 * 1024;
/// Bytes of a record beside its holder and output, as JSON.
const RECORD_BYTES: usize = 200;

/// Claims go only into the segment that is not sealed, by conditional update: its version is
/// the fence. A sealed one never changes again.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    pub number: u64,
    /// Milliseconds since the Unix epoch by its maker's clock; zero where that is unknown.
    pub opened: u64,
    /// The next one follows.
    pub sealed: bool,
    /// Names the last batch written.
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

    /// Whether `more` further bytes would make it too large.
    pub fn is_full(&self, more: usize) -> bool {
        let held: usize = self.records.iter().map(record_bytes).sum();
        MAX_SEGMENT_BYTES < held + more
    }

    /// Puts a record in the place of an earlier one of its key, or at the end.
    pub fn put(&mut self, record: ClaimRecord) {
        match self.records.iter_mut().find(|it| it.key == record.key) {
            Some(it) => *it = record,
            None => self.records.push(record),
        }
    }
}

/// Returns about how many bytes a record takes as JSON.
pub fn record_bytes(record: &ClaimRecord) -> usize {
    let output = match &record.state {
        ClaimState::Settled { output, .. } => output.as_ref().map_or(0, |it| 6 * it.len()),
        ClaimState::Active | ClaimState::Released => 0,
    };
    RECORD_BYTES + record.holder.len() + output
}

/// What a change does to a journal whose newest record of the key is `found`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The record must be written.
    Write,
    /// It stands already, or another stands: nothing is to be written.
    Done(ClaimResult),
}

/// Decides one change; this is the only place where a claim is granted.
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
