//! Delays and cuts between zones.

use std::time::Duration;

use ferry_model::ZoneId;

#[derive(Debug, Clone)]
pub struct Network {
    /// One-way delay inside a zone.
    pub near: Duration,
    /// One-way delay between zones.
    pub far: Duration,
    /// Pairs of zones that lose every message between them.
    pub cuts: Vec<(ZoneId, ZoneId)>,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            near: Duration::from_micros(200),
            far: Duration::from_micros(1_500),
            cuts: Vec::new(),
        }
    }
}

impl Network {
    pub fn delay(&self, from: &str, to: &str) -> Duration {
        if from == to { self.near } else { self.far }
    }

    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cuts
            .iter()
            .any(|(left, right)| (left == from && right == to) || (left == to && right == from))
    }
}
