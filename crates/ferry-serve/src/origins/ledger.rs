//! The builds of each pool, as the store records them.
//!
//! A build is recorded before it begins streams, and removed once no stream of it can be taken up any
//! longer. The past of a pool is therefore known to an instance that has just started.

use std::time::Duration;

use ferry_model::{BuildId, Moment, PoolId, SortedMap};

use super::PoolBuilds;
use crate::Endpoints;

/// Time between the turns of two instances to write the builds of a pool.
const TURN: Duration = Duration::from_millis(200);
/// Time until the first record of a pool is written. Nothing waits for it, and instances that have
/// started together need each other's heartbeats to take turns.
const FIRST_DELAY: Duration = Duration::from_secs(1);
/// Time after a failed write until the next one.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which an instance may go on sending streams to an endpoint without an entry.
const SPREAD_TIME: Duration = Duration::from_secs(10);

/// A record that has to be written.
#[derive(Debug, Clone)]
struct Need {
    builds: Vec<BuildId>,
    /// When the first instance may write it.
    from: Moment,
    /// When this instance writes it, as far as known.
    due: Moment,
}

#[derive(Debug, Clone, Default)]
pub(super) struct BuildLedger {
    pools: SortedMap<PoolId, PoolBuilds>,
    /// Whether the records were read; a pool without one has none then.
    is_known: bool,
    /// What was recorded before the store came back from a copy, until the records are read again.
    before: SortedMap<PoolId, PoolBuilds>,
    /// Pools whose records the copy lacks, at least in part.
    lost: Vec<PoolId>,
    n_changes: u64,
    needs: SortedMap<PoolId, Need>,
    /// What is being written.
    writing: SortedMap<PoolId, Vec<BuildId>>,
    /// Since when no endpoint has had a recorded build.
    unlisted: SortedMap<(PoolId, BuildId), Moment>,
    /// When a build may be removed.
    removal_at: Option<Moment>,
}

impl BuildLedger {
    /// Number of changes so far, which tells whether anything has to be looked at again.
    pub fn n_changes(&self) -> u64 {
        self.n_changes
    }

    pub fn is_known(&self) -> bool {
        self.is_known
    }

    pub fn recorded(&self) -> impl Iterator<Item = &PoolBuilds> {
        self.pools.values()
    }

    /// Returns the recorded builds of a pool; none if there is no record, or it is not known.
    pub fn builds(&self, pool: &str) -> Option<&[BuildId]> {
        self.pools.get(pool).map(|it| it.builds.as_slice())
    }

    /// Returns the only build with which streams of a pool can have begun; none if there may be others.
    pub fn only_build(&self, endpoints: &Endpoints, pool: &str) -> Option<BuildId> {
        let mut builds = endpoints.builds(pool);
        builds.extend(self.builds(pool)?.iter().cloned());
        builds.sort_unstable();
        builds.dedup();
        (builds.len() == 1).then(|| builds.remove(0))
    }

    /// Takes over a record, unless a later one is known.
    pub fn record(&mut self, record: PoolBuilds) {
        let known = self.pools.get(&record.pool);
        if known.is_some_and(|it| record.revision <= it.revision) {
            return;
        }
        self.n_changes += 1;
        self.lost.retain(|it| *it != record.pool);
        self.pools.insert(record.pool.clone(), record);
    }

    /// Keeps what is recorded until the records are read again, as the store came back from a copy.
    pub fn on_restored(&mut self) {
        self.is_known = false;
        for (pool, known) in self.pools.iter() {
            let before = self.before.get_or_insert_with(pool.clone(), || known.clone());
            before.builds = union(&before.builds, &known.builds);
        }
    }

    /// Takes over all records that were read from the store.
    pub fn on_read(&mut self, records: Vec<PoolBuilds>) {
        if !std::mem::replace(&mut self.is_known, true) {
            self.n_changes += 1;
        }
        for (pool, before) in std::mem::take(&mut self.before).iter() {
            let read = records.iter().find(|it| it.pool == *pool);
            let in_store = read.map_or(&[][..], |it| &it.builds);
            let builds = union(&before.builds, in_store);
            if builds != in_store {
                self.lost.push(pool.clone());
            }
            let revision = read.and_then(|it| it.revision);
            let pool = pool.clone();
            self.pools.insert(pool.clone(), PoolBuilds { pool, builds, revision });
        }
        records.into_iter().for_each(|it| self.record(it));
    }

