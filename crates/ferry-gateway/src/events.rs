//! Splits a stream into complete events, so that a partial event is never forwarded.

use bytes::{Bytes, BytesMut};

/// Buffers bytes of a stream and returns complete events.
#[derive(Debug)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Start of the last line, and the end of what was searched, so that no byte is searched again
    /// for each part of an event that arrives.
    line: usize,
    searched: usize,
    /// Whether the event has no line yet that is not empty.
    is_blank: bool,
    n_events: usize,
    /// Id of the last event that was returned.
    last_id: Option<u64>,
    /// Events up to this id were forwarded by an earlier call.
    skip: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter that drops events up to the id `skip`, which the caller already has.
    pub fn new(skip: Option<u64>) -> EventSplitter {
        EventSplitter {
            buffer: BytesMut::new(),
            line: 0,
            searched: 0,
            is_blank: true,
            n_events: 0,
            last_id: skip,
            skip,
        }
    }

    /// Adds received bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(len) = self.event_end() {
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

    /// Returns the length of the first event including the empty line that ends it.
    fn event_end(&mut self) -> Option<usize> {
        loop {
            let Some(at) = self.buffer[self.searched..].iter().position(|it| *it == b'\n') else {
                self.searched = self.buffer.len();
                return None;
            };
            let end = self.searched + at + 1;
            let line = &self.buffer[self.line..end];
            let is_empty = line == b"\n" || line == b"\r\n";
            if is_empty && !self.is_blank {
                (self.line, self.searched, self.is_blank) = (0, 0, true);
                return Some(end);
            }
            (self.line, self.searched) = (end, end);
            self.is_blank &= is_empty;
        }
    }

    /// Returns the empty lines at the end of a stream; bytes of an incomplete event stay buffered.
    pub fn finish(&mut self) -> Bytes {
        (self.line, self.searched, self.is_blank) = (0, 0, true);
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

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|it| *it == b'\n').find_map(|it| it.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
