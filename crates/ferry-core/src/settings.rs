//! Limits and intervals of the decisions, read from the settings file by the process.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::PlaceTuning;

/// Every figure the reducer uses that an operator may set; docs/SETTINGS.md lists them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tuning {
    /// Time between polls of the configuration object.
    pub config_poll: Duration,
    /// Most requests in flight on this instance.
    pub max_requests: usize,
    /// Most calls for one stage of one request.
    pub max_attempts: u32,
    /// Candidates sampled for one routing decision.
    pub sample: usize,
    /// What callers are told to wait after a refusal.
    pub retry_after: Duration,
    /// Shortest deadline a caller may ask for.
    pub min_deadline: Duration,
    /// Longest deadline a caller may ask for.
    pub max_deadline: Duration,
    pub place: PlaceTuning,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            config_poll: Duration::from_secs(1),
            max_requests: 4096,
            max_attempts: 3,
            sample: 4,
            retry_after: Duration::from_secs(1),
            min_deadline: Duration::from_millis(10),
            max_deadline: Duration::from_secs(120),
            place: PlaceTuning::default(),
        }
    }
}
