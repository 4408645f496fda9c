//! Reads the body of a request within the limits on size and time.

use dropshot::{ErrorStatusCode, StreamingBody};
use futures_util::{StreamExt, pin_mut};
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use serde::de::DeserializeOwned;

use super::Problem;
use crate::CallerLimits;

/// Reads and parses a JSON body and also returns its bytes; every error names a field.
pub async fn read_json<T: DeserializeOwned>(
    limits: &CallerLimits,
    headers: &HeaderMap,
    body: StreamingBody,
) -> Result<(T, Vec<u8>), Problem> {
    check_content_type(headers)?;
    check_content_length(limits, headers)?;
    let bytes = match tokio::time::timeout(limits.body_timeout, collect(limits, body)).await {
        Ok(bytes) => bytes?,
        Err(_) => return Err(too_slow(limits)),
    };
    Ok((parse(&bytes)?, bytes))
}

async fn collect(limits: &CallerLimits, body: StreamingBody) -> Result<Vec<u8>, Problem> {
    let chunks = body.into_stream();
    pin_mut!(chunks);
    let mut bytes = Vec::new();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk?;
        if limits.body_bytes < bytes.len() + chunk.len() {
            return Err(too_large(limits));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Problem> {
    let mut json = serde_json::Deserializer::from_slice(bytes);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let field = match error.path().to_string() {
            path if path == "." => "body".to_owned(),
            path => path,
        };
        Problem::invalid(&field, error.inner().to_string())
    })?;
    json.end().map_err(|it| Problem::invalid("body", it.to_string()))?;
    Ok(value)
}

fn check_content_type(headers: &HeaderMap) -> Result<(), Problem> {
    let Some(value) = headers.get(CONTENT_TYPE) else { return Ok(()) };
    let media = value.to_str().unwrap_or_default().split(';').next().unwrap_or_default();
    if media.trim().eq_ignore_ascii_case("application/json") {
        return Ok(());
    }
    let status = ErrorStatusCode::UNSUPPORTED_MEDIA_TYPE;
    let problem = Problem::new(status, "unsupported_type", "only application/json is allowed");
    Err(problem.with_field("Content-Type"))
}

fn check_content_length(limits: &CallerLimits, headers: &HeaderMap) -> Result<(), Problem> {
    let Some(value) = headers.get(CONTENT_LENGTH) else { return Ok(()) };
    let length = value.to_str().ok().and_then(|it| it.parse::<usize>().ok());
    match length {
        Some(length) if length <= limits.body_bytes => Ok(()),
        Some(_) => Err(too_large(limits)),
        None => Err(Problem::invalid("Content-Length", "it is not a number")),
    }
}

fn too_large(limits: &CallerLimits) -> Problem {
    let message = format!("the body is larger than {} bytes", limits.body_bytes);
    Problem::new(ErrorStatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message).with_field("body")
}

fn too_slow(limits: &CallerLimits) -> Problem {
    let message = format!("the body did not arrive within {:?}", limits.body_timeout);
    Problem::new(ErrorStatusCode::REQUEST_TIMEOUT, "body_too_slow", message).with_field("body")
}
