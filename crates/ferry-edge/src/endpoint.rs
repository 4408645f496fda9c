//! Calls endpoints and reports the outcomes as events.

use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use ferry_core::{CallEvent, Connection, Event, StageCall};
use ferry_model::{AttemptId, Digest, StageKind};
use futures_util::StreamExt;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::sync::mpsc::UnboundedSender;

use crate::http::{BufferedResponse, json_request, read_response};
use crate::wire::{
    CompletionBody, CompletionChunk, CompletionEnd, CompletionExtras, EVENT_ACCEPTED, EVENT_END,
    RefusalBody, StageBody, StageResponse, WireEcho,
};
use crate::{HttpClient, HttpError};

#[derive(Debug, Clone, Default)]
pub struct EndpointClient {
    http: HttpClient,
}

impl EndpointClient {
    pub fn new() -> EndpointClient {
        EndpointClient { http: HttpClient::new() }
    }

    /// Runs one call to its end and sends each step to `events`.
    pub async fn run(self, call: StageCall, events: UnboundedSender<Event>) {
        let reporter = Reporter { attempt: call.attempt, events };
        let last = match self.send(&call).await {
            Ok(response) => read(&call, response, &reporter).await,
            Err(HttpError::Connect { error, .. } | HttpError::Build { error, .. }) => {
                CallEvent::Unsent { error }
            }
            Err(error) => CallEvent::Broken { error: error.to_string() },
        };
        reporter.send(last);
    }

    async fn send(&self, call: &StageCall) -> Result<Response<Incoming>, HttpError> {
        let request = build(call)?;
        match call.connection {
            Connection::Pooled => self.http.send_pooled(call.address, request).await,
            Connection::Fresh => self.http.send_fresh(call.address, request).await,
        }
    }
}

struct Reporter {
    attempt: AttemptId,
    events: UnboundedSender<Event>,
}

impl Reporter {
    fn send(&self, event: CallEvent) {
        let _ = self.events.send(Event::Call { attempt: self.attempt, event });
    }
}

fn build(call: &StageCall) -> Result<Request<Full<Bytes>>, HttpError> {
    let echo = WireEcho::new(call.request, &call.stage, call.attempt);
    let budget_ms = u64::try_from(call.budget.as_millis()).unwrap_or(u64::MAX);
    match call.kind {
        StageKind::Generate => {
            let body = CompletionBody {
                model: call.model.clone().unwrap_or_default(),
                prompt: call.input.clone(),
                max_tokens: call.max_tokens,
                stream: true,
                ferry: CompletionExtras {
                    echo,
                    key: call.key.clone(),
                    offset: call.offset,
                    emitted: call.emitted.clone(),
                    priority: call.priority,
                    budget_ms,
                },
            };
            json_request(Method::POST, call.address, "/v1/completions", Some(&body))
        }
        StageKind::Encode | StageKind::Retrieve | StageKind::Rerank | StageKind::Service => {
            let body = StageBody {
                ferry: echo,
                key: call.key.clone(),
                input: call.input.clone(),
                budget_ms,
                priority: call.priority,
            };
            let path = format!("/v1/stages/{}", call.stage);
            json_request(Method::POST, call.address, &path, Some(&body))
        }
    }
}

async fn read(call: &StageCall, response: Response<Incoming>, reporter: &Reporter) -> CallEvent {
    let is_stream = call.kind == StageKind::Generate && response.status() == StatusCode::OK;
    if is_stream {
        return read_stream(response, reporter).await;
    }
    match read_response(call.address, response).await {
        Ok(response) => read_body(&response),
        Err(error) => CallEvent::Broken { error: error.to_string() },
    }
}

fn read_body(response: &BufferedResponse) -> CallEvent {
    match response.status {
        StatusCode::OK => match response.json::<StageResponse>() {
            Ok(body) => match body.ferry.parse() {
                Some(echo) => CallEvent::Reply { echo, output: body.output, load: body.load },
                None => broken("the response's request id is not hexadecimal"),
            },
            Err(error) => broken(&format!("could not read the response: {error}")),
        },
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => refused(response),
        status => CallEvent::Failed { echo: None, error: format!("status {status}") },
    }
}

fn refused(response: &BufferedResponse) -> CallEvent {
    let retry_after = response
        .headers
        .get(http::header::RETRY_AFTER)
        .and_then(|it| it.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    match response.json::<RefusalBody>() {
        Ok(body) => CallEvent::Refused { error: body.message, leaving: body.leaving, retry_after },
        // Something else answers with this status, such as a proxy behind which the call has run.
        Err(_) => {
            broken(&format!("status {}, whose body is no refusal of an endpoint", response.status))
        }
    }
}

async fn read_stream(response: Response<Incoming>, reporter: &Reporter) -> CallEvent {
    let mut events = response.into_body().into_data_stream().eventsource();
    while let Some(event) = events.next().await {
        let event = match event {
            Ok(event) => event,
            Err(error) => return broken(&format!("could not read the stream: {error}")),
        };
        match read_event(&event.event, &event.data) {
            Ok(step) if step.is_last() => return step,
            Ok(step) => reporter.send(step),
            Err(error) => return broken(&error),
        }
    }
    broken("the stream ended without its terminal event")
}

fn read_event(name: &str, data: &str) -> Result<CallEvent, String> {
    let unreadable = |error: serde_json::Error| format!("could not read the event {name}: {error}");
    match name {
        EVENT_ACCEPTED => {
            let echo: WireEcho = serde_json::from_str(data).map_err(unreadable)?;
            let echo = echo.parse().ok_or("the request id is not hexadecimal")?;
            Ok(CallEvent::Accepted { echo })
        }
        EVENT_END => {
            let end: CompletionEnd = serde_json::from_str(data).map_err(unreadable)?;
            let echo = end.ferry.parse().ok_or("the request id is not hexadecimal")?;
            let digest =
                parse_digest(&end.digest).ok_or("the digest is not 64 hexadecimal digits")?;
            Ok(CallEvent::End { echo, count: end.count, digest, load: end.load })
        }
        _ => {
            let chunk: CompletionChunk = serde_json::from_str(data).map_err(unreadable)?;
            let text = chunk.choices.into_iter().map(|it| it.text).collect();
            Ok(CallEvent::Token { number: chunk.number, text })
        }
    }
}

fn parse_digest(hex: &str) -> Option<Digest> {
    blake3::Hash::from_hex(hex).ok().map(|it| *it.as_bytes())
}

fn broken(error: &str) -> CallEvent {
    CallEvent::Broken { error: error.to_owned() }
}
