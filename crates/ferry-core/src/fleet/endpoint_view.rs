//! An endpoint as seen by this instance.

use std::time::Duration;

use ferry_model::{Endpoint, EndpointState, Load, Moment};
use serde::{Deserialize, Serialize};

use crate::Tuning;

/// Weight of the latest service time in the moving average.
const SERVICE_RATE: f64 = 0.2;
/// Service time assumed before the first response.
const DEFAULT_SERVICE: Duration = Duration::from_millis(50);
/// Half-life of a load report, in seconds.
const REPORT_HALF_LIFE_SECS: f64 = 0.25;
/// Half-life of the excess of a slow service time over the pool's median, in seconds.
const SLOW_HALF_LIFE_SECS: f64 = 10.0;
/// Factor by which the limit is lowered when calls queue at the endpoint.
const LIMIT_CUT: f64 = 0.9;
/// Number of queued calls per running call above which the limit is lowered.
const QUEUE_SHARE: f64 = 0.25;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointView {
    pub endpoint: Endpoint,
    /// Calls of this instance in flight.
    pub outstanding: u32,
    pub load: Load,
    pub load_at: Moment,
    /// Moving average of the service time.
    pub service: Duration,
    /// When `service` was last updated.
    pub served_at: Moment,
    /// Whether a load report or a refusal announced that the endpoint is leaving.
    pub leaving: bool,
    /// Whether the placement plan excludes the endpoint from new work.
    pub excluded: bool,
    /// Maximum number of calls of this instance in flight.
    pub limit: f64,
    /// When the limit was last lowered.
    pub lowered_at: Moment,
    /// Failed calls since the last successful one.
    pub failures: u32,
    /// When the last ejection ends.
    pub ejected_until: Option<Moment>,
    /// Ejections since the last successful call; each one lengthens the next.
    pub ejections: u32,
    /// When the last ejection ends and the slow start begins.
    pub returned_at: Option<Moment>,
    /// Until when the open connections are considered silent.
    pub silent_until: Moment,
    /// Sequence number of the last cache event.
    pub cache_sequence: u64,
    /// Trust in the cache events, from 0 to 1.
    pub cache_trust: f64,
}

impl EndpointView {
    pub(super) fn new(endpoint: Endpoint, limit: f64) -> EndpointView {
        EndpointView {
            endpoint,
            outstanding: 0,
            load: Load::default(),
            load_at: Moment::ZERO,
            service: DEFAULT_SERVICE,
            served_at: Moment::ZERO,
            leaving: false,
            excluded: false,
            limit,
            lowered_at: Moment::ZERO,
            failures: 0,
            ejected_until: None,
            ejections: 0,
            returned_at: None,
            silent_until: Moment::ZERO,
            cache_sequence: 0,
            cache_trust: 1.0,
        }
    }

    /// Whether new work may be sent to the endpoint.
    pub fn accepts_work(&self) -> bool {
        !self.leaving && !self.excluded && self.endpoint.state == EndpointState::Live
    }

    pub fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the calls of this instance have reached the limit.
    pub fn is_full(&self, now: Moment, tuning: &Tuning) -> bool {
        let share = self.slow_start_share(now, tuning.slow_start);
        (self.limit * share).max(1.0) <= f64::from(self.outstanding)
    }

    /// Returns the share of normal load that the endpoint takes during its slow start, up to 1.
    pub fn slow_start_share(&self, now: Moment, slow_start: Duration) -> f64 {
        let Some(returned_at) = self.returned_at else { return 1.0 };
        let age = now.saturating_sub(returned_at).as_secs_f64();
        (age / slow_start.as_secs_f64().max(1e-3)).clamp(0.1, 1.0)
    }

    /// Returns the calls of others at the endpoint, by its last load report decayed by age.
    pub fn external_load(&self, now: Moment) -> f64 {
        let age = (now.saturating_sub(self.load_at) + self.load.age).as_secs_f64();
        let reported = f64::from(self.load.running + self.load.queued);
        let others = (reported - f64::from(self.outstanding)).max(0.0);
        others * (-age / REPORT_HALF_LIFE_SECS).exp2()
    }

    /// Returns the expected service time in seconds. A value above `median` decays towards it, so
    /// that a slow endpoint is tried again.
    pub fn expected_service(&self, now: Moment, median: Duration) -> f64 {
        let known = self.service.as_secs_f64();
        let median = median.as_secs_f64();
        if known <= median {
            return known;
        }
        let age = now.saturating_sub(self.served_at).as_secs_f64();
        median + (known - median) * (-age / SLOW_HALF_LIFE_SECS).exp2()
    }

    pub(super) fn record_success(&mut self, now: Moment, took: Duration) {
        self.service = match self.served_at == Moment::ZERO {
            true => took,
            false => self.service.mul_f64(1.0 - SERVICE_RATE) + took.mul_f64(SERVICE_RATE),
        };
        self.served_at = now;
        self.failures = 0;
        self.ejections = 0;
    }

    /// Raises the service time to at least that of a call that is still running.
    pub(super) fn record_slow_call(&mut self, now: Moment, running: Duration) {
        self.service = self.service.max(running);
        self.served_at = now;
    }

    /// Adjusts the limit by the queue that the endpoint reports or, without a current report, by
    /// how slow the call was.
    pub(super) fn adjust_limit(
        &mut self,
        now: Moment,
        median: Duration,
        took: Duration,
        tuning: &Tuning,
    ) {
        let is_fresh = self.load_at == now;
        let is_queueing = match is_fresh {
            true => f64::from(self.load.running) * QUEUE_SHARE < f64::from(self.load.queued),
            false => median * 2 < took,
        };
        if is_queueing {
            if self.lowered_at + self.service <= now {
                self.limit = (self.limit * LIMIT_CUT).max(1.0);
                self.lowered_at = now;
            }
        } else if self.limit * 0.75 <= f64::from(self.outstanding) {
            self.limit = (self.limit + 1.0 / self.limit).min(tuning.max_limit);
        }
    }
}
