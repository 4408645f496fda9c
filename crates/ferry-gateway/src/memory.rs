//! Bounds the bytes of bodies that are held at a time.
//!
//! An instance whose memory exceeds its limit is killed, with every request that it has. A request
//! whose body does not fit any more is refused before it is begun.

use std::cell::Cell;
use std::rc::Rc;

/// Part of the process's memory that bodies may take; the rest is for connections and state, and
/// for bodies that are copied while they are read.
const BODY_PART: f64 = 0.35;

/// Bytes that bodies may still take.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    free: Rc<Cell<i64>>,
}

/// Bytes that a body takes; they are free again when this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    free: Rc<Cell<i64>>,
    n_bytes: i64,
}

impl BodyMemory {
    /// Takes the bytes that the whole process may use.
    pub fn new(limit: u64) -> BodyMemory {
        BodyMemory { free: Rc::new(Cell::new((limit as f64 * BODY_PART) as i64)) }
    }

    pub fn reserve(&self) -> MemoryReservation {
        MemoryReservation { free: self.free.clone(), n_bytes: 0 }
    }
}

impl MemoryReservation {
    /// Takes more bytes if they are free, and returns whether they were.
    #[must_use]
    pub fn try_grow(&mut self, n_bytes: usize) -> bool {
        let fits = n_bytes as i64 <= self.free.get();
        if fits {
            self.grow(n_bytes);
        }
        fits
    }

    /// Takes more bytes in any case, as for an answer that is there and must be passed on.
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