    /// Looks which records of these pools have to be written.
    pub fn review(
        &mut self,
        now: Moment,
        endpoints: &Endpoints,
        pools: &[PoolId],
        longest: Duration,
    ) {
        self.needs.retain(|pool, _| pools.binary_search(pool).is_ok());
        self.removal_at = None;
        for pool in pools {
            let mut builds = endpoints.builds(pool);
            if !builds.is_empty() {
                let kept = self.kept_builds(now, pool, &builds, longest);
                builds.extend(kept);
                builds.sort_unstable();
            }
            let is_recorded =
                self.builds(pool) == Some(builds.as_slice()) && !self.lost.contains(pool);
            if builds.is_empty() || is_recorded {
                self.needs.remove(pool);
                continue;
            }
            let delay = if self.pools.contains_key(pool) { Duration::ZERO } else { FIRST_DELAY };
            let before = self.needs.get(pool).filter(|it| it.builds == builds);
            let from = before.map_or(now + delay, |it| it.from.min(now + delay));
            self.needs.insert(pool.clone(), Need { builds, from, due: from });
        }
    }

    /// Returns the recorded builds that no endpoint has, of which streams may still be taken up.
    fn kept_builds(
        &mut self,
        now: Moment,
        pool: &PoolId,
        listed: &[BuildId],
        longest: Duration,
    ) -> Vec<BuildId> {
        let mut recorded = self.builds(pool).map(<[BuildId]>::to_vec).unwrap_or_default();
        recorded.retain(|build| {
            let key = (pool.clone(), build.clone());
            if listed.binary_search(build).is_ok() {
                self.unlisted.remove(&key);
                return false;
            }
            let end = *self.unlisted.get_or_insert_with(key, || now) + longest + SPREAD_TIME;
            let is_kept = now < end;
            if is_kept {
                self.removal_at = Some(self.removal_at.map_or(end, |it| it.min(end)));
            }
            is_kept
        });
        recorded
    }

    /// Returns the writes that are due. `turn` is the number of instances that write before this one.
    pub fn due(&mut self, now: Moment, turn: impl Fn(&PoolId) -> usize) -> Vec<PoolBuilds> {
        if !self.is_known {
            return Vec::new();
        }
        let mut writes = Vec::new();
        for (pool, need) in self.needs.iter_mut() {
            if now < need.from || self.writing.contains_key(pool) {
                continue;
            }
            need.due = need.from + TURN * turn(pool) as u32;
            if now < need.due {
                continue;
            }
            self.writing.insert(pool.clone(), need.builds.clone());
            let revision = self.pools.get(pool).and_then(|it| it.revision);
            writes.push(PoolBuilds { pool: pool.clone(), builds: need.builds.clone(), revision });
        }
        writes
    }

    /// Whether a build may be removed, so that the pools have to be reviewed.
    pub fn is_review_due(&self, now: Moment) -> bool {
        self.removal_at.is_some_and(|it| it <= now)
    }

    /// Takes over a record that this instance has written, and returns it.
    pub fn on_written(&mut self, pool: &PoolId, revision: u64) -> Option<PoolBuilds> {
        let builds = self.writing.remove(pool)?;
        let record = PoolBuilds { pool: pool.clone(), builds, revision: Some(revision) };
        self.record(record.clone());
        Some(record)
    }

    /// Writes a record again after a while, if it is still needed then.
    pub fn on_failed(&mut self, now: Moment, pool: &PoolId) {
        self.writing.remove(pool);
        if let Some(need) = self.needs.get_mut(pool) {
            need.from = now + RETRY_INTERVAL;
            need.due = need.from;
        }
    }

    pub fn next_wake(&self) -> Option<Moment> {
        let open = self.needs.iter().filter(|it| self.is_known && !self.writing.contains_key(it.0));
        open.map(|it| it.1.due).chain(self.removal_at).min()
    }
}

/// Returns the builds of both, sorted.
fn union(a: &[BuildId], b: &[BuildId]) -> Vec<BuildId> {
    let mut all: Vec<BuildId> = a.iter().chain(b).cloned().collect();
    all.sort_unstable();
    all.dedup();
    all
}
