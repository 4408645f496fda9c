//! The rate limit that an endpoint names, and the check that it holds over all gateways.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use tokio::time::Instant;

/// Requests per second that the endpoint takes from all gateways together.
const HEADER: HeaderName = HeaderName::from_static("server-limit");
/// Span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the endpoint named a limit from which it holds.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Requests that are allowed in a span beyond the multiple of those that the limit stands for.
const EXTRA: f64 = 5.0;
const FACTOR: f64 = 1.5;

#[derive(Debug, Default)]
pub struct RateLimit {
    /// Requests per second, which may be no valid rate, and since when they are named.
    named: Cell<Option<(f64, Instant)>>,
    /// Requests since the limit holds.
    arrivals: RefCell<Vec<Instant>>,
}

impl RateLimit {
    /// Names another limit, or none any longer.
    pub fn set(&self, per_second: Option<f64>) {
        self.named.set(per_second.map(|it| (it, Instant::now())));
        self.arrivals.borrow_mut().clear();
    }

    /// Names the limit in a response.
    pub fn add_header(&self, headers: &mut HeaderMap) {
        let value = self.named.get().map(|it| HeaderValue::from_str(&it.0.to_string()));
        if let Some(Ok(value)) = value {
            headers.insert(HEADER, value);
        }
    }

    /// Records a request; returns the violation if there were too many within the span, and none
    /// if no limit holds.
    pub fn record(&self) -> Option<Result<(), String>> {
        let (rate, since) = self.named.get()?;
        let now = Instant::now();
        let holds = rate.is_finite() && 0.0 < rate && since + LEARNING_TIME <= now;
        if !holds {
            return None;
        }
        let mut arrivals = self.arrivals.borrow_mut();
        arrivals.retain(|it| now < *it + WINDOW);
        arrivals.push(now);
        let allowed = FACTOR * rate * WINDOW.as_secs_f64() + EXTRA;
        let n_arrivals = arrivals.len();
        Some(match n_arrivals as f64 <= allowed {
            true => Ok(()),
            false => Err(format!("got {n_arrivals} requests in 4 s, with a limit of {rate}/s")),
        })
    }
}
