//! Moments at which requests want to be looked at.

use std::collections::VecDeque;

use ferry_model::{Moment, RequestId};
use serde::{Deserialize, Serialize};

/// A sorted queue: most timers are set near its end and taken from its start.
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

    /// Takes the next request that is due.
    pub fn pop(&mut self, now: Moment) -> Option<RequestId> {
        if now < self.next()? {
            return None;
        }
        self.due.pop_front().map(|(_, request)| request)
    }
}
