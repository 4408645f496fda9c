//! Writes which build began each stream into the store, in slots that are used in turns.
//!
//! A write has the streams since the last one only, so that its size does not grow with the time for
//! which records are kept. A slot is used again once its records have expired.

use std::time::Duration;

use ferry_model::{InstanceId, Moment, SortedMap};

use super::{RETENTION, StreamRecord, StreamSlot};

/// Records of one write.
const MAX_STREAMS: usize = 1_000;
/// Records that wait at a time; beyond it, the next ones are dropped.
const MAX_QUEUED: usize = 10_000;
/// Time after a failed write until the next one.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Time without an answer after which the records of a write are written again, into another slot.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Writes at a time that have not been answered.
const MAX_WRITES: usize = 8;

#[derive(Debug, Clone)]
struct Queued {
    stream: StreamRecord,
    expires: Moment,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    revision: u64,
    expires: Moment,
}

/// A write that has not been answered.
#[derive(Debug, Clone)]
struct OpenWrite {
    streams: Vec<Queued>,
    started: Moment,
    /// Whether its records are written again already.
    is_overdue: bool,
}

#[derive(Debug, Clone, Default)]
pub(super) struct StreamWriter {
    queue: Vec<Queued>,
    /// The slots that may be written, by number; none before they were read.
    slots: Option<SortedMap<u32, Slot>>,
    /// The highest number that was ever used.
    last_slot: u32,
    /// By the slot that is written.
    open: SortedMap<u32, OpenWrite>,
    next_write: Moment,
}

impl StreamWriter {
    /// Adds the record of a stream whose request has this much time left.
    pub fn add(&mut self, now: Moment, stream: StreamRecord, time_left: Duration) {
        if self.queue.len() < MAX_QUEUED {
            self.queue.push(Queued { stream, expires: now + time_left + RETENTION });
        }
    }

    /// Whether nothing waits to be written.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.open.is_empty()
    }

    /// Whether the slots have to be read before something can be written.
    pub fn needs_slots(&self) -> bool {
        self.slots.is_none() && !self.queue.is_empty()
    }

    /// Takes over the slots of this instance, whose records may be needed until `expires`.
    pub fn on_slots<'a>(&mut self, slots: impl Iterator<Item = &'a StreamSlot>, expires: Moment) {
        let mut known = SortedMap::new();
        for StreamSlot { number, revision, .. } in slots {
            self.last_slot = self.last_slot.max(*number);
            if self.open.contains_key(number) {
                continue;
            }
            let before = self.slots.as_ref().and_then(|it| it.get(number));
            let before = before.filter(|it| Some(it.revision) == *revision);
            let fresh = revision.map(|revision| Slot { revision, expires });
            if let Some(slot) = before.copied().or(fresh) {
                known.insert(*number, slot);
            }
        }
        self.slots = Some(known);
    }

    /// Starts a write if one is due; the next one follows `interval` later.
    pub fn due(&mut self, now: Moment, own: &InstanceId, interval: Duration) -> Option<StreamSlot> {
        self.queue_overdue(now);
        let slots = self.slots.as_mut()?;
        if self.queue.is_empty() || now < self.next_write || MAX_WRITES <= self.open.len() {
            return None;
        }
        self.next_write = now + interval;
        let n_streams = self.queue.len().min(MAX_STREAMS);
        let mut queued: Vec<Queued> = self.queue.drain(..n_streams).collect();
        queued.retain(|it| now < it.expires);
        let free = slots.iter().find(|(_, it)| it.expires <= now).map(|it| (*it.0, it.1.revision));
        let (number, revision) = match free {
            Some((number, revision)) => (number, Some(revision)),
            None => (self.last_slot + 1, None),
        };
        self.last_slot = self.last_slot.max(number);
        slots.remove(&number);
        let streams = queued.iter().map(|it| it.stream.clone()).collect();
        let open = OpenWrite { streams: queued, started: now, is_overdue: false };
        self.open.insert(number, open);
        Some(StreamSlot { instance: own.clone(), number, revision, streams })
    }

    /// Queues the records of writes that have not been answered in time.
    fn queue_overdue(&mut self, now: Moment) {
        let is_due = |it: &&mut OpenWrite| !it.is_overdue && it.started + ANSWER_TIMEOUT <= now;
        for write in self.open.values_mut().filter(is_due) {
            write.is_overdue = true;
            self.queue.extend(write.streams.iter().cloned());
        }
    }

    pub fn on_written(&mut self, number: u32, revision: u64) {
        let Some(write) = self.open.remove(&number) else { return };
        let expires = write.streams.iter().map(|it| it.expires).max().unwrap_or_default();
        if let Some(slots) = &mut self.slots {
            slots.insert(number, Slot { revision, expires });
        }
    }

    /// Writes the records again, into another slot: it is not known what has become of this one.
    pub fn on_failed(&mut self, now: Moment, number: u32) {
        let Some(write) = self.open.remove(&number) else { return };
        if !write.is_overdue {
            self.next_write = now + RETRY_INTERVAL;
            self.queue.splice(0..0, write.streams);
        }
    }

    /// Forgets the slots, which are read again before the next write.
    pub fn forget_slots(&mut self) {
        self.slots = None;
    }

    pub fn next_wake(&self) -> Option<Moment> {
        let may_write = !self.queue.is_empty() && self.open.len() < MAX_WRITES;
        let overdue = self.open.values().filter(|it| !it.is_overdue);
        let overdue = overdue.map(|it| it.started + ANSWER_TIMEOUT);
        overdue.chain((self.slots.is_some() && may_write).then_some(self.next_write)).min()
    }
}
