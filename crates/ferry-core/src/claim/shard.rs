//! One shard of the claim journal: a chain of segments with one open end.
//!
//! Every change is a conditional update of the open segment. A batch whose answer was lost is
//! read back, and decided anew against what stands; see docs/design/requests.md.

use std::time::Duration;

use ferry_model::{
    ClaimKey, ClaimRecord, Moment, ObjectKey, ObjectKind, StoreError, StoreOp, StoreReply,
    StoredObject, Version,
};
use serde::{Deserialize, Serialize};

use crate::claim::chain::{Index, Phase, Sealed, print_of};
use crate::claim::queue::{Ended, Queue, Queued};
use crate::claim::segment::{MOST_BYTES, Segment, Step, decide, record_bytes};
use crate::turn::Turn;
use crate::{CallId, Owner};

/// Wait before a shard is tried again after the store failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest walk along the chain before the index is read again; far below any retention.
const LONGEST_WALK: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Shard {
    number: u32,
    phase: Phase,
    index: Index,
    index_version: Version,
    index_at: Moment,
    /// The open segment as it was last read or written.
    open: Segment,
    version: Version,
    sealed: Vec<Sealed>,
    queue: Queue,
    /// No write before this.
    ready_at: Moment,
    call: Option<CallId>,
    /// The last sealed segment fetched for a lookup.
    fetched: Segment,
    /// The last call was that fetch: a write goes before another one.
    has_fetched: bool,
}

impl Shard {
    pub fn new(number: u32) -> Shard {
        Shard {
            number,
            phase: Phase::Cold,
            index: Index::default(),
            index_version: 0,
            index_at: Moment::ZERO,
            open: Segment::default(),
            version: 0,
            sealed: Vec::new(),
            queue: Queue::new(),
            ready_at: Moment::ZERO,
            call: None,
            fetched: Segment::default(),
            has_fetched: false,
        }
    }

    pub fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether another change may wait.
    pub fn has_room(&self) -> bool {
        self.queue.has_room()
    }

    pub fn push(&mut self, now: Moment, queued: Queued, delay: Duration) {
        self.queue.push(now, queued, delay);
    }

    /// Drops the claim of a request that was given up before it was written.
    pub fn withdraw(&mut self, request: u128) {
        self.queue.withdraw(request);
    }

    pub fn next_wake(&self) -> Option<Moment> {
        if self.call.is_some() {
            return None;
        }
        self.queue.due().map(|it| it.max(self.ready_at))
    }

    /// Makes the next call if one is due; returns its id.
    pub fn advance(
        &mut self,
        cx: &mut Turn<'_>,
        clock: u64,
        ended: &mut Vec<Ended>,
    ) -> Option<CallId> {
        if self.next_wake().is_none_or(|it| cx.now < it) {
            return None;
        }
        let op = match self.phase {
            Phase::Cold => StoreOp::Get { key: self.index_key() },
            Phase::Walk(_) if self.index_at + LONGEST_WALK < cx.now => {
                self.phase = Phase::Cold;
                StoreOp::Get { key: self.index_key() }
            }
            Phase::Walk(number) | Phase::Fetch(number) => {
                StoreOp::Get { key: self.segment_key(number) }
            }
            Phase::Create => self.create(clock),
            Phase::Mark => self.put_index(),
            Phase::Ready => match self.expire(cx, clock) {
                Some(op) => op,
                None => self.next_write(cx, clock, ended)?,
            },
            Phase::Write | Phase::Seal | Phase::Expire | Phase::Delete => return None,
        };
        let call = cx.ctx.calls.start(Owner::Claims, op, cx.out);
        self.call = Some(call);
        self.call
    }

