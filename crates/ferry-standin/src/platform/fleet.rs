//! The instance list, which can lag behind its current version.

use std::time::Duration;

use dropshot::{Body, HttpError, RequestContext, endpoint};
use ferry_edge::wire::FleetBody;
use http::header::{ETAG, IF_NONE_MATCH};
use http::{HeaderValue, Response, StatusCode};
use tokio::time::Instant;

use super::objects::admit;
use super::{PlatformState, json};

/// Versions of the list with the time of each, oldest first.
#[derive(Debug, Default)]
pub struct FleetLog {
    versions: Vec<(Instant, FleetBody)>,
    frozen: Option<FleetVersion>,
}

/// A version of the list, and the number of earlier ones.
#[derive(Debug, Clone)]
pub struct FleetVersion {
    pub number: usize,
    pub body: FleetBody,
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

    /// Keeps showing the present version of the list, or stops doing so.
    pub fn freeze(&mut self, is_frozen: bool) {
        self.frozen = match (is_frozen, self.frozen.take()) {
            (false, _) => None,
            (true, Some(frozen)) => Some(frozen),
            (true, None) => Some(self.at(self.versions.len().saturating_sub(1))),
        };
    }

    /// Returns the list as of `lag_ms` milliseconds ago, or its oldest version.
    pub fn shown(&self, now: Instant, lag_ms: u64) -> FleetVersion {
        if let Some(frozen) = &self.frozen {
            return frozen.clone();
        }
        let lag = Duration::from_millis(lag_ms);
        let is_visible = |at: &Instant| lag <= now.saturating_duration_since(*at);
        self.at(self.versions.iter().rposition(|(at, _)| is_visible(at)).unwrap_or(0))
    }

    fn at(&self, number: usize) -> FleetVersion {
        let body = self.versions.get(number).map(|(_, body)| body.clone());
        FleetVersion { number, body: body.unwrap_or_else(|| self.newest()) }
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
    let shown = state.lock().shown_fleet();
    let tag = format!("\"{}\"", shown.number);
    if rqctx.request.headers().get(IF_NONE_MATCH).is_some_and(|it| it == tag.as_str()) {
        return Response::builder()
            .status(StatusCode::NOT_MODIFIED)
            .header(ETAG, tag)
            .body(Body::empty())
            .map_err(|it| HttpError::for_internal_error(it.to_string()));
    }
    let mut response = json(StatusCode::OK, &shown.body)?;
    if let Ok(tag) = HeaderValue::from_str(&tag) {
        response.headers_mut().insert(ETAG, tag);
    }
    Ok(response)
}
