//! Timers of the requests in flight.

use std::collections::VecDeque;

use ferry_model::{Moment, RequestId};
use serde::{Deserialize, Serialize};

/// Timers sorted by due time. A deque is cheap here, because most timers are inserted near the
/// end and removed from the front.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Timers {
    due: VecDeque<(Moment, RequestId)>,
}

impl Timers {
    pub fn set(&mut self, at: Moment, request: RequestId) {
        if let Err(idx) = self.due.binary_search(&(at, request)) {
            self.due.insert(idx, (at, request));
        }
    }

    pub fn clear(&mut self, at: Moment, request: RequestId) {
        if let Ok(idx) = self.due.binary_search(&(at, request)) {
            self.due.remove(idx);
        }
    }

    pub fn next(&self) -> Option<Moment> {
        self.due.front().map(|(at, _)| *at)
    }

    /// Removes and returns the next request whose timer is due.
    pub fn pop(&mut self, now: Moment) -> Option<RequestId> {
        if now < self.next()? {
            return None;
        }
        self.due.pop_front().map(|(_, request)| request)
    }
}
