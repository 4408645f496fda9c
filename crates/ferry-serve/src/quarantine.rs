//! Requests, and prompt parts, that crash the endpoints of a pool and are no longer sent there.
//!
//! [`CrashWatch`] notices crashes at each instance, a [`CrashCollector`] attributes those of all
//! instances, and [`Quarantine`] is what each instance knows of the result.
//! docs/design/platform.md has the reasons.

mod arrivals;
mod candidate;
mod collector;
mod evidence;
pub mod exchange;
mod ledger;
mod message;
mod stored;
mod watch;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use ferry_model::{Moment, PoolId, SortedMap};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::{LongId, PartId, RequestDigest};

pub use candidate::{CrashCandidate, workspace_digest};
pub use collector::CrashCollector;
pub use ledger::{QuarantineLedger, RecordKey};
pub use message::{
    CounterEvidence, CrashInquiry, CrashReport, Crashed, Exposure, QuarantineNotice,
};
pub use stored::{
    OpenCrash, OpenCrashes, QuarantineCall, QuarantineReply, StoredCrashes, StoredEntry,
    StoredQuarantine, StoredRecord,
};
pub use watch::{CallTrace, CrashWatch};

/// Largest number of records; the oldest that were lifted go first.
const MAX_RECORDS: usize = 256;
/// Time without any request after which a quarantine ends.
const MAX_IDLE: Duration = Duration::from_secs(24 * 3_600);
/// Age of what peers know of the last refused request at which they are told again.
const IDLE_NOTICE: Duration = Duration::from_secs(3_600);
/// Records that a peer is sent at a time, and the pause before any peer is sent more.
const MAX_NOTICES: usize = 32;
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// What all instances agree on: what is in quarantine, and what was lifted.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    pools: SortedMap<PoolId, SortedMap<CrashCandidate, QuarantineRecord>>,
    /// Long ids of parts that were refused here, or that an operator has named.
    long_ids: SortedMap<PartId, String>,
    /// Candidates whose requests in progress are still to be ended.
    fresh: Vec<(PoolId, CrashCandidate)>,
    next_sync: Moment,
    /// Number of the next record that a peer is sent whose records differ.
    cursor: usize,
    next_expiry: Moment,
    digest: u64,
}

#[derive(Debug, Clone, PartialEq)]
pub struct QuarantineRecord {
    pub state: QuarantineState,
    pub reason: QuarantineReason,
    /// Rises with each change; the newest record counts.
    pub version: u32,
    pub since: Moment,
    /// When a request was last refused for it, as far as known here.
    pub last_refused: Moment,
    /// What peers were told of that.
    told_refused: Moment,
}

impl QuarantineRecord {
    fn stored(&self, now: Moment) -> StoredRecord {
        let QuarantineRecord { state, reason, version, since, .. } = *self;
        StoredRecord { state, reason, version, age: now.saturating_sub(since) }
    }
}

#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum QuarantineState {
    Lifted,
    Quarantined,
}

/// Why a record has its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum QuarantineReason {
    Crashes,
    Operator,
    /// No request came for long; one crash is enough for another quarantine.
    Expired,
    /// Another candidate explains all its crashes.
    Explained,
}

/// What an operator does with a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum QuarantineAction {
    Set,
    Lift,
}

impl Quarantine {
    pub fn new() -> Quarantine {
        Quarantine::default()
    }

    /// Returns all records with their pool and candidate.
    pub fn iter(&self) -> impl Iterator<Item = (&PoolId, CrashCandidate, &QuarantineRecord)> {
        let records = self.pools.iter();
        records.flat_map(|(pool, known)| known.iter().map(move |(id, it)| (pool, *id, it)))
    }

    pub fn get(&self, pool: &str, candidate: CrashCandidate) -> Option<&QuarantineRecord> {
        self.pools.get(pool)?.get(&candidate)
    }

