//! A stand-in for the platform: the object API and the lagging instance list, in memory.
//!
//! It serves a subset of the REST conventions of Kubernetes. docs/ENDPOINTS.md
//! describes it together with the faults that `/control` sets.

mod control;
mod faults;
mod fleet;
mod objects;
mod state;
mod watch;

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, Body, ConfigDropshot, HandlerTaskMode, HttpError, HttpServer, ServerBuilder,
};
use http::{Response, StatusCode};
use serde::Serialize;
use slog::Logger;

use crate::RunLog;

pub use faults::{CallCounts, PlatformFaults};
pub use state::PlatformState;

const MAX_VALUE_BYTES: usize = 1024 * 1024;

pub struct PlatformStandin {
    server: HttpServer<PlatformState>,
    pub state: PlatformState,
}

impl PlatformStandin {
    pub fn start(
        bind: SocketAddr,
        run_log: RunLog,
        log: &Logger,
    ) -> Result<PlatformStandin, String> {
        let state = PlatformState::new(run_log);
        let config = ConfigDropshot {
            bind_address: bind,
            default_request_body_max_bytes: 2 * MAX_VALUE_BYTES,
            default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
            ..ConfigDropshot::default()
        };
        let server = ServerBuilder::new(api()?, state.clone(), log.clone())
            .config(config)
            .start()
            .map_err(|it| format!("could not start the platform on {bind}: {it}"))?;
        Ok(PlatformStandin { server, state })
    }

    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }
}

fn api() -> Result<ApiDescription<PlatformState>, String> {
    let mut api = ApiDescription::new();
    api.register(objects::get_object).map_err(|it| it.to_string())?;
    api.register(objects::list_objects).map_err(|it| it.to_string())?;
    api.register(objects::put_object).map_err(|it| it.to_string())?;
    api.register(objects::delete_object).map_err(|it| it.to_string())?;
    api.register(fleet::list_endpoints).map_err(|it| it.to_string())?;
    api.register(control::put_endpoints).map_err(|it| it.to_string())?;
    api.register(control::put_instances).map_err(|it| it.to_string())?;
    api.register(control::put_faults).map_err(|it| it.to_string())?;
    api.register(control::get_faults).map_err(|it| it.to_string())?;
    api.register(control::get_counts).map_err(|it| it.to_string())?;
    api.register(control::list_runs).map_err(|it| it.to_string())?;
    Ok(api)
}

/// Builds a JSON response.
pub fn json<T: Serialize>(code: StatusCode, body: &T) -> Result<Response<Body>, HttpError> {
    let text =
        serde_json::to_string(body).map_err(|it| HttpError::for_internal_error(it.to_string()))?;
    Response::builder()
        .status(code)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Body::from(text))
        .map_err(|it| HttpError::for_internal_error(it.to_string()))
}
