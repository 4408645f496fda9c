//! The platform: the object API and the lagging instance list, in memory.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpServer, Path, Query, RequestContext,
    ServerBuilder, TypedBody, endpoint,
};
use ferry_edge::wire::{FleetBody, ListMeta, ObjectBody, ObjectList, ObjectMeta};
use ferry_model::{Endpoint, Instance, SortedMap, Version};
use http::{Response, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use slog::Logger;

use crate::{Run, Witness};

/// Largest value of an object, in bytes.
const MAX_VALUE: usize = 1024 * 1024;

#[derive(Debug, Clone, Default)]
pub struct PlatformState {
    /// What the endpoints of the same process ran.
    witness: Witness,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    version: Version,
    objects: SortedMap<(String, String), Object>,
    endpoints: Vec<Endpoint>,
    instances: Vec<Instance>,
}

#[derive(Debug, Clone)]
struct Object {
    version: Version,
    value: serde_json::Value,
}

impl PlatformState {
    pub fn new() -> PlatformState {
        PlatformState::default()
    }

    /// Replaces the instance list.
    pub fn set_endpoints(&self, endpoints: Vec<Endpoint>) {
        self.lock().endpoints = endpoints;
    }

    /// Replaces our own processes in the instance list.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        self.lock().instances = instances;
    }

    /// Writes an object whatever its version, as a test's setup.
    pub fn seed(&self, kind: &str, name: &str, value: serde_json::Value) -> Version {
        let mut inner = self.lock();
        inner.version += 1;
        let version = inner.version;
        inner.objects.insert((kind.to_owned(), name.to_owned()), Object { version, value });
        version
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }
}

pub struct PlatformStandin {
    server: HttpServer<PlatformState>,
    pub state: PlatformState,
}

impl PlatformStandin {
    pub fn start(
        bind: SocketAddr,
        witness: Witness,
        log: &Logger,
    ) -> Result<PlatformStandin, String> {
        let state = PlatformState { witness, ..PlatformState::new() };
        let config = ConfigDropshot {
            bind_address: bind,
            default_request_body_max_bytes: 2 * MAX_VALUE,
            ..ConfigDropshot::default()
        };
        let server = ServerBuilder::new(api()?, state.clone(), log.clone())
            .config(config)
            .start()
            .map_err(|it| format!("could not start the platform on {bind}: {it}"))?;
        Ok(PlatformStandin { server, state })
    }

    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }
}

fn api() -> Result<ApiDescription<PlatformState>, String> {
    let mut api = ApiDescription::new();
    api.register(get_object).map_err(|it| it.to_string())?;
    api.register(list_objects).map_err(|it| it.to_string())?;
    api.register(put_object).map_err(|it| it.to_string())?;
    api.register(delete_object).map_err(|it| it.to_string())?;
    api.register(list_endpoints).map_err(|it| it.to_string())?;
    api.register(put_instances).map_err(|it| it.to_string())?;
    api.register(put_endpoints).map_err(|it| it.to_string())?;
    api.register(list_runs).map_err(|it| it.to_string())?;
    Ok(api)
}

