//! Detects when this process gets too little CPU time to work for others.

use std::time::Duration;

use ferry_model::Moment;

/// Weight of the newest observation in the average.
const NEWEST_WEIGHT: f64 = 0.15;
/// Average timer lateness above which a process is overloaded; a healthy one stays within a few
/// milliseconds.
const LATENESS_LIMIT: Duration = Duration::from_millis(50);
/// Time for which a process counts as overloaded after its timers were late.
const RECOVERY: Duration = Duration::from_millis(2_000);

/// Average lateness of the timers of this process. If an instance becomes slow, the work that it
/// collects for others has to wait for it.
#[derive(Debug, Clone, Default)]
pub struct OverloadDetector {
    /// Average lateness in seconds.
    average: f64,
    until: Moment,
}

impl OverloadDetector {
    pub fn new() -> OverloadDetector {
        OverloadDetector::default()
    }

    /// Records the lateness of a timer.
    pub fn observe(&mut self, now: Moment, late: Duration) {
        self.average += NEWEST_WEIGHT * (late.as_secs_f64() - self.average);
        if LATENESS_LIMIT.as_secs_f64() < self.average {
            self.until = now + RECOVERY;
        }
    }

    pub fn is_overloaded(&self, now: Moment) -> bool {
        now < self.until
    }
}
