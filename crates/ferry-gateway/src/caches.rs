//! Reads which prompt parts engines have cached.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ferry_model::EndpointId;
use ferry_platform::{cache, headers};
use ferry_serve::{Event, PromptPart};
use tokio::task::spawn_local;

use crate::client::{CallError, InternalCall};
use crate::driver::Driver;

const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Reads the cache of an engine and reports it to the reducer, which does without it otherwise.
pub fn read(driver: &Rc<Driver>, endpoint: EndpointId, address: SocketAddr) {
    let driver = driver.clone();
    spawn_local(async move {
        match try_read(&driver, &endpoint, address).await {
            Ok(parts) => driver.dispatch(Event::Cached { endpoint, parts }),
            Err(error) => driver.warn("could not read the cache of an engine", &error),
        }
    });
}

async fn try_read(
    driver: &Driver,
    endpoint: &str,
    address: SocketAddr,
) -> Result<Vec<PromptPart>, CallError> {
    let mut call = InternalCall::get(cache::LIST_PATH.to_owned());
    headers::set_expected(&mut call.headers, endpoint);
    let response = driver.connections.call(address, &call, READ_TIMEOUT).await?;
    cache::read_list(&response.body).map_err(|it| CallError::Body(it.to_string()))
}
