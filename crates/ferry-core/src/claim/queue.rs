//! Changes that wait for a shard's next batch.

use std::time::Duration;

use ferry_model::{ClaimResult, JournalOp, Moment, RequestId};
use serde::{Deserialize, Serialize};

use crate::claim::segment::Segment;

/// Most changes waiting for one shard.
const MAX_WAITING: usize = 8192;

/// A change and the peer that asked for it; none for one of our own.
pub type Queued = (Option<String>, JournalOp);
/// How a change ended, and for whom.
pub type Finished = (Queued, ClaimResult);

/// Claims, which are urgent, and records, which may wait for the next claim's batch.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Queue {
    waiting: Vec<Queued>,
    /// When the oldest record has waited long enough.
    records_due: Option<Moment>,
}

impl Queue {
    pub fn new() -> Queue {
        Queue::default()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether another change may wait.
    pub fn has_room(&self) -> bool {
        self.waiting.len() < MAX_WAITING
    }

    /// Adds a change; a record waits for at most `delay`.
    pub fn push(&mut self, now: Moment, queued: Queued, delay: Duration) {
        if is_record(&queued) {
            self.records_due.get_or_insert(now + delay);
        }
        self.waiting.push(queued);
    }

    /// Puts back a change that has waited before.
    pub fn requeue(&mut self, queued: Queued) {
        self.waiting.push(queued);
    }

    /// Takes every change out, in order.
    pub fn take(&mut self) -> Vec<Queued> {
        std::mem::take(&mut self.waiting)
    }

    /// Notes that no record waits any more.
    pub fn clear_due(&mut self) {
        self.records_due = None;
    }

    /// Drops the claim of a request that was given up before it was written.
    pub fn withdraw(&mut self, request: RequestId) {
        self.waiting.retain(|it| is_record(it) || it.1.record().request != request);
    }

    /// Returns when a batch should be written, if anything waits for one.
    pub fn due(&self) -> Option<Moment> {
        match self.waiting.iter().all(is_record) {
            true => self.records_due.filter(|_| !self.waiting.is_empty()),
            false => Some(Moment::ZERO),
        }
    }

    /// Ends every change that the written segment now shows.
    pub fn settle(&mut self, written: &Segment) -> Vec<Finished> {
        let mut finished = Vec::new();
        for queued in self.take() {
            let record = queued.1.record();
            match written.find(record.key).is_some_and(|it| it == record) {
                true => finished.push((queued, ClaimResult::Claimed)),
                false => self.requeue(queued),
            }
        }
        if !self.waiting.iter().any(is_record) {
            self.clear_due();
        }
        finished
    }

    /// Ends every claim, as the object API takes none now; records wait on.
    pub fn fail_claims(&mut self) -> Vec<Finished> {
        let (records, claims): (Vec<Queued>, Vec<Queued>) =
            self.take().into_iter().partition(is_record);
        self.waiting = records;
        claims.into_iter().map(|it| (it, ClaimResult::Unavailable)).collect()
    }
}

fn is_record(queued: &Queued) -> bool {
    matches!(queued.1, JournalOp::Record(_))
}
