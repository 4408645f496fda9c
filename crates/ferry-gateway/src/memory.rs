//! Limits the total size of the bodies in memory.
//!
//! An instance that exceeds its memory limit is killed, and all its requests fail. A request whose
//! body does not fit is therefore refused before it starts.

use std::cell::Cell;
use std::rc::Rc;

/// Share of the process's memory for bodies; the rest is for connections, state and copies of bodies
/// that are being read.
const BODY_SHARE: f64 = 0.35;

/// Memory that is available for bodies, in bytes.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    free: Rc<Cell<i64>>,
}

/// Memory reserved for a body, which is released when this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    free: Rc<Cell<i64>>,
    n_bytes: i64,
}

impl BodyMemory {
    /// Creates a budget from the memory limit of the process in bytes.
    pub fn new(limit: u64) -> BodyMemory {
        BodyMemory { free: Rc::new(Cell::new((limit as f64 * BODY_SHARE) as i64)) }
    }

    /// Creates an empty reservation.
    pub fn reserve(&self) -> MemoryReservation {
        MemoryReservation { free: self.free.clone(), n_bytes: 0 }
    }
}

impl MemoryReservation {
    /// Reserves more bytes if they are available; returns whether they were.
    #[must_use]
    pub fn try_grow(&mut self, n_bytes: usize) -> bool {
        let fits = n_bytes as i64 <= self.free.get();
        if fits {
            self.grow(n_bytes);
        }
        fits
    }

    /// Reserves more bytes in any case, such as for a response that has already been received.
    pub fn grow(&mut self, n_bytes: usize) {
        self.n_bytes += n_bytes as i64;
        self.free.set(self.free.get() - n_bytes as i64);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.free.set(self.free.get() + self.n_bytes);
    }
}
