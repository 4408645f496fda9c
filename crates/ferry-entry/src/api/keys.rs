//! `GET /v1/requests/{key}`.

use std::sync::Arc;
use std::time::Duration;

use dropshot::{ErrorStatusCode, HttpResponseOk, Path, RequestContext, endpoint};
use ferry_core::Event;
use ferry_edge::CallerEvent;
use ferry_model::KeyState;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::requests::is_valid_key;
use super::{AnswerBody, Problem, limits};
use crate::server::EntryContext;

/// Longest wait for the reply of the node.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// State of the request with an idempotency key.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct KeyBody {
    pub key: String,
    pub state: KeyStateName,
    /// The answer, if the request has ended and its answer is still stored.
    pub answer: Option<AnswerBody>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum KeyStateName {
    Running,
    Settled,
}

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct KeyPath {
    key: String,
}

/// Returns the state of the request with an idempotency key of the caller's workspace.
#[endpoint { method = GET, path = "/v1/requests/{key}" }]
pub(super) async fn get_key(
    rqctx: RequestContext<Arc<EntryContext>>,
    path: Path<KeyPath>,
) -> Result<HttpResponseOk<KeyBody>, Problem> {
    let headers = rqctx.request.headers();
    let context = rqctx.context();
    limits::check_headers(&context.limits, headers)?;
    let workspace = context.tokens.authenticate(headers)?;
    let key = path.into_inner().key;
    if !is_valid_key(&key) {
        return Err(Problem::invalid("key", "it is not an idempotency key"));
    }
    let _permit = context.limiter.acquire(&context.limits, rqctx.request.remote_addr())?;
    let lookup = key.clone();
    let mut replies = context.handle.ask(|ticket| Event::AskKey { ticket, workspace, key: lookup });
    match tokio::time::timeout(REPLY_TIMEOUT, replies.next()).await {
        Ok(Some(CallerEvent::Key(state))) => body_of(key, state),
        Ok(_) | Err(_) => Err(Problem::unanswered()),
    }
}

fn body_of(key: String, state: KeyState) -> Result<HttpResponseOk<KeyBody>, Problem> {
    let (state, answer) = match state {
        KeyState::Unknown => return Err(unknown_key()),
        KeyState::Running => (KeyStateName::Running, None),
        KeyState::Settled { answer, .. } => (KeyStateName::Settled, Some(AnswerBody::new(&answer))),
    };
    Ok(HttpResponseOk(KeyBody { key, state, answer }))
}

fn unknown_key() -> Problem {
    let message = "no request with this key is known here";
    Problem::new(ErrorStatusCode::NOT_FOUND, "unknown_key", message).with_field("key")
}
