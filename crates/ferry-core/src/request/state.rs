//! The state of a request in flight.

use std::sync::Arc;
use std::time::Duration;

use ferry_model::{
    AttemptId, ClaimKey, ClaimRecord, Digest, EndpointId, Moment, Pipeline, RequestId, Revision,
    Stage, StageId, StageReport, Ticket, WorkspaceId,
};
use serde::{Deserialize, Serialize};

use crate::claim::claim_key;
use crate::{Arrival, Connection, Effect};

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestState {
    pub id: RequestId,
    /// The waiting callers: the first one, and those whose duplicate requests joined.
    pub callers: Vec<Caller>,
    pub workspace: WorkspaceId,
    pub key: String,
    pub claim: ClaimKey,
    /// Whether the caller set the idempotency key.
    pub has_key: bool,
    pub digest: Digest,
    pub arrived: Moment,
    pub deadline: Moment,
    pub pipeline: Arc<Pipeline>,
    /// Configuration revision at arrival, used until the request ends.
    pub revision: Revision,
    pub phase: Phase,
    /// Whether a claim was requested, so that the journal may contain it.
    pub claimed: bool,
    /// Index of the current stage.
    pub stage: usize,
    /// Input of the current stage: the output of the previous one. It is kept for retries until the
    /// stage completes.
    pub input: String,
    /// Endpoints tried for the current stage.
    pub tried: Vec<EndpointId>,
    /// Calls made for the current stage; a call on a new connection to the same endpoint is not
    /// counted again.
    pub calls: u32,
    pub attempts: Vec<Attempt>,
    /// Endpoint and connection of the next call, if the router does not choose them.
    pub next_call: Option<NextCall>,
    /// Whether a call may have reached an endpoint.
    pub ran: bool,
    /// Whether a call that must not be repeated may have reached an endpoint.
    pub ran_unrepeatable: bool,
    /// Number of tokens accepted from the response stream of the last stage.
    pub tokens: u32,
    pub emitted: String,
    pub reports: Vec<StageReport>,
    /// The timer that is currently set.
    pub wake: Option<Moment>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    pub ticket: Ticket,
    pub stream: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Waiting for the claim to be written.
    Claiming,
    /// Another instance holds the key; waiting for the outcome of its request.
    AwaitingHolder {
        record: ClaimRecord,
        /// When the holder is asked again.
        ask_at: Moment,
        /// When the holder is considered gone.
        until: Moment,
    },
    /// Waiting for a free endpoint.
    Queued,
    /// Waiting until the given time to retry a failed call.
    Backoff(Moment),
    /// Calls are in flight.
    Running,
}

/// A call that must go to a given endpoint, over a given kind of connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NextCall {
    pub endpoint: EndpointId,
    pub connection: Connection,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Attempt {
    pub id: AttemptId,
    pub endpoint: EndpointId,
    pub started: Moment,
    /// When the last bytes were received.
    pub received_at: Moment,
    /// Silence after which the call is cancelled; `None` if the call must not be repeated.
    pub silence_timeout: Option<Duration>,
    /// When the call is hedged with a second one.
    pub hedge_at: Option<Moment>,
    pub connection: Connection,
    /// Whether the response has begun and identifies this call.
    pub accepted: bool,
    pub is_hedge: bool,
    /// Number of tokens already received when the call started.
    pub offset: u32,
}

impl Attempt {
    pub fn is_silent(&self, now: Moment) -> bool {
        self.silence_timeout.is_some_and(|it| self.received_at + it <= now)
    }

    pub fn next_due(&self) -> Option<Moment> {
        let silent = self.silence_timeout.map(|it| self.received_at + it);
        silent.into_iter().chain(self.hedge_at).min()
    }
}

impl RequestState {
    pub fn new(
        id: RequestId,
        now: Moment,
        deadline: Moment,
        pipeline: Arc<Pipeline>,
        revision: Revision,
        arrival: Arrival,
    ) -> RequestState {
        let has_key = arrival.key.is_some();
        let key = arrival.key.unwrap_or_else(|| format!("{id:032x}"));
        RequestState {
            id,
            callers: vec![Caller { ticket: arrival.ticket, stream: arrival.stream }],
            claim: claim_key(&arrival.workspace, &key),
            workspace: arrival.workspace,
            key,
            has_key,
            digest: arrival.digest,
            arrived: now,
            deadline,
            pipeline,
            revision,
            phase: Phase::Queued,
            claimed: false,
            stage: 0,
            input: arrival.input,
            tried: Vec::new(),
            calls: 0,
            attempts: Vec::new(),
            next_call: None,
            ran: false,
            ran_unrepeatable: false,
            tokens: 0,
            emitted: String::new(),
            reports: Vec::new(),
            wake: None,
        }
    }

    pub fn current(&self) -> &Stage {
        &self.pipeline.stages[self.stage]
    }

    pub fn stage_name(&self) -> &StageId {
        &self.current().name
    }

    /// Whether a call may have reached an endpoint or is in flight.
    pub fn has_started(&self) -> bool {
        self.ran || !self.attempts.is_empty()
    }

    pub fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.attempts.iter().find(|it| it.id == id)
    }

    pub fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|it| it.id == id)
    }

    pub fn take_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let idx = self.attempts.iter().position(|it| it.id == id)?;
        Some(self.attempts.remove(idx))
    }

    /// Records that a call of the current stage may have reached its endpoint.
    pub fn mark_ran(&mut self) {
        self.ran = true;
        self.ran_unrepeatable |= !self.current().repeatable;
    }

    /// Returns when the request must be checked next, if its stages still need `remaining` time.
    pub fn next_due(&self, remaining: Duration) -> Moment {
        let latest = self.deadline.saturating_sub(remaining);
        match &self.phase {
            Phase::Claiming | Phase::Queued => latest,
            Phase::AwaitingHolder { ask_at, until, .. } => self.deadline.min(*ask_at).min(*until),
            Phase::Backoff(until) => latest.min(*until),
            Phase::Running => {
                let due = self.attempts.iter().filter_map(Attempt::next_due).min();
                due.map_or(self.deadline, |it| it.min(self.deadline))
            }
        }
    }

    /// Accepts the next token in order and forwards it to streaming callers.
    pub fn accept_token(
        &mut self,
        number: u32,
        text: &str,
        effects: &mut Vec<Effect>,
    ) -> TokenStep {
        if number < self.tokens {
            return TokenStep::Duplicate;
        }
        if self.tokens < number {
            return TokenStep::Gap;
        }
        self.tokens += 1;
        self.emitted.push_str(text);
        for caller in self.callers.iter().filter(|it| it.stream) {
            effects.push(Effect::Emit { ticket: caller.ticket, number, text: text.to_owned() });
        }
        TokenStep::Accepted
    }

    /// Whether the accepted tokens match the count and digest of the end of the stream.
    pub fn is_complete(&self, count: u32, digest: &Digest) -> bool {
        count == self.tokens && blake3::hash(self.emitted.as_bytes()).as_bytes() == digest
    }
}

/// Result of [`RequestState::accept_token`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenStep {
    Accepted,
    /// The token was already received and is dropped.
    Duplicate,
    /// A token before this one is missing.
    Gap,
}
