//! Observations of recently used endpoints, which instances share with each other.
//!
//! With many instances and few endpoints, an instance calls each endpoint so rarely that its own
//! view is seconds old.

use std::time::Duration;

use ferry_model::{EndpointId, Moment};
use serde::{Deserialize, Serialize};

use super::{Endpoints, LoadReport};
use crate::Tuning;

/// Observations per heartbeat.
const MAX_OBSERVATIONS: usize = 12;
/// Weight of a peer's observation in averages.
const PEER_WEIGHT: f64 = 0.2;

/// Result of one call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    pub endpoint: EndpointId,
    pub load: Option<LoadReport>,
    /// Observed time divided by the expected one; none if the call got no answer.
    pub ratio: Option<f64>,
}

/// Recent observations of this instance, to be sent to peers.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    entries: Vec<(Moment, Observation)>,
}

impl Observations {
    /// Records the result of a call and replaces an earlier one of the same endpoint.
    pub fn record(&mut self, now: Moment, observation: Observation) {
        self.entries.retain(|(_, it)| it.endpoint != observation.endpoint);
        self.entries.push((now, observation));
    }

    /// Returns the observations to send, newest first: those of the last `round_time`, in which
    /// each peer gets one heartbeat.
    pub fn recent(&mut self, now: Moment, round_time: Duration) -> Vec<Observation> {
        self.entries.retain(|(at, _)| now <= *at + round_time);
        self.entries.iter().rev().take(MAX_OBSERVATIONS).map(|(_, it)| it.clone()).collect()
    }
}

impl Endpoints {
    /// Applies an observation of a peer.
    pub fn observe(&mut self, now: Moment, tuning: &Tuning, observation: &Observation) {
        let Some(view) = self.get_mut(&observation.endpoint) else { return };
        view.record_load(now, observation.load);
        match observation.ratio {
            Some(ratio) => view.slowdown += PEER_WEIGHT * (ratio - view.slowdown),
            // Pauses once per failure, however many peers report it.
            None => view.pause_until(now + tuning.base_ejection),
        }
    }
}
