//! Records what callers send and endpoints run, and checks that the guarantees hold.

mod budget;
pub mod crashes;
mod entries;
mod inputs;
mod leaving;
mod pauses;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::SortedMap;
use tokio::time::Instant;

use crate::cluster::N_ZONES;
use crate::config::Route;
use crate::crash::Cause;
use crate::losses::{Cuts, Ended, Trouble, Troubles, is_at_limit};

use budget::PoolLog;
use crashes::CrashLog;
use entries::EntryLog;
use leaving::LeavingLog;
use pauses::PauseLog;

pub use budget::WorstWindow;
pub use pauses::PauseCounts;

/// Time after which nothing may reach the endpoints of an evacuated zone, as the settings have it.
const EVACUATION_BOUND: Duration = Duration::from_millis(5_000);

/// The outcome of a request, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response from the endpoint.
    Success,
    /// An error response with this status from the gateway.
    Refused(u16),
    /// An error response with this status from the endpoint.
    Failed(u16),
    /// The connection ended without a complete response, or the caller gave up.
    Disconnected,
}

#[derive(Debug, Clone)]
struct Attempt {
    route: Route,
    body: Vec<u8>,
    /// Endpoints that have run the attempt.
    runs: Vec<String>,
    /// Which start of the endpoint that ran it last.
    start: u64,
    /// Numbers of items of its stages, if it is checked which results it reads.
    items: Option<[usize; 2]>,
    /// Endpoints that have run items of its stages.
    stages: Vec<String>,
    /// Gateway that the caller's connection leads to.
    node: Option<String>,
    outcome: Option<Outcome>,
    sent: Instant,
    end: Option<Instant>,
    /// The gateway to which it was sent.
    gateway: Option<SocketAddr>,
    /// What its endpoints crash on.
    cause: Option<Cause>,
    /// Whether a response was cut off so that it may look complete.
    is_cut: bool,
}

/// Checks the guarantees; shared by the callers and endpoints of a run.
#[derive(Debug, Default)]
pub struct Checker {
    attempts: RefCell<SortedMap<String, Attempt>>,
    /// The attempt of each stage result, by handle.
    results: RefCell<SortedMap<String, String>>,
    violations: RefCell<Vec<String>>,
    /// Zones that are evacuated, and since when.
    evacuated: RefCell<Vec<(usize, Instant)>>,
    troubles: RefCell<Troubles>,
    /// When configurations were written to the store.
    configured: RefCell<Vec<Instant>>,
    n_taken_up: Cell<usize>,
    n_continued: Cell<usize>,
    n_limited: Cell<usize>,
    crash_log: RefCell<CrashLog>,
    leaving_log: RefCell<LeavingLog>,
    pause_log: RefCell<PauseLog>,
    entry_log: RefCell<EntryLog>,
    /// The gateway of a run with one gateway.
    only_node: RefCell<Option<String>>,
    pool_log: RefCell<SortedMap<String, PoolLog>>,
}

impl Checker {
    /// Records that a caller sends an attempt.
    pub fn record_sent(&self, id: &str, route: Route, body: &[u8]) {
        let attempt = Attempt {
            route,
            body: body.to_vec(),
            runs: Vec::new(),
            start: 0,
            items: None,
            stages: Vec::new(),
            node: None,
            outcome: None,
            sent: Instant::now(),
            end: None,
            gateway: None,
            cause: None,
            is_cut: false,
        };
        self.attempts.borrow_mut().insert(id.to_owned(), attempt);
    }

