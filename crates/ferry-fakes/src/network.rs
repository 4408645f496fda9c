//! Delays and partitions between zones.

use std::time::Duration;

use ferry_model::ZoneId;

#[derive(Debug, Clone)]
pub struct Network {
    /// One-way delay inside a zone.
    pub same_zone: Duration,
    /// One-way delay between zones.
    pub cross_zone: Duration,
    /// Pairs of zones between which every message is lost.
    pub partitions: Vec<(ZoneId, ZoneId)>,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            same_zone: Duration::from_micros(200),
            cross_zone: Duration::from_micros(1_500),
            partitions: Vec::new(),
        }
    }
}

impl Network {
    pub fn delay(&self, from: &str, to: &str) -> Duration {
        if from == to { self.same_zone } else { self.cross_zone }
    }

    pub fn is_partitioned(&self, from: &str, to: &str) -> bool {
        self.partitions
            .iter()
            .any(|(left, right)| (left == from && right == to) || (left == to && right == from))
    }
}
