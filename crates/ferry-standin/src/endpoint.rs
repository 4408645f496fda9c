//! One endpoint: a pool of plain stage runners or a model engine.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpServer, Path, RequestContext,
    ServerBuilder, TypedBody, endpoint,
};
use ferry_edge::wire::{
    CompletionBody, CompletionChoice, CompletionChunk, CompletionEnd, EVENT_ACCEPTED, EVENT_END,
    StageAnswer, StageBody, WireEcho,
};
use ferry_model::Load;
use http::{Response, StatusCode};
use http_body_util::StreamBody;
use hyper::body::Frame;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use slog::Logger;
use tokio::sync::{Semaphore, mpsc};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::UnboundedReceiverStream;

use crate::platform::json;
use crate::{Run, Witness};

/// Largest body an endpoint reads.
const MAX_BODY: usize = 1024 * 1024;

/// How fast one endpoint is.
#[derive(Debug, Clone)]
pub struct EndpointSpec {
    pub id: String,
    /// Time for one call of a stage pool, or for the prefill of an engine.
    pub service: Duration,
    /// Time between tokens of an engine.
    pub token: Duration,
    /// Calls served at once; further ones wait.
    pub slots: usize,
}

pub struct EndpointStandin {
    server: HttpServer<Arc<State>>,
}

struct State {
    spec: EndpointSpec,
    witness: Witness,
    slots: Semaphore,
    running: AtomicU32,
    queued: AtomicU32,
}

impl EndpointStandin {
    pub fn start(
        bind: SocketAddr,
        spec: EndpointSpec,
        witness: Witness,
        log: &Logger,
    ) -> Result<EndpointStandin, String> {
        let config = ConfigDropshot {
            bind_address: bind,
            default_request_body_max_bytes: MAX_BODY,
            ..ConfigDropshot::default()
        };
        let state = State {
            slots: Semaphore::new(spec.slots),
            spec,
            witness,
            running: AtomicU32::new(0),
            queued: AtomicU32::new(0),
        };
        let server = ServerBuilder::new(api()?, Arc::new(state), log.clone())
            .config(config)
            .start()
            .map_err(|it| format!("could not start an endpoint on {bind}: {it}"))?;
        Ok(EndpointStandin { server })
    }

    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }
}

impl State {
    fn load(&self) -> Load {
        Load {
            running: self.running.load(Ordering::Relaxed),
            queued: self.queued.load(Ordering::Relaxed),
            ..Load::default()
        }
    }

    fn record(&self, echo: &WireEcho, key: &str) {
        self.witness.record(Run {
            endpoint: self.spec.id.clone(),
            request: echo.request.clone(),
            stage: echo.stage.clone(),
            attempt: echo.attempt,
            key: key.to_owned(),
        });
    }

    /// Waits for a slot and runs `work` in it.
    async fn serve<F: Future>(&self, work: F) -> F::Output {
        self.queued.fetch_add(1, Ordering::Relaxed);
        let permit = self.slots.acquire().await;
        self.queued.fetch_sub(1, Ordering::Relaxed);
        self.running.fetch_add(1, Ordering::Relaxed);
        let output = work.await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        drop(permit);
        output
    }
}

fn api() -> Result<ApiDescription<Arc<State>>, String> {
    let mut api = ApiDescription::new();
    api.register(run_stage).map_err(|it| it.to_string())?;
    api.register(complete).map_err(|it| it.to_string())?;
    Ok(api)
}

#[derive(Debug, Deserialize, JsonSchema)]
struct StagePath {
    stage: String,
}

#[endpoint { method = POST, path = "/v1/stages/{stage}" }]
async fn run_stage(
    rqctx: RequestContext<Arc<State>>,
    path: Path<StagePath>,
    body: TypedBody<serde_json::Value>,
) -> Result<Response<Body>, HttpError> {
    let stage = path.into_inner().stage;
    let body: StageBody = match serde_json::from_value(body.into_inner()) {
        Ok(body) => body,
        Err(error) => return bad_request(&error),
    };
    let state = rqctx.context();
    state.record(&body.ferry, &body.key);
    state.serve(tokio::time::sleep(state.spec.service)).await;
    let output = format!("{stage}({})", body.input);
    json(StatusCode::OK, &StageAnswer { ferry: body.ferry, output, load: Some(state.load()) })
}

#[endpoint { method = POST, path = "/v1/completions" }]
async fn complete(
    rqctx: RequestContext<Arc<State>>,
    body: TypedBody<serde_json::Value>,
) -> Result<Response<Body>, HttpError> {
    let body: CompletionBody = match serde_json::from_value(body.into_inner()) {
        Ok(body) => body,
        Err(error) => return bad_request(&error),
    };
    let state = rqctx.context().clone();
    state.record(&body.ferry.echo, &body.ferry.key);
    let (tx, rx) = mpsc::unbounded_channel::<Bytes>();
    let frames = UnboundedReceiverStream::new(rx).map(|it| Ok::<_, Infallible>(Frame::data(it)));
    tokio::spawn(async move { state.serve(stream(&state, body, tx)).await });
    Response::builder()
        .status(StatusCode::OK)
        .header(http::header::CONTENT_TYPE, "text/event-stream")
        .body(Body::wrap(StreamBody::new(frames)))
        .map_err(|it| HttpError::for_internal_error(it.to_string()))
}

async fn stream(state: &State, body: CompletionBody, tx: mpsc::UnboundedSender<Bytes>) {
    let echo = body.ferry.echo;
    send(&tx, EVENT_ACCEPTED, &echo);
    tokio::time::sleep(state.spec.service).await;
    let tokens = tokens_of(&body.prompt, body.max_tokens);
    for (number, text) in (0..).zip(&tokens) {
        if number < body.ferry.offset {
            continue;
        }
        if tx.is_closed() {
            return;
        }
        tokio::time::sleep(state.spec.token).await;
        let choices = vec![CompletionChoice { index: 0, text: text.clone() }];
        send(&tx, "message", &CompletionChunk { choices, number });
    }
    let whole: String = tokens.concat();
    let digest = blake3::hash(whole.as_bytes()).to_hex().to_string();
    let count = tokens.len() as u32;
    send(&tx, EVENT_END, &CompletionEnd { ferry: echo, count, digest, load: Some(state.load()) });
}

/// The answer of the stand-in's model: the prompt, cut into `max_tokens` pieces.
pub fn tokens_of(prompt: &str, max_tokens: u32) -> Vec<String> {
    let chars: Vec<char> = format!("generate({prompt})").chars().collect();
    let n_tokens = (max_tokens.max(1) as usize).min(chars.len());
    let size = chars.len().div_ceil(n_tokens);
    chars.chunks(size).map(|it| it.iter().collect()).collect()
}

fn send<T: Serialize>(tx: &mpsc::UnboundedSender<Bytes>, name: &str, body: &T) {
    if let Ok(data) = serde_json::to_string(body) {
        let _ = tx.send(Bytes::from(format!("event: {name}\ndata: {data}\n\n")));
    }
}

fn bad_request(error: &serde_json::Error) -> Result<Response<Body>, HttpError> {
    json(StatusCode::BAD_REQUEST, &serde_json::json!({ "message": error.to_string() }))
}
