//! Streams an answer as server-sent events: numbered tokens, then one terminal event.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use dropshot::Body;
use ferry_edge::{CallerEvent, ReplyStream};
use ferry_model::Answer;
use futures_util::stream;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{Response, StatusCode};
use http_body_util::StreamBody;
use hyper::body::Frame;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::answer::internal_error;
use super::limits::RequestPermit;
use super::{AnswerBody, Problem};
use crate::server::EntryContext;

/// Name of the event that carries one token.
pub const EVENT_TOKEN: &str = "token";
/// Name of the terminal event.
pub const EVENT_END: &str = "end";

/// Data of [`EVENT_TOKEN`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TokenBody {
    /// Number of the token, from zero.
    pub number: u32,
    pub text: String,
}

/// Data of [`EVENT_END`].
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct EndBody {
    /// Number of token events before this one.
    pub count: u32,
    /// BLAKE3 digest of their texts in order, in hex.
    pub digest: String,
    pub answer: AnswerBody,
}

/// State of a streamed response.
pub struct EventStream {
    context: Arc<EntryContext>,
    /// When the request was received.
    started: Instant,
    replies: ReplyStream,
    _permit: RequestPermit,
    count: u32,
    digest: blake3::Hasher,
    /// Event that was received before the response started.
    first: Option<CallerEvent>,
    is_ended: bool,
}

/// Builds the response that streams `first` and the events after it.
pub fn respond(mut events: EventStream, first: CallerEvent) -> Result<Response<Body>, Problem> {
    events.first = Some(first);
    let frames = stream::unfold(events, async |mut events| {
        let bytes = events.next().await?;
        Some((Ok::<_, Infallible>(Frame::data(bytes)), events))
    });
    Response::builder()
        .status(StatusCode::OK)
        .header(CONTENT_TYPE, "text/event-stream")
        .header(CACHE_CONTROL, "no-store")
        .body(Body::wrap(StreamBody::new(frames)))
        .map_err(internal_error)
}

impl EventStream {
    pub fn new(
        context: Arc<EntryContext>,
        started: Instant,
        replies: ReplyStream,
        permit: RequestPermit,
    ) -> EventStream {
        EventStream {
            context,
            started,
            replies,
            _permit: permit,
            count: 0,
            digest: blake3::Hasher::new(),
            first: None,
            is_ended: false,
        }
    }

    async fn next(&mut self) -> Option<Bytes> {
        if self.is_ended {
            return None;
        }
        let event = match self.first.take() {
            Some(event) => event,
            None => self.replies.next().await?,
        };
        match event {
            CallerEvent::Token { number, text } => Some(self.token(number, &text)),
            CallerEvent::Answer(answer) => Some(self.end(&answer)),
            CallerEvent::Instances(_) | CallerEvent::Key(_) | CallerEvent::Admin(_) => None,
        }
    }

    fn token(&mut self, number: u32, text: &str) -> Bytes {
        self.count += 1;
        self.digest.update(text.as_bytes());
        let body = TokenBody { number, text: text.to_owned() };
        event(EVENT_TOKEN, Some(number), &body)
    }

    /// Encodes the terminal event, after one token event if the output was not streamed.
    fn end(&mut self, answer: &Answer) -> Bytes {
        self.is_ended = true;
        self.context.record_times(self.started.elapsed(), answer);
        let mut bytes = Vec::new();
        if let (0, Some(output)) = (self.count, &answer.output) {
            bytes.extend_from_slice(&self.token(0, output));
        }
        let body = EndBody {
            count: self.count,
            digest: self.digest.finalize().to_hex().to_string(),
            answer: AnswerBody::new(answer),
        };
        bytes.extend_from_slice(&event(EVENT_END, None, &body));
        Bytes::from(bytes)
    }
}

fn event<T: Serialize>(name: &str, id: Option<u32>, body: &T) -> Bytes {
    let data = serde_json::to_string(body).unwrap_or_default();
    let id = id.map(|it| format!("id: {it}\n")).unwrap_or_default();
    Bytes::from(format!("{id}event: {name}\ndata: {data}\n\n"))
}
