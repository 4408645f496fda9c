//! One request in flight.

use std::sync::Arc;

use ferry_model::{
    AttemptId, Digest, EndpointId, Moment, Pipeline, RequestId, Revision, StageReport, Ticket,
    WorkspaceId,
};
use serde::{Deserialize, Serialize};

use crate::{Arrival, Effect};

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Flight {
    pub id: RequestId,
    /// The waiting caller; none after it disconnected.
    pub ticket: Option<Ticket>,
    pub workspace: WorkspaceId,
    pub key: String,
    pub digest: Digest,
    pub arrived: Moment,
    pub deadline: Moment,
    pub pipeline: Arc<Pipeline>,
    /// Revision that the request started under; it keeps it to its end.
    pub revision: Revision,
    pub stream: bool,
    /// Index of the stage that runs.
    pub stage: usize,
    /// Input of that stage: the output of the one before it.
    pub input: String,
    /// Endpoints tried for that stage.
    pub tried: Vec<EndpointId>,
    pub attempt: Option<Attempt>,
    /// Whether any call was handed to the process for sending.
    pub dispatched: bool,
    /// Tokens taken from the streamed answer of the last stage.
    pub tokens: u32,
    pub emitted: String,
    pub reports: Vec<StageReport>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Attempt {
    pub id: AttemptId,
    pub endpoint: EndpointId,
    pub started: Moment,
}

impl Flight {
    pub fn new(
        id: RequestId,
        now: Moment,
        deadline: Moment,
        pipeline: Arc<Pipeline>,
        revision: Revision,
        arrival: Arrival,
    ) -> Flight {
        Flight {
            id,
            ticket: Some(arrival.ticket),
            workspace: arrival.workspace,
            key: arrival.key.unwrap_or_else(|| format!("{id:032x}")),
            digest: arrival.digest,
            arrived: now,
            deadline,
            pipeline,
            revision,
            stream: arrival.stream,
            stage: 0,
            input: arrival.input,
            tried: Vec::new(),
            attempt: None,
            dispatched: false,
            tokens: 0,
            emitted: String::new(),
            reports: Vec::new(),
        }
    }

    /// Takes the next token in order; one seen before is dropped.
    pub fn take_token(&mut self, number: u32, text: String, out: &mut Vec<Effect>) {
        if number != self.tokens {
            return;
        }
        self.tokens += 1;
        self.emitted.push_str(&text);
        if let (true, Some(ticket)) = (self.stream, self.ticket) {
            out.push(Effect::Emit { ticket, number, text });
        }
    }

    /// Whether the tokens taken are all that the terminal event counts.
    pub fn is_whole(&self, count: u32, digest: &Digest) -> bool {
        count == self.tokens && blake3::hash(self.emitted.as_bytes()).as_bytes() == digest
    }
}
