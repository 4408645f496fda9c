//! The records of builds and streams in the store, and what the store does with calls for them.

use std::time::Duration;

use ferry_model::{Moment, SortedMap, store_era, store_position, store_revision};
use ferry_serve::{
    Event, OpenCrashes, PoolBuilds, QuarantineCall, QuarantineReply, RecordCall, RecordKey,
    RecordReply, StoreUpdate, StoredCrashes, StoredEntry, StoredQuarantine, StoredRecords,
    StreamSlot, WriteFailure,
};

use super::{Simulation, ms};

/// Time that the store takes for a call.
const STORE_DELAY: Duration = ms(4);
/// Time after which an instance gives a call up.
const TIMEOUT: Duration = ms(900);

/// How the store treats the calls of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreState {
    Refuses,
    Silent,
    Slow,
}

#[derive(Debug, Clone, Default)]
pub struct RecordStore {
    revision: u64,
    pools: SortedMap<String, PoolBuilds>,
    slots: SortedMap<(String, u32), StreamSlot>,
    pub quarantine: SortedMap<RecordKey, StoredEntry>,
    /// Open crashes of each pool, and when they were written.
    pub crashes: SortedMap<String, (Moment, StoredCrashes)>,
    /// Whether calls for open crashes are dropped, as by releases that do not make them.
    pub drops_crashes: bool,
    /// Instances that the store does not serve as usual.
    states: SortedMap<usize, StoreState>,
    /// One in this many writes is executed without an answer, some of them seconds later.
    pub lose_one_in: Option<u64>,
    /// Messages between instances about builds.
    pub n_messages: usize,
    pub n_reads: usize,
    pub n_writes: usize,
    /// Calls about the quarantine: reads, writes and removals.
    pub n_quarantine: [usize; 3],
    /// Writes and removals of open crashes.
    pub n_crashes: usize,
    /// Bytes of the attempts and builds in all writes.
    pub n_bytes: usize,
}

impl RecordStore {
    /// Executes a write if its condition holds.
    fn write(&mut self, now: Moment, call: &RecordCall) -> Result<u64, WriteFailure> {
        let (before, expected) = match call {
            RecordCall::Read { .. } | RecordCall::Quarantine(QuarantineCall::Read) => {
                return Err(WriteFailure::Failed);
            }
            RecordCall::Quarantine(
                QuarantineCall::Write { key, revision, .. }
                | QuarantineCall::Delete { key, revision },
            ) => (self.quarantine.get(key).and_then(|it| it.revision), *revision),
            RecordCall::Quarantine(QuarantineCall::WriteCrashes { pool, revision, .. }) => {
                (self.crashes.get(pool).map(|it| it.1.revision), *revision)
            }
            RecordCall::Quarantine(QuarantineCall::DeleteCrashes { pool, revision }) => {
                (self.crashes.get(pool).map(|it| it.1.revision), Some(*revision))
            }
            RecordCall::DeleteStreams(it) => {
                let key = (it.instance.clone(), it.number);
                return match self.slots.get(&key).is_some_and(|slot| slot.revision == it.revision) {
                    true => self
                        .slots
                        .remove(&key)
                        .and_then(|it| it.revision)
                        .ok_or(WriteFailure::Conflict),
                    false => Err(WriteFailure::Conflict),
                };
            }
            RecordCall::WriteBuilds(it) => {
                (self.pools.get(&it.pool).and_then(|it| it.revision), it.revision)
            }
            RecordCall::WriteStreams(it) => {
                let key = (it.instance.clone(), it.number);
                (self.slots.get(&key).and_then(|it| it.revision), it.revision)
            }
        };
        if before != expected {
            return Err(WriteFailure::Conflict);
        }
        self.revision += 1;
        let revision = Some(self.revision);
        match call.clone() {
            RecordCall::Read { .. }
            | RecordCall::DeleteStreams(_)
            | RecordCall::Quarantine(QuarantineCall::Read) => (),
            RecordCall::Quarantine(QuarantineCall::Write { key, record, .. }) => {
                let entry = StoredEntry { key: key.clone(), record: Some(record), revision };
                self.quarantine.insert(key, entry);
            }
            RecordCall::Quarantine(QuarantineCall::Delete { key, .. }) => {
                self.quarantine.remove(&key);
            }
            RecordCall::Quarantine(QuarantineCall::WriteCrashes { pool, open, .. }) => {
                let revision = self.revision;
                let stored = StoredCrashes { pool: pool.clone(), open: Some(open), revision };
                self.crashes.insert(pool, (now, stored));
            }
            RecordCall::Quarantine(QuarantineCall::DeleteCrashes { pool, .. }) => {
                self.crashes.remove(&pool);
            }
            RecordCall::WriteBuilds(it) => {
                self.pools.insert(it.pool.clone(), PoolBuilds { revision, ..it });
            }
            RecordCall::WriteStreams(it) => {
                let key = (it.instance.clone(), it.number);
                self.slots.insert(key, StreamSlot { revision, ..it });
            }
        }
        Ok(self.revision)
    }

