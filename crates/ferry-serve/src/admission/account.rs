//! What has been begun and not yet worked off, by pool and class.

use std::time::Duration;

use ferry_model::{Moment, PoolId, SortedMap};

use super::{Ask, Capacity, LATE_CLASS, LEAST_WORTH, MOST_WORTH, N_CLASSES, Part};

/// Part of its slack for which a request may wait; the rest is for calls that take longer.
const WAIT_PART: f64 = 0.6;
/// Wait that is always allowed, as calls end at different moments; half of a short call.
const LEAST_WAIT: Duration = Duration::from_millis(50);
/// Longest wait for which a request is begun: longer queues only make all requests later.
const MOST_WAIT: Duration = Duration::from_millis(600);
/// Longest wait for a request that is late already.
const LATE_WAIT: Duration = Duration::from_millis(30);

/// Items that have been begun, as if each pool worked them off at once in the order of classes.
#[derive(Debug, Clone, Default)]
pub struct Account {
    levels: SortedMap<(Part, PoolId), Level>,
}

/// Whether a request may be begun, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct Judgement {
    pub is_begun: bool,
    /// Expected wait at all pools together.
    pub wait: Duration,
    pub allowed: Duration,
    /// The pool with the longest wait.
    pub longest: Option<PoolId>,
    /// Items a second that are given out there.
    pub rate: f64,
}

#[derive(Debug, Clone, Default)]
struct Level {
    items: [f64; N_CLASSES],
    at: Moment,
}

impl Account {
    /// Notes the request as begun if its stages can be done in time.
    pub fn judge(&mut self, now: Moment, ask: &Ask, capacity: &[Capacity]) -> Judgement {
        let class = usize::from(ask.class.min(LATE_CLASS));
        let mut wait = 0.0;
        let mut longest = (0.0, None, 0.0);
        for ((pool, _), capacity) in ask.items.iter().zip(capacity) {
            let level = self.levels.entry_or_with((ask.part, pool.clone()), Level::default);
            level.settle(now, capacity);
            if capacity.rate <= 0.0 {
                continue;
            }
            let own = level.ahead(class, capacity) / capacity.rate;
            wait += own;
            if longest.0 < own {
                longest = (own, Some(pool.clone()), capacity.rate);
            }
        }
        let allowed = allowed(ask);
        let is_begun = wait <= allowed.as_secs_f64();
        if is_begun {
            for (pool, n_items) in &ask.items {
                let level = self.levels.entry_or_with((ask.part, pool.clone()), Level::default);
                level.items[class] += f64::from(*n_items);
            }
        }
        let (_, longest, rate) = longest;
        Judgement { is_begun, wait: Duration::from_secs_f64(wait), allowed, longest, rate }
    }
}

impl Level {
    /// Takes off what the pool has done since.
    fn settle(&mut self, now: Moment, capacity: &Capacity) {
        let mut done = capacity.rate * now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        for items in &mut self.items {
            let part = items.min(done);
            *items -= part;
            done -= part;
        }
    }

    /// Items that go before one of a class that comes now: those that were begun, or those that
    /// wait at the pool if it does less than it should.
    fn ahead(&self, class: usize, capacity: &Capacity) -> f64 {
        let begun: f64 = self.items[..=class].iter().sum();
        let queued: f64 = capacity.queued[..=class].iter().sum();
        begun.max(queued)
    }
}

fn allowed(ask: &Ask) -> Duration {
    let usual = match ask.class {
        LATE_CLASS.. => LATE_WAIT,
        _ => ask.slack.mul_f64(WAIT_PART).clamp(LEAST_WAIT, MOST_WAIT),
    };
    usual.mul_f64(ask.worth.clamp(LEAST_WORTH, MOST_WORTH))
}
