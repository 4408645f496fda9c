//! Faults of the platform, set by tests, and what it counted.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Every fault at once; the default is a healthy platform.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Added to every answer.
    pub slow_ms: u64,
    /// Every call is refused with status 503 and without an effect.
    pub outage: bool,
    /// Further writes whose connection breaks after the effect.
    pub lost_answers: u32,
    /// Further writes that take effect and are never answered.
    pub hung_answers: u32,
    /// Further changes that no watch shows.
    pub watch_gap: u64,
    /// Open watches stay silent.
    pub silent_watches: bool,
    /// Lists, and the instance list, show the state of when this was set.
    pub stale_lists: bool,
    /// The instance list shows what was true this long ago.
    pub fleet_lag_ms: u64,
    /// Reads a second; further ones get status 429. Zero means no limit.
    pub read_rate: u32,
    /// Writes a second; further ones get status 429. Zero means no limit.
    pub write_rate: u32,
    /// Changes that watches can go back by; zero means the default.
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
    /// Calls refused by a rate or an outage.
    pub refused: u64,
}

/// A token bucket of one second.
#[derive(Debug, Clone)]
pub struct Bucket {
    calls: f64,
    filled: Instant,
}

impl Bucket {
    pub fn new() -> Bucket {
        Bucket { calls: f64::INFINITY, filled: Instant::now() }
    }

    /// Takes one call at a rate of calls a second; zero allows all.
    pub fn take(&mut self, rate: u32) -> bool {
        if rate == 0 {
            return true;
        }
        let now = Instant::now();
        let since: Duration = now.saturating_duration_since(self.filled);
        self.filled = now;
        let rate = f64::from(rate);
        self.calls = (self.calls + since.as_secs_f64() * rate).min(rate);
        if self.calls < 1.0 {
            return false;
        }
        self.calls -= 1.0;
        true
    }
}

impl Default for Bucket {
    fn default() -> Self {
        Bucket::new()
    }
}