#[derive(Debug, Deserialize, JsonSchema)]
struct ObjectPath {
    kind: String,
    name: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct KindPath {
    kind: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct VersionQuery {
    #[serde(rename = "resourceVersion")]
    resource_version: Option<String>,
}

#[endpoint { method = GET, path = "/apis/ferry/v1/{kind}/{name}" }]
async fn get_object(
    rqctx: RequestContext<PlatformState>,
    path: Path<ObjectPath>,
) -> Result<Response<Body>, HttpError> {
    let path = path.into_inner();
    let key = (path.kind, path.name);
    let found = rqctx.context().lock().objects.get(&key).cloned();
    match found {
        Some(object) => json(StatusCode::OK, &body_of(&key.1, &object)),
        None => status(StatusCode::NOT_FOUND, "no such object"),
    }
}

#[endpoint { method = GET, path = "/apis/ferry/v1/{kind}" }]
async fn list_objects(
    rqctx: RequestContext<PlatformState>,
    path: Path<KindPath>,
) -> Result<Response<Body>, HttpError> {
    let kind = path.into_inner().kind;
    let inner = rqctx.context().lock();
    let items = inner
        .objects
        .iter()
        .filter(|((it, _), _)| *it == kind)
        .map(|((_, name), object)| body_of(name, object))
        .collect();
    let metadata = ListMeta { resource_version: inner.version.to_string() };
    json(StatusCode::OK, &ObjectList { metadata, items })
}

#[endpoint { method = PUT, path = "/apis/ferry/v1/{kind}/{name}" }]
async fn put_object(
    rqctx: RequestContext<PlatformState>,
    path: Path<ObjectPath>,
    body: TypedBody<serde_json::Value>,
) -> Result<Response<Body>, HttpError> {
    let path = path.into_inner();
    let body: ObjectBody = match serde_json::from_value(body.into_inner()) {
        Ok(body) => body,
        Err(error) => return status(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    if MAX_VALUE < body.spec.to_string().len() {
        return status(StatusCode::PAYLOAD_TOO_LARGE, "the value is over a megabyte");
    }
    let Ok(expect) = body.metadata.resource_version.parse::<Version>() else {
        return status(StatusCode::BAD_REQUEST, "resourceVersion is not a number");
    };
    let key = (path.kind, path.name);
    let mut inner = rqctx.context().lock();
    let found = inner.objects.get(&key).map_or(0, |it| it.version);
    if found != expect {
        return status(StatusCode::CONFLICT, &format!("the object has version {found}"));
    }
    inner.version += 1;
    let object = Object { version: inner.version, value: body.spec };
    let answer = body_of(&key.1, &object);
    inner.objects.insert(key, object);
    json(StatusCode::OK, &answer)
}

#[endpoint { method = DELETE, path = "/apis/ferry/v1/{kind}/{name}" }]
async fn delete_object(
    rqctx: RequestContext<PlatformState>,
    path: Path<ObjectPath>,
    query: Query<VersionQuery>,
) -> Result<Response<Body>, HttpError> {
    let path = path.into_inner();
    let key = (path.kind, path.name);
    let expect = query.into_inner().resource_version.unwrap_or_default();
    let mut inner = rqctx.context().lock();
    match inner.objects.get(&key) {
        None => status(StatusCode::NOT_FOUND, "no such object"),
        Some(object) if object.version.to_string() != expect => {
            status(StatusCode::CONFLICT, &format!("the object has version {}", object.version))
        }
        Some(_) => {
            inner.version += 1;
            inner.objects.remove(&key);
            json(StatusCode::OK, &serde_json::json!({}))
        }
    }
}

#[endpoint { method = GET, path = "/v1/endpoints" }]
async fn list_endpoints(rqctx: RequestContext<PlatformState>) -> Result<Response<Body>, HttpError> {
    let inner = rqctx.context().lock();
    let body = FleetBody { endpoints: inner.endpoints.clone(), instances: inner.instances.clone() };
    json(StatusCode::OK, &body)
}

/// Replaces our own processes in the instance list, as a test's setup.
#[endpoint { method = PUT, path = "/control/instances" }]
async fn put_instances(
    rqctx: RequestContext<PlatformState>,
    body: TypedBody<serde_json::Value>,
) -> Result<Response<Body>, HttpError> {
    match serde_json::from_value(body.into_inner()) {
        Ok(instances) => rqctx.context().set_instances(instances),
        Err(error) => return status(StatusCode::BAD_REQUEST, &error.to_string()),
    }
    json(StatusCode::OK, &serde_json::json!({}))
}

/// Replaces the endpoints in the instance list, as a test's setup.
#[endpoint { method = PUT, path = "/control/endpoints" }]
async fn put_endpoints(
    rqctx: RequestContext<PlatformState>,
    body: TypedBody<serde_json::Value>,
) -> Result<Response<Body>, HttpError> {
    match serde_json::from_value(body.into_inner()) {
        Ok(endpoints) => rqctx.context().set_endpoints(endpoints),
        Err(error) => return status(StatusCode::BAD_REQUEST, &error.to_string()),
    }
    json(StatusCode::OK, &serde_json::json!({}))
}

/// Lists every call that the endpoints of this process ran.
#[endpoint { method = GET, path = "/control/runs" }]
async fn list_runs(rqctx: RequestContext<PlatformState>) -> Result<Response<Body>, HttpError> {
    let runs: Vec<Run> = rqctx.context().witness.runs();
    json(StatusCode::OK, &runs)
}

fn body_of(name: &str, object: &Object) -> ObjectBody {
    ObjectBody {
        metadata: ObjectMeta {
            name: name.to_owned(),
            resource_version: object.version.to_string(),
        },
        spec: object.value.clone(),
    }
}

fn status(code: StatusCode, message: &str) -> Result<Response<Body>, HttpError> {
    json(code, &serde_json::json!({ "message": message }))
}

/// Builds a JSON answer.
pub fn json<T: Serialize>(code: StatusCode, body: &T) -> Result<Response<Body>, HttpError> {
    let text =
        serde_json::to_string(body).map_err(|it| HttpError::for_internal_error(it.to_string()))?;
    Response::builder()
        .status(code)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Body::from(text))
        .map_err(|it| HttpError::for_internal_error(it.to_string()))
}
