//! Pauses that endpoints ask this instance for when they refuse a request.

use std::time::Duration;

use ferry_model::Moment;

use super::{EndpointView, Endpoints};

/// What a refusal says of the time for which its endpoint wants no requests from this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PauseReport {
    Asked(Duration),
    /// The header is not a number of seconds.
    Invalid(String),
}

impl EndpointView {
    /// Whether the endpoint has asked this instance for a pause that is not over.
    pub fn wants_pause(&self, now: Moment) -> bool {
        now < self.pause_end
    }
}

impl Endpoints {
    /// Records that an endpoint asks for a pause; returns whether it had none.
    pub fn record_pause(&mut self, now: Moment, id: &str, started: u64, pause: Duration) -> bool {
        let Some(view) = self.get_mut(id).filter(|it| it.endpoint.started == started) else {
            return false;
        };
        let is_new = !view.wants_pause(now) && !pause.is_zero();
        view.pause_end = view.pause_end.max(now.saturating_add(pause));
        is_new
    }
}
