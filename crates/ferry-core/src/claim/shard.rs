//! A shard of the claim journal: a chain of sealed segments that ends in an open one.
//!
//! Every change is a conditional update of the open segment. If the response to a write is lost,
//! the segment is read again and the batch is decided against its content; see
//! docs/design/requests.md.

use std::time::Duration;

use ferry_model::{
    ClaimKey, ClaimRecord, Moment, ObjectKey, ObjectKind, StoreError, StoreOp, StoreReply,
    StoredObject, Version,
};
use serde::{Deserialize, Serialize};

use crate::claim::chain::{Index, Phase, SealedSegment, fingerprint};
use crate::claim::queue::{Finished, Queue, Queued};
use crate::claim::segment::{MAX_SEGMENT_BYTES, Segment, Step, decide, record_bytes};
use crate::pass::Pass;
use crate::{CallId, Owner};

/// Delay before a shard calls the store again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum duration of a scan before the index is read again. It is far below any retention, so
/// the scanned segments cannot expire meanwhile.
const MAX_SCAN_TIME: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Shard {
    number: u32,
    phase: Phase,
    index: Index,
    index_version: Version,
    index_read_at: Moment,
    /// The open segment as last read or written.
    open: Segment,
    version: Version,
    sealed: Vec<SealedSegment>,
    queue: Queue,
    /// The next call is not made before this time.
    call_after: Moment,
    call: Option<CallId>,
    /// The sealed segment most recently read to look up a key.
    fetched: Segment,
    /// The last call read `fetched`. A write then takes precedence over reading another segment.
    just_fetched: bool,
}

impl Shard {
    pub fn new(number: u32) -> Shard {
        Shard {
            number,
            phase: Phase::ReadIndex,
            index: Index::default(),
            index_version: 0,
            index_read_at: Moment::ZERO,
            open: Segment::default(),
            version: 0,
            sealed: Vec::new(),
            queue: Queue::new(),
            call_after: Moment::ZERO,
            call: None,
            fetched: Segment::default(),
            just_fetched: false,
        }
    }

    pub fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether the queue accepts another change.
    pub fn has_room(&self) -> bool {
        self.queue.has_room()
    }

    pub fn push(&mut self, now: Moment, queued: Queued, delay: Duration) {
        self.queue.push(now, queued, delay);
    }

    /// Drops the claim of a request that ended before the claim was written.
    pub fn withdraw(&mut self, request: u128) {
        self.queue.withdraw(request);
    }

    pub fn next_wake(&self) -> Option<Moment> {
        if self.call.is_some() {
            return None;
        }
        self.queue.due().map(|it| it.max(self.call_after))
    }

    /// Starts the next store call if one is due, and returns its id.
    pub fn advance(
        &mut self,
        cx: &mut Pass<'_>,
        clock: u64,
        finished: &mut Vec<Finished>,
    ) -> Option<CallId> {
        if self.next_wake().is_none_or(|it| cx.now < it) {
            return None;
        }
        let op = match self.phase {
            Phase::ReadIndex => StoreOp::Get { key: self.index_key() },
            Phase::Scan(_) if self.index_read_at + MAX_SCAN_TIME < cx.now => {
                self.phase = Phase::ReadIndex;
                StoreOp::Get { key: self.index_key() }
            }
            Phase::Scan(number) | Phase::ReadSealed(number) => {
                StoreOp::Get { key: self.segment_key(number) }
            }
            Phase::Create => self.create_segment(clock),
            Phase::UpdateIndex => self.put_index(),
            Phase::Ready => match self.expire(cx, clock) {
                Some(op) => op,
                None => self.next_write(cx, clock, finished)?,
            },
            Phase::Write | Phase::Seal | Phase::Expire | Phase::Delete => return None,
        };
        let call = cx.ctx.calls.start(Owner::Claims, op, cx.effects);
        self.call = Some(call);
        self.call
    }

    /// Handles the result of a store call and returns the changes that it finished.
    pub fn on_store(
        &mut self,
        cx: &mut Pass<'_>,
        result: Result<StoreReply, StoreError>,
    ) -> Vec<Finished> {
        self.call = None;
        match result {
            Ok(StoreReply::Object(object)) => {
                self.on_object(cx, object);
                Vec::new()
            }
            Ok(StoreReply::Written(version)) => self.on_written(version),
            Ok(_) => {
                self.phase = Phase::Ready;
                Vec::new()
            }
            Err(StoreError::Conflict(_) | StoreError::Unknown(_)) => {
                self.reread();
                Vec::new()
            }
            Err(StoreError::Unavailable(_) | StoreError::Refused(_) | StoreError::Gone) => {
                self.reread();
                self.call_after = cx.now + RETRY_DELAY;
                self.queue.fail_claims()
            }
        }
    }

