//! Quantiles of a duration, estimated with logarithmic buckets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Binary logarithm of the number of buckets per power of two. With eight buckets, each is at most
/// an eighth of its lower bound wide.
const SUB_BUCKET_BITS: u32 = 3;
/// Number of samples at which all counts are halved, so that old samples lose weight.
const MAX_SAMPLES: u32 = 512;

/// A histogram of microseconds with logarithmic buckets.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Histogram {
    counts: Vec<u16>,
    total: u32,
}

impl Histogram {
    pub fn new() -> Histogram {
        Histogram::default()
    }

    pub fn record(&mut self, value: Duration) {
        let idx = bucket_of(value);
        if self.counts.len() <= idx {
            self.counts.resize(idx + 1, 0);
        }
        self.counts[idx] += 1;
        self.total += 1;
        if MAX_SAMPLES <= self.total {
            self.halve();
        }
    }

    /// Returns an upper bound of the quantile, or `None` with fewer than eight samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total < 8 {
            return None;
        }
        let rank = (f64::from(self.total) * quantile).ceil() as u32;
        let mut seen = 0;
        let idx = self.counts.iter().position(|count| {
            seen += u32::from(*count);
            rank <= seen
        })?;
        Some(Duration::from_micros(upper_bound(idx)))
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().map(|it| u32::from(*it)).sum();
    }
}

fn bucket_of(value: Duration) -> usize {
    let micros = u64::try_from(value.as_micros()).unwrap_or(u64::MAX) | 1 << SUB_BUCKET_BITS;
    let exponent = micros.ilog2() - SUB_BUCKET_BITS;
    let sub_bucket = (micros >> exponent) as usize - (1 << SUB_BUCKET_BITS);
    ((exponent as usize) << SUB_BUCKET_BITS) + sub_bucket
}

fn upper_bound(idx: usize) -> u64 {
    let exponent = idx >> SUB_BUCKET_BITS;
    let sub_bucket = (idx & ((1 << SUB_BUCKET_BITS) - 1)) as u64 + (1 << SUB_BUCKET_BITS);
    (sub_bucket + 1) << exponent
}
