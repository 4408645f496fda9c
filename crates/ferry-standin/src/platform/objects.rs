//! The calls of the object API: get, list, put and delete.

use std::time::Duration;

use bytes::Bytes;
use dropshot::{Body, HttpError, Path, Query, RequestContext, TypedBody, endpoint};
use ferry_edge::wire::{ListMeta, ObjectBody, ObjectList, StatusBody};
use ferry_model::Version;
use futures_util::stream;
use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::StreamBody;
use hyper::body::Frame;
use schemars::JsonSchema;
use serde::Deserialize;

use super::faults::CallCounts;
use super::state::{Inner, body_of};
use super::{MAX_VALUE_BYTES, PlatformState, json, watch};

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct ObjectPath {
    kind: String,
    name: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct KindPath {
    kind: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct ListQuery {
    #[serde(rename = "resourceVersion")]
    resource_version: Option<String>,
    /// Whether to stream the changes after `resourceVersion` as JSON lines.
    watch: Option<bool>,
}

#[endpoint { method = GET, path = "/apis/ferry/v1/{kind}/{name}" }]
pub(super) async fn get_object(
    rqctx: RequestContext<PlatformState>,
    path: Path<ObjectPath>,
) -> Result<Response<Body>, HttpError> {
    let state = rqctx.context();
    if let Some(refusal) = admit(state, |it| (&mut it.gets, false)).await? {
        return Ok(refusal);
    }
    let path = path.into_inner();
    let key = (path.kind, path.name);
    let found = state.lock().objects.get(&key).cloned();
    match found {
        Some(object) => json(StatusCode::OK, &body_of(&key.1, &object)),
        None => status(StatusCode::NOT_FOUND, "no such object"),
    }
}

#[endpoint { method = GET, path = "/apis/ferry/v1/{kind}" }]
pub(super) async fn list_objects(
    rqctx: RequestContext<PlatformState>,
    path: Path<KindPath>,
    query: Query<ListQuery>,
) -> Result<Response<Body>, HttpError> {
    let kind = path.into_inner().kind;
    let query = query.into_inner();
    let state = rqctx.context();
    if query.watch == Some(true) {
        let Ok(since) = query.resource_version.unwrap_or_default().parse::<Version>() else {
            return status(StatusCode::BAD_REQUEST, "resourceVersion is not a number");
        };
        return match admit(state, |it| (&mut it.watches, false)).await? {
            Some(refusal) => Ok(refusal),
            None => watch::respond(state.clone(), kind, since),
        };
    }
    if let Some(refusal) = admit(state, |it| (&mut it.lists, false)).await? {
        return Ok(refusal);
    }
    let inner = state.lock();
    let (version, objects) = inner.listed();
    let items = objects
        .iter()
        .filter(|((it, _), _)| *it == kind)
        .map(|((_, name), object)| body_of(name, object))
        .collect();
    let metadata = ListMeta { resource_version: version.to_string() };
    json(StatusCode::OK, &ObjectList { metadata, items })
}

#[endpoint { method = PUT, path = "/apis/ferry/v1/{kind}/{name}" }]
pub(super) async fn put_object(
    rqctx: RequestContext<PlatformState>,
    path: Path<ObjectPath>,
    body: TypedBody<serde_json::Value>,
) -> Result<Response<Body>, HttpError> {
    let state = rqctx.context();
    if let Some(refusal) = admit(state, |it| (&mut it.puts, true)).await? {
        return Ok(refusal);
    }
    let path = path.into_inner();
    let body: ObjectBody = match serde_json::from_value(body.into_inner()) {
        Ok(body) => body,
        Err(error) => return status(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    if MAX_VALUE_BYTES < body.spec.to_string().len() {
        return status(StatusCode::PAYLOAD_TOO_LARGE, "the value is over a megabyte");
    }
    let Ok(expect) = body.metadata.resource_version.parse::<Version>() else {
        return status(StatusCode::BAD_REQUEST, "resourceVersion is not a number");
    };
    let key = (path.kind, path.name);
    let (answer, version, fault) = {
        let mut inner = state.lock();
        let found = inner.objects.get(&key).map_or(0, |it| it.version);
        if found != expect {
            return conflict(found);
        }
        let version = inner.write(key.clone(), body.spec);
        let answer = inner.objects.get(&key).map(|it| body_of(&key.1, it));
        (answer, version, AnswerFault::next(&mut inner))
    };
    state.wake(version);
    fault.apply(json(StatusCode::OK, &answer)).await
}

#[endpoint { method = DELETE, path = "/apis/ferry/v1/{kind}/{name}" }]
pub(super) async fn delete_object(
    rqctx: RequestContext<PlatformState>,
    path: Path<ObjectPath>,
    query: Query<ListQuery>,
) -> Result<Response<Body>, HttpError> {
    let state = rqctx.context();
    if let Some(refusal) = admit(state, |it| (&mut it.deletes, true)).await? {
        return Ok(refusal);
    }
    let path = path.into_inner();
    let key = (path.kind, path.name);
    let expect = query.into_inner().resource_version.unwrap_or_default();
    let (version, fault) = {
        let mut inner = state.lock();
        match inner.objects.get(&key).map(|it| it.version) {
            None => return status(StatusCode::NOT_FOUND, "no such object"),
            Some(found) if found.to_string() != expect => return conflict(found),
            Some(_) => (inner.remove(key), AnswerFault::next(&mut inner)),
        }
    };
    state.wake(version);
    fault.apply(json(StatusCode::OK, &serde_json::json!({}))).await
}

/// Counts a call, delays it according to the faults, and returns its refusal if there is one.
pub(super) async fn admit(
    state: &PlatformState,
    counter: impl FnOnce(&mut CallCounts) -> (&mut u64, bool),
) -> Result<Option<Response<Body>>, HttpError> {
    let (slow, refusal) = {
        let mut inner = state.lock();
        let (count, is_write) = counter(&mut inner.counts);
        *count += 1;
        let slow = Duration::from_millis(inner.faults.slow_ms);
        (slow, inner.refusal(is_write))
    };
    if !slow.is_zero() {
        tokio::time::sleep(slow).await;
    }
    let Some((code, message)) = refusal else { return Ok(None) };
    let mut response = status(code, message)?;
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    Ok(Some(response))
}

impl Inner {
    fn refusal(&mut self, is_write: bool) -> Option<(StatusCode, &'static str)> {
        let is_within = match is_write {
            true => self.writes.take(self.faults.write_rate),
            false => self.reads.take(self.faults.read_rate),
        };
        let refusal = match (self.faults.outage, is_within) {
            (true, _) => (StatusCode::SERVICE_UNAVAILABLE, "out of service"),
            (false, false) => (StatusCode::TOO_MANY_REQUESTS, "too many calls"),
            (false, true) => return None,
        };
        self.counts.refused += 1;
        Some(refusal)
    }
}

/// A fault of the answer to a write that took effect.
enum AnswerFault {
    None,
    Broken,
    Hung,
}

impl AnswerFault {
    fn next(inner: &mut Inner) -> AnswerFault {
        if 0 < inner.faults.lost_answers {
            inner.faults.lost_answers -= 1;
            return AnswerFault::Broken;
        }
        if 0 < inner.faults.hung_answers {
            inner.faults.hung_answers -= 1;
            return AnswerFault::Hung;
        }
        AnswerFault::None
    }

    async fn apply(
        self,
        answer: Result<Response<Body>, HttpError>,
    ) -> Result<Response<Body>, HttpError> {
        match self {
            AnswerFault::None => answer,
            AnswerFault::Hung => std::future::pending().await,
            AnswerFault::Broken => {
                let error = std::io::Error::other("the answer is lost");
                let frames = stream::iter([Err::<Frame<Bytes>, _>(error)]);
                Ok(Response::new(Body::wrap(StreamBody::new(frames))))
            }
        }
    }
}

fn conflict(found: Version) -> Result<Response<Body>, HttpError> {
    let message = format!("the object has version {found}");
    let resource_version = Some(found.to_string());
    json(StatusCode::CONFLICT, &StatusBody { message, resource_version })
}

pub(super) fn status(code: StatusCode, message: &str) -> Result<Response<Body>, HttpError> {
    json(code, &StatusBody { message: message.to_owned(), resource_version: None })
}
