//! Checks that an endpoint which has asked a gateway for a pause gets no requests from it meanwhile.

use std::time::Duration;

use tokio::time::Instant;

use super::Checker;

/// Time after the refusal in which requests that are on their way may still arrive.
const GRACE_TIME: Duration = Duration::from_millis(500);
/// Requests that may reach an endpoint in the rest of a pause.
const MAX_REQUESTS: usize = 2;

/// A pause that an endpoint has asked a gateway for.
#[derive(Debug)]
struct Pause {
    endpoint: String,
    /// Which start of the endpoint it is.
    start: u64,
    node: String,
    from: Instant,
    until: Instant,
    /// Requests that came in it, by attempt and the time since each was sent.
    requests: Vec<(String, Duration)>,
}

/// Pauses that are not over, and what came in those that are.
#[derive(Debug, Default)]
pub struct PauseLog {
    pauses: Vec<Pause>,
    counts: PauseCounts,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PauseCounts {
    /// Refusals that asked for a pause longer than the time for requests on their way.
    pub asked: usize,
    /// Most requests in one pause.
    pub most: usize,
}

impl Checker {
    /// Names the only gateway of a run, as the sender of what has no attempt.
    pub fn set_only_node(&self, node: &str) {
        self.only_node.replace(Some(node.to_owned()));
    }

    /// Returns the gateway that sent a request, as far as known.
    pub fn sender(&self, attempt: Option<&str>) -> Option<String> {
        let attempts = self.attempts.borrow();
        let node = attempt.and_then(|it| attempts.get(it)).and_then(|it| it.node.clone());
        node.or_else(|| self.only_node.borrow().clone())
    }

    /// Records that an endpoint asks a gateway for a pause.
    pub fn record_pause(&self, node: &str, endpoint: &str, start: u64, pause: Duration) {
        if pause <= GRACE_TIME {
            return;
        }
        let now = Instant::now();
        let mut log = self.pause_log.borrow_mut();
        log.counts.asked += 1;
        log.pauses.retain(|it| now < it.until);
        log.pauses.push(Pause {
            endpoint: endpoint.to_owned(),
            start,
            node: node.to_owned(),
            from: now + GRACE_TIME,
            until: now + pause,
            requests: Vec::new(),
        });
    }

    /// Forgets what a gateway was asked for, as it stops, starts or freezes.
    pub fn forget_pauses(&self, node: &str) {
        self.pause_log.borrow_mut().pauses.retain(|it| it.node != node);
    }

    /// Checks a request that has reached a start of an endpoint.
    pub fn check_pauses(&self, node: &str, endpoint: &str, start: u64, attempt: Option<&str>) {
        let now = Instant::now();
        let sent = attempt.and_then(|it| self.attempts.borrow().get(it).map(|it| it.sent));
        let age = now - sent.unwrap_or(now);
        let mut log = self.pause_log.borrow_mut();
        let PauseLog { pauses, counts } = &mut *log;
        let is_open = |it: &&mut Pause| {
            it.endpoint == endpoint
                && it.start == start
                && it.node == node
                && it.from < now
                && now < it.until
        };
        for pause in pauses.iter_mut().filter(is_open) {
            pause.requests.push((attempt.unwrap_or_default().to_owned(), age));
            counts.most = counts.most.max(pause.requests.len());
            if pause.requests.len() == MAX_REQUESTS + 1 {
                self.add_violation(format!(
                    "{endpoint} got more than {MAX_REQUESTS} requests from {node} in a pause of \
                     {:?} that it had asked for: {:?}",
                    pause.until - pause.from + GRACE_TIME,
                    pause.requests
                ));
            }
        }
    }

    pub fn pause_counts(&self) -> PauseCounts {
        self.pause_log.borrow().counts
    }
}
