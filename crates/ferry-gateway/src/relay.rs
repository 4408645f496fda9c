//! Requests that instances pass on to each other.

use ferry_platform::headers;
use ferry_serve::{Call, RelayedCall};
use http::{HeaderMap, HeaderName, HeaderValue};

/// Number of endpoints to which a peer may send a request that is passed on to it. Only peers may
/// set it.
const TRIES: HeaderName = HeaderName::from_static("ferry-relay-tries");

/// Returns the headers of a request that is passed on to a peer.
pub fn outgoing_headers(from: &HeaderMap, call: &Call, relayed: RelayedCall) -> HeaderMap {
    let mut headers = headers::to_peer(from, call.time_left, call.resume);
    headers.insert(TRIES, HeaderValue::from(relayed.n_tries));
    headers
}

/// Takes what a peer says of a request that it passes on out of the headers; none if it says
/// nothing.
pub fn take(headers: &mut HeaderMap) -> Option<RelayedCall> {
    let value = headers.remove(TRIES)?;
    let n_tries = value.to_str().ok()?.parse().ok()?;
    Some(RelayedCall { n_tries })
}
