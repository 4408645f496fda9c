//! Calls for items of stages, and for results that nobody reads any more.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ferry_model::ResultHandle;
use ferry_platform::{headers, items};
use ferry_serve::{BatchCall, BatchFailure, Event, ItemResult, LoadReport};
use http::{Method, StatusCode};
use tokio::task::spawn_local;

use crate::client::{CallError, InternalCall, WholeResponse, call_once};
use crate::driver::Driver;

/// Time for an endpoint to free results; they go by themselves soon after.
const FREE_TIMEOUT: Duration = Duration::from_millis(1_000);

pub fn start(driver: &Rc<Driver>, call: BatchCall) {
    let driver = driver.clone();
    spawn_local(async move {
        let (result, load) = run(&call).await;
        driver.dispatch(Event::Batch { call: call.call, result, load });
    });
}

pub async fn free(driver: &Rc<Driver>, address: SocketAddr, handles: &[ResultHandle]) {
    let call = InternalCall::json(Method::POST, items::FREE_PATH, items::free_body(handles));
    if let Err(error) = driver.connections.call(address, &call, FREE_TIMEOUT).await {
        slog::debug!(driver.log, "could not free results";
            "address" => address.to_string(), "error" => error.to_string());
    }
}

type Outcome = (Result<Vec<ItemResult>, BatchFailure>, Option<LoadReport>);

/// Sends a call over a connection of its own: its answer names no request that could be compared.
async fn run(call: &BatchCall) -> Outcome {
    let mut own = InternalCall::json(Method::POST, items::RUN_PATH, items::run_body(&call.items));
    headers::set_expected(&mut own.headers, &call.endpoint);
    match tokio::time::timeout(call.timeout, call_once(call.address, &own)).await {
        Ok(Ok(answer)) => read(&answer),
        Ok(Err(error @ CallError::Connect(_))) => {
            (Err(BatchFailure::Unsent(error.to_string())), None)
        }
        Ok(Err(error)) => (Err(BatchFailure::Broken(error.to_string())), None),
        Err(_) => (Err(BatchFailure::Broken("no answer in time".to_owned())), None),
    }
}

fn read(answer: &WholeResponse) -> Outcome {
    let load = headers::load(&answer.headers);
    let is_not_run =
        headers::is_not_run(&answer.headers) || answer.status == StatusCode::MISDIRECTED_REQUEST;
    let result = match answer.status {
        StatusCode::OK => items::read_results(&answer.body)
            .map_err(|error| BatchFailure::Broken(error.to_string())),
        status if is_not_run => Err(BatchFailure::NotRun(status.to_string())),
        status => Err(BatchFailure::Broken(status.to_string())),
    };
    (result, load)
}
