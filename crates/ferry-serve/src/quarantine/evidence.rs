//! What speaks for the attribution of crashes to one candidate, and whether it is enough.

use std::time::Duration;

use super::{CrashCandidate, Exposure};

/// Incidents in a row, without a sound answer between them, that are enough for a request as a whole.
const MIN_FOR_REQUEST: usize = 3;
/// The same for a part: many sound requests may share one, so that a wrong attribution costs more.
const MIN_FOR_PART: usize = 5;
/// Requests that must have had a part; one request by itself is a candidate of its own.
const MIN_REQUESTS: usize = 3;
/// Highest probability that endpoints which fail for other reasons hit a candidate so often.
const MAX_CHANCE: f64 = 1e-5;
/// The same for a request that was never sound, which alone suffers if that is wrong.
const MAX_CHANCE_UNSOUND: f64 = 1e-2;

/// Shortest time that a run counts with: breaks are seen some time after a crash.
const MIN_RUN_TIME: Duration = Duration::from_millis(20);

/// What a candidate may count on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    Quarantined,
    /// It was in quarantine until no request came for long.
    Expired,
    Free,
}

/// What a pool serves at present.
#[derive(Debug, Clone, Copy)]
pub struct PoolLoad {
    /// Sound answers per second, over all instances, as far as known.
    pub sound_rate: f64,
    pub n_endpoints: usize,
}

/// The calls of a pool since its first crash that counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolCalls {
    /// Calls that crashes have broken off.
    pub n_broken: usize,
    /// Sound answers, over all instances, as far as known.
    pub n_sound: f64,
    /// Crashes per second of one endpoint that the candidate does not explain.
    pub crash_rate: f64,
}

/// The crashes of a pool that one candidate may explain, since its last sound answer.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    incidents: Count,
    crashes: Count,
    /// Calls that these crashes have broken off.
    n_broken: usize,
    /// The longest run of the candidate that each incident ended; none if one is not known.
    run_times: Vec<Option<Duration>>,
    /// Short hashes of the requests that had it.
    requests: Vec<u32>,
    /// Its last place in a prompt.
    pub place: u8,
}

/// Counts what comes in the order of its numbers, each once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Count {
    n: usize,
    last: Option<usize>,
}

impl Count {
    fn add(&mut self, number: usize) {
        if self.last != Some(number) {
            (self.n, self.last) = (self.n + 1, Some(number));
        }
    }
}

impl Evidence {
    /// Adds a crash that has broken off `n_broken` calls.
    pub fn add(&mut self, crash: usize, incident: usize, n_broken: usize, exposure: &Exposure) {
        if self.crashes.last != Some(crash) {
            self.n_broken += n_broken;
        }
        self.crashes.add(crash);
        match self.run_times.last_mut().filter(|_| self.incidents.last == Some(incident)) {
            Some(longest) => {
                *longest = longest.zip(exposure.run_time).map(|(a, b)| a.max(b));
            }
            None => self.run_times.push(exposure.run_time),
        }
        self.incidents.add(incident);
        if self.requests.len() < MIN_REQUESTS && !self.requests.contains(&exposure.request) {
            self.requests.push(exposure.request);
        }
        self.place = self.place.max(exposure.place);
    }

    pub fn n_incidents(&self) -> usize {
        self.incidents.n
    }

    pub fn n_crashes(&self) -> usize {
        self.crashes.n
    }

    /// Whether a candidate comes into question; `was_sound` says whether any instance knows of a sound
    /// answer to it.
    pub fn is_enough(
        &self,
        candidate: CrashCandidate,
        standing: Standing,
        was_sound: bool,
    ) -> bool {
        // Kills at once hit several runs of what many requests have, but that has been sound.
        let n = if was_sound { self.incidents.n } else { self.crashes.n };
        match (standing, candidate) {
            (Standing::Quarantined, _) => false,
            (Standing::Expired, _) => true,
            (Standing::Free, CrashCandidate::Request(_)) => MIN_FOR_REQUEST <= n,
            (Standing::Free, CrashCandidate::Part(_)) => {
                MIN_FOR_PART <= n && MIN_REQUESTS <= self.requests.len()
            }
        }
    }

    /// Whether other failures hardly hit a candidate so often by chance.
    pub fn is_unlikely_by_chance(
        &self,
        candidate: CrashCandidate,
        was_sound: bool,
        pool: PoolCalls,
    ) -> bool {
        let (n, max_chance) = match (was_sound, candidate) {
            (true, _) => (self.incidents.n, MAX_CHANCE),
            (false, CrashCandidate::Part(_)) => (self.crashes.n, MAX_CHANCE),
            (false, CrashCandidate::Request(_)) => (self.crashes.n, MAX_CHANCE_UNSOUND),
        };
        let is_part = matches!(candidate, CrashCandidate::Part(_));
        self.chance(pool).powi(n as i32) <= max_chance
            || (is_part && !was_sound && self.chance_of_run_times(pool) <= max_chance)
    }

    /// Returns the probability that other crashes end runs of the candidate as early as these, one by
    /// one.
    ///
    /// Other crashes come at any moment of a run, so that each is as likely to have come within a time
    /// as the endpoint is to crash in it. The product of such probabilities is compared with that of as
    /// many evenly distributed ones (Fisher's method).
    fn chance_of_run_times(&self, pool: PoolCalls) -> f64 {
        let mut log_sum = 0.0;
        for run_time in &self.run_times {
            let Some(run_time) = run_time else { return 1.0 };
            let hits = pool.crash_rate * run_time.max(&MIN_RUN_TIME).as_secs_f64();
            // The logarithm of no chance is infinite.
            log_sum -= (1.0 - (-hits).exp()).max(f64::MIN_POSITIVE).ln();
        }
        let (mut term, mut sum) = (1.0, 0.0);
        for idx in 0..self.run_times.len() {
            sum += term;
            term *= log_sum / (idx + 1) as f64;
        }
        (-log_sum).exp() * sum
    }

    /// Returns the fraction of the calls that are broken off by crashes which this candidate does not
    /// explain.
    fn chance(&self, pool: PoolCalls) -> f64 {
        let n_others = pool.n_broken.saturating_sub(self.n_broken) as f64;
        n_others / (pool.n_broken as f64 + pool.n_sound).max(1.0)
    }
}
