//! One endpoint as this instance knows it.

use std::time::Duration;

use ferry_model::{Endpoint, EndpointState, Load, Moment};
use serde::{Deserialize, Serialize};

use crate::Tuning;

/// Weight of the newest service time in the running mean.
const LEARN_RATE: f64 = 0.2;
/// Service time assumed before the first reply.
const FIRST_SERVICE: Duration = Duration::from_millis(50);
/// Time in which a load report loses half of its weight.
const REPORT_HALF_LIFE: f64 = 0.25;
/// Time in which a slow service time that nobody confirms is half forgotten.
const SLOW_HALF_LIFE: f64 = 10.0;
/// Factor by which a queue at the endpoint lowers its limit.
const LIMIT_CUT: f64 = 0.9;
/// Queued calls per running one above which the limit is lowered.
const QUEUE_SHARE: f64 = 0.25;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointView {
    pub endpoint: Endpoint,
    /// Calls of this instance in flight.
    pub outstanding: u32,
    pub load: Load,
    pub load_at: Moment,
    /// Mean service time.
    pub service: Duration,
    /// When `service` was last confirmed.
    pub served_at: Moment,
    /// The endpoint itself or a refusal said that it leaves.
    pub leaving: bool,
    /// The placement plan gives it no new work.
    pub withheld: bool,
    /// Calls of this instance that it may have in flight.
    pub limit: f64,
    /// When the limit was last lowered.
    pub cut_at: Moment,
    /// Calls that failed since the last one that did not.
    pub failures: u32,
    /// Ejected until then.
    pub ejected: Option<Moment>,
    /// Ejections since the last good answer, which lengthen the next one.
    pub ejections: u32,
    /// When it came back and its slow start began.
    pub back_at: Option<Moment>,
    /// Its open connections are taken for silent until then.
    pub silent_until: Moment,
    /// Sequence number of its last cache event.
    pub sequence: u64,
    /// How far its cache events are believed, from 0 to 1.
    pub trust: f64,
}

impl EndpointView {
    pub(super) fn new(endpoint: Endpoint, limit: f64) -> EndpointView {
        EndpointView {
            endpoint,
            outstanding: 0,
            load: Load::default(),
            load_at: Moment::ZERO,
            service: FIRST_SERVICE,
            served_at: Moment::ZERO,
            leaving: false,
            withheld: false,
            limit,
            cut_at: Moment::ZERO,
            failures: 0,
            ejected: None,
            ejections: 0,
            back_at: None,
            silent_until: Moment::ZERO,
            sequence: 0,
            trust: 1.0,
        }
    }

    /// Whether new work may go there.
    pub fn takes_work(&self) -> bool {
        !self.leaving && !self.withheld && self.endpoint.state == EndpointState::Live
    }

    pub fn is_ejected(&self, now: Moment) -> bool {
        self.ejected.is_some_and(|until| now < until)
    }

    /// Whether this instance already has as many calls there as it may.
    pub fn is_full(&self, now: Moment, tuning: &Tuning) -> bool {
        let share = self.warmth(now, tuning.slow_start);
        (self.limit * share).max(1.0) <= f64::from(self.outstanding)
    }

    /// Share of its work that an endpoint takes while it comes back.
    pub fn warmth(&self, now: Moment, slow_start: Duration) -> f64 {
        let Some(back) = self.back_at else { return 1.0 };
        let age = now.saturating_sub(back).as_secs_f64();
        (age / slow_start.as_secs_f64().max(1e-3)).clamp(0.1, 1.0)
    }

    /// Calls of others that are running or waiting there, by a report that fades.
    pub fn reported(&self, now: Moment) -> f64 {
        let age = (now.saturating_sub(self.load_at) + self.load.age).as_secs_f64();
        let reported = f64::from(self.load.running + self.load.queued);
        let others = (reported - f64::from(self.outstanding)).max(0.0);
        others * (-age / REPORT_HALF_LIFE).exp2()
    }

    /// Service time expected now: a slow one fades towards `usual`, so that it is tried again.
    pub fn expected(&self, now: Moment, usual: Duration) -> f64 {
        let known = self.service.as_secs_f64();
        let usual = usual.as_secs_f64();
        if known <= usual {
            return known;
        }
        let age = now.saturating_sub(self.served_at).as_secs_f64();
        usual + (known - usual) * (-age / SLOW_HALF_LIFE).exp2()
    }

    pub(super) fn served(&mut self, now: Moment, took: Duration) {
        self.service = match self.served_at == Moment::ZERO {
            true => took,
            false => self.service.mul_f64(1.0 - LEARN_RATE) + took.mul_f64(LEARN_RATE),
        };
        self.served_at = now;
        self.failures = 0;
        self.ejections = 0;
    }

    /// Takes a call that still runs as a lower bound of the service time.
    pub(super) fn lags(&mut self, now: Moment, running: Duration) {
        self.service = self.service.max(running);
        self.served_at = now;
    }

    /// Moves the limit by what the endpoint reports of its queue, or by its slowness.
    pub(super) fn adapt(&mut self, now: Moment, usual: Duration, took: Duration, tuning: &Tuning) {
        let is_fresh = self.load_at == now;
        let is_queueing = match is_fresh {
            true => f64::from(self.load.running) * QUEUE_SHARE < f64::from(self.load.queued),
            false => usual * 2 < took,
        };
        if is_queueing {
            if self.cut_at + self.service <= now {
                self.limit = (self.limit * LIMIT_CUT).max(1.0);
                self.cut_at = now;
            }
        } else if self.limit * 0.75 <= f64::from(self.outstanding) {
            self.limit = (self.limit + 1.0 / self.limit).min(tuning.max_limit);
        }
    }
}
