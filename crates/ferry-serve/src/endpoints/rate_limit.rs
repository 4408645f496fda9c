//! The rate limits that endpoints name in their responses, for all instances together.

use std::fmt;
use std::time::Duration;

use ferry_model::Moment;
use serde::{Deserialize, Serialize};

use super::{EndpointView, Endpoints};

/// Longest time between two requests that a rate stands for; a lower rate is taken for this one.
const MAX_INTERVAL: Duration = Duration::from_secs(600);

/// Requests per second, a positive finite number.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns none for zero, a negative number, infinity and NaN: zero would end the use of an
    /// endpoint for good, as only its responses can raise its limit again.
    pub fn new(per_second: f64) -> Option<RequestRate> {
        (per_second.is_finite() && 0.0 < per_second).then_some(RequestRate(per_second))
    }

    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the time between two requests.
    pub fn interval(self) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / self.0);
        interval.map_or(MAX_INTERVAL, |it| it.min(MAX_INTERVAL))
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = &'static str;

    fn try_from(per_second: f64) -> Result<RequestRate, &'static str> {
        RequestRate::new(per_second).ok_or("a rate is a positive finite number")
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> f64 {
        rate.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What a response says of its endpoint's rate limit.
#[derive(Debug, Clone, PartialEq)]
pub enum LimitReport {
    /// The endpoint has no limit, or no longer.
    Unlimited,
    Limited(RequestRate),
    /// Not a rate; the response says nothing.
    Invalid(String),
}

/// What is known of an endpoint's rate limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct RateLimit {
    rate: Option<RequestRate>,
    /// When the endpoint said so.
    at: Moment,
}

/// How an endpoint's rate limit has changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    Named(RequestRate),
    Changed { from: RequestRate, to: RequestRate },
    Withdrawn(RequestRate),
}

impl fmt::Display for LimitChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LimitChange::Named(rate) => write!(f, "takes {rate} requests per second from now on"),
            LimitChange::Changed { from, to } => {
                write!(f, "takes {to} requests per second instead of {from}")
            }
            LimitChange::Withdrawn(rate) => {
                write!(f, "no longer limits its requests to {rate} per second")
            }
        }
    }
}

impl EndpointView {
    /// Returns the rate that the endpoint takes from all instances together, if it has named one.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        self.rate_limit.rate
    }
}

impl Endpoints {
    /// Applies what an endpoint said at `at`, unless it has said something else since; returns the
    /// change, if there is one.
    pub fn record_limit(
        &mut self,
        id: &str,
        at: Moment,
        rate: Option<RequestRate>,
    ) -> Option<LimitChange> {
        let view = self.get_mut(id)?;
        let known = view.rate_limit;
        if at < known.at {
            return None;
        }
        view.rate_limit = RateLimit { rate, at };
        match (known.rate, rate) {
            (None, Some(rate)) => Some(LimitChange::Named(rate)),
            (Some(from), Some(to)) if from != to => Some(LimitChange::Changed { from, to }),
            (Some(rate), None) => Some(LimitChange::Withdrawn(rate)),
            (Some(_), Some(_)) | (None, None) => None,
        }
    }
}
