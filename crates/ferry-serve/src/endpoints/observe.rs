//! What instances tell each other of endpoints that they have just used.
//!
//! Answers the load of many instances before few endpoints: each of them calls an endpoint so
//! rarely that its own view is seconds old.

use std::time::Duration;

use ferry_model::{EndpointId, Moment};
use serde::{Deserialize, Serialize};

use super::{Endpoints, LoadReport};
use crate::Tuning;

/// Observations that one heartbeat carries.
const MAX_OBSERVATIONS: usize = 12;
/// Weight of a peer's observation in averages.
const PEER_WEIGHT: f64 = 0.2;

/// How one call went.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    pub endpoint: EndpointId,
    pub load: Option<LoadReport>,
    /// Observed time over the expected one; none if the call got no answer.
    pub ratio: Option<f64>,
}

/// Observations of this instance that peers are still told of.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    entries: Vec<(Moment, Observation)>,
}

impl Observations {
    /// Notes how a call went, in place of an earlier one of the same endpoint.
    pub fn record(&mut self, now: Moment, observation: Observation) {
        self.entries.retain(|(_, it)| it.endpoint != observation.endpoint);
        self.entries.push((now, observation));
    }

    /// Returns what to tell, the newest first: what came in the last `round`, in which each peer
    /// gets one heartbeat.
    pub fn recent(&mut self, now: Moment, round_time: Duration) -> Vec<Observation> {
        self.entries.retain(|(at, _)| now <= *at + round_time);
        self.entries.iter().rev().take(MAX_OBSERVATIONS).map(|(_, it)| it.clone()).collect()
    }
}

impl Endpoints {
    /// Takes what a peer observed.
    pub fn observe(&mut self, now: Moment, tuning: &Tuning, observation: &Observation) {
        let Some(view) = self.get_mut(&observation.endpoint) else { return };
        view.record_load(now, observation.load);
        match observation.ratio {
            Some(ratio) => view.slowdown += PEER_WEIGHT * (ratio - view.slowdown),
            // One pause for each failure, however many peers tell of it.
            None => view.pause_until(now + tuning.base_ejection),
        }
    }
}
