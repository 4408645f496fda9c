//! Calls that run items of stages, and calls that free results.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ferry_model::ResultHandle;
use ferry_platform::{FormatError, headers, items};
use ferry_serve::{
    BatchCall, BatchFailure, Event, ItemFailure, ItemResult, LimitReport, LoadReport,
};
use http::{Method, StatusCode};
use tokio::task::spawn_local;

use crate::client::{BufferedResponse, CallError, InternalCall, call_once};
use crate::driver::Driver;

/// Time limit for freeing results; endpoints soon discard them by themselves.
const FREE_TIMEOUT: Duration = Duration::from_millis(1_000);

pub fn start(driver: &Rc<Driver>, call: BatchCall) {
    let driver = driver.clone();
    spawn_local(async move {
        let (result, load) = run(&driver, &call).await;
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

/// Sends a call over a new connection, because the response has no id by which it could be matched
/// to the call.
async fn run(driver: &Rc<Driver>, call: &BatchCall) -> Outcome {
    let mut request =
        InternalCall::json(Method::POST, items::RUN_PATH, items::run_body(&call.items));
    headers::set_expected(&mut request.headers, &call.endpoint);
    match tokio::time::timeout(call.timeout, call_once(call.address, &request)).await {
        Ok(Ok(response)) => {
            report_limit(driver, call, &response);
            let BufferedResponse { status, headers, .. } = &response;
            driver.report_state(&call.endpoint, call.started, *status, headers);
            read(driver, &response)
        }
        Ok(Err(error @ CallError::Connect(_))) => {
            (Err(BatchFailure::Unsent(error.to_string())), None)
        }
        Ok(Err(error)) => (Err(BatchFailure::Broken(error.to_string())), None),
        Err(_) => (Err(BatchFailure::TimedOut), None),
    }
}

/// Reports the rate limit in a response of the endpoint. Only a run tells that there is none any longer.
fn report_limit(driver: &Rc<Driver>, call: &BatchCall, response: &BufferedResponse) {
    match (response.status, headers::rate_limit(&response.headers)) {
        (StatusCode::MISDIRECTED_REQUEST, _) => (),
        (StatusCode::OK, limit) => driver.report_limit(&call.endpoint, call.started, limit),
        (_, LimitReport::Unlimited) => (),
        (_, limit) => driver.report_limit(&call.endpoint, call.started, limit),
    }
}

fn read(driver: &Rc<Driver>, response: &BufferedResponse) -> Outcome {
    let load = headers::load(&response.headers);
    let is_not_run = headers::is_not_run(&response.headers)
        || response.status == StatusCode::MISDIRECTED_REQUEST;
    let result = match response.status {
        StatusCode::OK => read_results(driver, &response.body)
            .map_err(|error| BatchFailure::Failed(error.to_string())),
        status if is_not_run => Err(BatchFailure::NotRun(status.to_string())),
        status => Err(BatchFailure::Failed(status.to_string())),
    };
    (result, load)
}

/// Parses results; one that cannot be read counts as an item that has failed.
fn read_results(driver: &Rc<Driver>, body: &[u8]) -> Result<Vec<ItemResult>, FormatError> {
    let results = items::read_results(body)?.into_iter().map(|result| match result {
        Ok(result) => result,
        Err(error) => {
            driver.note_unreadable("could not read a result of an item", &error);
            ItemResult::Failed(ItemFailure::Error)
        }
    });
    Ok(results.collect())
}