    /// Chooses the phase that reads the current state, after a write that failed or whose response
    /// was lost.
    fn reread(&mut self) {
        self.phase = match self.phase {
            Phase::Write | Phase::Seal | Phase::Create => Phase::Scan(self.open.number),
            Phase::UpdateIndex | Phase::Expire => Phase::ReadIndex,
            Phase::Delete => Phase::Ready,
            Phase::ReadIndex | Phase::Scan(_) | Phase::Ready | Phase::ReadSealed(_) => self.phase,
        };
    }

    fn on_object(&mut self, cx: &Pass<'_>, object: Option<StoredObject>) {
        match self.phase {
            Phase::ReadIndex => self.on_index(cx, object),
            Phase::Scan(number) => self.scan(number, object),
            Phase::ReadSealed(number) => {
                let found = object.and_then(|it| serde_json::from_str(&it.value).ok());
                self.fetched = found.unwrap_or_else(|| Segment::new(number, 0));
                self.fetched.sealed = true;
                self.just_fetched = true;
                self.phase = Phase::Ready;
            }
            Phase::Ready
            | Phase::Write
            | Phase::Seal
            | Phase::Create
            | Phase::UpdateIndex
            | Phase::Expire
            | Phase::Delete => (),
        }
    }

    fn on_index(&mut self, cx: &Pass<'_>, object: Option<StoredObject>) {
        self.index = Index::default();
        self.index_version = 0;
        self.index_read_at = cx.now;
        if let Some(object) = object {
            let Ok(index) = serde_json::from_str(&object.value) else { return };
            self.index = index;
            self.index_version = object.version;
        }
        let first = self.index.first;
        self.sealed.retain(|it| first <= it.number);
        let known = self.sealed.last().map_or(first, |it| it.number + 1);
        self.phase = Phase::Scan(known);
    }

    fn scan(&mut self, number: u64, object: Option<StoredObject>) {
        let Some(object) = object else {
            self.open = Segment::new(number, 0);
            self.phase = Phase::Create;
            return;
        };
        let Ok(segment) = serde_json::from_str::<Segment>(&object.value) else { return };
        if segment.sealed {
            self.add_sealed(&segment, object.version);
            self.phase = Phase::Scan(number + 1);
            return;
        }
        self.open = segment;
        self.version = object.version;
        self.phase = Phase::Ready;
    }

    fn create_segment(&mut self, clock: u64) -> StoreOp {
        self.open.opened = clock;
        self.version = 0;
        self.put_open()
    }

    fn put_index(&self) -> StoreOp {
        let value = serde_json::to_string(&self.index).unwrap_or_default();
        StoreOp::Put { key: self.index_key(), expect: self.index_version, value }
    }

    fn add_sealed(&mut self, segment: &Segment, version: Version) {
        if self.sealed.last().is_some_and(|it| segment.number <= it.number) {
            return;
        }
        let mut fingerprints: Vec<u64> =
            segment.records.iter().map(|it| fingerprint(it.key)).collect();
        fingerprints.sort_unstable();
        let (number, opened) = (segment.number, segment.opened);
        self.sealed.push(SealedSegment { number, opened, version, fingerprints });
    }

    /// Returns the write for the waiting changes, or a read that is needed first.
    fn next_write(
        &mut self,
        cx: &mut Pass<'_>,
        clock: u64,
        finished: &mut Vec<Finished>,
    ) -> Option<StoreOp> {
        let mut next = self.open.clone();
        let mut bytes = 0;
        let mut fetch = None;
        for queued in self.queue.take() {
            if MAX_SEGMENT_BYTES / 2 < bytes {
                self.queue.requeue(queued);
                continue;
            }
            let record = queued.1.record();
            let found = match self.find_record(&next, record.key) {
                Ok(found) => found,
                Err(number) => {
                    fetch = fetch.or(Some(number));
                    self.queue.requeue(queued);
                    continue;
                }
            };
            match decide(&queued.1, found) {
                Step::Done(result) => finished.push((queued, result)),
                Step::Write => {
                    bytes += record_bytes(record);
                    next.put(record.clone());
                    self.queue.requeue(queued);
                }
            }
        }
        let may_write = 0 < bytes;
        if let Some(number) = fetch
            && !(may_write && self.just_fetched)
        {
            self.phase = Phase::ReadSealed(number);
            return Some(StoreOp::Get { key: self.segment_key(number) });
        }
        self.just_fetched = false;
        if !may_write {
            self.queue.clear_due();
            return None;
        }
        if self.must_seal(cx, clock, bytes) {
            self.open.sealed = true;
            self.phase = Phase::Seal;
            return Some(self.put_open());
        }
        next.nonce = format!("{:x}-{:x}", cx.ctx.identity.incarnation, cx.now.as_nanos());
        self.open = next;
        self.phase = Phase::Write;
        self.call_after = cx.now + cx.ctx.tuning.claim_interval;
        Some(self.put_open())
    }

