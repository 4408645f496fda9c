//! Reads which prompt parts engines have cached.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ferry_model::EndpointId;
use ferry_platform::{cache, headers};
use ferry_serve::{Event, PromptPart};
use tokio::task::spawn_local;

use crate::client::{CallError, InternalCall, call_once};
use crate::driver::Driver;

/// Caches that are read at a time: a pool may have a thousand engines.
pub const MAX_READS: usize = 16;
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Reads the cache of an engine and reports it to the reducer, which does without it otherwise.
pub fn read(driver: &Rc<Driver>, endpoint: EndpointId, started: u64, address: SocketAddr) {
    let driver = driver.clone();
    spawn_local(async move {
        // The semaphore is never closed.
        let Ok(_permit) = driver.cache_reads.acquire().await else { return };
        match try_read(&driver, &endpoint, started, address).await {
            Ok(parts) => driver.dispatch(Event::Cached { endpoint, parts }),
            Err(error) => driver.warn("could not read the cache of an engine", &error),
        }
    });
}

async fn try_read(
    driver: &Rc<Driver>,
    endpoint: &str,
    started: u64,
    address: SocketAddr,
) -> Result<Vec<PromptPart>, CallError> {
    let mut call = InternalCall::get(cache::LIST_PATH.to_owned());
    headers::set_expected(&mut call.headers, endpoint);
    let read = tokio::time::timeout(READ_TIMEOUT, call_once(address, &call));
    let response = read.await.map_err(|_| CallError::Timeout)??;
    driver.report_state(endpoint, started, response.status, &response.headers);
    let list = cache::read_list(&response.body).map_err(|it| CallError::Body(it.to_string()))?;
    if 0 < list.n_unreadable {
        driver.note_unreadable("could not read cached prompt parts", &list.n_unreadable);
    }
    Ok(list.parts)
}
