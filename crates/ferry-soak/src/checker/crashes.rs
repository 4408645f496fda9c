//! What is owed while endpoints crash on requests and prompt parts.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::SortedMap;
use tokio::time::Instant;

use crate::checker::{Attempt, Checker, OutcomeCounts};
use crate::crash::Cause;

/// Number of crashes after which a prompt part must be known.
const N_PART_CRASHES: usize = 5;
/// Number of crashes after which a request must be known.
const N_REQUEST_CRASHES: usize = 3;
/// Time after these crashes from which only a few requests with the cause may reach endpoints, and for
/// which a gateway is excused after a fault of its process if the cause is a prompt part.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// Number of requests with the cause that may reach endpoints later.
const MAX_LATE: usize = 3;

/// Crashes of one cause, and its requests that reached endpoints, with the gateways that sent them.
#[derive(Debug, Default)]
struct CauseLog {
    crashes: Vec<Instant>,
    arrivals: Vec<(Instant, Option<SocketAddr>)>,
}

/// Crashes, and what else counts, in order.
#[derive(Debug, Default)]
pub struct CrashLog {
    causes: SortedMap<Cause, CauseLog>,
    /// Starts, ends and pauses of gateways' processes.
    faults: Vec<(Instant, SocketAddr)>,
}

/// What became of the requests with one cause.
#[derive(Debug, Clone, Copy)]
pub struct CauseCounts {
    pub cause: Cause,
    pub n_crashes: usize,
    /// Requests that reached endpoints.
    pub n_arrived: usize,
    /// Those of them that no longer may.
    pub n_late: usize,
}

/// What became of requests on which no endpoint crashes.
#[derive(Debug, Clone, Copy, Default)]
pub struct SoundCounts {
    /// Those sent before the first crash.
    pub before: OutcomeCounts,
    /// Those sent once all causes should be known.
    pub after: OutcomeCounts,
}

impl SoundCounts {
    /// Returns whether there were enough of them, and at least half as many were served as before.
    pub fn are_served(&self) -> bool {
        let SoundCounts { before, after } = self;
        let n_sent = before.sent.min(after.sent);
        20 <= n_sent && before.served * after.sent <= 2 * after.served * before.sent
    }
}

/// What became of the endpoints and of the callers' requests.
#[derive(Debug, Clone, Default)]
pub struct CrashCounts {
    pub causes: Vec<CauseCounts>,
    pub streams: SoundCounts,
    pub plain: SoundCounts,
}

impl CrashCounts {
    /// Describes the causes whose requests reached endpoints too often.
    pub fn violations(&self) -> Vec<String> {
        let late = self.causes.iter().filter(|it| MAX_LATE < it.n_late);
        late.map(|it| format!("requests that crash endpoints went on: {it:?}")).collect()
    }
}

impl Checker {
    /// Records the gateway to which a caller sends an attempt, and what its endpoints crash on.
    pub fn record_gateway(&self, id: &str, gateway: SocketAddr, cause: Option<Cause>) {
        if let Some(attempt) = self.attempts.borrow_mut().get_mut(id) {
            (attempt.gateway, attempt.cause) = (Some(gateway), cause);
        }
    }

    /// Returns what the endpoints that run an attempt crash on.
    pub fn cause(&self, id: &str, prompt: &str, body: &[u8]) -> Option<Cause> {
        let route = self.attempts.borrow().get(id)?.route;
        Cause::of(route, prompt, body)
    }

    /// Returns whether an attempt was sent on which endpoints crash.
    pub fn has_cause(&self, id: &str) -> bool {
        self.attempts.borrow().get(id).is_some_and(|it| it.cause.is_some())
    }

    /// Records that a request has reached an endpoint that crashes on it.
    pub fn record_arrival(&self, id: &str, cause: Cause) {
        let gateway = self.attempts.borrow().get(id).and_then(|it| it.gateway);
        let mut log = self.crash_log.borrow_mut();
        let log = log.causes.get_or_insert_with(cause, CauseLog::default);
        log.arrivals.push((Instant::now(), gateway));
    }

    pub fn record_crash(&self, cause: Cause) {
        let mut log = self.crash_log.borrow_mut();
        let log = log.causes.get_or_insert_with(cause, CauseLog::default);
        log.crashes.push(Instant::now());
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

    /// Counts the crashes, and the requests sent until a point in time.
    pub fn count_crashes(&self, until: Instant) -> CrashCounts {
        let log = self.crash_log.borrow();
        let firsts = log.causes.values().filter_map(|it| it.crashes.first());
        let Some(first) = firsts.min().copied() else { return CrashCounts::default() };
        // A cause may be known before it must be.
        let limits = log.causes.iter().filter_map(|(cause, it)| limit(*cause, it));
        let known = limits.max().unwrap_or(first) + 2 * SPREAD_TIME;
        let sound = |is_stream| {
            let is_sound = |it: &Attempt| it.route.is_stream() == is_stream && it.cause.is_none();
            SoundCounts {
                before: self.count(|it| is_sound(it) && it.sent < first),
                after: self.count(|it| is_sound(it) && known <= it.sent && it.sent < until),
            }
        };
        let causes = log.causes.iter().map(|(cause, it)| CauseCounts {
            cause: *cause,
            n_crashes: it.crashes.len(),
            n_arrived: it.arrivals.len(),
            n_late: n_late(*cause, it, &log.faults),
        });
        CrashCounts { causes: causes.collect(), streams: sound(true), plain: sound(false) }
    }
}

/// Returns the time of the crash after which a cause must be known.
fn limit(cause: Cause, log: &CauseLog) -> Option<Instant> {
    let number = match cause {
        Cause::Part => N_PART_CRASHES,
        Cause::Request(_) => N_REQUEST_CRASHES,
    };
    log.crashes.get(number - 1).copied()
}

fn n_late(cause: Cause, log: &CauseLog, faults: &[(Instant, SocketAddr)]) -> usize {
    let Some(limit) = limit(cause, log) else { return 0 };
    let is_faulty = |at: Instant, gateway: Option<SocketAddr>| {
        let mut faults = faults.iter().filter(|it| Some(it.1) == gateway);
        faults.any(|it| it.0 <= at && at < it.0 + SPREAD_TIME)
    };
    let is_late = |&&(at, gateway): &&(Instant, Option<SocketAddr>)| {
        let is_excused = match cause {
            Cause::Part => is_faulty(at, gateway),
            Cause::Request(_) => false,
        };
        limit + SPREAD_TIME < at && !is_excused
    };
    log.arrivals.iter().filter(is_late).count()
}