    /// Returns the newest record of a key, or as an error the number of the sealed segment that has
    /// to be read first.
    fn find_record<'a>(
        &'a self,
        open: &'a Segment,
        key: ClaimKey,
    ) -> Result<Option<&'a ClaimRecord>, u64> {
        if let Some(found) = open.find(key) {
            return Ok(Some(found));
        }
        match self.sealed_holding(key) {
            None => Ok(None),
            Some(number) if self.fetched.sealed && self.fetched.number == number => {
                Ok(self.fetched.find(key))
            }
            Some(number) => Err(number),
        }
    }

    fn must_seal(&self, cx: &Pass<'_>, clock: u64, bytes: usize) -> bool {
        let age = Duration::from_millis(clock.saturating_sub(self.open.opened));
        let is_old = self.open.opened != 0 && cx.ctx.tuning.segment_age <= age;
        !self.open.records.is_empty() && (is_old || self.open.is_full(bytes))
    }

    fn put_open(&self) -> StoreOp {
        let value = serde_json::to_string(&self.open).unwrap_or_default();
        StoreOp::Put { key: self.segment_key(self.open.number), expect: self.version, value }
    }

    fn on_written(&mut self, version: Version) -> Vec<Finished> {
        match self.phase {
            Phase::Write => {
                self.version = version;
                self.phase = Phase::Ready;
                return self.queue.settle(&self.open);
            }
            Phase::Seal => {
                let sealed = std::mem::take(&mut self.open);
                self.add_sealed(&sealed, version);
                self.open = Segment::new(sealed.number + 1, 0);
                self.phase = Phase::Create;
            }
            Phase::Create => {
                self.version = version;
                self.index.open = self.open.number;
                self.phase = Phase::UpdateIndex;
            }
            Phase::UpdateIndex | Phase::Expire => {
                self.index_version = version;
                self.phase = Phase::Ready;
            }
            Phase::ReadIndex
            | Phase::Scan(_)
            | Phase::Ready
            | Phase::ReadSealed(_)
            | Phase::Delete => (),
        }
        Vec::new()
    }

    /// Returns the number of the newest sealed segment that may contain a key.
    fn sealed_holding(&self, key: ClaimKey) -> Option<u64> {
        let fingerprint = fingerprint(key);
        let holds = |it: &&SealedSegment| it.fingerprints.binary_search(&fingerprint).is_ok();
        self.sealed.iter().rev().find(holds).map(|it| it.number)
    }

    /// Returns the call that removes the oldest segment once its retention time has passed.
    ///
    /// The index is updated before the segment is deleted, so that no reader starts at a deleted
    /// segment.
    fn expire(&mut self, cx: &Pass<'_>, clock: u64) -> Option<StoreOp> {
        let oldest = self.sealed.first()?;
        if oldest.number < self.index.first {
            let oldest = self.sealed.remove(0);
            self.phase = Phase::Delete;
            let key = self.segment_key(oldest.number);
            return Some(StoreOp::Delete { key, expect: oldest.version });
        }
        let last_opened = self.sealed.get(1).map_or(self.open.opened, |it| it.opened);
        let age = Duration::from_millis(clock.saturating_sub(last_opened));
        if last_opened == 0 || age <= cx.ctx.tuning.claim_retention {
            return None;
        }
        self.index.first = oldest.number + 1;
        self.phase = Phase::Expire;
        Some(self.put_index())
    }

    fn index_key(&self) -> ObjectKey {
        ObjectKey::new(ObjectKind::Claims, format!("{:03}-index", self.number))
    }

    fn segment_key(&self, number: u64) -> ObjectKey {
        ObjectKey::new(ObjectKind::Claims, format!("{:03}-{number:012}", self.number))
    }
}
