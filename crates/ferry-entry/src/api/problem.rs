//! Errors that are returned to callers without an answer of the node.

use std::fmt;

use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Problem {
    /// Identifier of the error, for programs.
    pub error: String,
    /// Field of the body, header or path that is invalid.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// What is wrong and what is allowed.
    pub message: String,
    #[serde(skip, default = "bad_request")]
    status: ErrorStatusCode,
}

impl Problem {
    pub fn new(status: ErrorStatusCode, error: &str, message: impl Into<String>) -> Problem {
        Problem { error: error.to_owned(), field: None, message: message.into(), status }
    }

    /// Creates the error for a field with an invalid value.
    pub fn invalid(field: &str, message: impl Into<String>) -> Problem {
        Problem::new(bad_request(), "invalid", message).with_field(field)
    }

    /// Creates the error for a token that belongs to no workspace.
    pub fn unauthorized() -> Problem {
        let message = "the bearer token is missing or belongs to no workspace";
        Problem::new(ErrorStatusCode::UNAUTHORIZED, "unauthorized", message)
            .with_field("Authorization")
    }

    /// Creates the error for a token that cannot be checked because no workspaces are loaded yet.
    pub fn no_workspaces() -> Problem {
        let message = "the instance has not read the workspaces yet; ask another one";
        Problem::new(ErrorStatusCode::SERVICE_UNAVAILABLE, "no_workspaces", message)
    }

    /// Creates the error for a query that the node did not answer in time.
    pub fn unanswered() -> Problem {
        let message = "the instance did not answer in time";
        Problem::new(ErrorStatusCode::SERVICE_UNAVAILABLE, "unanswered", message)
    }

    pub fn with_field(mut self, field: &str) -> Problem {
        self.field = Some(field.to_owned());
        self
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.error, self.message)
    }
}

impl HttpResponseError for Problem {
    fn status_code(&self) -> ErrorStatusCode {
        self.status
    }
}

impl From<HttpError> for Problem {
    fn from(error: HttpError) -> Problem {
        let name = error.error_code.as_deref().unwrap_or("rejected");
        Problem::new(error.status_code, name, error.external_message)
    }
}

fn bad_request() -> ErrorStatusCode {
    ErrorStatusCode::BAD_REQUEST
}
