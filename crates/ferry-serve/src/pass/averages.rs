//! Averages of the requests of a route, to which each request is compared.

use std::time::Duration;

use super::times_left::TimesLeft;
use crate::RequestHead;

/// Weight of the newest request in averages.
const NEWEST_WEIGHT: f64 = 0.05;
/// Number of tokens read that cost an engine as much as one token written.
const TOKENS_PER_OUTPUT: f64 = 10.0;
/// Fraction of a request's value that does not depend on its size.
const BASE_VALUE: f64 = 0.3;

/// One request compared to the averages of its route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteComparison {
    /// Time since the caller's first attempt.
    pub elapsed: Duration,
    /// Value relative to the work of its stages, 1.0 for the average request.
    pub value: f64,
}

#[derive(Debug, Clone, Default)]
pub struct RouteAverages {
    times_left: TimesLeft,
    size: f64,
    items: f64,
}

impl RouteAverages {
    /// Records a request and returns how it compares to the averages.
    pub fn record(&mut self, head: &RequestHead, limit: Duration) -> RouteComparison {
        let (size, items) = (size(head), head.items.iter().map(|it| f64::from(*it)).sum());
        update_mean(&mut self.size, size);
        update_mean(&mut self.items, items);
        let elapsed =
            head.time_left.map(|it| self.times_left.record(it, limit)).unwrap_or_default();
        RouteComparison { elapsed, value: self.value(size, items) }
    }

    fn value(&self, size: f64, items: f64) -> f64 {
        let value = BASE_VALUE + (1.0 - BASE_VALUE) * ratio(size, self.size);
        value / ratio(items, self.items)
    }
}

/// Returns the tokens of a request, with those that it may write weighted by their cost.
fn size(head: &RequestHead) -> f64 {
    match head.tokens {
        Some(tokens) => f64::from(tokens.prompt) + TOKENS_PER_OUTPUT * f64::from(tokens.output),
        None => head.prompt.iter().map(|it| f64::from(it.tokens)).sum(),
    }
}

fn update_mean(mean: &mut f64, newest: f64) {
    let weight = if *mean == 0.0 { 1.0 } else { NEWEST_WEIGHT };
    *mean += weight * (newest - *mean);
}

fn ratio(amount: f64, mean: f64) -> f64 {
    if amount <= 0.0 || mean <= 0.0 { 1.0 } else { amount / mean }
}
