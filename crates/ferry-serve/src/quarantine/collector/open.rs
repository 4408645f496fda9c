//! The crashes that are not explained yet, as they are kept beyond the collectors.

use ferry_model::{Moment, PoolId};

use super::{Crash, CrashCollector, MEMORY, PoolRecord};
use crate::quarantine::evidence::{Evidence, PoolLoad, Standing};
use crate::quarantine::{CrashCandidate, Crashed, Exposure, OpenCrash, OpenCrashes};

/// Crashes from which on a candidate is kept.
const MIN_CRASHES: usize = 2;
/// Candidates and crashes that are kept, and the requests of each candidate in a crash, so that the
/// object of the store stays far below its largest size.
const MAX_SUSPECTS: usize = 16;
const MAX_KEPT: usize = 32;
const MAX_REQUESTS: usize = 2;

impl CrashCollector {
    /// Returns the open crashes of a pool.
    pub fn open(
        &self,
        now: Moment,
        pool: &str,
        standing: impl Fn(CrashCandidate) -> Standing,
    ) -> OpenCrashes {
        self.pools.get(pool).map(|it| it.open(now, &standing)).unwrap_or_default()
    }

    /// Whether no report has come for a pool since a moment.
    pub fn is_quiet(&self, pool: &str, since: Moment) -> bool {
        let last = self.pools.get(pool).and_then(|it| it.last_report);
        last.is_none_or(|it| it < since)
    }

    /// Whether all that was reported is decided on and kept.
    pub fn is_settled(&self) -> bool {
        self.pools.values().all(|it| it.inquiry.is_none() && !it.is_changed)
    }

    /// Takes over the open crashes of a pool that were kept; returns how many are new here. What this
    /// instance knows of a crash itself is more.
    pub fn restore(
        &mut self,
        now: Moment,
        pool: &PoolId,
        open: &OpenCrashes,
        load: PoolLoad,
        standing: impl Fn(CrashCandidate) -> Standing,
    ) -> usize {
        let record = self.pools.get_or_insert_with(pool.clone(), PoolRecord::default);
        let n_before = record.crashes.len();
        for OpenCrash { crashed, n_calls, exposures } in &open.crashes {
            let Crashed { endpoint, started, age } = crashed;
            let is_same = |it: &Crash| it.endpoint == *endpoint && it.started == *started;
            if MEMORY <= *age || record.crashes.iter().any(is_same) {
                continue;
            }
            record.crashes.push(Crash {
                endpoint: endpoint.clone(),
                started: *started,
                at: now.saturating_sub(*age),
                exposures: exposures.clone(),
                n_calls: *n_calls,
            });
        }
        let n_restored = record.crashes.len() - n_before;
        for (candidate, age) in &open.sound {
            let at = now.saturating_sub(*age);
            let last = record.sound.get_or_insert_with(*candidate, || at);
            *last = at.max(*last);
        }
        record.sort();
        // At its start an instance does not know yet which ones collect; the next report tells.
        if 0 < n_restored && record.last_report.is_some() {
            record.open_inquiry(now, load, &standing);
        }
        n_restored
    }
}

impl PoolRecord {
    /// Whether this instance is the one that keeps the open crashes, as far as the last report tells.
    pub(super) fn is_keeper(&self) -> bool {
        self.last_report.is_some() && self.rank == 0
    }

    /// Whether the open crashes have changed, and all instances were asked about them.
    pub(super) fn is_to_keep(&self) -> bool {
        self.is_changed && self.inquiry.is_none()
    }

    /// Returns the candidates that several open crashes have, the likeliest first.
    pub(super) fn suspects(
        &self,
        standing: &impl Fn(CrashCandidate) -> Standing,
    ) -> Vec<CrashCandidate> {
        let open: Vec<&Crash> =
            self.crashes.iter().filter(|it| !it.is_explained(standing)).collect();
        let evidence = self.evidence(&open);
        let is_suspect = |(candidate, it): &(&CrashCandidate, &Evidence)| {
            let was_sound = self.sound.contains_key(*candidate);
            let n = if was_sound { it.n_incidents() } else { it.n_crashes() };
            MIN_CRASHES <= n && !self.is_common(**candidate)
        };
        let suspects = evidence.iter().filter(is_suspect).map(|it| (*it.0, it.1));
        let mut suspects: Vec<(CrashCandidate, &Evidence)> = suspects.collect();
        self.sort_candidates(&mut suspects);
        suspects.into_iter().take(MAX_SUSPECTS).map(|it| it.0).collect()
    }

    fn open(&self, now: Moment, standing: &impl Fn(CrashCandidate) -> Standing) -> OpenCrashes {
        let suspects = self.suspects(standing);
        let is_open = |it: &&Crash| {
            now < it.at + MEMORY
                && !it.is_explained(standing)
                && suspects.iter().any(|suspect| it.has(*suspect))
        };
        let crashes = self.crashes.iter().rev().filter(is_open).take(MAX_KEPT);
        let open = crashes.map(|it| OpenCrash {
            crashed: Crashed {
                endpoint: it.endpoint.clone(),
                started: it.started,
                age: now.saturating_sub(it.at),
            },
            n_calls: it.n_calls(),
            exposures: suspects.iter().flat_map(|suspect| exposures(it, *suspect)).collect(),
        });
        let sound =
            suspects.iter().filter_map(|it| Some((*it, now.saturating_sub(*self.sound.get(it)?))));
        OpenCrashes { crashes: open.collect(), sound: sound.collect() }
    }
}

/// Returns the first exposures of a candidate in a crash.
fn exposures(crash: &Crash, candidate: CrashCandidate) -> impl Iterator<Item = Exposure> {
    let own = crash.exposures.iter().filter(move |it| it.candidate == candidate);
    own.take(MAX_REQUESTS).copied()
}
