//! The control interface, over which tests set faults and lists and read counts and runs.

use dropshot::{Body, HttpError, HttpResponseOk, RequestContext, TypedBody, endpoint};
use http::{Response, StatusCode};
use serde::de::DeserializeOwned;

use super::objects::status;
use super::{CallCounts, PlatformFaults, PlatformState, json};
use crate::Run;

/// Replaces all faults; a field that is left out is off.
#[endpoint { method = PUT, path = "/control/faults" }]
pub(super) async fn put_faults(
    rqctx: RequestContext<PlatformState>,
    body: TypedBody<PlatformFaults>,
) -> Result<HttpResponseOk<PlatformFaults>, HttpError> {
    let faults = body.into_inner();
    rqctx.context().set_faults(faults.clone());
    Ok(HttpResponseOk(faults))
}

#[endpoint { method = GET, path = "/control/faults" }]
pub(super) async fn get_faults(
    rqctx: RequestContext<PlatformState>,
) -> Result<HttpResponseOk<PlatformFaults>, HttpError> {
    Ok(HttpResponseOk(rqctx.context().faults()))
}

/// Returns how many calls were served.
#[endpoint { method = GET, path = "/control/counts" }]
pub(super) async fn get_counts(
    rqctx: RequestContext<PlatformState>,
) -> Result<HttpResponseOk<CallCounts>, HttpError> {
    Ok(HttpResponseOk(rqctx.context().counts()))
}

/// Replaces the instances in the instance list.
#[endpoint { method = PUT, path = "/control/instances" }]
pub(super) async fn put_instances(
    rqctx: RequestContext<PlatformState>,
    body: TypedBody<serde_json::Value>,
) -> Result<Response<Body>, HttpError> {
    set(body, |it| rqctx.context().set_instances(it))
}

/// Replaces the endpoints in the instance list.
#[endpoint { method = PUT, path = "/control/endpoints" }]
pub(super) async fn put_endpoints(
    rqctx: RequestContext<PlatformState>,
    body: TypedBody<serde_json::Value>,
) -> Result<Response<Body>, HttpError> {
    set(body, |it| rqctx.context().set_endpoints(it))
}

/// Lists every call that the endpoints of this process ran.
#[endpoint { method = GET, path = "/control/runs" }]
pub(super) async fn list_runs(
    rqctx: RequestContext<PlatformState>,
) -> Result<HttpResponseOk<Vec<Run>>, HttpError> {
    Ok(HttpResponseOk(rqctx.context().run_log.runs()))
}

fn set<T: DeserializeOwned>(
    body: TypedBody<serde_json::Value>,
    apply: impl FnOnce(T),
) -> Result<Response<Body>, HttpError> {
    match serde_json::from_value(body.into_inner()) {
        Ok(value) => apply(value),
        Err(error) => return status(StatusCode::BAD_REQUEST, &error.to_string()),
    }
    json(StatusCode::OK, &serde_json::json!({}))
}
