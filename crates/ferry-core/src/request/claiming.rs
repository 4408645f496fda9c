//! Claims the key of a request that must not be repeated, and handles the result.

use ferry_model::{
    Answer, ClaimRecord, ClaimResult, ClaimState, FailureReason, KeyState, Outcome, PeerMessage,
    RefusalReason, RequestId, claim::short_digest,
};

use crate::pass::Pass;
use crate::request::Requests;
use crate::request::answer::refuse;
use crate::request::state::{Phase, RequestState};
use crate::{Decision, DecisionKind, Effect};

/// How often a holder that does not answer is asked before it is considered gone.
const MAX_HOLDER_QUERIES: u32 = 4;

impl Requests {
    pub(super) fn start_claim(&mut self, cx: &mut Pass<'_>, id: RequestId) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        request.phase = Phase::Claiming;
        request.claimed = true;
        let replaces = self.recent.replaceable(request.claim);
        let record = claim_record(cx, request, ClaimState::Active);
        self.set_timer(id);
        let results = self.claims.claim(cx, record, replaces);
        self.on_claim_results(cx, results);
    }

    pub(super) fn on_claim_results(
        &mut self,
        cx: &mut Pass<'_>,
        results: Vec<(RequestId, ClaimResult)>,
    ) {
        for (id, result) in results {
            let is_waiting = self.in_flight.get(&id).is_some_and(|it| it.phase == Phase::Claiming);
            if !is_waiting {
                continue;
            }
            match result {
                ClaimResult::Claimed => self.on_claimed(cx, id),
                ClaimResult::Unavailable => self.give_up(cx, id, FailureReason::StoreUnavailable),
                ClaimResult::Taken(record) => self.on_taken(cx, id, record),
            }
        }
    }

    fn on_claimed(&mut self, cx: &mut Pass<'_>, id: RequestId) {
        let Some(request) = self.in_flight.get(&id) else { return };
        let decision = Decision::new(DecisionKind::Claim, "claimed", request.revision);
        cx.effects.push(Effect::Log(decision.with_request(id)));
        self.enqueue(cx, id);
    }

    fn on_taken(&mut self, cx: &mut Pass<'_>, id: RequestId, record: ClaimRecord) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        // Another request holds the key, so the journal contains no record of this one.
        request.claimed = false;
        let decision =
            Decision::new(DecisionKind::Claim, "another request holds the key", request.revision);
        cx.effects.push(Effect::Log(decision.with_request(id)));
        if record.digest != short_digest(&request.digest) {
            let refused = refuse(cx, id, request.revision, RefusalReason::KeyConflict);
            self.settle(cx, id, refused);
            return;
        }
        if let Some(recorded) = recorded_answer(request, &record) {
            self.settle(cx, id, recorded);
            return;
        }
        if record.holder == cx.ctx.identity.instance {
            self.on_own_claim(cx, id, &record);
            return;
        }
        let wait = cx.ctx.tuning.holder_timeout;
        request.phase = Phase::AwaitingHolder {
            record,
            ask_at: cx.now + wait / MAX_HOLDER_QUERIES,
            until: cx.now + wait,
        };
        self.ask_holder(cx, id);
    }

    /// Handles a key claimed by an earlier request of this instance or of its previous incarnation.
    fn on_own_claim(&mut self, cx: &mut Pass<'_>, id: RequestId, record: &ClaimRecord) {
        let is_replaceable = self.recent.replaceable(record.key).contains(&record.request);
        match is_replaceable {
            true => self.start_claim(cx, id),
            false => self.end_in_doubt(cx, id, FailureReason::HolderGone),
        }
    }

    pub(super) fn ask_holder(&mut self, cx: &mut Pass<'_>, id: RequestId) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let Phase::AwaitingHolder { record, ask_at, .. } = &mut request.phase else { return };
        *ask_at = cx.now + cx.ctx.tuning.holder_timeout / MAX_HOLDER_QUERIES;
        let Some(address) = self.claims.address_of(&record.holder) else {
            self.end_in_doubt(cx, id, FailureReason::HolderGone);
            return;
        };
        let message = PeerMessage::PullOutcome {
            workspace: request.workspace.clone(),
            key: request.key.clone(),
        };
        let to = record.holder.clone();
        cx.effects.push(Effect::Send { to, address, message: Box::new(message) });
        self.set_timer(id);
    }

