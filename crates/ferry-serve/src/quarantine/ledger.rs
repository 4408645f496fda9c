//! Keeps the records of the quarantine in the store, so that they outlive all instances.
//!
//! Each instance reads them at its start, and when the store has come back from a copy. The instance that
//! has changed a record writes it, and a few others look later whether it is there. Nothing waits for the
//! store.

use std::time::Duration;

use ferry_model::{Moment, PoolId, SortedMap};

use super::{
    CrashCandidate, OpenCrashes, Quarantine, QuarantineCall, QuarantineState, StoredQuarantine,
};
use crate::WriteFailure;

/// Instances that look whether a record is stored, besides the one that has changed it.
pub const N_KEEPERS: usize = 3;
/// Time between the looks of two of them, and until the first one.
const TURN: Duration = Duration::from_secs(1);
/// Time until it is determined again which instances look, as some may have ended.
const TURN_REVIEW: Duration = Duration::from_secs(5);
/// Time after which an instance that has no turn takes a record for stored.
const WATCH_TIME: Duration = Duration::from_secs(60);
/// Time from one call of an instance to the next.
const CALL_INTERVAL: Duration = Duration::from_millis(200);
/// The same after a failure.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

pub type RecordKey = (PoolId, CrashCandidate);

/// Tells which of two records of a candidate is newer.
type Rank = (u32, QuarantineState);

/// What the store has of a candidate, as far as known.
#[derive(Debug, Clone, Copy)]
struct Stored {
    /// None if it cannot be read. It is not replaced then.
    rank: Option<Rank>,
    revision: Option<u64>,
}

/// A record that the store lacks, as far as known.
#[derive(Debug, Clone, Copy)]
struct Need {
    rank: Rank,
    since: Moment,
    /// Whether this instance has made the change.
    is_own: bool,
    /// When this instance looks, if it has a turn.
    due: Option<Moment>,
    next_review: Moment,
}

#[derive(Debug, Clone)]
enum OpenCall {
    Read { began: Moment },
    Write { key: RecordKey, rank: Rank },
    Delete { key: RecordKey },
    Crashes { pool: PoolId },
}

/// The object with the open crashes of a pool.
#[derive(Debug, Clone, Copy)]
struct StoredObject {
    revision: u64,
    /// Whether it can be read. It is not replaced otherwise.
    is_readable: bool,
}

#[derive(Debug, Clone, Default)]
pub struct QuarantineLedger {
    stored: SortedMap<RecordKey, Stored>,
    /// When the last read began; none since the start, or since the store came back from a copy.
    read_at: Option<Moment>,
    open: Option<OpenCall>,
    next_call: Moment,
    needs: SortedMap<RecordKey, Need>,
    /// Records that this instance has changed since the last review.
    changed: Vec<RecordKey>,
    /// Open crashes of pools in the store.
    crashes: SortedMap<PoolId, StoredObject>,
    /// Pools whose open crashes are to be kept.
    unkept: Vec<PoolId>,
    /// Records that the store has and that were dropped here to make room.
    surplus: Vec<RecordKey>,
    /// Digest of the records at the last review; none if what is stored has changed since.
    reviewed: Option<u64>,
}

impl QuarantineLedger {
    pub fn new() -> QuarantineLedger {
        QuarantineLedger::default()
    }

    /// Notes that this instance has changed a record.
    pub fn on_changed(&mut self, pool: &str, candidate: CrashCandidate) {
        self.changed.push((pool.to_owned(), candidate));
    }

    /// Forgets what the store has, as it came back from a copy.
    pub fn on_restored(&mut self) {
        (self.read_at, self.reviewed) = (None, None);
        self.stored = SortedMap::new();
        self.crashes = SortedMap::new();
    }

    /// Reads the store again.
    pub fn refresh(&mut self) {
        self.read_at = None;
    }

    /// Notes that the open crashes of a pool are to be kept.
    pub fn keep_crashes(&mut self, pool: PoolId) {
        if !self.unkept.contains(&pool) {
            self.unkept.push(pool);
        }
    }

