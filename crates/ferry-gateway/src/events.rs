//! Cuts a stream at the ends of its events, so that half an event is never passed on.

use bytes::{Bytes, BytesMut};

/// Collects bytes of a stream and gives out whole events.
#[derive(Debug)]
pub struct EventSplitter {
    rest: BytesMut,
    /// Last event that was given out.
    last: Option<u64>,
    /// Events up to this one were passed on by an earlier call.
    skip: Option<u64>,
}

impl EventSplitter {
    /// Makes a splitter that drops events up to `skip`, which the caller has already.
    pub fn new(skip: Option<u64>) -> EventSplitter {
        EventSplitter { rest: BytesMut::new(), last: skip, skip }
    }

    /// Takes bytes as they come and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(len) = event_end(&self.rest) {
            let event = self.rest.split_to(len);
            let id = event_id(&event);
            let is_known = matches!((id, self.skip), (Some(id), Some(skip)) if id <= skip);
            if is_known {
                continue;
            }
            self.last = id.or(self.last);
            out.extend_from_slice(&event);
        }
        out.freeze()
    }

    /// Returns what is left when the endpoint has ended the stream as complete.
    pub fn finish(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// Bytes of an event that is not whole yet.
    pub fn n_buffered(&self) -> usize {
        self.rest.len()
    }

    pub fn last(&self) -> Option<u64> {
        self.last
    }
}

/// Returns the length of the first event with the empty line that ends it.
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
