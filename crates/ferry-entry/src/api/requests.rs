//! `POST /v1/pipelines/{pipeline}/requests`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dropshot::{Body, Path, RequestContext, StreamingBody, endpoint};
use ferry_core::{Arrival, Event};
use ferry_edge::CallerEvent;
use ferry_edge::metrics::Timer;
use ferry_model::Answer;
use http::{HeaderMap, Response};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::answer::{internal, respond};
use super::events::Rest;
use super::{Problem, body, events, limits};
use crate::server::EntryContext;

/// Header of the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key.
const MAX_KEY: usize = 256;

/// Body of a request.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RequestBody {
    pub input: String,
    /// Time until the answer is worthless; the pipeline's own where it is missing.
    pub deadline_ms: Option<u64>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct PipelinePath {
    pipeline: String,
}

/// Runs a request through a pipeline and answers with its outcome.
#[endpoint { method = POST, path = "/v1/pipelines/{pipeline}/requests" }]
pub(super) async fn post_request(
    rqctx: RequestContext<Arc<EntryContext>>,
    path: Path<PipelinePath>,
    body: StreamingBody,
) -> Result<Response<Body>, Problem> {
    let headers = rqctx.request.headers();
    let context = rqctx.context();
    limits::check_headers(&context.limits, headers)?;
    let workspace = context.tokens.find(headers)?;
    let key = key_of(headers)?;
    let pass = context.gate.enter(&context.limits, rqctx.request.remote_addr())?;
    let (body, bytes) = body::read_json::<RequestBody>(&context.limits, headers, body).await?;
    let deadline = context.check_deadline(body.deadline_ms)?;
    let stream = body.stream;
    let arrival = Arrival {
        ticket: 0,
        workspace,
        pipeline: path.into_inner().pipeline,
        key,
        digest: *blake3::hash(&bytes).as_bytes(),
        input: body.input,
        deadline,
        stream,
    };
    let started = Instant::now();
    let mut waiter = context.handle.ask(|ticket| Event::Arrive(Arrival { ticket, ..arrival }));
    match waiter.next().await {
        Some(CallerEvent::Answer(answer)) if !stream || answer.output.is_none() => respond(&answer),
        Some(first) => events::respond(Rest::new(context.clone(), started, waiter, pass), first),
        None => Err(internal("the node has ended")),
    }
}

impl EntryContext {
    /// Sends the times of a request and its stages as metrics.
    pub(super) fn measure(&self, took: Duration, answer: &Answer) {
        let outcome = answer.outcome.into();
        self.metrics.time_with_tag(Timer::RequestTime, took, "outcome", outcome);
        for it in &answer.stages {
            self.metrics.time_with_tag(Timer::StageTime, it.took, "stage", &it.stage);
        }
    }

    fn check_deadline(&self, millis: Option<u64>) -> Result<Option<Duration>, Problem> {
        let Some(deadline) = millis.map(Duration::from_millis) else { return Ok(None) };
        let allowed = self.min_deadline..=self.max_deadline;
        if allowed.contains(&deadline) {
            return Ok(Some(deadline));
        }
        let message = format!(
            "it is out of bounds; allowed is {} to {}",
            allowed.start().as_millis(),
            allowed.end().as_millis()
        );
        Err(Problem::invalid("deadline_ms", message))
    }
}

fn key_of(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let key = value.to_str().unwrap_or_default();
    if values.next().is_none() && is_key(key) {
        return Ok(Some(key.to_owned()));
    }
    let message = format!("allowed is one value of 1 to {MAX_KEY} visible ASCII characters");
    Err(Problem::invalid("Idempotency-Key", message))
}

/// Whether a text may be an idempotency key.
pub(super) fn is_key(text: &str) -> bool {
    (1..=MAX_KEY).contains(&text.len()) && text.bytes().all(|it| it.is_ascii_graphic())
}
