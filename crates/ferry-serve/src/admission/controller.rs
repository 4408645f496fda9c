//! Tracks the work that has been admitted and not yet done, by pool and class.

use std::time::Duration;

use ferry_model::{Moment, PoolId, SortedMap};

use super::{
    AdmissionDecision, AdmissionRequest, Capacity, LATE_CLASS, MAX_VALUE, MIN_VALUE, N_CLASSES,
    Shard,
};

/// Fraction of its slack for which a request may wait; the rest is for calls that take longer.
const WAIT_FRACTION: f64 = 0.6;
/// Wait that is always allowed, as calls end at different moments; half of a short call.
const MIN_WAIT: Duration = Duration::from_millis(50);
/// Longest wait with which a request is admitted: longer queues only make all requests later.
const MAX_WAIT: Duration = Duration::from_millis(600);
/// Fraction of its time left for which a late request may wait.
const LATE_FRACTION: f64 = 0.4;
/// The same for a late request that is a retry, as its caller may not try again.
const RETRY_FRACTION: f64 = 0.8;
/// Time over which the load of requests in time is averaged; bursts last a few seconds.
const LOAD_WINDOW: Duration = Duration::from_millis(1_500);
/// Time for which the capacity of a pool is cached; heartbeats that report it are less frequent.
const CAPACITY_TTL: Duration = Duration::from_millis(50);
/// Smallest fraction of the rate that is assumed to be left for late requests.
const MIN_SHARE: f64 = 0.02;

/// Models each pool as a queue that serves the admitted items at its rate, in order of classes.
#[derive(Debug, Clone, Default)]
pub struct AdmissionController {
    queues: SortedMap<(Shard, PoolId), PoolQueue>,
    /// Capacity of each pool, and when it was computed.
    capacities: SortedMap<(Shard, PoolId), (Moment, Capacity)>,
}

/// Result of an admission request, and the reason.
#[derive(Debug, Clone, PartialEq)]
pub struct Evaluation {
    pub decision: AdmissionDecision,
    /// Expected wait, and the longest one with which the request is admitted.
    pub wait: Duration,
    pub max_wait: Duration,
    /// Time in which that pool serves the requests that were admitted before.
    pub queue: Duration,
    /// The pool with the longest wait.
    pub bottleneck: Option<PoolId>,
    /// Rate of that pool, in items per second.
    pub rate: f64,
}

#[derive(Debug, Clone, Default)]
struct PoolQueue {
    items: [f64; N_CLASSES],
    /// Average rate of requests in time, in items per second.
    load: f64,
    at: Moment,
}

impl AdmissionController {
    /// Returns the cached capacity of a pool, if it is recent.
    pub fn capacity(&self, now: Moment, pool: &PoolId, shard: Shard) -> Option<Capacity> {
        let (at, capacity) = self.capacities.get(&(shard, pool.clone()))?;
        (now < *at + CAPACITY_TTL).then_some(*capacity)
    }

    pub fn note_capacity(&mut self, now: Moment, pool: &PoolId, shard: Shard, capacity: Capacity) {
        self.capacities.insert((shard, pool.clone()), (now, capacity));
    }

    /// Admits the request if its stages can be done by its objective, or else by its deadline.
    pub fn evaluate(
        &mut self,
        now: Moment,
        request: &AdmissionRequest,
        capacity: &[Capacity],
    ) -> Evaluation {
        let class = request.class.min(LATE_CLASS);
        let first = self.evaluate_as(now, request, class, capacity);
        match first.decision {
            AdmissionDecision::Refuse if class < LATE_CLASS => {
                self.evaluate_as(now, request, LATE_CLASS, capacity)
            }
            AdmissionDecision::Refuse | AdmissionDecision::Admit | AdmissionDecision::AdmitLate => {
                first
            }
        }
    }