    fn read_quarantine(&self, now: Moment) -> StoredQuarantine {
        let aged = |(written, stored): &(Moment, StoredCrashes)| {
            let mut stored = stored.clone();
            if let Some(OpenCrashes { crashes, sound }) = &mut stored.open {
                let ages = crashes.iter_mut().map(|it| &mut it.crashed.age);
                let ages = ages.chain(sound.iter_mut().map(|it| &mut it.1));
                ages.for_each(|it| *it += now - *written);
            }
            stored
        };
        let entries = self.quarantine.values().cloned().collect();
        StoredQuarantine { entries, crashes: self.crashes.values().map(aged).collect() }
    }

    fn read(&self, with_streams: bool) -> StoredRecords {
        let pools = self.pools.values().cloned().collect();
        let streams = with_streams.then(|| self.slots.values().cloned().collect());
        StoredRecords { pools, streams }
    }

    /// Returns the instances that have records of streams.
    pub fn writers(&self) -> Vec<String> {
        let mut writers: Vec<String> = self.slots.keys().map(|it| it.0.clone()).collect();
        writers.dedup();
        writers
    }

    /// Returns the recorded builds of a pool.
    pub fn builds(&self, pool: &str) -> &[String] {
        self.pools.get(pool).map_or(&[], |it| &it.builds)
    }
}

fn reply(call: RecordCall, result: Result<u64, WriteFailure>) -> RecordReply {
    match call {
        RecordCall::Read { id, .. } => RecordReply::Read { id, records: None },
        RecordCall::Quarantine(call) => RecordReply::Quarantine(match call {
            QuarantineCall::Read => QuarantineReply::Read(None),
            QuarantineCall::Write { .. } | QuarantineCall::WriteCrashes { .. } => {
                QuarantineReply::Written(result.map(Some))
            }
            QuarantineCall::Delete { .. } | QuarantineCall::DeleteCrashes { .. } => {
                QuarantineReply::Written(result.map(|_| None))
            }
        }),
        RecordCall::WriteBuilds(it) => RecordReply::Builds { pool: it.pool, result },
        RecordCall::WriteStreams(it) | RecordCall::DeleteStreams(it) => {
            RecordReply::Streams { slot: it.number, result }
        }
    }
}

impl Simulation {
    /// Sets how the store treats an instance, which notices it.
    pub fn set_store(&mut self, instance: usize, state: Option<StoreState>) {
        match state {
            Some(state) => self.records.states.insert(instance, state),
            None => self.records.states.remove(&instance),
        };
        let update = match state {
            Some(StoreState::Refuses | StoreState::Silent) => StoreUpdate::Unreachable,
            Some(StoreState::Slow) | None => StoreUpdate::Reachable,
        };
        self.deliver(instance, Event::Store(update));
    }

