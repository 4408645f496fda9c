//! One operator's request: who asks, under which revision, and how the reply is told.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use dropshot::{Body, ClientErrorStatusCode, HttpError};
use ferry_core::Event;
use ferry_edge::CallerEvent;
use ferry_model::{AdminOp, AdminReply, AdminRequest, Config, Revision};
use http::{HeaderMap, Response, StatusCode, header};
use rand::RngExt;
use serde::Serialize;

use super::bodies::{AcceptedBody, ConflictBody, ErrorBody, InvalidBody};
use super::{Context, Reply};
use crate::server::ControlContext;
use crate::{Operator, OperatorRole};

/// Header with the id of a change, so that a repeat of a lost answer is recognised.
pub const CHANGE_ID: &str = "change-id";
/// Longest id of a change, in bytes.
const MAX_ID: usize = 64;
/// What the reducer takes for a value that does not exist yet.
const ABSENT: Revision = 0;

pub struct Exchange<'a> {
    context: &'a ControlContext,
    author: String,
    id: String,
    /// Revision that a write is based on.
    pub expect: Revision,
}

impl Exchange<'_> {
    pub fn read(rqctx: &Context) -> Result<Exchange<'_>, HttpError> {
        Exchange::new(rqctx, OperatorRole::Viewer)
    }

    /// Takes the revision and the change's id of an edit from the headers.
    pub fn write(rqctx: &Context) -> Result<Exchange<'_>, HttpError> {
        Exchange::change(rqctx, OperatorRole::Admin)
    }

    /// Like `write`, for the choice of the preset in force.
    pub fn choose(rqctx: &Context) -> Result<Exchange<'_>, HttpError> {
        Exchange::change(rqctx, OperatorRole::Operator)
    }

    fn new(rqctx: &Context, needed: OperatorRole) -> Result<Exchange<'_>, HttpError> {
        let context = rqctx.context();
        let author = authenticate(context, rqctx.request.headers(), needed)?.name.clone();
        Ok(Exchange { context, author, id: String::new(), expect: ABSENT })
    }

    fn change(rqctx: &Context, needed: OperatorRole) -> Result<Exchange<'_>, HttpError> {
        let headers = rqctx.request.headers();
        let exchange = Exchange::new(rqctx, needed)?;
        let id = match headers.get(CHANGE_ID) {
            Some(value) => read_id(value)?,
            None => format!("{:032x}", rand::rng().random::<u128>()),
        };
        Ok(Exchange { id, expect: expected(headers)?, ..exchange })
    }

    /// Asks the node and turns its reply into a response.
    pub async fn ask(self, op: AdminOp) -> Reply {
        let reply = self.reply(op).await?;
        self.respond(reply)
    }

    /// Returns the configuration, or the response that says why there is none.
    pub async fn config(&self) -> Result<Result<Config, Response<Body>>, HttpError> {
        match self.reply(AdminOp::Read).await? {
            AdminReply::Config(config) => Ok(Ok(*config)),
            other => Ok(Err(self.respond(other)?)),
        }
    }

    /// Responds with a part of the configuration, or with 404.
    pub async fn part<T: Serialize>(self, choose: impl FnOnce(Config) -> Option<T>) -> Reply {
        let config = match self.config().await? {
            Ok(config) => config,
            Err(response) => return Ok(response),
        };
        let revision = config.revision;
        match choose(config) {
            Some(part) => json(StatusCode::OK, Some(revision), &part),
            None => self.respond(AdminReply::NotFound),
        }
    }

    pub async fn reply(&self, op: AdminOp) -> Result<AdminReply, HttpError> {
        let (ticket, mut events) = self.context.handle.callers().register();
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.context.handle.send(Event::Admin(AdminRequest {
            ticket,
            author: self.author.clone(),
            id: self.id.clone(),
            at: since.as_millis() as u64,
            op,
        }));
        match events.recv().await {
            Some(CallerEvent::Admin(reply)) => Ok(*reply),
            Some(_) | None => {
                Err(HttpError::for_unavail(None, "the node has ended; ask again".to_owned()))
            }
        }
    }

    pub fn respond(&self, reply: AdminReply) -> Reply {
        let message = |it: &str| it.to_owned();
        match reply {
            AdminReply::Accepted { revision } => {
                let body = AcceptedBody { revision, id: self.id.clone() };
                json(StatusCode::OK, Some(revision), &body)
            }
            AdminReply::Conflict { revision, changes } => {
                let message = message("somebody else was first; read again");
                let body = ConflictBody { message, revision, changes };
                json(StatusCode::PRECONDITION_FAILED, Some(revision), &body)
            }
            AdminReply::Invalid(findings) => {
                let body = InvalidBody { message: message("the value is not valid"), findings };
                error_body(StatusCode::UNPROCESSABLE_ENTITY, &body)
            }
            AdminReply::NotFound => {
                let body = ErrorBody { message: message("there is no such thing"), id: None };
                error_body(StatusCode::NOT_FOUND, &body)
            }
            AdminReply::Unavailable(error) => {
                let message = format!("nothing was written: {error}");
                error_body(StatusCode::SERVICE_UNAVAILABLE, &ErrorBody { message, id: None })
            }
            AdminReply::Unconfirmed(error) => {
                let message = format!("the change may stand; repeat it under its id: {error}");
                let id = Some(self.id.clone());
                error_body(StatusCode::GATEWAY_TIMEOUT, &ErrorBody { message, id })
            }
            AdminReply::Config(_) | AdminReply::Workspaces(_) | AdminReply::Status(_) => {
                Err(HttpError::for_internal_error("the node answered another question".to_owned()))
            }
        }
    }
}

