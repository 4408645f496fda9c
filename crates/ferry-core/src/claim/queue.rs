//! Changes waiting for the next batch of a shard.

use std::time::Duration;

use ferry_model::{ClaimResult, JournalOp, Moment, RequestId};
use serde::{Deserialize, Serialize};

use crate::claim::segment::Segment;

/// Maximum number of changes waiting for one shard.
const MAX_WAITING: usize = 8192;

/// A change and the peer that requested it; `None` for a change of this instance.
pub type Queued = (Option<String>, JournalOp);
/// A finished change and its result.
pub type Finished = (Queued, ClaimResult);

/// Claims are written as soon as possible; records may wait for the batch of the next claim.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Queue {
    waiting: Vec<Queued>,
    /// When the records must be written even without a claim.
    records_due: Option<Moment>,
}

impl Queue {
    pub fn new() -> Queue {
        Queue::default()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether the queue accepts another change.
    pub fn has_room(&self) -> bool {
        self.waiting.len() < MAX_WAITING
    }

    /// Adds a change; a record is written after `delay` at the latest.
    pub fn push(&mut self, now: Moment, queued: Queued, delay: Duration) {
        if is_record(&queued) {
            self.records_due.get_or_insert(now + delay);
        }
        self.waiting.push(queued);
    }

    /// Queues a removed change again, without setting a new due time.
    pub fn requeue(&mut self, queued: Queued) {
        self.waiting.push(queued);
    }

    /// Removes and returns all changes, in order.
    pub fn take(&mut self) -> Vec<Queued> {
        std::mem::take(&mut self.waiting)
    }

    /// Clears the due time of the records.
    pub fn clear_due(&mut self) {
        self.records_due = None;
    }

    /// Drops the claim of a request that ended before the claim was written.
    pub fn withdraw(&mut self, request: RequestId) {
        self.waiting.retain(|it| is_record(it) || it.1.record().request != request);
    }

    /// Returns when the next batch should be written, or `None` if no change is waiting.
    pub fn due(&self) -> Option<Moment> {
        match self.waiting.iter().all(is_record) {
            true => self.records_due.filter(|_| !self.waiting.is_empty()),
            false => Some(Moment::ZERO),
        }
    }

    /// Finishes every change that is contained in the written segment.
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

    /// Fails every claim because the object API is unavailable; records stay queued.
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
