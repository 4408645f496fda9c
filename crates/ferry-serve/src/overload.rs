//! Tells when this process gets too little processor time to work for others.

use std::time::Duration;

use ferry_model::Moment;

/// Weight of the newest observation in the average.
const NEWEST_WEIGHT: f64 = 0.15;
/// Average lateness of timers at which a process is strained; a healthy one stays within a few
/// milliseconds.
const LATENESS_LIMIT: Duration = Duration::from_millis(50);
/// Time for which a process counts as strained after its timers were late.
const RECOVERY: Duration = Duration::from_millis(2_000);

/// How late the timers of this process are. Answers the load of an instance that turns slow: work
/// that it gathers for others would wait for it.
#[derive(Debug, Clone, Default)]
pub struct OverloadDetector {
    /// Seconds.
    average: f64,
    until: Moment,
}

impl OverloadDetector {
    pub fn new() -> OverloadDetector {
        OverloadDetector::default()
    }

    /// Notes by how much a timer was late.
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
