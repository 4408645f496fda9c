//! A stand-in for an endpoint, which runs plain stages or generates tokens as a model engine.

mod control;
pub mod faults;
pub mod state;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpServer, Path, RequestContext,
    ServerBuilder, TypedBody, endpoint,
};
use ferry_edge::wire::{
    CompletionBody, CompletionChoice, CompletionChunk, CompletionEnd, EVENT_ACCEPTED, EVENT_END,
    RefusalBody, StageBody, StageResponse, WireEcho,
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
use crate::{Run, RunLog};

pub use faults::EndpointFaults;
pub use state::{EngineState, OrderOutcome, WeightStore};

const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Speed and models of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointSpec {
    pub id: String,
    /// Time for one call of a stage pool, or for the prefill of an engine.
    pub service_time: Duration,
    /// Time between tokens of an engine.
    pub token_time: Duration,
    /// Calls that run at the same time; further ones wait.
    pub slots: usize,
    /// Models loaded at the start, sorted.
    pub models: Vec<String>,
    /// Whether it refuses orders with an outdated fencing number.
    pub checks_fence: bool,
}

pub struct EndpointStandin {
    server: HttpServer<Arc<State>>,
}

struct State {
    spec: EndpointSpec,
    run_log: RunLog,
    slots: Semaphore,
    running: AtomicU32,
    queued: AtomicU32,
    engine: EngineState,
    faults: Mutex<EndpointFaults>,
}

impl EndpointStandin {
    pub fn start(
        bind: SocketAddr,
        spec: EndpointSpec,
        run_log: RunLog,
        weights: WeightStore,
        log: &Logger,
    ) -> Result<EndpointStandin, String> {
        let config = ConfigDropshot {
            bind_address: bind,
            default_request_body_max_bytes: MAX_BODY_BYTES,
            ..ConfigDropshot::default()
        };
        let state = State {
            engine: EngineState::new(spec.models.clone(), spec.checks_fence, weights),
            faults: Mutex::default(),
            slots: Semaphore::new(spec.slots),
            spec,
            run_log,
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
    fn load(&self) -> Option<Load> {
        if self.faults().mute {
            return None;
        }
        Some(Load {
            running: self.running.load(Ordering::Relaxed),
            queued: self.queued.load(Ordering::Relaxed),
            ..Load::default()
        })
    }

    fn in_flight(&self) -> u32 {
        self.running.load(Ordering::Relaxed) + self.queued.load(Ordering::Relaxed)
    }

    fn faults(&self) -> MutexGuard<'_, EndpointFaults> {
        self.faults.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Multiplies a time by the factor of the straggle fault.
    fn slow_down(&self, time: Duration) -> Duration {
        time.mul_f64(self.faults().straggle.unwrap_or(1.0))
    }

    /// Returns the refusal of a call, if the endpoint doesn't accept it.
    fn refusal(&self, model: Option<&str>) -> Option<RefusalBody> {
        if self.faults().leaving {
            return Some(RefusalBody { message: "leaving".to_owned(), leaving: true });
        }
        let message = "the model is not loaded".to_owned();
        (!self.engine.can_run(model)).then_some(RefusalBody { message, leaving: false })
    }

    /// Returns the echo of a call, or that of another attempt if the fault for it is set.
    fn echo(&self, echo: WireEcho) -> WireEcho {
        match self.faults().wrong_echo {
            true => WireEcho { attempt: echo.attempt ^ 1, ..echo },
            false => echo,
        }
    }

    fn record(&self, echo: &WireEcho, key: &str) {
        self.run_log.record(Run {
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
    control::register(&mut api)?;
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
    if let Some(refusal) = state.refusal(None) {
        return json(StatusCode::SERVICE_UNAVAILABLE, &refusal);
    }
    state.record(&body.ferry, &body.key);
    state.serve(tokio::time::sleep(state.slow_down(state.spec.service_time))).await;
    let faults = state.faults().clone();
    tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
    if faults.fail {
        let body = serde_json::json!({ "message": "the stage failed" });
        return json(StatusCode::INTERNAL_SERVER_ERROR, &body);
    }
    let output = format!("{stage}({})", body.input);
    let ferry = state.echo(body.ferry);
    json(StatusCode::OK, &StageResponse { ferry, output, load: state.load() })
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
    if let Some(refusal) = state.refusal(Some(&body.model)) {
        return json(StatusCode::SERVICE_UNAVAILABLE, &refusal);
    }
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
    let faults = state.faults().clone();
    let echo = state.echo(body.ferry.echo);
    send(&tx, EVENT_ACCEPTED, &echo);
    tokio::time::sleep(state.slow_down(state.spec.service_time)).await;
    let tokens = tokens_of(&body.prompt, body.max_tokens);
    for (number, text) in (0..).zip(&tokens) {
        if number < body.ferry.offset {
            continue;
        }
        if tx.is_closed() {
            return;
        }
        if faults.break_after == Some(number) {
            return;
        }
        if faults.stall_after == Some(number) {
            tx.closed().await;
            return;
        }
        tokio::time::sleep(state.slow_down(state.spec.token_time)).await;
        let choices = vec![CompletionChoice { index: 0, text: text.clone() }];
        send(&tx, "message", &CompletionChunk { choices, number });
    }
    let text: String = tokens.concat();
    let digest = blake3::hash(text.as_bytes()).to_hex().to_string();
    let count = tokens.len() as u32;
    tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
    let end = CompletionEnd { ferry: echo, count, digest, load: state.load() };
    send(&tx, EVENT_END, &end);
    if faults.duplicate {
        send(&tx, EVENT_END, &end);
    }
}

/// Returns the model's output for a prompt, split into at most `max_tokens` tokens.
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
