//! Estimates how long ago a caller sent the first attempt of a request.
//!
//! Only the time that the caller still waits is known. Callers allow different times for a first
//! attempt, but those of retries are apart from them, as a retry follows a pause or a failure.

use std::time::Duration;

/// Number of equal parts of the route's time limit in which requests are counted.
const N_BUCKETS: usize = 100;
/// Number of empty buckets between first attempts and retries.
const GAP: usize = 7;
/// A bucket with this fraction of the fullest one's requests counts as empty.
const SPARSE_FRACTION: f64 = 0.05;
/// Fraction of all requests that first attempts are at least.
const MIN_SHARE: f64 = 0.01;
/// Number of requests from which the first attempts are told apart.
const MIN_SAMPLES: u32 = 8;
/// Fraction of the time limit below which a request is a retry until then.
const UNKNOWN_FRACTION: f64 = 0.5;
/// Difference that is never taken for the time of an attempt.
const TOLERANCE: Duration = Duration::from_millis(50);

/// Counts of a route's requests by the fraction of its time limit that they have left.
#[derive(Debug, Clone)]
pub struct TimesLeft {
    limit: Duration,
    counts: [u32; N_BUCKETS],
    total: u32,
}

/// Fractions of the time limit that first attempts have left.
#[derive(Debug, Clone, Copy)]
struct FirstAttempts {
    lowest: f64,
    mean: f64,
}

impl Default for TimesLeft {
    fn default() -> Self {
        TimesLeft { limit: Duration::ZERO, counts: [0; N_BUCKETS], total: 0 }
    }
}

impl TimesLeft {
    /// Records a request, and returns the time since the caller's first attempt; zero if this is
    /// the first.
    pub fn record(&mut self, time_left: Duration, limit: Duration) -> Duration {
        if self.limit != limit {
            *self = TimesLeft { limit, ..TimesLeft::default() };
        }
        let fraction = (time_left.as_secs_f64() / limit.as_secs_f64().max(1e-3)).min(1.0);
        self.counts[bucket(fraction)] += 1;
        self.total += 1;
        let first = self.first_attempts();
        let lowest = limit.mul_f64(first.lowest);
        match time_left + TOLERANCE < lowest {
            true => limit.mul_f64(first.mean).saturating_sub(time_left),
            false => Duration::ZERO,
        }
    }

    /// Returns the requests with the most time left, down to the first gap.
    fn first_attempts(&self) -> FirstAttempts {
        if self.total < MIN_SAMPLES {
            return FirstAttempts { lowest: UNKNOWN_FRACTION, mean: 1.0 };
        }
        let (mut count, mut sum, mut peak, mut lowest) = (0, 0.0, 0, N_BUCKETS);
        let mut n_empty = 0;
        for idx in (0..N_BUCKETS).rev() {
            let here = self.counts[idx];
            let is_empty = f64::from(here) <= f64::from(peak) * SPARSE_FRACTION;
            n_empty = if is_empty { n_empty + 1 } else { 0 };
            if !is_empty {
                lowest = idx;
                peak = peak.max(here);
                count += here;
                sum += f64::from(here) * (idx as f64 + 0.5) / N_BUCKETS as f64;
            }
            let is_enough = f64::from(self.total) * MIN_SHARE <= f64::from(count);
            if n_empty == GAP && is_enough {
                break;
            }
        }
        let mean = sum / f64::from(count.max(1));
        FirstAttempts { lowest: lowest as f64 / N_BUCKETS as f64, mean }
    }
}

fn bucket(fraction: f64) -> usize {
    ((fraction * N_BUCKETS as f64).ceil() as usize).clamp(1, N_BUCKETS) - 1
}
