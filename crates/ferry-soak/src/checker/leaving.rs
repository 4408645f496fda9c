//! Checks that an instance which was told that an endpoint leaves sends it no requests any longer.

use std::time::Duration;

use tokio::time::Instant;

use super::Checker;

/// Time after the announcement in which requests may still be sent to the endpoint.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// An announcement that a gateway has passed on.
#[derive(Debug)]
struct Announcement {
    endpoint: String,
    /// Which start of the endpoint it is.
    start: u64,
    node: String,
    at: Instant,
}

/// Announcements that gateways have passed on, and the requests that followed.
#[derive(Debug, Default)]
pub struct LeavingLog {
    announcements: Vec<Announcement>,
    n_announced: usize,
    /// Times from an announcement to later requests from the same gateway.
    delays: Vec<Duration>,
}

impl LeavingLog {
    fn find(&self, endpoint: &str, start: u64, node: &str) -> Option<&Announcement> {
        let is_same =
            |it: &&Announcement| it.endpoint == endpoint && it.start == start && it.node == node;
        self.announcements.iter().find(is_same)
    }
}

impl Checker {
    /// Records that a caller has received a response whose endpoint announces that it leaves.
    pub fn record_leaving(&self, id: &str) {
        let attempts = self.attempts.borrow();
        let Some(attempt) = attempts.get(id) else { return };
        // With several runs it is unknown which endpoint has answered.
        let ([endpoint], Some(node)) = (attempt.runs.as_slice(), &attempt.node) else { return };
        let start = attempt.start;
        let mut log = self.leaving_log.borrow_mut();
        if log.find(endpoint, start, node).is_none() {
            log.n_announced += 1;
            let (endpoint, node) = (endpoint.clone(), node.clone());
            log.announcements.push(Announcement { endpoint, start, node, at: Instant::now() });
        }
    }

    /// Forgets what a gateway was told, as it stops or starts.
    pub fn forget_leaving(&self, node: &str) {
        self.leaving_log.borrow_mut().announcements.retain(|it| it.node != node);
    }

    /// Checks a request that has reached a start of an endpoint.
    pub fn check_leaving(&self, id: &str, endpoint: &str, start: u64) {
        if let Some(attempt) = self.attempts.borrow_mut().get_mut(id) {
            attempt.start = start;
        }
        self.check_late(id, endpoint, start);
    }

    /// Checks an item that has reached a start of an endpoint, by the gateway that took its request:
    /// another one may have sent the item.
    pub fn check_leaving_items(&self, id: &str, endpoint: &str, start: u64) {
        self.check_late(id, endpoint, start);
    }

    fn check_late(&self, id: &str, endpoint: &str, start: u64) {
        let attempts = self.attempts.borrow();
        let Some(attempt) = attempts.get(id) else { return };
        let Some(node) = &attempt.node else { return };
        let mut log = self.leaving_log.borrow_mut();
        let Some(at) = log.find(endpoint, start, node).map(|it| it.at) else { return };
        let Some(delay) = attempt.sent.checked_duration_since(at) else { return };
        log.delays.push(delay);
        if DRAIN_TIME < delay {
            self.add_violation(format!(
                "{id} was sent to {node} {delay:?} after it had announced that {endpoint} leaves, \
                 and reached that endpoint"
            ));
        }
    }

    /// Returns the number of announcements that gateways passed on, and the times from them to
    /// later requests.
    pub fn leaving(&self) -> (usize, Vec<Duration>) {
        let log = self.leaving_log.borrow();
        (log.n_announced, log.delays.clone())
    }

    /// Counts the items that an endpoint was asked for.
    pub fn n_items(&self, endpoint: &str) -> usize {
        let attempts = self.attempts.borrow();
        attempts.values().flat_map(|it| &it.stages).filter(|it| *it == endpoint).count()
    }

    /// Counts the runs of requests at an endpoint.
    pub fn n_runs(&self, endpoint: &str) -> usize {
        let attempts = self.attempts.borrow();
        attempts.values().flat_map(|it| &it.runs).filter(|it| *it == endpoint).count()
    }
}
