//! Decides which requests with stages are begun, by what the endpoints of their stages can do.
//!
//! Answers the load of a burst above what the endpoints of a stage can do. Were every request begun,
//! the first stages would work for requests that the last one cannot serve, and all would end late.
//! One instance, the same for all, keeps account of what has been begun; docs/design/platform.md
//! weighs the ways.

mod capacity;
mod controller;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use ferry_model::PoolId;
use serde::{Deserialize, Serialize};

use crate::CallerAttempt;

pub use capacity::Capacity;
pub use controller::{AdmissionController, Evaluation};

/// Classes of requests; a lower one is begun first, and the last one is for those that are late.
pub const N_CLASSES: usize = 9;
/// Class of requests that can only be late: they take what the others leave.
pub const LATE_CLASS: u8 = N_CLASSES as u8 - 1;
/// One of this many requests goes before all others whatever it is, so that none is starved.
const PROMOTED_ONE_IN: u64 = 8;
/// Bounds of the factor by which a request that is worth less or more may wait.
const MIN_VALUE: f64 = 0.4;
const MAX_VALUE: f64 = 2.0;
/// Live instances for each of those that keep account.
const INSTANCES_PER_SHARD: usize = 128;

/// What a request needs of the endpoints of its stages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    pub attempt: CallerAttempt,
    pub shard: Shard,
    pub class: u8,
    /// Whether the caller has come back after an earlier attempt.
    pub is_retry: bool,
    /// Worth for the work, one for the usual request of its route.
    pub value: f64,
    /// Items by pool.
    pub items: Vec<(PoolId, u32)>,
    /// Longest wait for its stages with which the request is still in time.
    pub slack: Duration,
    /// Longest such wait with which it is served at all.
    pub time_left: Duration,
}

/// What becomes of a request that asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Begin,
    /// Begins as one of the last class: it will be late.
    BeginLate,
    Refuse,
}

/// One of several parts into which names are divided by a hash: of requests, so that one account is
/// about each, or of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard {
    pub index: u16,
    pub count: u16,
}

impl Shard {
    pub const WHOLE: Shard = Shard { index: 0, count: 1 };

    /// Returns the part of an attempt, where `n_instances` live.
    pub fn for_attempt(attempt: &str, n_instances: usize) -> Shard {
        Shard::for_name(attempt, Shard::count_for(n_instances))
    }

    pub fn for_name(name: &str, count: u16) -> Shard {
        let index = (stable_hash(name, 1) % u64::from(count.max(1))) as u16;
        Shard { index, count }
    }

    /// Whether a name belongs to the part.
    pub fn contains(self, name: &str) -> bool {
        Shard::for_name(name, self.count) == self
    }

    /// Returns all parts, where `n_instances` live.
    pub fn all(n_instances: usize) -> impl Iterator<Item = Shard> {
        let count = Shard::count_for(n_instances);
        (0..count).map(move |index| Shard { index, count })
    }

    fn count_for(n_instances: usize) -> u16 {
        n_instances.div_ceil(INSTANCES_PER_SHARD).clamp(1, usize::from(u16::MAX)) as u16
    }
}

/// Returns the class and the worth of a request that can be in time, from its rank among `n_ranks`.
pub fn classify(attempt: &str, rank: usize, n_ranks: usize, value: f64) -> (u8, f64) {
    let n_classes = usize::from(LATE_CLASS);
    let is_promoted = stable_hash(attempt, 2).is_multiple_of(PROMOTED_ONE_IN);
    match (is_promoted, n_ranks <= n_classes) {
        (true, _) => (0, MAX_VALUE),
        (false, true) => (rank as u8, value),
        (false, false) => ((rank * n_classes / n_ranks) as u8, value),
    }
}

/// Draws a number for an attempt that every instance draws too.
fn stable_hash(attempt: &str, purpose: u8) -> u64 {
    let mut hasher = DefaultHasher::new();
    (purpose, attempt).hash(&mut hasher);
    hasher.finish()
}
