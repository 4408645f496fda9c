//! What simulated endpoints do with requests.

use http::StatusCode;

/// How an endpoint responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    Healthy,
    /// Runs requests and never responds.
    NeverResponds,
    /// Runs requests and closes the connection.
    Disconnects,
    /// Refuses requests without running them.
    Full,
    /// Runs requests and responds with status 500.
    Failing,
    /// Runs requests and responds with status 503, without stating whether it has run them.
    Unavailable,
    /// Closes the connection in the middle of a stream.
    Truncates,
    /// Sends the head of a stream, and closes the connection before the first event.
    HeadOnly,
    /// Ends streams inside an event, as if they were complete.
    EndsInEvent {
        is_chunked: bool,
    },
    /// Responds with neither a length nor chunks; the body ends with the connection.
    Unframed,
    /// Responds without the type of the content.
    Untyped,
    /// Responds with the id of another attempt.
    WrongAttempt,
    /// Streams many large events, without pauses.
    Large,
    /// Takes longer by this factor.
    Slow(u32),
}

impl Behaviour {
    /// Returns the status of responses after runs, if it is that of an error.
    pub fn error_status(self) -> Option<StatusCode> {
        match self {
            Behaviour::Failing => Some(StatusCode::INTERNAL_SERVER_ERROR),
            Behaviour::Unavailable => Some(StatusCode::SERVICE_UNAVAILABLE),
            _ => None,
        }
    }

    /// Whether requests that the endpoint runs come to a right and whole answer.
    pub fn is_sound(self) -> bool {
        match self {
            Behaviour::Healthy | Behaviour::Full | Behaviour::Large | Behaviour::Slow(_) => true,
            Behaviour::NeverResponds
            | Behaviour::Disconnects
            | Behaviour::Failing
            | Behaviour::Unavailable
            | Behaviour::Truncates
            | Behaviour::HeadOnly
            | Behaviour::EndsInEvent { .. }
            | Behaviour::Unframed
            | Behaviour::Untyped
            | Behaviour::WrongAttempt => false,
        }
    }
}
