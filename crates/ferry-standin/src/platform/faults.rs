//! Faults of the platform that tests set, and counts of the calls that it served.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// All faults of the platform; by default none is set.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Delay of every answer, in milliseconds.
    pub slow_ms: u64,
    /// Every call is refused with status 503 and without an effect.
    pub outage: bool,
    /// Number of further writes whose connection breaks after they took effect.
    pub lost_answers: u32,
    /// Number of further writes that take effect and are never answered.
    pub hung_answers: u32,
    /// Number of further changes that watches skip.
    pub watch_gap: u64,
    /// Watches report nothing.
    pub silent_watches: bool,
    /// Lists and the instance list show the state from when this was set.
    pub stale_lists: bool,
    /// Lag of the instance list, in milliseconds.
    pub fleet_lag_ms: u64,
    /// Limit of reads a second; further ones get status 429. Zero means no limit.
    pub read_rate: u32,
    /// Limit of writes a second; further ones get status 429. Zero means no limit.
    pub write_rate: u32,
    /// Number of past changes that a watch can start from; zero means the default.
    pub history: usize,
}

/// Calls served since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CallCounts {
    pub gets: u64,
    pub lists: u64,
    pub watches: u64,
    pub puts: u64,
    pub deletes: u64,
    pub fleet_lists: u64,
    /// Puts and deletes that took effect.
    pub effects: u64,
    /// Calls refused for a rate limit or an outage.
    pub refused: u64,
}

/// A token bucket that holds the calls of up to one second.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    calls: f64,
    refilled: Instant,
}

impl TokenBucket {
    pub fn new() -> TokenBucket {
        TokenBucket { calls: f64::INFINITY, refilled: Instant::now() }
    }

    /// Takes one call if a rate in calls a second allows it; a rate of zero allows every call.
    pub fn take(&mut self, rate: u32) -> bool {
        if rate == 0 {
            return true;
        }
        let now = Instant::now();
        let elapsed: Duration = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        let rate = f64::from(rate);
        self.calls = (self.calls + elapsed.as_secs_f64() * rate).min(rate);
        if self.calls < 1.0 {
            return false;
        }
        self.calls -= 1.0;
        true
    }
}

impl Default for TokenBucket {
    fn default() -> Self {
        TokenBucket::new()
    }
}
