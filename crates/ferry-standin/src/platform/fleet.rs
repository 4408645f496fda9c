//! The instance list, which lags behind the truth.

use std::time::Duration;

use dropshot::{Body, HttpError, RequestContext, endpoint};
use ferry_edge::wire::FleetBody;
use http::{Response, StatusCode};
use tokio::time::Instant;

use super::objects::admit;
use super::{PlatformState, json};

/// Versions of the list with the time of each, oldest first.
#[derive(Debug, Default)]
pub struct FleetLog {
    versions: Vec<(Instant, FleetBody)>,
    frozen: Option<FleetBody>,
}

impl FleetLog {
    pub fn push(&mut self, body: FleetBody) {
        self.versions.push((Instant::now(), body));
    }

    pub fn newest(&self) -> FleetBody {
        match self.versions.last() {
            Some((_, body)) => body.clone(),
            None => FleetBody { endpoints: Vec::new(), instances: Vec::new() },
        }
    }

    /// Goes on showing the list of now, or ends that.
    pub fn freeze(&mut self, is_frozen: bool) {
        self.frozen = match (is_frozen, self.frozen.take()) {
            (false, _) => None,
            (true, Some(frozen)) => Some(frozen),
            (true, None) => Some(self.newest()),
        };
    }

    /// Returns the list of `lag_ms` ago, or the oldest one.
    pub fn shown(&self, now: Instant, lag_ms: u64) -> FleetBody {
        if let Some(frozen) = &self.frozen {
            return frozen.clone();
        }
        let lag = Duration::from_millis(lag_ms);
        let is_visible = |at: &Instant| lag <= now.saturating_duration_since(*at);
        let shown = self.versions.iter().rev().find(|(at, _)| is_visible(at));
        match shown.or_else(|| self.versions.first()) {
            Some((_, body)) => body.clone(),
            None => self.newest(),
        }
    }
}

#[endpoint { method = GET, path = "/v1/endpoints" }]
pub(super) async fn list_endpoints(
    rqctx: RequestContext<PlatformState>,
) -> Result<Response<Body>, HttpError> {
    let state = rqctx.context();
    if let Some(refusal) = admit(state, |it| (&mut it.fleet_lists, false)).await? {
        return Ok(refusal);
    }
    let body = state.lock().shown_fleet();
    json(StatusCode::OK, &body)
}
