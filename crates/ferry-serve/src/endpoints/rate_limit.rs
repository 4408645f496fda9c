//! The rate limits that endpoints name in their responses, for all instances together.

use std::fmt;
use std::time::Duration;

use ferry_model::{EndpointId, Moment};
use serde::{Deserialize, Serialize};

use super::departed::GONE_TIME;
use super::{EndpointView, Endpoints};

/// Change of a rate below which peers are not told at once, as a share of the rate.
const SMALL_CHANGE: f64 = 0.05;
/// Requests of other instances that are taken to wait for permits; limiters know how many do.
const MAX_EXPECTED: u32 = 4;
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

/// What an instance tells its peers of an endpoint's rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    pub endpoint: EndpointId,
    /// None if the endpoint has no limit any longer.
    pub rate: Option<RequestRate>,
    /// Time since the endpoint said so.
    pub age: Duration,
}

/// What is known of an endpoint's rate limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct RateLimit {
    rate: Option<RequestRate>,
    /// When the endpoint last said so.
    at: Moment,
    /// Since when it has had a limit, if it has one.
    since: Moment,
    /// When a permit is expected to be free.
    free_at: Moment,
    /// When it is worth asking for a permit if there are other endpoints.
    ask_at: Moment,
}

impl RateLimit {
    pub(super) fn said_at(&self) -> Moment {
        self.at
    }

    /// Returns the one of two that was named later.
    pub(super) fn later(self, other: RateLimit) -> RateLimit {
        if self.at < other.at { other } else { self }
    }
}

/// How an endpoint's rate limit has changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    Named(RequestRate),
    Changed { from: RequestRate, to: RequestRate },
    Withdrawn(RequestRate),
}

impl LimitChange {
    /// Whether peers have to know at once.
    pub fn is_urgent(self) -> bool {
        match self {
            LimitChange::Named(_) | LimitChange::Withdrawn(_) => true,
            LimitChange::Changed { from, to } => SMALL_CHANGE < (to.0 / from.0 - 1.0).abs(),
        }
    }
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
    /// Returns the rate that the endpoint takes from all instances together, if it has named one or
    /// is cold.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        match (self.statements.rate_limit.rate, self.cold.rate) {
            (Some(named), Some(cold)) if cold < named => Some(cold),
            (named, cold) => named.or(cold),
        }
    }

    /// Returns since when the endpoint has had a rate limit.
    pub fn limited_since(&self) -> Option<Moment> {
        let named = self.statements.rate_limit;
        named.rate.map(|_| named.since).or(self.cold_since())
    }

    /// Whether a request may be sent, or it is worth asking for a permit.
    pub fn may_have_permit(&self, now: Moment) -> bool {
        self.permit_pause(now).is_zero()
    }

    /// Returns the time for which it is not worth asking for a permit.
    pub fn permit_pause(&self, now: Moment) -> Duration {
        match self.rate_limit() {
            Some(_) => self.statements.rate_limit.ask_at.saturating_sub(now),
            None => Duration::ZERO,
        }
    }

    /// Returns the expected time until a permit is free.
    pub fn permit_wait(&self, now: Moment) -> Duration {
        match self.rate_limit() {
            Some(_) => self.statements.rate_limit.free_at.saturating_sub(now),
            None => Duration::ZERO,
        }
    }

    /// Records that a permit is free after `wait`, and when to ask again.
    pub fn defer_permits(&mut self, now: Moment, wait: Duration, pause: Duration) {
        self.statements.rate_limit.free_at = now.saturating_add(wait);
        self.statements.rate_limit.ask_at = now.saturating_add(pause);
    }

    /// Counts a permit that another instance is about to ask for.
    pub fn expect_request(&mut self, now: Moment) {
        let Some(rate) = self.rate_limit() else { return };
        let interval = rate.interval();
        let wait = self.permit_wait(now).saturating_add(interval).min(interval * MAX_EXPECTED);
        self.defer_permits(now, wait, wait);
    }
}

impl Endpoints {
    /// Applies what an endpoint said at `at`, in the response to a request that was sent when its start
    /// `started` was known, unless it has said something else since; returns the change, if there is
    /// one.
    pub fn record_limit(
        &mut self,
        now: Moment,
        id: &str,
        started: Option<u64>,
        at: Moment,
        rate: Option<RequestRate>,
    ) -> Option<LimitChange> {
        let is_known = self.get(id).is_some() || self.limit(id).is_some();
        if rate.is_none() && !is_known {
            return None;
        }
        let started = started.unwrap_or_else(|| self.last_start(id));
        let limit = &mut self.statements(now, id, started).rate_limit;
        let known = *limit;
        if at < known.at {
            return None;
        }
        *limit = RateLimit { rate, at, ..known };
        match (known.rate, rate) {
            (None, Some(rate)) => {
                *limit =
                    RateLimit { since: at, free_at: Moment::ZERO, ask_at: Moment::ZERO, ..*limit };
                Some(LimitChange::Named(rate))
            }
            (Some(from), Some(to)) if from != to => Some(LimitChange::Changed { from, to }),
            (Some(rate), None) => Some(LimitChange::Withdrawn(rate)),
            (Some(_), Some(_)) | (None, None) => None,
        }
    }

    /// Returns the rate that an endpoint takes, with or without an entry, if it has named one.
    pub fn limit(&self, id: &str) -> Option<RequestRate> {
        self.rate_limit(id).rate
    }

    /// Returns when an endpoint last said what its limit is, as far as known.
    pub fn limit_heard_at(&self, id: &str) -> Moment {
        self.rate_limit(id).at
    }

    fn rate_limit(&self, id: &str) -> RateLimit {
        let Some(view) = self.get(id) else {
            let former = self.departed.of(id).iter().map(|it| it.statements.rate_limit);
            return former.reduce(RateLimit::later).unwrap_or_default();
        };
        view.statements.rate_limit
    }

    /// Returns what this instance knows of an endpoint's rate limit.
    pub fn limit_notice(&self, now: Moment, id: &str) -> LimitNotice {
        let RateLimit { rate, at, .. } = self.rate_limit(id);
        LimitNotice { endpoint: id.to_owned(), rate, age: now.saturating_sub(at) }
    }

    /// Returns what this instance knows of the endpoints that have a rate limit, also of those whose
    /// entries may come back.
    pub fn limit_notices(&self, now: Moment) -> Vec<LimitNotice> {
        let gone = self.gone(now.saturating_sub(GONE_TIME)).map(|it| it.0);
        let mut ids: Vec<&EndpointId> = self.views.keys().chain(gone).collect();
        ids.dedup();
        let limited = ids.into_iter().filter(|it| self.limit(it).is_some());
        limited.map(|it| self.limit_notice(now, it)).collect()
    }

    /// Returns the rate of all endpoints of a pool that accept work; none if one has no limit.
    pub fn pool_rate(&self, pool: &str) -> Option<f64> {
        let mut live = self.pool(pool).filter(|it| it.accepts_work()).peekable();
        live.peek()?;
        live.map(|it| it.rate_limit().map(RequestRate::per_second)).sum()
    }
}
