//! Token buckets that keep retries and hedges to a share of the first calls.

use serde::{Deserialize, Serialize};

/// Calls that may be repeated before the share counts.
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

    /// Counts a first call, which earns `share` of another one.
    pub fn earn(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(BURST);
    }

    /// Takes one call out of the budget if it holds one.
    pub fn spend(&mut self) -> bool {
        let may = 1.0 <= self.tokens;
        if may {
            self.tokens -= 1.0;
        }
        may
    }
}
