//! What callers sent and what endpoints did with it, and whether the promises hold.

use std::cell::RefCell;

use ferry_model::SortedMap;
use tokio::time::Instant;

use crate::config::Route;

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Whole, and the endpoint's own.
    Success,
    /// An answer of the system's own.
    Refused(u16),
    /// An endpoint's failure, passed on.
    Failed(u16),
    /// The connection ended without a whole answer.
    Disconnected,
}

#[derive(Debug, Clone)]
struct Attempt {
    route: Route,
    body: Vec<u8>,
    runs: Vec<String>,
    outcome: Option<Outcome>,
    sent: Instant,
}

/// Shared by callers and endpoints, which all live in this process.
#[derive(Debug, Default)]
pub struct Checker {
    attempts: RefCell<SortedMap<String, Attempt>>,
    /// Attempt that each result belongs to.
    results: RefCell<SortedMap<String, String>>,
    violations: RefCell<Vec<String>>,
}

impl Checker {
    pub fn record_sent(&self, id: &str, route: Route, body: &[u8]) {
        let attempt = Attempt {
            route,
            body: body.to_vec(),
            runs: Vec::new(),
            outcome: None,
            sent: Instant::now(),
        };
        self.attempts.borrow_mut().insert(id.to_owned(), attempt);
    }

    /// Notes that an endpoint begins to run an attempt.
    pub fn record_run(&self, id: &str, endpoint: &str, path: &str, body: &[u8]) {
        let mut attempts = self.attempts.borrow_mut();
        let Some(attempt) = attempts.get_mut(id) else {
            return self.add_violation(format!("{endpoint} ran {id}, which nobody sent"));
        };
        if attempt.route.path() != path || attempt.body != body {
            self.add_violation(format!("{endpoint} ran {id} with {path} or its body changed"));
        }
        attempt.runs.push(endpoint.to_owned());
        if let Some(Outcome::Refused(status @ (429 | 503))) = attempt.outcome {
            self.add_violation(format!("{endpoint} ran {id} after the caller got {status}"));
        }
        let is_doubled = attempt.route.max_runs() < attempt.runs.len();
        if is_doubled {
            self.add_violation(format!("{id} ({:?}) ran at {:?}", attempt.route, attempt.runs));
        }
    }

    pub fn record_outcome(&self, id: &str, outcome: Outcome) {
        let mut attempts = self.attempts.borrow_mut();
        let Some(attempt) = attempts.get_mut(id) else { return };
        let is_promise = matches!(outcome, Outcome::Refused(429 | 503));
        if is_promise && !attempt.runs.is_empty() && attempt.route.max_runs() == 1 {
            self.add_violation(format!("{id} got {outcome:?} and ran at {:?}", attempt.runs));
        }
        attempt.outcome = Some(outcome);
    }

    pub fn add_result(&self, handle: &str, attempt: &str) {
        self.results.borrow_mut().insert(handle.to_owned(), attempt.to_owned());
    }

    /// Endpoints that ran an attempt.
    pub fn runs(&self, id: &str) -> Vec<String> {
        self.attempts.borrow().get(id).map(|it| it.runs.clone()).unwrap_or_default()
    }

    /// Whether a result exists; it must be the attempt's own.
    pub fn has_result(&self, handle: &str, attempt: &str) -> bool {
        let results = self.results.borrow();
        match results.get(handle) {
            Some(owner) if owner == attempt => true,
            Some(owner) => {
                self.add_violation(format!("{attempt} was given a result of {owner}"));
                true
            }
            None => false,
        }
    }

    pub fn remove_result(&self, handle: &str) {
        self.results.borrow_mut().remove(handle);
    }

    pub fn add_violation(&self, what: String) {
        self.violations.borrow_mut().push(what);
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.borrow().clone()
    }

    /// Counts what callers saw of the requests that they sent in a span.
    pub fn count_outcomes(&self, from: Instant, until: Instant) -> OutcomeCounts {
        let mut counts = OutcomeCounts::default();
        for attempt in
            self.attempts.borrow().values().filter(|it| from <= it.sent && it.sent < until)
        {
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
