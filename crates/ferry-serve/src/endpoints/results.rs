//! What the results of calls tell of an endpoint.

use ferry_model::Moment;

use super::{EndpointView, LoadReport};
use crate::{Mechanism, Tuning};

/// Weight of the newest observation in averages.
const NEWEST_WEIGHT: f64 = 0.3;
/// Consecutive failures after which the pause no longer doubles.
const MAX_DOUBLINGS: u32 = 6;

impl EndpointView {
    pub fn record_load(&mut self, now: Moment, report: Option<LoadReport>) {
        if let Some(report) = report {
            self.report = Some((now, report));
        }
    }

    /// Records a successful call, with its observed time divided by the expected one.
    pub fn record_success(&mut self, now: Moment, ratio: f64) {
        self.slowdown += NEWEST_WEIGHT * (ratio - self.slowdown);
        self.failure_rate -= NEWEST_WEIGHT * self.failure_rate;
        self.failure_streak = 0;
        self.statements.pause.on_success(now);
    }

    /// Records an answer that reports a failed run.
    pub fn record_error(&mut self) {
        self.failure_rate += NEWEST_WEIGHT * (1.0 - self.failure_rate);
        self.failure_streak = 0;
    }

    /// Records a call without an answer, and pauses the endpoint.
    pub fn record_failure(&mut self, now: Moment, tuning: &Tuning) {
        self.failure_rate += NEWEST_WEIGHT * (1.0 - self.failure_rate);
        let pause = tuning.base_ejection * (1 << self.failure_streak.min(MAX_DOUBLINGS));
        self.failure_streak += 1;
        if !tuning.is_enabled(Mechanism::Ejection) {
            return;
        }
        self.pause_until(now + pause.min(tuning.max_ejection));
    }

    /// Records that a call takes longer than expected, before it has ended.
    pub fn record_late(&mut self, ratio: f64) {
        self.slowdown = self.slowdown.max(ratio);
    }
}