    /// Whether all open crashes are kept that this instance keeps.
    pub fn is_settled(&self) -> bool {
        self.unkept.is_empty() && !matches!(self.open, Some(OpenCall::Crashes { .. }))
    }

    /// Takes over what was read; none if the read has failed.
    pub fn on_read(&mut self, now: Moment, stored: Option<&StoredQuarantine>) {
        let Some(OpenCall::Read { began }) = self.open.take() else { return };
        let Some(StoredQuarantine { entries, crashes }) = stored else {
            self.next_call = now + RETRY_INTERVAL;
            return;
        };
        (self.read_at, self.reviewed) = (Some(began), None);
        let stored = entries.iter().map(|it| {
            let rank = it.record.map(|it| (it.version, it.state));
            (it.key.clone(), Stored { rank, revision: it.revision })
        });
        self.stored = stored.collect();
        let object = |is_readable, revision| StoredObject { revision, is_readable };
        let crashes = crashes.iter();
        let crashes = crashes.map(|it| (it.pool.clone(), object(it.open.is_some(), it.revision)));
        self.crashes = crashes.collect();
    }

    /// Takes over the result of a write or a removal.
    pub fn on_written(&mut self, now: Moment, result: Result<Option<u64>, WriteFailure>) {
        let Some(open) = self.open.take() else { return };
        self.reviewed = None;
        match (open, result) {
            (OpenCall::Write { key, rank }, Ok(revision)) => {
                self.stored.insert(key, Stored { rank: Some(rank), revision });
            }
            (OpenCall::Delete { key }, Ok(_)) => drop(self.stored.remove(&key)),
            (OpenCall::Crashes { pool }, Ok(Some(revision))) => {
                self.crashes.insert(pool, StoredObject { revision, is_readable: true });
            }
            (OpenCall::Crashes { pool }, Ok(None)) => drop(self.crashes.remove(&pool)),
            (open, Err(failure)) => {
                if let OpenCall::Crashes { pool } = open {
                    self.keep_crashes(pool);
                }
                self.next_call = now + RETRY_INTERVAL;
                if failure == WriteFailure::Conflict {
                    self.read_at = None;
                }
            }
            (OpenCall::Read { .. }, Ok(_)) => (),
        }
    }

    /// Returns the call that is due, if any. `turn` is the place of this instance among those that look
    /// after a record, if it is one of them; `open` returns the open crashes of a pool.
    pub fn due(
        &mut self,
        now: Moment,
        quarantine: &Quarantine,
        turn: impl Fn(&RecordKey) -> Option<usize>,
        open: impl Fn(&str) -> OpenCrashes,
    ) -> Option<QuarantineCall> {
        self.review(now, quarantine);
        self.take_turns(now, &turn);
        if self.open.is_some() || now < self.next_call {
            return None;
        }
        let Some(read_at) = self.read_at else { return Some(self.read(now)) };
        let is_due = |it: &Need| it.due.is_some_and(|it| it <= now);
        let due = self.needs.iter().find(|it| is_due(it.1)).map(|it| (it.0.clone(), *it.1));
        if let Some((key, need)) = due {
            // Another instance may have written it since the last read.
            return match need.is_own || need.since <= read_at {
                true => self.write(now, quarantine, key, need.rank),
                false => Some(self.read(now)),
            };
        }
        if let Some(call) = self.write_crashes(now, open) {
            return Some(call);
        }
        let key = self.surplus.pop()?;
        (turn(&key) == Some(0)).then(|| self.delete(now, key))
    }

    pub fn next_wake(&self) -> Option<Moment> {
        let is_idle = self.open.is_none();
        let due = match self.read_at {
            None => Some(Moment::ZERO),
            Some(_) if !self.surplus.is_empty() || !self.unkept.is_empty() => Some(Moment::ZERO),
            Some(_) => self.needs.values().map(|it| it.due.unwrap_or(it.next_review)).min(),
        };
        due.filter(|_| is_idle).map(|it| it.max(self.next_call))
    }

