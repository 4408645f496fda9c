//! Responses of simulated endpoints, and their parts.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::header::CONTENT_LENGTH;
use http::{HeaderValue, Response, StatusCode};

use crate::crash::PendingCrash;
use crate::endpoint::N_EVENTS;
use crate::server::{Body, full_response, stream_response};

/// Time between the pieces of a plain response that ends with a crash.
const PIECE_GAP: Duration = Duration::from_millis(5);
/// Bytes in a large event beside its text.
const LARGE_EVENT: usize = 64 * 1024;

/// Returns a response that ends with a crash, at the latest before its last byte.
pub fn crash_response(text: String, crash: PendingCrash) -> Response<Body> {
    let len = text.len();
    let text = Bytes::from(text);
    let pieces = stream::unfold(0, move |n_sent| {
        let (text, crash) = (text.clone(), crash.clone());
        async move {
            if crash.is_due(n_sent) {
                crash.crash().await;
            }
            tokio::time::sleep(PIECE_GAP * crash.slowness).await;
            let at = |number: u64| number as usize * (len - 1) / N_EVENTS as usize;
            Some((Ok(text.slice(at(n_sent)..at(n_sent + 1))), n_sent + 1))
        }
    });
    let mut response = stream_response(pieces);
    response.headers_mut().insert(CONTENT_LENGTH, len.into());
    response
}

/// Returns an event of a stream.
pub fn event_text(attempt: &str, number: u64, build: &str) -> String {
    format!("id: {number}\ndata: {attempt} {number} {build}\n\n")
}

/// Returns an event with a long comment.
pub fn large_event(event: &str) -> String {
    format!(":{}\n{event}", "x".repeat(LARGE_EVENT))
}

/// Returns the only correct body of a response to an attempt.
pub fn response_body(attempt: &str, body: &[u8]) -> String {
    format!("{attempt}:{}", String::from_utf8_lossy(body))
}

pub fn not_run(status: StatusCode) -> Response<Body> {
    let mut response = full_response(status, "");
    let one = HeaderValue::from_static("1");
    response.headers_mut().insert("tarragonferry-not-executed", one);
    response
}
