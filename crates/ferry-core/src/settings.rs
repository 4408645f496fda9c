//! Limits and intervals of the decisions, read from the settings file by the process.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::PlaceTuning;

/// Every figure the reducer uses that an operator may set; docs/SETTINGS.md lists them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tuning {
    /// Shortest time between polls of the configuration object.
    pub config_poll: Duration,
    /// Longest time between them, reached as the fleet grows.
    pub config_poll_max: Duration,
    /// Wait before a failed read or watch of the object API is tried again.
    pub store_retry: Duration,
    /// Time between heartbeats.
    pub beat_interval: Duration,
    /// Most peers that an instance sends its heartbeats to.
    pub beat_fanout: usize,
    /// Silence after which a peer is suspected.
    pub suspect_after: Duration,
    /// Wait for the object API before a change is asked of a peer.
    pub pull_grace: Duration,
    /// Time until an operator is told that a write could not be settled.
    pub admin_deadline: Duration,
    /// Most peers asked for their revision in a second while an operator looks at the status.
    pub status_asks: u32,
    /// How long callers may keep an answer about which addresses to use.
    pub answer_life: Duration,
    /// How long a leaving instance serves beyond that, for peers that had not heard of it.
    pub leave_margin: Duration,
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
            config_poll: Duration::from_secs(2),
            config_poll_max: Duration::from_secs(15),
            store_retry: Duration::from_secs(1),
            beat_interval: Duration::from_secs(1),
            beat_fanout: 8,
            suspect_after: Duration::from_secs(5),
            pull_grace: Duration::from_millis(150),
            admin_deadline: Duration::from_secs(10),
            status_asks: 24,
            answer_life: Duration::from_secs(10),
            leave_margin: Duration::from_secs(3),
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