    /// Looks which records the store lacks, if those here or there have changed.
    fn review(&mut self, now: Moment, quarantine: &Quarantine) {
        let digest = Some(quarantine.digest());
        if self.reviewed == digest {
            return;
        }
        self.reviewed = digest;
        let changed = std::mem::take(&mut self.changed);
        let mut needs = SortedMap::new();
        for (pool, candidate, record) in quarantine.iter() {
            let (key, rank) = ((pool.clone(), candidate), (record.version, record.state));
            if self.stored.get(&key).is_some_and(|it| it.rank.is_none_or(|it| rank <= it)) {
                continue;
            }
            let is_own = changed.contains(&key);
            let fresh =
                Need { rank, since: now, is_own, due: is_own.then_some(now), next_review: now };
            let before = self.needs.get(&key).filter(|it| it.rank == rank && !is_own);
            needs.insert(key, before.copied().unwrap_or(fresh));
        }
        self.needs = needs;
        let is_surplus = |(pool, candidate): &RecordKey, it: &Stored| {
            it.rank.is_some() && quarantine.get(pool, *candidate).is_none()
        };
        let surplus = self.stored.iter().filter(|it| is_surplus(it.0, it.1));
        self.surplus = surplus.map(|it| it.0.clone()).collect();
    }

    /// Determines when this instance looks after each record.
    fn take_turns(&mut self, now: Moment, turn: &impl Fn(&RecordKey) -> Option<usize>) {
        let mut over = Vec::new();
        for (key, need) in self.needs.iter_mut() {
            if need.due.is_some() || now < need.next_review {
                continue;
            }
            need.due = turn(key).map(|it| need.since + TURN * (it as u32 + 1));
            need.next_review = now + TURN_REVIEW;
            if need.due.is_none() && need.since + WATCH_TIME <= now {
                over.push((key.clone(), need.rank));
            }
        }
        for (key, rank) in over {
            self.needs.remove(&key);
            let revision = self.stored.get(&key).and_then(|it| it.revision);
            self.stored.insert(key, Stored { rank: Some(rank), revision });
        }
    }

    fn read(&mut self, now: Moment) -> QuarantineCall {
        self.next_call = now + CALL_INTERVAL;
        self.open = Some(OpenCall::Read { began: now });
        QuarantineCall::Read
    }

    fn write(
        &mut self,
        now: Moment,
        quarantine: &Quarantine,
        key: RecordKey,
        rank: Rank,
    ) -> Option<QuarantineCall> {
        let record = quarantine.get(&key.0, key.1)?.stored(now);
        let revision = self.stored.get(&key).and_then(|it| it.revision);
        self.next_call = now + CALL_INTERVAL;
        self.open = Some(OpenCall::Write { key: key.clone(), rank });
        Some(QuarantineCall::Write { key, record, revision })
    }

    /// Writes the open crashes of a pool that are to be kept; removes the object if there are none.
    fn write_crashes(
        &mut self,
        now: Moment,
        open: impl Fn(&str) -> OpenCrashes,
    ) -> Option<QuarantineCall> {
        while let Some(pool) = self.unkept.pop() {
            let stored = self.crashes.get(&pool).copied();
            let open = open(&pool);
            let call = match stored {
                Some(StoredObject { is_readable: false, .. }) => continue,
                None if open.crashes.is_empty() => continue,
                Some(StoredObject { revision, .. }) if open.crashes.is_empty() => {
                    QuarantineCall::DeleteCrashes { pool: pool.clone(), revision }
                }
                _ => {
                    let revision = stored.map(|it| it.revision);
                    QuarantineCall::WriteCrashes { pool: pool.clone(), open, revision }
                }
            };
            self.next_call = now + CALL_INTERVAL;
            self.open = Some(OpenCall::Crashes { pool });
            return Some(call);
        }
        None
    }

    fn delete(&mut self, now: Moment, key: RecordKey) -> QuarantineCall {
        let revision = self.stored.get(&key).and_then(|it| it.revision);
        self.next_call = now + CALL_INTERVAL;
        self.open = Some(OpenCall::Delete { key: key.clone() });
        QuarantineCall::Delete { key, revision }
    }
}