    fn evaluate_as(
        &mut self,
        now: Moment,
        request: &AdmissionRequest,
        class: u8,
        capacity: &[Capacity],
    ) -> Evaluation {
        let mut bottleneck = (0.0, None, 0.0);
        let mut queue_time = 0.0;
        for ((pool, _), capacity) in request.items.iter().zip(capacity) {
            let queue =
                self.queues.get_or_insert_with((request.shard, pool.clone()), PoolQueue::default);
            queue.drain(now, capacity);
            if capacity.rate <= 0.0 {
                continue;
            }
            let own = queue.wait(class, capacity);
            if bottleneck.0 < own {
                bottleneck = (own, Some(pool.clone()), capacity.rate);
                queue_time = queue.ahead(usize::from(class), capacity) / capacity.rate;
            }
        }
        // A request waits at the pool with the longest queue; pools of later stages get no more
        // requests than that one lets through.
        let (wait, bottleneck, rate) = bottleneck;
        let max_wait = max_wait(request, class);
        let decision = match (wait <= max_wait.as_secs_f64(), class) {
            (false, _) => AdmissionDecision::Refuse,
            (true, LATE_CLASS..) => AdmissionDecision::AdmitLate,
            (true, _) => AdmissionDecision::Admit,
        };
        if decision != AdmissionDecision::Refuse {
            for (pool, n_items) in &request.items {
                let queue = self
                    .queues
                    .get_or_insert_with((request.shard, pool.clone()), PoolQueue::default);
                queue.push(class, f64::from(*n_items));
            }
        }
        Evaluation {
            decision,
            wait: duration(wait),
            max_wait,
            queue: duration(queue_time),
            bottleneck,
            rate,
        }
    }
}

/// Returns a time, at most a day: an endpoint may name a rate at which a queue takes longer than a
/// duration can hold.
fn duration(secs: f64) -> Duration {
    const DAY: Duration = Duration::from_secs(24 * 60 * 60);
    Duration::try_from_secs_f64(secs).map_or(DAY, |it| it.min(DAY))
}

impl PoolQueue {
    /// Removes the items that the pool has done since the last call.
    fn drain(&mut self, now: Moment, capacity: &Capacity) {
        let time = now.saturating_sub(self.at).as_secs_f64();
        let mut done = capacity.rate * time;
        self.load *= (-time / LOAD_WINDOW.as_secs_f64()).exp();
        self.at = now;
        for items in &mut self.items {
            let served = items.min(done);
            *items -= served;
            done -= served;
        }
    }

    fn push(&mut self, class: u8, n_items: f64) {
        self.items[usize::from(class)] += n_items;
        if class < LATE_CLASS {
            self.load += n_items / LOAD_WINDOW.as_secs_f64();
        }
    }

    /// Returns the expected wait in seconds. Requests in time that arrive meanwhile precede late
    /// ones.
    fn wait(&self, class: u8, capacity: &Capacity) -> f64 {
        let share = match class {
            LATE_CLASS.. => (1.0 - self.load / capacity.rate).max(MIN_SHARE),
            _ => 1.0,
        };
        self.ahead(usize::from(class), capacity) / (capacity.rate * share)
    }

    /// Returns the items ahead of a new one of a class: those admitted, or those that wait at the
    /// pool if it is slower than expected.
    fn ahead(&self, class: usize, capacity: &Capacity) -> f64 {
        let begun: f64 = self.items[..=class].iter().sum();
        let queued: f64 = capacity.queued[..=class].iter().sum();
        begun.max(queued)
    }
}

fn max_wait(request: &AdmissionRequest, class: u8) -> Duration {
    let base = match class {
        LATE_CLASS.. if request.is_retry => request.time_left.mul_f64(RETRY_FRACTION),
        LATE_CLASS.. => request.time_left.mul_f64(LATE_FRACTION),
        _ => request.slack.mul_f64(WAIT_FRACTION).clamp(MIN_WAIT, MAX_WAIT),
    };
    base.mul_f64(request.value.clamp(MIN_VALUE, MAX_VALUE))
}
