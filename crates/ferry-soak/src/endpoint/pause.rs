//! Refusals in which a simulated endpoint asks for a pause.

use std::cell::Cell;
use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};

use super::Endpoint;
use super::responses::not_run;
use crate::server::Body;

/// The pause that an endpoint asks for, if it refuses requests.
#[derive(Debug, Default)]
pub struct Pause {
    /// In seconds; may be no valid time.
    seconds: Cell<Option<f64>>,
}

impl Pause {
    /// Refuses all requests and asks for a pause, or none any longer.
    pub fn set(&self, seconds: Option<f64>) {
        self.seconds.set(seconds);
    }

    /// Returns the refusal, and the pause that it asks for.
    fn refusal(&self) -> Option<(Response<Body>, Option<Duration>)> {
        let seconds = self.seconds.get()?;
        let mut response = not_run(StatusCode::SERVICE_UNAVAILABLE);
        let value = HeaderValue::from_str(&seconds.to_string()).ok()?;
        response.headers_mut().insert(RETRY_AFTER, value);
        Some((response, Duration::try_from_secs_f64(seconds).ok()))
    }
}

impl Endpoint {
    /// Checks a request against earlier pauses, and refuses it if the endpoint pauses.
    pub(super) fn apply_pause(&self, attempt: Option<&str>) -> Option<Response<Body>> {
        let sender = self.checker.sender(attempt);
        if let Some(node) = &sender {
            self.checker.check_pauses(node, &self.id, self.started.get(), attempt);
        }
        let (response, pause) = self.pause.refusal()?;
        if let (Some(node), Some(pause)) = (&sender, pause) {
            self.checker.record_pause(node, &self.id, self.started.get(), pause);
        }
        Some(response)
    }
}
