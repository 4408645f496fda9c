//! How many of the requests for a pool have each prompt part.

use std::time::Duration;

use ferry_model::{Moment, SortedMap};

use crate::{PartId, PromptPart};

/// Time after which requests count half.
const HALF_LIFE: Duration = Duration::from_secs(30);
const MAX_PARTS: usize = 4_096;
/// Requests from which on it is known what is common.
const MIN_REQUESTS: u32 = 20;
/// Fraction of the requests from which on a part cannot be told from the pool itself.
const COMMON_FRACTION: f64 = 0.9;

/// Counts of the requests that reached this instance lately, refused ones too.
#[derive(Debug, Clone, Default)]
pub struct Arrivals {
    n_requests: u32,
    by_part: SortedMap<PartId, u32>,
    next_halving: Moment,
}

impl Arrivals {
    pub fn record(&mut self, now: Moment, prompt: &[PromptPart]) {
        let Some((_, shared)) = prompt.split_last() else { return };
        if self.next_halving <= now {
            self.next_halving = now + HALF_LIFE;
            self.n_requests /= 2;
            self.by_part.iter_mut().for_each(|it| *it.1 /= 2);
            self.by_part.retain(|_, n| 0 < *n);
        }
        self.n_requests += 1;
        for part in shared {
            if self.by_part.len() < MAX_PARTS || self.by_part.contains_key(&part.id) {
                *self.by_part.get_or_insert_with(part.id, || 0) += 1;
            }
        }
    }

    /// Returns the fraction of the requests that have a part, as if there had been one more with it.
    pub fn fraction(&self, part: PartId) -> f64 {
        let n = self.by_part.get(&part).copied().unwrap_or_default() + 1;
        f64::from(n) / f64::from(self.n_requests + 1)
    }

    /// Whether nearly all requests have a part, so that its quarantine would close the pool.
    pub fn is_common(&self, part: PartId) -> bool {
        MIN_REQUESTS <= self.n_requests && COMMON_FRACTION <= self.fraction(part)
    }
}
