//! Asks endpoints whether they leave.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ferry_model::EndpointId;
use ferry_platform::headers;
use ferry_serve::{Event, HealthReport};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::client::{InternalCall, call_once};
use crate::driver::Driver;

const CHECK_TIMEOUT: Duration = Duration::from_millis(900);

/// Calls the health check of an endpoint and reports what it says of its leaving.
pub fn check(
    driver: &Rc<Driver>,
    endpoint: EndpointId,
    started: u64,
    address: SocketAddr,
    path: String,
) {
    let driver = driver.clone();
    spawn_local(async move {
        let mut call = InternalCall::get(path);
        headers::set_expected(&mut call.headers, &endpoint);
        let report = match timeout(CHECK_TIMEOUT, call_once(address, &call)).await {
            Ok(Ok(it)) => {
                if let Some(left) = headers::cold_left(&it.headers) {
                    let endpoint = endpoint.clone();
                    driver.dispatch(Event::Cold { endpoint, started, left });
                }
                headers::health(it.status, &it.headers, &endpoint)
            }
            Ok(Err(error)) => {
                slog::debug!(driver.log, "could not check the health of an endpoint";
                    "endpoint" => &endpoint, "error" => error.to_string());
                HealthReport::Unknown
            }
            Err(_) => HealthReport::Unknown,
        };
        driver.dispatch(Event::Health { endpoint, started, report });
    });
}