    /// Lets the store come back from a copy, in the next era.
    pub fn restore_records(&mut self, copy: RecordStore) {
        let era = store_era(self.records.revision) + 1;
        let revision = |it: Option<u64>| it.map(|it| store_position(era, store_revision(it)));
        self.records = copy;
        self.records.revision = store_position(era, store_revision(self.records.revision));
        let pools = self.records.pools.iter_mut().map(|it| &mut it.1.revision);
        let slots = self.records.slots.iter_mut().map(|it| &mut it.1.revision);
        let entries = self.records.quarantine.iter_mut().map(|it| &mut it.1.revision);
        pools.chain(slots).chain(entries).for_each(|it| *it = revision(*it));
        let crashes = self.records.crashes.iter_mut().map(|it| &mut it.1.1.revision);
        crashes.for_each(|it| *it = store_position(era, store_revision(*it)));
        for instance in 0..self.instances.len() {
            self.deliver(instance, Event::Store(StoreUpdate::Restored));
        }
    }

    /// Executes a call, and answers it.
    pub(super) fn call_store(&mut self, instance: usize, call: RecordCall) {
        let is_read =
            matches!(call, RecordCall::Read { .. } | RecordCall::Quarantine(QuarantineCall::Read));
        match &call {
            RecordCall::Quarantine(QuarantineCall::Read) => self.records.n_quarantine[0] += 1,
            RecordCall::Quarantine(QuarantineCall::Write { .. }) => {
                self.records.n_quarantine[1] += 1;
            }
            RecordCall::Quarantine(QuarantineCall::Delete { .. }) => {
                self.records.n_quarantine[2] += 1;
            }
            RecordCall::Quarantine(
                QuarantineCall::WriteCrashes { .. } | QuarantineCall::DeleteCrashes { .. },
            ) => self.records.n_crashes += 1,
            _ if is_read => self.records.n_reads += 1,
            _ => self.records.n_writes += 1,
        }
        if matches!(call, RecordCall::DeleteStreams(_)) {
            // Nobody waits for the answer.
            return self.write_late(&call);
        }
        if let RecordCall::WriteStreams(slot) = &call {
            let len = |it: &ferry_serve::StreamRecord| it.attempt.len() + 3;
            self.records.n_bytes += slot.streams.iter().map(len).sum::<usize>();
        }
        let is_crashes = matches!(
            call,
            RecordCall::Quarantine(
                QuarantineCall::WriteCrashes { .. } | QuarantineCall::DeleteCrashes { .. }
            )
        );
        if is_crashes && self.records.drops_crashes {
            let reply = reply(call, Ok(0));
            return self.schedule(instance, STORE_DELAY, Event::Record(reply));
        }
        let delay = match self.records.states.get(&instance) {
            Some(StoreState::Refuses) => {
                let reply = reply(call, Err(WriteFailure::Failed));
                return self.schedule(instance, STORE_DELAY, Event::Record(reply));
            }
            Some(StoreState::Silent) => {
                let reply = reply(call, Err(WriteFailure::Failed));
                return self.schedule(instance, TIMEOUT, Event::Record(reply));
            }
            Some(StoreState::Slow) => STORE_DELAY * 25,
            None => STORE_DELAY,
        };
        let is_lost = !is_read
            && self.records.lose_one_in.is_some_and(|it| self.next_random().is_multiple_of(it));
        if is_lost {
            let after = ms(self.next_random() % 6_000) * (self.next_random() % 2) as u32;
            self.push_write(after, call.clone());
            let reply = reply(call, Err(WriteFailure::Failed));
            return self.schedule(instance, TIMEOUT, Event::Record(reply));
        }
        let reply = match call {
            RecordCall::Read { id, with_streams } => {
                RecordReply::Read { id, records: Some(self.records.read(with_streams)) }
            }
            RecordCall::Quarantine(QuarantineCall::Read) => {
                let stored = self.records.read_quarantine(self.now);
                RecordReply::Quarantine(QuarantineReply::Read(Some(stored)))
            }
            call => {
                let result = self.records.write(self.now, &call);
                reply(call, result)
            }
        };
        self.schedule(instance, delay, Event::Record(reply));
    }

    /// Executes a write whose answer was lost.
    pub(super) fn write_late(&mut self, call: &RecordCall) {
        // Its condition may no longer hold.
        let _ = self.records.write(self.now, call);
    }
}
