//! One request in flight.

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
    /// The waiting callers: who asked first, and repeats that joined.
    pub callers: Vec<Caller>,
    pub workspace: WorkspaceId,
    pub key: String,
    pub claim: ClaimKey,
    /// The caller chose the key.
    pub has_key: bool,
    pub digest: Digest,
    pub arrived: Moment,
    pub deadline: Moment,
    pub pipeline: Arc<Pipeline>,
    /// Revision that the request started under; it keeps it to its end.
    pub revision: Revision,
    pub phase: Phase,
    /// A claim was asked for, so one may stand.
    pub claimed: bool,
    /// Index of the stage that runs.
    pub stage: usize,
    /// Input of that stage: the output of the one before it, kept until it has answered.
    pub input: String,
    /// Endpoints tried for that stage.
    pub tried: Vec<EndpointId>,
    /// Calls made for that stage; a new connection to the same endpoint counts with the first.
    pub calls: u32,
    pub attempts: Vec<Attempt>,
    /// Where and how the next call goes, if that is not for the router to choose.
    pub next_call: Option<NextCall>,
    /// A call may have reached an endpoint.
    pub ran: bool,
    /// A call that may not be repeated may have reached an endpoint.
    pub ran_unrepeatable: bool,
    /// Tokens taken from the streamed answer of the last stage.
    pub tokens: u32,
    pub emitted: String,
    pub reports: Vec<StageReport>,
    /// The timer that is set for it.
    pub wake: Option<Moment>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    pub ticket: Ticket,
    pub stream: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Waits for its claim.
    Claiming,
    /// Another instance holds the key: waits for the outcome there.
    AwaitingHolder {
        record: ClaimRecord,
        /// When to ask again.
        ask_at: Moment,
        /// When the holder is taken for gone.
        until: Moment,
    },
    /// Waits for a free endpoint.
    Queued,
    /// Waits to repeat a failed call.
    Backoff(Moment),
    /// Calls are out.
    Running,
}

/// A call to the endpoint that had the last one.
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
    /// When its last bytes came.
    pub received_at: Moment,
    /// Silence after which the connection is given up; none for a call that may not be repeated.
    pub silence_timeout: Option<Duration>,
    /// When a second call is made beside it.
    pub hedge_at: Option<Moment>,
    pub connection: Connection,
    /// The answer has begun and names this call.
    pub accepted: bool,
    pub is_hedge: bool,
    /// Tokens that were there when it started.
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

    /// Whether a call may have reached an endpoint, or still may.
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

    /// Notes that an attempt may have reached its endpoint.
    pub fn mark_ran(&mut self) {
        self.ran = true;
        self.ran_unrepeatable |= !self.current().repeatable;
    }

    /// Returns when something is due for it, with `rest` the least time that it still needs.
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

    /// Takes the next token in order; one seen before is dropped, and one too far is a gap.
    pub fn accept_token(&mut self, number: u32, text: &str, out: &mut Vec<Effect>) -> TokenStep {
        if number < self.tokens {
            return TokenStep::Duplicate;
        }
        if self.tokens < number {
            return TokenStep::Gap;
        }
        self.tokens += 1;
        self.emitted.push_str(text);
        for caller in self.callers.iter().filter(|it| it.stream) {
            out.push(Effect::Emit { ticket: caller.ticket, number, text: text.to_owned() });
        }
        TokenStep::Accepted
    }

    /// Whether the tokens taken are all that the terminal event counts.
    pub fn is_complete(&self, count: u32, digest: &Digest) -> bool {
        count == self.tokens && blake3::hash(self.emitted.as_bytes()).as_bytes() == digest
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenStep {
    Accepted,
    Duplicate,
    Gap,
}
