//! Pauses that endpoints ask this instance for when they refuse a request.
//!
//! A pause binds this instance only: the endpoint may have asked others for none. Behind it, the
//! endpoint gets calls at intervals that shorten with each one that succeeds, as all that was held
//! back at once would make it refuse again.

use std::time::Duration;

use ferry_model::Moment;

use super::{EndpointView, Endpoints};

/// Longest pause; a longer one counts as this, so that times which are added to it stay in range.
const MAX_PAUSE: Duration = Duration::from_secs(365 * 24 * 60 * 60);
/// Interval between calls behind a pause, before any of them has succeeded.
const FIRST_INTERVAL: Duration = Duration::from_millis(100);
/// Interval below which calls are no longer kept apart.
const LEAST_INTERVAL: Duration = Duration::from_millis(5);

/// What a refusal says of the time for which its endpoint wants no requests from this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PauseReport {
    Asked(Duration),
    /// The header is not a number of seconds.
    Invalid(String),
}

/// The pause of an endpoint, and the calls that it may get behind it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Pause {
    end: Moment,
    /// End of the part that was asked of this instance. Peers are told of that only: each message
    /// takes time, by which they would put off the end for each other.
    own_end: Moment,
    /// When it was last asked for.
    pub asked_at: Moment,
    /// When the next call may be sent.
    next_call: Moment,
    /// Time between two calls; zero once it takes any number.
    interval: Duration,
}

impl Pause {
    /// Extends the pause. The one that was asked for before holds too.
    fn extend(&mut self, now: Moment, pause: Duration) {
        self.end = self.end.max(now + pause.min(MAX_PAUSE));
        self.asked_at = now;
        self.next_call = self.end;
        self.interval = FIRST_INTERVAL;
    }

    /// Returns the one of two that ends later.
    pub fn longer(self, other: Pause) -> Pause {
        if self.end < other.end { other } else { self }
    }

    /// Returns the time until the end of what was asked of this instance.
    pub fn own_left(&self, now: Moment) -> Duration {
        self.own_end.saturating_sub(now)
    }

    pub fn on_sent(&mut self, now: Moment) {
        if !self.interval.is_zero() {
            self.next_call = now + self.interval;
        }
    }

    pub fn on_success(&mut self, now: Moment) {
        if now < self.end {
            return;
        }
        self.interval /= 2;
        if self.interval < LEAST_INTERVAL {
            self.interval = Duration::ZERO;
        }
    }
}

impl EndpointView {
    /// Whether the endpoint has asked this instance for a pause that is not over.
    pub fn wants_pause(&self, now: Moment) -> bool {
        now < self.statements.pause.end
    }

    /// Returns the time until the endpoint may get a call, as far as its pause goes.
    pub fn pause_left(&self, now: Moment) -> Duration {
        self.next_call().saturating_sub(now)
    }

    pub(super) fn next_call(&self) -> Moment {
        self.statements.pause.next_call
    }

    /// Records that a call is sent.
    pub fn record_sent(&mut self, now: Moment) {
        self.outstanding += 1;
        self.count_cold();
        self.statements.pause.on_sent(now);
    }
}

impl Endpoints {
    /// Records that an endpoint asks for a pause, in the response to a request that was sent when
    /// its start `started` was known; returns whether it had none.
    pub fn record_pause(&mut self, now: Moment, id: &str, started: u64, pause: Duration) -> bool {
        if pause.is_zero() {
            return false;
        }
        let is_new = self.extend_pause(now, id, started, pause);
        let known = &mut self.statements(now, id, started).pause;
        known.own_end = known.own_end.max(now + pause.min(MAX_PAUSE));
        is_new
    }

    /// Records the pause that an endpoint has asked a peer for; returns whether it had none here.
    pub(super) fn extend_pause(
        &mut self,
        now: Moment,
        id: &str,
        started: u64,
        pause: Duration,
    ) -> bool {
        if pause.is_zero() {
            return false;
        }
        let known = &mut self.statements(now, id, started).pause;
        let is_new = known.end <= now;
        known.extend(now, pause);
        is_new
    }
}
