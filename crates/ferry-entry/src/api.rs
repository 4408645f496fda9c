//! The caller interface over HTTP and JSON; docs/CALLERS.md describes it.

use std::sync::Arc;
use std::time::Duration;

use dropshot::{
    ApiDescription, Body, HttpError, HttpResponseOk, Path, RequestContext, TypedBody, endpoint,
};
use ferry_core::{Arrival, Event};
use ferry_edge::CallerEvent;
use ferry_model::{Answer, Outcome};
use http::{Response, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::server::EntryContext;

/// Body of a request.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct RequestBody {
    pub input: String,
    /// Time until the answer is worthless; the pipeline's own where it is missing.
    pub deadline_ms: Option<u64>,
    #[serde(default)]
    pub stream: bool,
}

/// Body of an answer.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct AnswerBody {
    /// Request id in hex.
    pub request: String,
    pub outcome: String,
    /// Why it did not complete.
    pub reason: Option<String>,
    pub output: Option<String>,
    pub stages: Vec<StageBody>,
    pub revision: u64,
}

#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct StageBody {
    pub stage: String,
    pub endpoint: String,
    pub took_ms: u64,
    pub attempts: u32,
}

impl AnswerBody {
    pub fn new(answer: &Answer) -> AnswerBody {
        let refusal = answer.refusal.map(|it| it.to_string());
        let failure = answer.failure.map(|it| it.to_string());
        let stages = answer.stages.iter().map(|it| StageBody {
            stage: it.stage.clone(),
            endpoint: it.endpoint.clone(),
            took_ms: it.took.as_millis() as u64,
            attempts: it.attempts,
        });
        AnswerBody {
            request: format!("{:032x}", answer.request),
            outcome: answer.outcome.to_string(),
            reason: refusal.or(failure),
            output: answer.output.clone(),
            stages: stages.collect(),
            revision: answer.revision,
        }
    }
}

#[derive(Debug, Deserialize, JsonSchema)]
struct PipelinePath {
    pipeline: String,
}

#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct ReadyBody {
    pub ready: bool,
    pub revision: u64,
}

pub fn describe() -> Result<ApiDescription<Arc<EntryContext>>, String> {
    let mut api = ApiDescription::new();
    api.register(post_request).map_err(|it| it.to_string())?;
    api.register(get_ready).map_err(|it| it.to_string())?;
    Ok(api)
}

/// Runs a request through a pipeline and answers with its outcome.
#[endpoint { method = POST, path = "/v1/pipelines/{pipeline}/requests" }]
async fn post_request(
    rqctx: RequestContext<Arc<EntryContext>>,
    path: Path<PipelinePath>,
    body: TypedBody<RequestBody>,
) -> Result<Response<Body>, HttpError> {
    let headers = rqctx.request.headers();
    let context = rqctx.context();
    let workspace = authenticate(context, headers)?;
    let key = headers.get("idempotency-key").and_then(|it| it.to_str().ok()).map(str::to_owned);
    let body = body.into_inner();
    let (ticket, mut events) = context.handle.callers().register();
    context.handle.send(Event::Arrive(Arrival {
        ticket,
        workspace,
        pipeline: path.into_inner().pipeline,
        key,
        digest: *blake3::hash(body.input.as_bytes()).as_bytes(),
        input: body.input,
        deadline: body.deadline_ms.map(Duration::from_millis),
        stream: false,
    }));
    while let Some(event) = events.recv().await {
        if let CallerEvent::Answer(answer) = event {
            return respond(&answer);
        }
    }
    Err(HttpError::for_internal_error("the node has ended".to_owned()))
}

/// Says whether this instance takes requests.
#[endpoint { method = GET, path = "/v1/ready" }]
async fn get_ready(
    rqctx: RequestContext<Arc<EntryContext>>,
) -> Result<HttpResponseOk<ReadyBody>, HttpError> {
    let status = rqctx.context().handle.status();
    Ok(HttpResponseOk(ReadyBody { ready: status.ready, revision: status.revision }))
}

fn authenticate(context: &EntryContext, headers: &http::HeaderMap) -> Result<String, HttpError> {
    let unauthorized = || {
        HttpError::for_client_error(
            None,
            dropshot::ClientErrorStatusCode::UNAUTHORIZED,
            "could not find a workspace for the bearer token".to_owned(),
        )
    };
    let token = headers
        .get(http::header::AUTHORIZATION)
        .and_then(|it| it.to_str().ok()?.strip_prefix("Bearer "))
        .ok_or_else(unauthorized)?;
    let hash = blake3::hash(token.as_bytes()).to_hex().to_string();
    if let Some(workspace) = context.handle.workspaces().by_token(&hash) {
        return Ok(workspace.name.clone());
    }
    let found = context.workspaces.iter().find(|it| it.tokens.contains(&hash));
    found.map(|it| it.name.clone()).ok_or_else(unauthorized)
}

fn respond(answer: &Answer) -> Result<Response<Body>, HttpError> {
    let status = match answer.outcome {
        Outcome::Complete => StatusCode::OK,
        Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Failed => StatusCode::BAD_GATEWAY,
        Outcome::InDoubt => StatusCode::GATEWAY_TIMEOUT,
    };
    let body = serde_json::to_string(&AnswerBody::new(answer))
        .map_err(|it| HttpError::for_internal_error(it.to_string()))?;
    let mut response =
        Response::builder().status(status).header(http::header::CONTENT_TYPE, "application/json");
    if let Some(after) = answer.retry_after {
        let seconds = after.as_secs_f64().ceil() as u64;
        response = response.header(http::header::RETRY_AFTER, seconds);
    }
    response.body(Body::from(body)).map_err(|it| HttpError::for_internal_error(it.to_string()))
}
