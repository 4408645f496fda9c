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

use super::answer::{internal_error, respond};
use super::events::EventStream;
use super::{Problem, body, events, limits};
use crate::server::EntryContext;

/// Name of the header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_KEY_LEN: usize = 256;

/// Body of a request.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RequestBody {
    pub input: String,
    /// Time in milliseconds after which the answer is of no use to the caller; defaults to the
    /// deadline of the pipeline.
    pub deadline_ms: Option<u64>,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct PipelinePath {
    pipeline: String,
}

/// Runs a request through a pipeline and returns its outcome.
#[endpoint { method = POST, path = "/v1/pipelines/{pipeline}/requests" }]
pub(super) async fn post_request(
    rqctx: RequestContext<Arc<EntryContext>>,
    path: Path<PipelinePath>,
    body: StreamingBody,
) -> Result<Response<Body>, Problem> {
    let headers = rqctx.request.headers();
    let context = rqctx.context();
    limits::check_headers(&context.limits, headers)?;
    let workspace = context.tokens.authenticate(headers)?;
    let key = idempotency_key(headers)?;
    let permit = context.limiter.acquire(&context.limits, rqctx.request.remote_addr())?;
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
    let mut replies = context.handle.ask(|ticket| Event::Arrive(Arrival { ticket, ..arrival }));
    match replies.next().await {
        Some(CallerEvent::Answer(answer)) if !stream || answer.output.is_none() => respond(&answer),
        Some(first) => {
            events::respond(EventStream::new(context.clone(), started, replies, permit), first)
        }
        None => Err(internal_error("the node has ended")),
    }
}

impl EntryContext {
    /// Records the durations of a request and its stages as metrics.
    pub(super) fn record_times(&self, took: Duration, answer: &Answer) {
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

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let key = value.to_str().unwrap_or_default();
    if values.next().is_none() && is_valid_key(key) {
        return Ok(Some(key.to_owned()));
    }
    let message = format!("allowed is one value of 1 to {MAX_KEY_LEN} visible ASCII characters");
    Err(Problem::invalid("Idempotency-Key", message))
}

/// Whether `text` is a valid idempotency key.
pub(super) fn is_valid_key(text: &str) -> bool {
    (1..=MAX_KEY_LEN).contains(&text.len()) && text.bytes().all(|it| it.is_ascii_graphic())
}
