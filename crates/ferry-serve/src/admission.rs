//! Decides which requests with stages are admitted, by the capacity of the endpoints of their
//! stages.
//!
//! Without it, a burst above that capacity would start every request: the first stages would work
//! for requests that the last stage cannot serve, and all of them would end late. One instance, on
//! which all agree, tracks the admitted work; docs/design/platform.md compares the alternatives.

mod capacity;
mod controller;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use ferry_model::{PoolId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::{CallerAttempt, ScheduleRequest};

pub use capacity::Capacity;
pub use controller::{AdmissionController, Evaluation};

/// Number of request classes. Lower classes are served first; the last one holds late requests.
pub const N_CLASSES: usize = 9;
/// Class of requests that cannot meet their objective; they get the capacity that others leave.
pub const LATE_CLASS: u8 = N_CLASSES as u8 - 1;
/// One in this many requests goes first regardless of its class, so that none is starved.
const PROMOTED_ONE_IN: u64 = 8;
/// Bounds of the factor by which the value of a request scales its longest wait.
const MIN_VALUE: f64 = 0.4;
const MAX_VALUE: f64 = 2.0;
/// Live instances per admission shard.
const INSTANCES_PER_SHARD: usize = 128;

/// What a request needs from the endpoints of its stages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    pub attempt: CallerAttempt,
    pub shard: Shard,
    pub class: u8,
    /// Whether an earlier attempt of the caller was refused or failed.
    pub is_retry: bool,
    /// Value relative to the work, 1.0 for the average request of its route.
    pub value: f64,
    /// Number of items by pool; one for a pool whose endpoints all limit their requests.
    pub items: Vec<(PoolId, u32)>,
    /// The engine that it will need; none if it does not go to an engine.
    pub engine: Option<ScheduleRequest>,
    /// Longest wait for its stages with which the request still meets its objective.
    pub slack: Duration,
    /// Longest such wait with which the request still meets its deadline.
    pub time_left: Duration,
}

/// The answer to an admission request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdmissionAnswer {
    pub decision: AdmissionDecision,
    /// Time after which the endpoints of a pool that limits its requests take it.
    pub retry_after: Option<Duration>,
    /// Availability zone of the engine that the request is likely to go to; none if that is not
    /// known.
    pub zone: Option<ZoneId>,
}

/// Result of an admission request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionDecision {
    #[serde(rename = "Begin")]
    Admit,
    /// Admits it in the last class, as it will be late.
    #[serde(rename = "BeginLate")]
    AdmitLate,
    Refuse,
}

/// One of several shards into which names are divided by a hash: attempts, so that each shard has
/// one admission controller, or endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard {
    pub index: u16,
    pub count: u16,
}

impl Shard {
    pub const WHOLE: Shard = Shard { index: 0, count: 1 };

    /// Returns the shard of an attempt among `n_instances` live instances.
    pub fn for_attempt(attempt: &str, n_instances: usize) -> Shard {
        Shard::for_name(attempt, Shard::count_for(n_instances))
    }

    pub fn for_name(name: &str, count: u16) -> Shard {
        let index = (stable_hash(name, 1) % u64::from(count.max(1))) as u16;
        Shard { index, count }
    }

    /// Whether a name belongs to the shard.
    pub fn contains(self, name: &str) -> bool {
        self.count <= 1 || Shard::for_name(name, self.count) == self
    }

    /// Returns all shards for `n_instances` live instances.
    pub fn all(n_instances: usize) -> impl Iterator<Item = Shard> {
        let count = Shard::count_for(n_instances);
        (0..count).map(move |index| Shard { index, count })
    }

    fn count_for(n_instances: usize) -> u16 {
        n_instances.div_ceil(INSTANCES_PER_SHARD).clamp(1, usize::from(u16::MAX)) as u16
    }
}

/// Returns the class and the value of a request that can be in time, from its rank among `n_ranks`.
pub fn classify(attempt: &str, rank: usize, n_ranks: usize, value: f64) -> (u8, f64) {
    let n_classes = usize::from(LATE_CLASS);
    let is_promoted = stable_hash(attempt, 2).is_multiple_of(PROMOTED_ONE_IN);
    match (is_promoted, n_ranks <= n_classes) {
        (true, _) => (0, MAX_VALUE),
        (false, true) => (rank as u8, value),
        (false, false) => ((rank * n_classes / n_ranks) as u8, value),
    }
}

/// Returns a hash of a name that is the same on every instance.
fn stable_hash(attempt: &str, purpose: u8) -> u64 {
    let mut hasher = DefaultHasher::new();
    (purpose, attempt).hash(&mut hasher);
    hasher.finish()
}
