//! Liveness and readiness endpoints.

use std::sync::Arc;

use dropshot::{Body, HttpResponseUpdatedNoContent, RequestContext, endpoint};
use http::header::CONTENT_TYPE;
use http::{Response, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::Problem;
use super::answer::internal_error;
use crate::server::EntryContext;

#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct ReadyBody {
    pub ready: bool,
    /// Revision of the configuration in force; zero if there is none yet.
    pub revision: u64,
}

/// Reports that the process is running.
#[endpoint { method = GET, path = "/v1/live" }]
pub(super) async fn get_live(
    _rqctx: RequestContext<Arc<EntryContext>>,
) -> Result<HttpResponseUpdatedNoContent, Problem> {
    Ok(HttpResponseUpdatedNoContent())
}

/// Reports whether this instance accepts requests.
#[endpoint { method = GET, path = "/v1/ready" }]
pub(super) async fn get_ready(
    rqctx: RequestContext<Arc<EntryContext>>,
) -> Result<Response<Body>, Problem> {
    let status = rqctx.context().handle.status();
    let code = match status.ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    let body = ReadyBody { ready: status.ready, revision: status.revision };
    let body = serde_json::to_string(&body).map_err(internal_error)?;
    Response::builder()
        .status(code)
        .header(CONTENT_TYPE, "application/json")
        .body(Body::from(body))
        .map_err(internal_error)
}
