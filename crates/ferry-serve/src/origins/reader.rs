//! When the records in the store are read, one read at a time.

use std::time::Duration;

use ferry_model::Moment;

use super::{ReadId, RecordCall};

/// Shortest time between the starts of two reads; one serves all requests that wait for it. Their stages
/// usually take longer.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a read without an answer until the next one, unless a request waits for it.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Default)]
pub(super) struct RecordReader {
    last: ReadId,
    /// Whether the last read has not been answered.
    is_reading: bool,
    started: Moment,
    /// When the next read is due, if one is wanted, and whether it includes streams.
    wanted: Option<(Moment, bool)>,
}

impl RecordReader {
    /// Wants a read that starts from now on; returns the first one that does.
    pub fn request(&mut self, now: Moment, with_streams: bool) -> ReadId {
        let due = match self.last {
            0 => now,
            _ => now.max(self.started + READ_INTERVAL),
        };
        self.want(due, with_streams);
        self.last + 1
    }

    /// Wants a read after a failed one.
    pub fn retry(&mut self, now: Moment, with_streams: bool) {
        self.want(now + RETRY_INTERVAL, with_streams);
    }

    fn want(&mut self, due: Moment, with_streams: bool) {
        self.wanted = Some(match self.wanted {
            Some((before, had_streams)) => (before.min(due), had_streams || with_streams),
            None => (due, with_streams),
        });
    }

    pub fn is_wanted(&self) -> bool {
        self.is_reading || self.wanted.is_some()
    }

    /// Starts the read that is due.
    pub fn due(&mut self, now: Moment) -> Option<RecordCall> {
        let (_, with_streams) = self.wanted.filter(|it| it.0 <= now && !self.is_reading)?;
        self.wanted = None;
        self.is_reading = true;
        self.started = now;
        self.last += 1;
        Some(RecordCall::Read { id: self.last, with_streams })
    }

    /// Ends the read; returns whether it was the current one.
    pub fn on_reply(&mut self, id: ReadId) -> bool {
        self.last == id && std::mem::take(&mut self.is_reading)
    }

    pub fn next_wake(&self) -> Option<Moment> {
        self.wanted.filter(|_| !self.is_reading).map(|it| it.0)
    }
}
