//! Limits on the open requests and on the headers of callers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use dropshot::ErrorStatusCode;
use ferry_model::SortedMap;
use http::HeaderMap;

use super::Problem;
use crate::CallerLimits;

/// Limits the number of open requests, in total and per connection.
#[derive(Debug, Default)]
pub struct RequestLimiter {
    open: Mutex<OpenRequests>,
}

#[derive(Debug, Default)]
struct OpenRequests {
    total: usize,
    by_connection: SortedMap<SocketAddr, usize>,
}

/// Permit for one open request; dropping it releases it.
#[derive(Debug)]
pub struct RequestPermit {
    limiter: Arc<RequestLimiter>,
    connection: SocketAddr,
}

impl RequestLimiter {
    pub fn new() -> RequestLimiter {
        RequestLimiter::default()
    }

    /// Admits a request; the error names the limit that is reached.
    pub fn acquire(
        self: &Arc<RequestLimiter>,
        limits: &CallerLimits,
        connection: SocketAddr,
    ) -> Result<RequestPermit, Problem> {
        let mut open = self.lock();
        if limits.requests <= open.total {
            return Err(too_many("requests", limits.requests));
        }
        let count = open.by_connection.get_or_insert_with(connection, || 0);
        if limits.per_connection <= *count {
            return Err(too_many("connection_requests", limits.per_connection));
        }
        *count += 1;
        open.total += 1;
        Ok(RequestPermit { limiter: self.clone(), connection })
    }

    /// Returns how many requests are open.
    pub fn open_requests(&self) -> usize {
        self.lock().total
    }

    fn release(&self, connection: SocketAddr) {
        let mut open = self.lock();
        open.total = open.total.saturating_sub(1);
        let Some(count) = open.by_connection.get_mut(&connection) else { return };
        *count = count.saturating_sub(1);
        if *count == 0 {
            open.by_connection.remove(&connection);
        }
    }

    fn lock(&self) -> MutexGuard<'_, OpenRequests> {
        self.open.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        self.limiter.release(self.connection);
    }
}

/// Refuses headers whose total size is above the limit.
pub fn check_headers(limits: &CallerLimits, headers: &HeaderMap) -> Result<(), Problem> {
    let size: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size <= limits.header_bytes {
        return Ok(());
    }
    let message =
        format!("the headers have {size} bytes; at most {} are allowed", limits.header_bytes);
    let status = ErrorStatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    Err(Problem::new(status, "headers_too_large", message).with_field("headers"))
}

fn too_many(limit: &str, max: usize) -> Problem {
    let message = format!("the limit {limit} of {max} open requests is met");
    Problem::new(ErrorStatusCode::TOO_MANY_REQUESTS, "too_many_requests", message).with_field(limit)
}
