//! Requests of callers and what the callers received.

use std::time::Duration;

use ferry_model::{Answer, Moment, Ticket, WorkspaceId};

use crate::NodeIdx;

/// A request as its caller sends it.
#[derive(Debug, Clone)]
pub struct Request {
    pub workspace: WorkspaceId,
    pub pipeline: String,
    pub key: Option<String>,
    pub input: String,
    pub deadline: Option<Duration>,
    pub stream: bool,
}

impl Request {
    pub fn new(workspace: &str, pipeline: &str, input: impl Into<String>) -> Request {
        Request {
            workspace: workspace.to_owned(),
            pipeline: pipeline.to_owned(),
            key: None,
            input: input.into(),
            deadline: None,
            stream: false,
        }
    }

    pub fn with_key(mut self, key: impl Into<String>) -> Request {
        self.key = Some(key.into());
        self
    }

    pub fn with_deadline(mut self, deadline: Duration) -> Request {
        self.deadline = Some(deadline);
        self
    }

    pub fn with_stream(mut self) -> Request {
        self.stream = true;
        self
    }
}

/// A request with everything that its caller received.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub ticket: Ticket,
    pub node: NodeIdx,
    pub request: Request,
    pub at: Moment,
    /// Tokens streamed to the caller with their positions, in order of arrival.
    pub tokens: Vec<(u32, String)>,
    /// Every final answer; more than one is a bug of the node.
    pub answers: Vec<(Moment, Answer)>,
    /// Whether the process died before it answered.
    pub connection_lost: bool,
    /// When the caller hung up.
    pub hung_up: Option<Moment>,
}

impl RequestRecord {
    pub fn answer(&self) -> Option<&Answer> {
        self.answers.first().map(|(_, answer)| answer)
    }

    pub fn latency(&self) -> Option<Duration> {
        self.answers.first().map(|(at, _)| at.saturating_sub(self.at))
    }
}