    pub fn is_quarantined(&self, pool: &str, candidate: CrashCandidate) -> bool {
        self.get(pool, candidate).is_some_and(|it| it.state == QuarantineState::Quarantined)
    }

    /// Keeps how a part is written.
    pub fn record_long_id(&mut self, id: Option<&LongId>) {
        let Some(LongId { part, text }) = id else { return };
        if self.long_ids.len() < MAX_RECORDS || self.long_ids.contains_key(part) {
            self.long_ids.insert(*part, text.clone());
        }
    }

    /// Returns the id of a candidate as callers have written it, if that is another name than its own.
    pub fn long_id(&self, candidate: CrashCandidate) -> Option<&str> {
        match candidate {
            CrashCandidate::Part(part) => self.long_ids.get(&part).map(String::as_str),
            CrashCandidate::Request(_) => None,
        }
    }

    /// Returns the first of some candidates that is in quarantine.
    pub fn find(
        &self,
        pool: &str,
        candidates: impl IntoIterator<Item = CrashCandidate>,
    ) -> Option<CrashCandidate> {
        let records = self.pools.get(pool)?;
        let is_quarantined = |it: &CrashCandidate| {
            records.get(it).is_some_and(|it| it.state == QuarantineState::Quarantined)
        };
        candidates.into_iter().find(is_quarantined)
    }

    /// Returns a pool in which a request is in quarantine as a whole. Another pool may get it too, where
    /// its route splits its traffic.
    pub fn find_request(&self, digest: RequestDigest) -> Option<&PoolId> {
        let candidate = CrashCandidate::Request(digest);
        let is_quarantined = |it: &QuarantineRecord| it.state == QuarantineState::Quarantined;
        let mut pools = self.pools.iter();
        let found = pools.find(|it| it.1.get(&candidate).is_some_and(is_quarantined));
        found.map(|it| it.0)
    }

    /// Changes the state of a candidate; returns the notice for peers, none if nothing changes.
    pub fn set(
        &mut self,
        now: Moment,
        (pool, candidate): (&str, CrashCandidate),
        state: QuarantineState,
        reason: QuarantineReason,
    ) -> Option<QuarantineNotice> {
        let before = self.get(pool, candidate);
        if before.map_or(QuarantineState::Lifted, |it| it.state) == state {
            return None;
        }
        let version = before.map_or(0, |it| it.version) + 1;
        let last_refused = now;
        let record = QuarantineRecord {
            state,
            reason,
            version,
            since: now,
            last_refused,
            told_refused: last_refused,
        };
        let notice = notice(now, pool, candidate, &record);
        self.insert(pool, candidate, record);
        Some(notice)
    }

    /// Applies what a peer knows; returns whether it is new.
    pub fn merge(&mut self, now: Moment, notice: &QuarantineNotice) -> bool {
        let QuarantineNotice { pool, candidate, state, reason, version, age, idle } = notice;
        let last_refused = now.saturating_sub(*idle);
        if let Some(before) = self.pools.get_mut(pool).and_then(|it| it.get_mut(candidate)) {
            before.last_refused = before.last_refused.max(last_refused);
            before.told_refused = before.told_refused.max(last_refused);
            if (*version, *state) <= (before.version, before.state) {
                return false;
            }
        }
        let record = QuarantineRecord {
            state: *state,
            reason: *reason,
            version: *version,
            since: now.saturating_sub(*age),
            last_refused,
            told_refused: last_refused,
        };
        self.insert(pool, *candidate, record);
        true
    }

    /// Records that a request was refused; returns a notice if peers should know.
    pub fn on_refused(
        &mut self,
        now: Moment,
        pool: &str,
        candidate: CrashCandidate,
    ) -> Option<QuarantineNotice> {
        let record = self.pools.get_mut(pool)?.get_mut(&candidate)?;
        record.last_refused = now;
        if now < record.told_refused + IDLE_NOTICE {
            return None;
        }
        record.told_refused = now;
        Some(notice(now, pool, candidate, record))
    }

