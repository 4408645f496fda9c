//! Converts the answer of the node into an HTTP response.

use dropshot::{Body, HttpError};
use ferry_model::{Answer, Outcome, RefusalReason};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{Response, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::Problem;

/// Body of an answer.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct AnswerBody {
    /// Request id in hex.
    pub request: String,
    /// `complete`, `not_run`, `failed` or `in_doubt`.
    pub outcome: String,
    /// Why the request did not complete.
    pub reason: Option<String>,
    /// Field of the request that caused the refusal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    pub output: Option<String>,
    pub stages: Vec<StageBody>,
    /// Revision of the configuration that was in force when the request started.
    pub revision: u64,
}

/// Duration and endpoint of one finished stage.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct StageBody {
    pub stage: String,
    pub endpoint: String,
    pub took_ms: u64,
    pub attempts: u32,
}

impl AnswerBody {
    pub fn new(answer: &Answer) -> AnswerBody {
        let refusal = answer.refusal.map(|it| it.to_string());
        let failure = answer.failure.map(|it| it.to_string());
        let stages = answer.stages.iter().map(|it| StageBody {
            stage: it.stage.clone(),
            endpoint: it.endpoint.clone(),
            took_ms: it.took.as_millis() as u64,
            attempts: it.attempts,
        });
        AnswerBody {
            request: format!("{:032x}", answer.request),
            outcome: answer.outcome.to_string(),
            reason: refusal.or(failure),
            field: answer.refusal.and_then(field_of).map(str::to_owned),
            output: answer.output.clone(),
            stages: stages.collect(),
            revision: answer.revision,
        }
    }
}

/// Builds the response of a request that is not streamed; docs/CALLERS.md lists the statuses.
pub fn respond(answer: &Answer) -> Result<Response<Body>, Problem> {
    let body = serde_json::to_string(&AnswerBody::new(answer)).map_err(internal_error)?;
    let mut response =
        Response::builder().status(status_of(answer)).header(CONTENT_TYPE, "application/json");
    if let Some(delay) = answer.retry_after.filter(|_| is_retryable(answer.refusal)) {
        response = response.header(RETRY_AFTER, delay.as_secs_f64().ceil().max(1.0) as u64);
    }
    response.body(Body::from(body)).map_err(internal_error)
}

pub fn internal_error(error: impl ToString) -> Problem {
    HttpError::for_internal_error(error.to_string()).into()
}

fn status_of(answer: &Answer) -> StatusCode {
    match answer.outcome {
        Outcome::Complete => StatusCode::OK,
        Outcome::Failed => StatusCode::BAD_GATEWAY,
        Outcome::InDoubt => StatusCode::GATEWAY_TIMEOUT,
        Outcome::NotRun => answer.refusal.map_or(StatusCode::SERVICE_UNAVAILABLE, refusal_status),
    }
}

fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::UnknownPipeline => StatusCode::NOT_FOUND,
        RefusalReason::DeadlineTooShort => StatusCode::BAD_REQUEST,
        RefusalReason::KeyConflict => StatusCode::CONFLICT,
        RefusalReason::QueueFull | RefusalReason::WorkspaceLimit | RefusalReason::PoolLimit => {
            StatusCode::TOO_MANY_REQUESTS
        }
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn field_of(reason: RefusalReason) -> Option<&'static str> {
    match reason {
        RefusalReason::UnknownPipeline => Some("pipeline"),
        RefusalReason::DeadlineTooShort => Some("deadline_ms"),
        RefusalReason::KeyConflict => Some("Idempotency-Key"),
        _ => None,
    }
}

/// Whether the same request may be accepted later; a fault in one of its fields is permanent.
fn is_retryable(reason: Option<RefusalReason>) -> bool {
    reason.and_then(field_of).is_none()
}
