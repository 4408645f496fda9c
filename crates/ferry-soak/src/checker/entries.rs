//! Checks that endpoints whose entries say that they leave, or name no endpoint any longer, get
//! nothing new. Only runs in which nothing disturbs the store check that.

use std::time::Duration;

use ferry_model::SortedMap;
use tokio::time::Instant;

use super::Checker;

/// Time after the store has accepted an entry in which requests may still be sent to the endpoint.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Since when the entries of endpoints are closed.
#[derive(Debug, Default)]
pub struct EntryLog {
    closed: SortedMap<String, Instant>,
    n_closed: usize,
    is_checked: bool,
}

impl Checker {
    /// Checks entries from now on.
    pub fn check_entries(&self) {
        self.entry_log.borrow_mut().is_checked = true;
    }

    /// Records that the entry of an endpoint names it for new requests, or not any longer.
    pub fn record_entry(&self, endpoint: &str, is_open: bool) {
        let mut log = self.entry_log.borrow_mut();
        if is_open {
            log.closed.remove(endpoint);
        } else if log.closed.get(endpoint).is_none() {
            log.closed.insert(endpoint.to_owned(), Instant::now());
            log.n_closed += 1;
        }
    }

    /// Checks what has reached an endpoint for a request that was sent at `sent`.
    pub(super) fn check_entry(&self, id: &str, endpoint: &str, sent: Instant) {
        let log = self.entry_log.borrow();
        let Some(since) = log.closed.get(endpoint).filter(|_| log.is_checked) else { return };
        let Some(delay) = sent.checked_duration_since(*since) else { return };
        if DRAIN_TIME < delay {
            self.add_violation(format!(
                "{id} was sent {delay:?} after the entry of {endpoint} had closed, and reached it"
            ));
        }
    }

    /// Returns the number of entries that were closed.
    pub fn n_closed(&self) -> usize {
        self.entry_log.borrow().n_closed
    }
}
