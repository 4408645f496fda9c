//! Splits a stream into complete events, so that a partial event is never forwarded.

use bytes::{Bytes, BytesMut};

/// Buffers bytes of a stream and returns complete events.
#[derive(Debug)]
pub struct EventSplitter {
    buffer: BytesMut,
    n_events: usize,
    /// Id of the last event that was returned.
    last_id: Option<u64>,
    /// Events up to this id were forwarded by an earlier call.
    skip: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter that drops events up to the id `skip`, which the caller already has.
    pub fn new(skip: Option<u64>) -> EventSplitter {
        EventSplitter { buffer: BytesMut::new(), n_events: 0, last_id: skip, skip }
    }

    /// Adds received bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(len) = event_end(&self.buffer) {
            let event = self.buffer.split_to(len);
            let id = event_id(&event);
            let is_skipped = matches!((id, self.skip), (Some(id), Some(skip)) if id <= skip);
            if is_skipped {
                continue;
            }
            self.last_id = id.or(self.last_id);
            self.n_events += 1;
            out.extend_from_slice(&event);
        }
        out.freeze()
    }

    /// Returns the empty lines at the end of a stream; bytes of an incomplete event stay buffered.
    pub fn finish(&mut self) -> Bytes {
        match self.buffer.iter().all(|it| matches!(it, b'\r' | b'\n')) {
            true => self.buffer.split().freeze(),
            false => Bytes::new(),
        }
    }

    /// Returns the number of events that were returned.
    pub fn n_events(&self) -> usize {
        self.n_events
    }

    /// Returns the number of buffered bytes, which belong to an incomplete event.
    pub fn n_buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the id of the last event that was returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Returns the length of the first event including the empty line that ends it.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    let mut is_blank = true;
    for line in bytes.split_inclusive(|it| *it == b'\n') {
        if line.last() != Some(&b'\n') {
            return None;
        }
        at += line.len();
        let is_empty = line == b"\n" || line == b"\r\n";
        if is_empty && !is_blank {
            return Some(at);
        }
        is_blank &= is_empty;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|it| *it == b'\n').find_map(|it| it.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