/// Builds a JSON response, with the revision as its `ETag`.
pub fn json<T: Serialize>(status: StatusCode, revision: Option<Revision>, body: &T) -> Reply {
    let internal = |it: String| HttpError::for_internal_error(it);
    let text = serde_json::to_string(body).map_err(|it| internal(it.to_string()))?;
    let mut response =
        Response::builder().status(status).header(header::CONTENT_TYPE, "application/json");
    if let Some(revision) = revision {
        response = response.header(header::ETAG, format!("\"{revision}\""));
    }
    response.body(Body::from(text)).map_err(|it| internal(it.to_string()))
}

pub fn error_body<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    json(status, None, body)
}

/// Returns the operator of the bearer token if the role allows what is asked.
fn authenticate(
    context: &ControlContext,
    headers: &HeaderMap,
    needed: OperatorRole,
) -> Result<Arc<Operator>, HttpError> {
    let refused = |status, message: String| HttpError::for_client_error(None, status, message);
    let operator = context.operators.authenticate(headers).ok_or_else(|| {
        let message = "could not find an operator for the bearer token".to_owned();
        refused(ClientErrorStatusCode::UNAUTHORIZED, message)
    })?;
    if operator.role < needed {
        let message =
            format!("this takes the role {needed}; {} has {}", operator.name, operator.role);
        return Err(refused(ClientErrorStatusCode::FORBIDDEN, message));
    }
    Ok(operator)
}

/// Returns the revision that a write is based on; without one it is refused.
fn expected(headers: &HeaderMap) -> Result<Revision, HttpError> {
    if headers.get(header::IF_NONE_MATCH).is_some_and(|it| it == "*") {
        return Ok(ABSENT);
    }
    let Some(value) = headers.get(header::IF_MATCH) else {
        let message = "If-Match with the revision that was read is missing".to_owned();
        let status = ClientErrorStatusCode::PRECONDITION_REQUIRED;
        return Err(HttpError::for_client_error(None, status, message));
    };
    let tag = value.to_str().unwrap_or_default().trim_matches('"');
    tag.parse().map_err(|_| {
        HttpError::for_bad_request(None, format!("If-Match: {tag:?} is not a revision"))
    })
}

fn read_id(value: &http::HeaderValue) -> Result<String, HttpError> {
    let id = value.to_str().unwrap_or_default();
    if id.is_empty() || MAX_ID < id.len() {
        let message = format!("Change-Id must be 1 to {MAX_ID} printable bytes");
        return Err(HttpError::for_bad_request(None, message));
    }
    Ok(id.to_owned())
}
