//! Calls in progress at a simulated endpoint.

use std::cell::Cell;

/// Counts a call in progress, also until its connection is closed.
pub struct CallGuard<'a>(&'a Cell<u32>);

impl CallGuard<'_> {
    pub fn new(n_calls: &Cell<u32>) -> CallGuard<'_> {
        n_calls.set(n_calls.get() + 1);
        CallGuard(n_calls)
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
