//! Token buckets that limit retries and hedges to a share of the first calls.

use serde::{Deserialize, Serialize};

/// Capacity of the bucket: retries or hedges that are allowed before the share limits them.
const BURST: f64 = 10.0;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget::new()
    }
}

impl Budget {
    pub fn new() -> Budget {
        Budget { tokens: BURST }
    }

    /// Adds `share` of a retry or hedge for a first call.
    pub fn earn(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(BURST);
    }

    /// Uses one retry or hedge; returns whether the budget had one left.
    pub fn spend(&mut self) -> bool {
        let may = 1.0 <= self.tokens;
        if may {
            self.tokens -= 1.0;
        }
        may
    }
}
