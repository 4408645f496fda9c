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

use super::answer::internal;
use super::limits::Pass;
use super::{AnswerBody, Problem};
use crate::server::EntryContext;

/// Name of the event of one token.
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
    /// Token events before this one.
    pub count: u32,
    /// BLAKE3 digest of their texts in order, in hex.
    pub digest: String,
    pub answer: AnswerBody,
}

/// The rest of an answer that has begun to stream.
pub struct Rest {
    context: Arc<EntryContext>,
    /// When the request came in.
    started: Instant,
    waiter: ReplyStream,
    _pass: Pass,
    count: u32,
    digest: blake3::Hasher,
    /// Events that wait to be written, the next one first.
    ready: Option<CallerEvent>,
    is_over: bool,
}

/// Answers with the stream that `first` begins.
pub fn respond(mut rest: Rest, first: CallerEvent) -> Result<Response<Body>, Problem> {
    rest.ready = Some(first);
    let frames = stream::unfold(rest, async |mut rest| {
        let bytes = rest.next().await?;
        Some((Ok::<_, Infallible>(Frame::data(bytes)), rest))
    });
    Response::builder()
        .status(StatusCode::OK)
        .header(CONTENT_TYPE, "text/event-stream")
        .header(CACHE_CONTROL, "no-store")
        .body(Body::wrap(StreamBody::new(frames)))
        .map_err(internal)
}

impl Rest {
    pub fn new(
        context: Arc<EntryContext>,
        started: Instant,
        waiter: ReplyStream,
        pass: Pass,
    ) -> Rest {
        Rest {
            context,
            started,
            waiter,
            _pass: pass,
            count: 0,
            digest: blake3::Hasher::new(),
            ready: None,
            is_over: false,
        }
    }

    async fn next(&mut self) -> Option<Bytes> {
        if self.is_over {
            return None;
        }
        let event = match self.ready.take() {
            Some(event) => event,
            None => self.waiter.next().await?,
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

    /// Writes the terminal event; an answer that did not stream becomes one token before it.
    fn end(&mut self, answer: &Answer) -> Bytes {
        self.is_over = true;
        self.context.measure(self.started.elapsed(), answer);
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
