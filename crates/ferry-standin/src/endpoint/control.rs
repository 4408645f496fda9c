//! Orders, the state, the faults and the log of runs of an endpoint over HTTP.

use std::sync::Arc;

use dropshot::{ApiDescription, Body, HttpError, RequestContext, TypedBody, endpoint};
use ferry_edge::orders::FencedBody;
use ferry_model::Order;
use http::{Response, StatusCode};

use super::{EndpointFaults, OrderOutcome, State, bad_request};
use crate::platform::json;

type Context = RequestContext<Arc<State>>;

pub(super) fn register(api: &mut ApiDescription<Arc<State>>) -> Result<(), String> {
    api.register(get_state).map_err(|it| it.to_string())?;
    api.register(put_state).map_err(|it| it.to_string())?;
    api.register(get_faults).map_err(|it| it.to_string())?;
    api.register(put_faults).map_err(|it| it.to_string())?;
    api.register(get_runs).map_err(|it| it.to_string())
}

#[endpoint { method = GET, path = "/v1/state" }]
async fn get_state(rqctx: Context) -> Result<Response<Body>, HttpError> {
    let state = rqctx.context();
    let report = state.engine.report(&state.spec.id, state.in_flight(), state.spec.slots);
    json(StatusCode::OK, &report)
}

#[endpoint { method = PUT, path = "/v1/state" }]
async fn put_state(
    rqctx: Context,
    body: TypedBody<serde_json::Value>,
) -> Result<Response<Body>, HttpError> {
    let order: Order = match serde_json::from_value(body.into_inner()) {
        Ok(order) => order,
        Err(error) => return bad_request(&error),
    };
    let state = rqctx.context();
    if order.endpoint != state.spec.id {
        let message = format!("the order is for {}, not for {}", order.endpoint, state.spec.id);
        return json(StatusCode::NOT_FOUND, &serde_json::json!({ "message": message }));
    }
    match state.engine.apply(&order) {
        OrderOutcome::Applied => json(StatusCode::OK, &serde_json::json!({})),
        OrderOutcome::Fenced { seen } => json(StatusCode::CONFLICT, &FencedBody { seen }),
        OrderOutcome::Busy => {
            let body = serde_json::json!({ "message": "the weight store is busy" });
            json(StatusCode::SERVICE_UNAVAILABLE, &body)
        }
    }
}

#[endpoint { method = GET, path = "/control/faults" }]
async fn get_faults(rqctx: Context) -> Result<Response<Body>, HttpError> {
    let faults = rqctx.context().faults().clone();
    json(StatusCode::OK, &faults)
}

#[endpoint { method = PUT, path = "/control/faults" }]
async fn put_faults(
    rqctx: Context,
    body: TypedBody<serde_json::Value>,
) -> Result<Response<Body>, HttpError> {
    let faults: EndpointFaults = match serde_json::from_value(body.into_inner()) {
        Ok(faults) => faults,
        Err(error) => return bad_request(&error),
    };
    *rqctx.context().faults() = faults.clone();
    json(StatusCode::OK, &faults)
}

#[endpoint { method = GET, path = "/witness" }]
async fn get_runs(rqctx: Context) -> Result<Response<Body>, HttpError> {
    let state = rqctx.context();
    let mut runs = state.run_log.runs();
    runs.retain(|it| it.endpoint == state.spec.id);
    json(StatusCode::OK, &runs)
}