    /// Records that an endpoint starts to run an attempt.
    pub fn record_run(&self, id: &str, endpoint: &str, path: &str, body: &[u8]) {
        self.check_evacuation(id, endpoint);
        let mut attempts = self.attempts.borrow_mut();
        let Some(attempt) = attempts.get_mut(id) else {
            return self.add_violation(format!("{endpoint} ran {id}, which was never sent"));
        };
        if attempt.route.path() != path || attempt.body != body {
            self.add_violation(format!(
                "{endpoint} ran {id} with path {path} or with a changed body"
            ));
        }
        attempt.runs.push(endpoint.to_owned());
        self.check_entry(id, endpoint, attempt.sent);
        if let Some(Outcome::Refused(status @ (429 | 503))) = attempt.outcome {
            self.add_violation(format!("{endpoint} ran {id} after the caller got {status}"));
        }
        let is_exceeded = attempt.route.max_runs() < attempt.runs.len();
        if is_exceeded {
            self.add_violation(format!("{id} ({:?}) ran at {:?}", attempt.route, attempt.runs));
        }
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(&self, id: &str, outcome: Outcome) {
        let mut attempts = self.attempts.borrow_mut();
        let Some(attempt) = attempts.get_mut(id) else { return };
        // These statuses state that the request has not been run.
        let is_not_run =
            matches!(outcome, Outcome::Refused(429 | 503) | Outcome::Failed(408 | 421 | 429 | 503));
        if is_not_run && !attempt.runs.is_empty() && attempt.route.max_runs() == 1 {
            self.add_violation(format!("{id} got {outcome:?} and ran at {:?}", attempt.runs));
        }
        attempt.outcome = Some(outcome);
        attempt.end = Some(Instant::now());
    }

    /// Records the gateway that a caller sends an attempt to.
    pub fn record_node(&self, id: &str, node: &str) {
        if let Some(attempt) = self.attempts.borrow_mut().get_mut(id) {
            attempt.node = Some(node.to_owned());
        }
    }

    /// Records that an endpoint starts to run an item of an attempt.
    pub fn record_item(&self, id: &str, endpoint: &str) {
        if let Some(attempt) = self.attempts.borrow_mut().get_mut(id) {
            attempt.stages.push(endpoint.to_owned());
            self.check_evacuation(id, endpoint);
            self.check_entry(id, endpoint, attempt.sent);
        }
    }

    /// Records that a trouble of a gateway or an endpoint begins or has ended.
    pub fn set_trouble(&self, subject: &str, trouble: Trouble, is_on: bool) {
        self.troubles.borrow_mut().set(subject, trouble, is_on);
    }

    /// Records that a configuration is written to the store.
    pub fn record_configured(&self) {
        self.configured.borrow_mut().push(Instant::now());
    }

    /// Counts the answers to requests that endpoints ran which were cut between two points in time,
    /// before their time limit.
    pub fn cuts(&self, from: Instant, until: Instant) -> Cuts {
        let attempts = self.attempts.borrow();
        let is_cut = |it: &&Attempt| {
            it.outcome == Some(Outcome::Disconnected)
                && !(it.runs.is_empty() && it.stages.is_empty())
        };
        let ends = attempts.values().filter(is_cut).filter_map(|it| Some((it.sent, it.end?)));
        let cut: Vec<Instant> =
            ends.filter(|(sent, end)| !is_at_limit(*end - *sent)).map(|it| it.1).collect();
        Cuts::count(&self.configured.borrow(), &cut, from, until)
    }

    /// Describes the requests that ended without an answer and without an excuse.
    pub fn lost(&self, is_strict: bool) -> Vec<String> {
        let troubles = self.troubles.borrow();
        let mut lost = Vec::new();
        for (id, it) in self.attempts.borrow().iter() {
            let (Some(Outcome::Disconnected), Some(end)) = (&it.outcome, it.end) else { continue };
            let (node, sent) = (it.node.as_deref(), it.sent);
            let ended = Ended { node, runs: &it.runs, stages: &it.stages, sent, end };
            if troubles.excuse(&ended, is_strict).is_none() {
                lost.push(format!(
                    "{id} ({:?}) ended without an answer after {:?} at {}, runs at {:?}, items at {:?}",
                    it.route,
                    end - sent,
                    node.unwrap_or_default(),
                    it.runs,
                    it.stages
                ));
            }
        }
        lost
    }

    /// Records a stage result of an attempt.
    pub fn add_result(&self, handle: &str, attempt: &str) {
        self.results.borrow_mut().insert(handle.to_owned(), attempt.to_owned());
    }

    /// Returns the endpoints that ran an attempt.
    pub fn runs(&self, id: &str) -> Vec<String> {
        self.attempts.borrow().get(id).map(|it| it.runs.clone()).unwrap_or_default()
    }

    /// Returns whether a result exists, and checks that it belongs to the attempt.
    pub fn has_result(&self, handle: &str, attempt: &str) -> bool {
        let results = self.results.borrow();
        match results.get(handle) {
            Some(owner) if owner == attempt => true,
            Some(owner) => {
                self.add_violation(format!("{attempt} received a result of {owner}"));
                true
            }
            None => false,
        }
    }

    pub fn remove_result(&self, handle: &str) {
        self.results.borrow_mut().remove(handle);
    }

    /// Counts a request to an endpoint whose rate limit holds.
    pub fn count_limited(&self) {
        self.n_limited.set(self.n_limited.get() + 1);
    }

    /// Returns the number of requests to endpoints whose rate limit held.
    pub fn n_limited(&self) -> usize {
        self.n_limited.get()
    }

    /// Counts a stream that its caller takes up.
    pub fn count_take_up(&self) {
        self.n_taken_up.set(self.n_taken_up.get() + 1);
    }

    /// Counts a stream that was taken up and came to its end.
    pub fn count_continued(&self) {
        self.n_continued.set(self.n_continued.get() + 1);
    }

    /// Returns the number of streams that callers took up, and that of those which came to their end.
    pub fn take_ups(&self) -> (usize, usize) {
        (self.n_taken_up.get(), self.n_continued.get())
    }

    /// Records a violated guarantee.
    pub fn add_violation(&self, text: String) {
        self.violations.borrow_mut().push(text);
    }

    /// Records that the operator has evacuated a zone, or no longer does.
    pub fn record_evacuation(&self, zone: usize, is_evacuated: bool) {
        let mut evacuated = self.evacuated.borrow_mut();
        evacuated.retain(|it| it.0 != zone);
        if is_evacuated {
            evacuated.push((zone, Instant::now()));
        }
    }

    /// Checks that nothing reaches an endpoint whose zone was evacuated long enough ago.
    fn check_evacuation(&self, id: &str, endpoint: &str) {
        let number: Option<usize> = endpoint.rsplit('-').next().and_then(|it| it.parse().ok());
        let Some(zone) = number.map(|it| it % N_ZONES) else { return };
        let evacuated = self.evacuated.borrow();
        let Some((_, since)) = evacuated.iter().find(|it| it.0 == zone) else { return };
        let time = since.elapsed();
        if EVACUATION_BOUND < time {
            self.add_violation(format!(
                "{id} reached {endpoint} {time:?} after its zone was evacuated"
            ));
        }
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.borrow().clone()
    }

    /// Counts the outcomes of the requests sent between two points in time, except those on which
    /// endpoints crash.
    pub fn count_outcomes(&self, from: Instant, until: Instant) -> OutcomeCounts {
        self.count(|it| from <= it.sent && it.sent < until && it.cause.is_none())
    }

    /// Counts the outcomes of the requests with a body that were sent between two points in time.
    pub fn count_body(&self, body: &str, from: Instant, until: Instant) -> OutcomeCounts {
        self.count(|it| from <= it.sent && it.sent < until && it.body == body.as_bytes())
    }

    fn count(&self, is_counted: impl Fn(&Attempt) -> bool) -> OutcomeCounts {
        let mut counts = OutcomeCounts::default();
        for attempt in self.attempts.borrow().values().filter(|it| is_counted(it)) {
            counts.sent += 1;
            match attempt.outcome {
                Some(Outcome::Success) => counts.served += 1,
                Some(Outcome::Refused(_)) => counts.refused += 1,
                Some(Outcome::Failed(_)) => counts.failed += 1,
                Some(Outcome::Disconnected) | None => counts.disconnected += 1,
            }
        }
        counts
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    pub sent: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    pub disconnected: usize,
}
