//! Requests that instances pass on to each other.

use std::rc::Rc;

use ferry_model::EndpointId;
use ferry_platform::headers;
use ferry_serve::{Call, EndpointNotice, RelayedCall};
use http::header::InvalidHeaderValue;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::Serialize;
use serde_json::value::RawValue;
use thiserror::Error;

use crate::driver::Driver;

/// Number of endpoints to which a peer may send a request that is passed on to it. Only peers may
/// set it.
const TRIES: HeaderName = HeaderName::from_static("ferry-relay-tries");
/// What an instance that passes a request on knows of endpoints, as a list in JSON. Only peers may
/// set it.
const NOTICES: HeaderName = HeaderName::from_static("ferry-relay-notices");
/// In a response to a peer: the endpoint that has announced in it that it leaves, and its start, in
/// JSON.
const LEAVING: HeaderName = HeaderName::from_static("ferry-relay-leaving");

/// Why something cannot be told to a peer in a header.
#[derive(Debug, Error)]
pub enum RelayError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Value(#[from] InvalidHeaderValue),
}

/// Returns the headers of a request that is passed on to a peer.
pub fn outgoing_headers(
    driver: &Driver,
    from: &HeaderMap,
    call: &Call,
    relayed: &RelayedCall,
) -> HeaderMap {
    let mut headers = headers::to_peer(from, call.time_left, call.resume);
    headers.insert(TRIES, HeaderValue::from(relayed.n_tries));
    if relayed.notices.is_empty() {
        return headers;
    }
    match json(&relayed.notices) {
        Ok(notices) => drop(headers.insert(NOTICES, notices)),
        Err(error) => driver.warn_seldom("could not tell a peer of endpoints", &error),
    }
    headers
}

/// Takes what a peer says of a request that it passes on out of the headers; none if it says
/// nothing. A notice that cannot be read costs only itself.
pub fn take(driver: &Rc<Driver>, headers: &mut HeaderMap) -> Option<RelayedCall> {
    let notices = headers.remove(NOTICES);
    let value = headers.remove(TRIES)?;
    let n_tries = value.to_str().ok()?.parse().ok()?;
    let notices = notices.map(|it| read_notices(driver, &it)).unwrap_or_default();
    Some(RelayedCall { n_tries, notices })
}

fn read_notices(driver: &Rc<Driver>, value: &HeaderValue) -> Vec<EndpointNotice> {
    let unreadable = |error: serde_json::Error| {
        driver.note_unreadable("could not read what a peer says of endpoints", &error);
    };
    let list: Vec<&RawValue> = match serde_json::from_slice(value.as_bytes()) {
        Ok(list) => list,
        Err(error) => {
            unreadable(error);
            return Vec::new();
        }
    };
    let read = list.into_iter().map(|it| serde_json::from_str(it.get()));
    read.filter_map(|it| it.map_err(unreadable).ok()).collect()
}

/// Names the endpoint that has announced in a response that it leaves, for a peer that gets the
/// response.
///
/// # Errors
///
/// Returns an error if it has a name that no header may have.
pub fn name_leaving(
    headers: &mut HeaderMap,
    endpoint: &str,
    started: u64,
) -> Result<(), RelayError> {
    headers.insert(LEAVING, json(&(endpoint, started))?);
    Ok(())
}

/// Takes the endpoint that has announced its leaving, and its start, out of a peer's response.
pub fn take_leaving(headers: &mut HeaderMap) -> Option<(EndpointId, u64)> {
    serde_json::from_slice(headers.remove(LEAVING)?.as_bytes()).ok()
}

/// Removes what only peers may see from the headers of a response, or what its endpoint has set of it.
pub fn strip(headers: &mut HeaderMap) {
    headers.remove(LEAVING);
}

fn json(value: &impl Serialize) -> Result<HeaderValue, RelayError> {
    Ok(HeaderValue::from_bytes(&serde_json::to_vec(value)?)?)
}
