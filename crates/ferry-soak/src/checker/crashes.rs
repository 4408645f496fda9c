//! What is owed while engines crash on a prompt part.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::checker::{Attempt, Checker, OutcomeCounts};

/// Number of crashes after which the part must be known.
const N_CRASHES: usize = 5;
/// Time after these crashes from which only a few requests with the part may reach engines, and for
/// which a gateway is excused after a fault of its process.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// Number of requests with the part that may reach engines later.
pub const MAX_LATE: usize = 3;

/// Crashes, and what else counts, in order.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: Vec<Instant>,
    /// Requests with the part that reached engines, and the gateways that sent them.
    arrivals: Vec<(Instant, Option<SocketAddr>)>,
    /// Starts, ends and pauses of gateways' processes.
    faults: Vec<(Instant, SocketAddr)>,
}

/// What became of the engines and of the callers' streams.
#[derive(Debug, Clone, Copy, Default)]
pub struct CrashCounts {
    pub n_crashes: usize,
    /// Requests with the part that reached engines.
    pub n_arrived: usize,
    /// Those of them that no longer may.
    pub n_late: usize,
    /// Other streams before the first crash.
    pub before: OutcomeCounts,
    /// Other streams once the part should be known.
    pub after: OutcomeCounts,
}

impl Checker {
    /// Records the gateway to which a caller sends an attempt, and whether its prompt has the part.
    pub fn record_gateway(&self, id: &str, gateway: SocketAddr, has_part: bool) {
        if let Some(attempt) = self.attempts.borrow_mut().get_mut(id) {
            (attempt.gateway, attempt.has_part) = (Some(gateway), has_part);
        }
    }

    /// Records that a request with the part has reached an engine.
    pub fn record_arrival(&self, id: &str) {
        let gateway = self.attempts.borrow().get(id).and_then(|it| it.gateway);
        self.crash_log.borrow_mut().arrivals.push((Instant::now(), gateway));
    }

    pub fn record_crash(&self) {
        self.crash_log.borrow_mut().crashes.push(Instant::now());
    }

    /// Records that an endpoint's connections were closed, so that its responses may look complete.
    pub fn record_cut(&self, endpoint: &str) {
        for attempt in self.attempts.borrow_mut().values_mut() {
            let has_run = attempt.runs.iter().any(|it| it == endpoint);
            attempt.is_cut |= has_run && attempt.outcome.is_none();
        }
    }

    /// Returns whether a response to an attempt was cut off so that it may look complete.
    pub fn is_cut(&self, id: &str) -> bool {
        self.attempts.borrow().get(id).is_some_and(|it| it.is_cut)
    }

    /// Records that a gateway's process starts, ends or pauses.
    pub fn record_fault(&self, gateway: SocketAddr) {
        self.crash_log.borrow_mut().faults.push((Instant::now(), gateway));
    }

    /// Counts the crashes, and the streams sent until a point in time.
    pub fn count_crashes(&self, until: Instant) -> CrashCounts {
        let log = self.crash_log.borrow();
        let Some(first) = log.crashes.first().copied() else { return CrashCounts::default() };
        let fifth = log.crashes.get(N_CRASHES - 1).copied();
        let is_late = |&&(at, gateway): &&(Instant, Option<SocketAddr>)| {
            let mut faults = log.faults.iter().filter(|it| Some(it.1) == gateway);
            let is_excused = faults.any(|it| it.0 <= at && at < it.0 + SPREAD_TIME);
            fifth.is_some_and(|fifth| fifth + SPREAD_TIME < at) && !is_excused
        };
        let is_sound = |it: &Attempt| it.route.is_stream() && !it.has_part;
        // The part may be known before the fifth crash.
        let known = fifth.unwrap_or(first) + 2 * SPREAD_TIME;
        CrashCounts {
            n_crashes: log.crashes.len(),
            n_arrived: log.arrivals.len(),
            n_late: log.arrivals.iter().filter(is_late).count(),
            before: self.count(|it| is_sound(it) && it.sent < first),
            after: self.count(|it| is_sound(it) && known <= it.sent && it.sent < until),
        }
    }
}