    /// Takes the end of a call and returns how changes ended by it.
    pub fn on_store(
        &mut self,
        cx: &mut Turn<'_>,
        result: Result<StoreReply, StoreError>,
    ) -> Vec<Ended> {
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
                self.read_again();
                Vec::new()
            }
            Err(StoreError::Unavailable(_) | StoreError::Refused(_) | StoreError::Gone) => {
                self.read_again();
                self.ready_at = cx.now + RETRY_DELAY;
                self.queue.fail_claims()
            }
        }
    }

    /// After a write that failed or whose answer was lost, only a read tells what stands.
    fn read_again(&mut self) {
        self.phase = match self.phase {
            Phase::Write | Phase::Seal | Phase::Create => Phase::Walk(self.open.number),
            Phase::Mark | Phase::Expire => Phase::Cold,
            Phase::Delete => Phase::Ready,
            Phase::Cold | Phase::Walk(_) | Phase::Ready | Phase::Fetch(_) => self.phase,
        };
    }

    fn on_object(&mut self, cx: &Turn<'_>, object: Option<StoredObject>) {
        match self.phase {
            Phase::Cold => self.on_index(cx, object),
            Phase::Walk(number) => self.walk(number, object),
            Phase::Fetch(number) => {
                let found = object.and_then(|it| serde_json::from_str(&it.value).ok());
                self.fetched = found.unwrap_or_else(|| Segment::new(number, 0));
                self.fetched.sealed = true;
                self.has_fetched = true;
                self.phase = Phase::Ready;
            }
            Phase::Ready
            | Phase::Write
            | Phase::Seal
            | Phase::Create
            | Phase::Mark
            | Phase::Expire
            | Phase::Delete => (),
        }
    }

    fn on_index(&mut self, cx: &Turn<'_>, object: Option<StoredObject>) {
        self.index = Index::default();
        self.index_version = 0;
        self.index_at = cx.now;
        if let Some(object) = object {
            let Ok(index) = serde_json::from_str(&object.value) else { return };
            self.index = index;
            self.index_version = object.version;
        }
        let first = self.index.first;
        self.sealed.retain(|it| first <= it.number);
        let known = self.sealed.last().map_or(first, |it| it.number + 1);
        self.phase = Phase::Walk(known);
    }

    fn walk(&mut self, number: u64, object: Option<StoredObject>) {
        let Some(object) = object else {
            self.open = Segment::new(number, 0);
            self.phase = Phase::Create;
            return;
        };
        let Ok(segment) = serde_json::from_str::<Segment>(&object.value) else { return };
        if segment.sealed {
            self.keep_sealed(&segment, object.version);
            self.phase = Phase::Walk(number + 1);
            return;
        }
        self.open = segment;
        self.version = object.version;
        self.phase = Phase::Ready;
    }

    fn create(&mut self, clock: u64) -> StoreOp {
        self.open.opened = clock;
        self.version = 0;
        self.put_open()
    }

    fn put_index(&self) -> StoreOp {
        let value = serde_json::to_string(&self.index).unwrap_or_default();
        StoreOp::Put { key: self.index_key(), expect: self.index_version, value }
    }

    fn keep_sealed(&mut self, segment: &Segment, version: Version) {
        if self.sealed.last().is_some_and(|it| segment.number <= it.number) {
            return;
        }
        let mut prints: Vec<u64> = segment.records.iter().map(|it| print_of(it.key)).collect();
        prints.sort_unstable();
        let (number, opened) = (segment.number, segment.opened);
        self.sealed.push(Sealed { number, opened, version, prints });
    }

    /// Returns the write that the waiting changes need, or the read that must come first.
    fn next_write(
        &mut self,
        cx: &mut Turn<'_>,
        clock: u64,
        ended: &mut Vec<Ended>,
    ) -> Option<StoreOp> {
        let mut next = self.open.clone();
        let mut bytes = 0;
        let mut fetch = None;
        for queued in self.queue.take() {
            if MOST_BYTES / 2 < bytes {
                self.queue.keep(queued);
                continue;
            }
            let record = queued.1.record();
            let found = match self.look_up(&next, record.key) {
                Ok(found) => found,
                Err(number) => {
                    fetch = fetch.or(Some(number));
                    self.queue.keep(queued);
                    continue;
                }
            };
            match decide(&queued.1, found) {
                Step::Done(verdict) => ended.push((queued, verdict)),
                Step::Write => {
                    bytes += record_bytes(record);
                    next.put(record.clone());
                    self.queue.keep(queued);
                }
            }
        }
        let may_write = 0 < bytes;
        if let Some(number) = fetch
            && !(may_write && self.has_fetched)
        {
            self.phase = Phase::Fetch(number);
            return Some(StoreOp::Get { key: self.segment_key(number) });
        }
        self.has_fetched = false;
        if !may_write {
            self.queue.clear_due();
            return None;
        }
        if self.must_roll(cx, clock, bytes) {
            self.open.sealed = true;
            self.phase = Phase::Seal;
            return Some(self.put_open());
        }
        next.nonce = format!("{:x}-{:x}", cx.ctx.identity.incarnation, cx.now.as_nanos());
        self.open = next;
        self.phase = Phase::Write;
        self.ready_at = cx.now + cx.ctx.tuning.claim_interval;
        Some(self.put_open())
    }

    /// Returns the newest record of a key, or the sealed segment that has to be read for it.
    fn look_up<'a>(
        &'a self,
        open: &'a Segment,
        key: ClaimKey,
    ) -> Result<Option<&'a ClaimRecord>, u64> {
        if let Some(found) = open.find(key) {
            return Ok(Some(found));
        }
        match self.sealed_with(key) {
            None => Ok(None),
            Some(number) if self.fetched.sealed && self.fetched.number == number => {
                Ok(self.fetched.find(key))
            }
            Some(number) => Err(number),
        }
    }

    fn must_roll(&self, cx: &Turn<'_>, clock: u64, bytes: usize) -> bool {
        let age = Duration::from_millis(clock.saturating_sub(self.open.opened));
        let is_old = self.open.opened != 0 && cx.ctx.tuning.segment_age <= age;
        !self.open.records.is_empty() && (is_old || self.open.is_full(bytes))
    }

    fn put_open(&self) -> StoreOp {
        let value = serde_json::to_string(&self.open).unwrap_or_default();
        StoreOp::Put { key: self.segment_key(self.open.number), expect: self.version, value }
    }

    fn on_written(&mut self, version: Version) -> Vec<Ended> {
        match self.phase {
            Phase::Write => {
                self.version = version;
                self.phase = Phase::Ready;
                return self.queue.settle(&self.open);
            }
            Phase::Seal => {
                let sealed = std::mem::take(&mut self.open);
                self.keep_sealed(&sealed, version);
                self.open = Segment::new(sealed.number + 1, 0);
                self.phase = Phase::Create;
            }
            Phase::Create => {
                self.version = version;
                self.index.open = self.open.number;
                self.phase = Phase::Mark;
            }
            Phase::Mark | Phase::Expire => {
                self.index_version = version;
                self.phase = Phase::Ready;
            }
            Phase::Cold | Phase::Walk(_) | Phase::Ready | Phase::Fetch(_) | Phase::Delete => (),
        }
        Vec::new()
    }

    /// Returns the newest sealed segment that may hold a key.
    fn sealed_with(&self, key: ClaimKey) -> Option<u64> {
        let print = print_of(key);
        let holds = |it: &&Sealed| it.prints.binary_search(&print).is_ok();
        self.sealed.iter().rev().find(holds).map(|it| it.number)
    }

    /// Returns the call that takes the oldest segment out once it is past the retention.
    ///
    /// The index moves first, so that no reader starts at a segment that is gone.
    fn expire(&mut self, cx: &Turn<'_>, clock: u64) -> Option<StoreOp> {
        let oldest = self.sealed.first()?;
        if oldest.number < self.index.first {
            let oldest = self.sealed.remove(0);
            self.phase = Phase::Delete;
            let key = self.segment_key(oldest.number);
            return Some(StoreOp::Delete { key, expect: oldest.version });
        }
        let ended = self.sealed.get(1).map_or(self.open.opened, |it| it.opened);
        let age = Duration::from_millis(clock.saturating_sub(ended));
        if ended == 0 || age <= cx.ctx.tuning.claim_retention {
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
