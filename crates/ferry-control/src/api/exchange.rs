//! Handles one request of an operator: checks its token and headers, asks the node and responds.

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

/// Header with the id of a change, which lets a retry after a lost response be recognised.
pub const CHANGE_ID: &str = "change-id";
/// Longest id of a change, in bytes.
const MAX_ID_LEN: usize = 64;
/// Revision that stands for a value that does not exist yet.
const ABSENT: Revision = 0;

/// An authenticated request of an operator.
pub struct Exchange<'a> {
    context: &'a ControlContext,
    author: String,
    id: String,
    /// Revision that a change is based on.
    pub expect: Revision,
}

impl Exchange<'_> {
    /// Authenticates a read.
    pub fn for_read(rqctx: &Context) -> Result<Exchange<'_>, HttpError> {
        Exchange::new(rqctx, OperatorRole::Viewer)
    }

    /// Authenticates an edit, and reads its revision and id from the headers.
    pub fn for_edit(rqctx: &Context) -> Result<Exchange<'_>, HttpError> {
        Exchange::for_change(rqctx, OperatorRole::Admin)
    }

    /// Like `for_edit`, for the choice of the preset in force.
    pub fn for_preset_choice(rqctx: &Context) -> Result<Exchange<'_>, HttpError> {
        Exchange::for_change(rqctx, OperatorRole::Operator)
    }

    fn new(rqctx: &Context, required: OperatorRole) -> Result<Exchange<'_>, HttpError> {
        let context = rqctx.context();
        let author = authenticate(context, rqctx.request.headers(), required)?.name.clone();
        Ok(Exchange { context, author, id: String::new(), expect: ABSENT })
    }

    fn for_change(rqctx: &Context, required: OperatorRole) -> Result<Exchange<'_>, HttpError> {
        let headers = rqctx.request.headers();
        let exchange = Exchange::new(rqctx, required)?;
        let id = match headers.get(CHANGE_ID) {
            Some(value) => parse_change_id(value)?,
            None => format!("{:032x}", rand::rng().random::<u128>()),
        };
        Ok(Exchange { id, expect: base_revision(headers)?, ..exchange })
    }

    /// Sends the operation to the node and converts the reply into a response.
    pub async fn execute(self, op: AdminOp) -> Reply {
        let reply = self.send(op).await?;
        self.respond(reply)
    }

    /// Reads the configuration; the inner error is the response if it is unavailable.
    pub async fn read_config(&self) -> Result<Result<Config, Response<Body>>, HttpError> {
        match self.send(AdminOp::Read).await? {
            AdminReply::Config(config) => Ok(Ok(*config)),
            other => Ok(Err(self.respond(other)?)),
        }
    }

    /// Responds with the selected part of the configuration, or with 404 if there is none.
    pub async fn respond_with<T: Serialize>(
        self,
        select: impl FnOnce(Config) -> Option<T>,
    ) -> Reply {
        let config = match self.read_config().await? {
            Ok(config) => config,
            Err(response) => return Ok(response),
        };
        let revision = config.revision;
        match select(config) {
            Some(part) => json(StatusCode::OK, Some(revision), &part),
            None => self.respond(AdminReply::NotFound),
        }
    }

    /// Sends an operation to the node and waits for its reply.
    pub async fn send(&self, op: AdminOp) -> Result<AdminReply, HttpError> {
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

    /// Converts a reply of the node into a response.
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

/// Builds a JSON response, with the revision as its `ETag` if there is one.
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

/// Returns the operator that the bearer token belongs to, if its role is sufficient.
fn authenticate(
    context: &ControlContext,
    headers: &HeaderMap,
    required: OperatorRole,
) -> Result<Arc<Operator>, HttpError> {
    let refuse = |status, message: String| HttpError::for_client_error(None, status, message);
    let operator = context.operators.authenticate(headers).ok_or_else(|| {
        let message = "could not find an operator for the bearer token".to_owned();
        refuse(ClientErrorStatusCode::UNAUTHORIZED, message)
    })?;
    if operator.role < required {
        let message =
            format!("this takes the role {required}; {} has {}", operator.name, operator.role);
        return Err(refuse(ClientErrorStatusCode::FORBIDDEN, message));
    }
    Ok(operator)
}

/// Returns the revision that a change is based on; the headers must have one.
fn base_revision(headers: &HeaderMap) -> Result<Revision, HttpError> {
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

fn parse_change_id(value: &http::HeaderValue) -> Result<String, HttpError> {
    let id = value.to_str().unwrap_or_default();
    if id.is_empty() || MAX_ID_LEN < id.len() {
        let message = format!("Change-Id must be 1 to {MAX_ID_LEN} printable bytes");
        return Err(HttpError::for_bad_request(None, message));
    }
    Ok(id.to_owned())
}