    /// Handles the state of a key as reported by its holder.
    pub(super) fn on_outcome(
        &mut self,
        cx: &mut Pass<'_>,
        from: &str,
        id: RequestId,
        state: KeyState,
    ) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let Phase::AwaitingHolder { record, until, .. } = &mut request.phase else { return };
        if record.holder != from {
            return;
        }
        match state {
            KeyState::Running => *until = cx.now + cx.ctx.tuning.holder_timeout,
            KeyState::Unknown => self.end_in_doubt(cx, id, FailureReason::HolderGone),
            KeyState::Settled { answer, .. } => {
                let is_claimant = answer.request == record.request;
                match (answer.outcome, is_claimant) {
                    (Outcome::NotRun, true) => self.claim_replacing(cx, id),
                    (Outcome::NotRun, false) => {
                        self.end_in_doubt(cx, id, FailureReason::HolderGone)
                    }
                    (Outcome::Complete | Outcome::Failed | Outcome::InDoubt, _) => {
                        self.settle(cx, id, *answer);
                    }
                }
            }
        }
    }

    /// Claims the key again, replacing a request that its holder never dispatched.
    fn claim_replacing(&mut self, cx: &mut Pass<'_>, id: RequestId) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let Phase::AwaitingHolder { record, .. } = &request.phase else { return };
        let mut replaces = self.recent.replaceable(request.claim);
        replaces.push(record.request);
        request.phase = Phase::Claiming;
        request.claimed = true;
        let record = claim_record(cx, request, ClaimState::Active);
        self.set_timer(id);
        let results = self.claims.claim(cx, record, replaces);
        self.on_claim_results(cx, results);
    }

    /// Ends a request whose key may have run on another instance.
    pub(super) fn end_in_doubt(&mut self, cx: &mut Pass<'_>, id: RequestId, reason: FailureReason) {
        let Some(request) = self.in_flight.get(&id) else { return };
        let answer = Answer::new(id, Outcome::InDoubt, request.revision).with_failure(reason);
        self.settle(cx, id, answer);
    }

    /// Records the end of a claimed request in the journal.
    pub(super) fn record_end(
        &mut self,
        cx: &mut Pass<'_>,
        request: &RequestState,
        answer: &Answer,
    ) {
        if !request.claimed {
            return;
        }
        let state = match answer.outcome {
            Outcome::NotRun | Outcome::Failed if !request.ran_unrepeatable => ClaimState::Released,
            outcome => {
                let max_bytes = cx.ctx.tuning.max_output;
                let output = answer.output.clone().filter(|it| it.len() <= max_bytes);
                ClaimState::Settled { outcome, output }
            }
        };
        if state == ClaimState::Released {
            let decision = Decision::new(
                DecisionKind::Release,
                "no unrepeatable call was made",
                request.revision,
            );
            cx.effects.push(Effect::Log(decision.with_request(request.id)));
        }
        let record = claim_record(cx, request, state);
        self.claims.record(cx, record);
    }
}

fn claim_record(cx: &Pass<'_>, request: &RequestState, state: ClaimState) -> ClaimRecord {
    ClaimRecord {
        key: request.claim,
        digest: short_digest(&request.digest),
        request: request.id,
        holder: cx.ctx.identity.instance.clone(),
        state,
    }
}

/// Returns the answer that follows from the record alone, or `None` if the holder must be asked for
/// the output.
fn recorded_answer(request: &RequestState, record: &ClaimRecord) -> Option<Answer> {
    let ClaimState::Settled { outcome, output } = &record.state else { return None };
    let answer = Answer::new(record.request, *outcome, request.revision);
    match (outcome, output) {
        (Outcome::Complete, Some(output)) => Some(answer.with_output(output.clone(), 0)),
        (Outcome::Complete, None) => None,
        (Outcome::NotRun | Outcome::Failed | Outcome::InDoubt, _) => {
            Some(answer.with_failure(FailureReason::HolderGone))
        }
    }
}