    /// Ends the quarantine of candidates for which no request came for a day. Each instance does so by
    /// itself, with the same result.
    pub fn expire(&mut self, now: Moment) -> Vec<QuarantineNotice> {
        if now < self.next_expiry {
            return Vec::new();
        }
        self.next_expiry = now + SYNC_INTERVAL;
        let is_idle = |it: &QuarantineRecord| {
            it.state == QuarantineState::Quarantined && it.last_refused + MAX_IDLE <= now
        };
        let idle = self.iter().filter(|it| is_idle(it.2));
        let idle: Vec<(PoolId, CrashCandidate)> = idle.map(|it| (it.0.clone(), it.1)).collect();
        let lift = |(pool, candidate): (PoolId, CrashCandidate)| {
            self.set(now, (&pool, candidate), QuarantineState::Lifted, QuarantineReason::Expired)
        };
        idle.into_iter().filter_map(lift).collect()
    }

    /// Returns a hash of all records, which is equal at instances that know the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn hash_records(&self) -> u64 {
        let hash = |(pool, candidate, record): (&PoolId, CrashCandidate, &QuarantineRecord)| {
            let mut hasher = DefaultHasher::new();
            (pool, candidate, record.version, record.state).hash(&mut hasher);
            hasher.finish()
        };
        self.iter().map(hash).fold(0, |all, it| all ^ it)
    }

    /// Returns records for a peer that does not know the same, some at a time; none if peers were
    /// sent others just now.
    pub fn sync(&mut self, now: Moment) -> Vec<QuarantineNotice> {
        let n_records = self.iter().count();
        if now < self.next_sync || n_records == 0 {
            return Vec::new();
        }
        self.next_sync = now + SYNC_INTERVAL;
        let first = self.cursor % n_records;
        self.cursor = first + MAX_NOTICES;
        let records = self.iter().chain(self.iter()).skip(first);
        let records = records.take(n_records.min(MAX_NOTICES));
        records.map(|(pool, candidate, it)| notice(now, pool, candidate, it)).collect()
    }

    /// Returns the candidates that have come into quarantine since the last call.
    pub fn take_fresh(&mut self) -> Vec<(PoolId, CrashCandidate)> {
        std::mem::take(&mut self.fresh)
    }

    /// Drops the long ids of parts without a record.
    fn forget_long_ids(&mut self) {
        let has_record = |part: PartId| {
            let candidate = CrashCandidate::Part(part);
            self.pools.values().any(|it| it.contains_key(&candidate))
        };
        let parts: Vec<PartId> = self.long_ids.keys().copied().collect();
        let unused: Vec<PartId> = parts.into_iter().filter(|it| !has_record(*it)).collect();
        unused.iter().for_each(|it| drop(self.long_ids.remove(it)));
    }

    fn insert(&mut self, pool: &str, candidate: CrashCandidate, record: QuarantineRecord) {
        if record.state == QuarantineState::Quarantined {
            self.fresh.push((pool.to_owned(), candidate));
        }
        let records = self.pools.get_or_insert_with(pool.to_owned(), SortedMap::new);
        records.insert(candidate, record);
        if MAX_RECORDS < self.iter().count() {
            let oldest = self.iter().min_by_key(|it| (it.2.state, it.2.since));
            let Some((pool, candidate)) = oldest.map(|it| (it.0.clone(), it.1)) else { return };
            if let Some(records) = self.pools.get_mut(&pool) {
                records.remove(&candidate);
            }
            self.forget_long_ids();
        }
        self.digest = self.hash_records();
    }
}

fn notice(
    now: Moment,
    pool: &str,
    candidate: CrashCandidate,
    record: &QuarantineRecord,
) -> QuarantineNotice {
    QuarantineNotice {
        pool: pool.to_owned(),
        candidate,
        state: record.state,
        reason: record.reason,
        version: record.version,
        age: now.saturating_sub(record.since),
        idle: now.saturating_sub(record.last_refused),
    }
}
