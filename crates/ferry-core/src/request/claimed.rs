//! What a request does with the end of its claim.

use ferry_model::{
    Answer, ClaimRecord, ClaimResult, ClaimState, FailureReason, KeyState, Outcome, PeerMessage,
    RefusalReason, RequestId, claim::short_digest,
};

use crate::request::Requests;
use crate::request::flight::{Flight, Phase};
use crate::request::settle::refuse;
use crate::turn::Turn;
use crate::{Decision, DecisionKind, Effect};

/// How many times a silent holder is asked before it is taken for gone.
const N_ASKS: u32 = 4;

impl Requests {
    pub(super) fn start_claim(&mut self, cx: &mut Turn<'_>, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.phase = Phase::Claiming;
        flight.claimed = true;
        let replaces = self.recent.spared(flight.claim);
        let record = record_of(cx, flight, ClaimState::Active);
        self.set_timer(id);
        let verdicts = self.claims.claim(cx, record, replaces);
        self.on_verdicts(cx, verdicts);
    }

    pub(super) fn on_verdicts(
        &mut self,
        cx: &mut Turn<'_>,
        verdicts: Vec<(RequestId, ClaimResult)>,
    ) {
        for (id, verdict) in verdicts {
            let is_waiting = self.flights.get(&id).is_some_and(|it| it.phase == Phase::Claiming);
            if !is_waiting {
                continue;
            }
            match verdict {
                ClaimResult::Claimed => self.on_claimed(cx, id),
                ClaimResult::Unavailable => self.give_up(cx, id, FailureReason::StoreUnavailable),
                ClaimResult::Taken(record) => self.on_taken(cx, id, record),
            }
        }
    }

    fn on_claimed(&mut self, cx: &mut Turn<'_>, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else { return };
        let decision = Decision::new(DecisionKind::Claim, "claimed", flight.revision);
        cx.out.push(Effect::Log(decision.with_request(id)));
        self.enqueue(cx, id);
    }

    fn on_taken(&mut self, cx: &mut Turn<'_>, id: RequestId, record: ClaimRecord) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        // The key is another request's: nothing of this one stands in the journal.
        flight.claimed = false;
        let decision =
            Decision::new(DecisionKind::Claim, "another request has the key", flight.revision);
        cx.out.push(Effect::Log(decision.with_request(id)));
        if record.digest != short_digest(&flight.digest) {
            let refused = refuse(cx, id, flight.revision, RefusalReason::KeyConflict);
            self.settle(cx, id, refused);
            return;
        }
        if let Some(recorded) = recorded_answer(flight, &record) {
            self.settle(cx, id, recorded);
            return;
        }
        if record.holder == cx.ctx.identity.instance {
            self.meet_own(cx, id, &record);
            return;
        }
        let wait = cx.ctx.tuning.holder_timeout;
        flight.phase =
            Phase::Asking { record, again: cx.now + wait / N_ASKS, until: cx.now + wait };
        self.ask_holder(cx, id);
    }

    /// Meets a claim of an earlier request of this instance, or of its last incarnation.
    fn meet_own(&mut self, cx: &mut Turn<'_>, id: RequestId, record: &ClaimRecord) {
        let is_spared = self.recent.spared(record.key).contains(&record.request);
        match is_spared {
            true => self.start_claim(cx, id),
            false => self.doubt(cx, id, FailureReason::HolderGone),
        }
    }

    pub(super) fn ask_holder(&mut self, cx: &mut Turn<'_>, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        let Phase::Asking { record, again, .. } = &mut flight.phase else { return };
        *again = cx.now + cx.ctx.tuning.holder_timeout / N_ASKS;
        let Some(address) = self.claims.address_of(&record.holder) else {
            self.doubt(cx, id, FailureReason::HolderGone);
            return;
        };
        let message = PeerMessage::PullOutcome {
            workspace: flight.workspace.clone(),
            key: flight.key.clone(),
        };
        let to = record.holder.clone();
        cx.out.push(Effect::Send { to, address, message: Box::new(message) });
        self.set_timer(id);
    }

    /// Takes what the holder of a key knows of it.
    pub(super) fn on_outcome(
        &mut self,
        cx: &mut Turn<'_>,
        from: &str,
        id: RequestId,
        state: KeyState,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        let Phase::Asking { record, until, .. } = &mut flight.phase else { return };
        if record.holder != from {
            return;
        }
        match state {
            KeyState::Running => *until = cx.now + cx.ctx.tuning.holder_timeout,
            KeyState::Unknown => self.doubt(cx, id, FailureReason::HolderGone),
            KeyState::Settled { answer, .. } => {
                let is_it = answer.request == record.request;
                match (answer.outcome, is_it) {
                    (Outcome::NotRun, true) => self.replace_spared(cx, id),
                    (Outcome::NotRun, false) => self.doubt(cx, id, FailureReason::HolderGone),
                    (Outcome::Complete | Outcome::Failed | Outcome::InDoubt, _) => {
                        self.settle(cx, id, *answer);
                    }
                }
            }
        }
    }

    /// Claims the key of a request that its holder never dispatched.
    fn replace_spared(&mut self, cx: &mut Turn<'_>, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        let Phase::Asking { record, .. } = &flight.phase else { return };
        let mut replaces = self.recent.spared(flight.claim);
        replaces.push(record.request);
        flight.phase = Phase::Claiming;
        flight.claimed = true;
        let record = record_of(cx, flight, ClaimState::Active);
        self.set_timer(id);
        let verdicts = self.claims.claim(cx, record, replaces);
        self.on_verdicts(cx, verdicts);
    }

    /// Ends a request whose key may have run elsewhere.
    pub(super) fn doubt(&mut self, cx: &mut Turn<'_>, id: RequestId, reason: FailureReason) {
        let Some(flight) = self.flights.get(&id) else { return };
        let given = Answer::new(id, Outcome::InDoubt, flight.revision).with_failure(reason);
        self.settle(cx, id, given);
    }

    /// Journals how a claimed request ended.
    pub(super) fn record_end(&mut self, cx: &mut Turn<'_>, flight: &Flight, given: &Answer) {
        if !flight.claimed {
            return;
        }
        let state = match given.outcome {
            Outcome::NotRun | Outcome::Failed if !flight.written => ClaimState::Released,
            outcome => {
                let most = cx.ctx.tuning.max_output;
                let output = given.output.clone().filter(|it| it.len() <= most);
                ClaimState::Settled { outcome, output }
            }
        };
        if state == ClaimState::Released {
            let decision =
                Decision::new(DecisionKind::Release, "nothing was written", flight.revision);
            cx.out.push(Effect::Log(decision.with_request(flight.id)));
        }
        let record = record_of(cx, flight, state);
        self.claims.record(cx, record);
    }
}

fn record_of(cx: &Turn<'_>, flight: &Flight, state: ClaimState) -> ClaimRecord {
    ClaimRecord {
        key: flight.claim,
        digest: short_digest(&flight.digest),
        request: flight.id,
        holder: cx.ctx.identity.instance.clone(),
        state,
    }
}

/// Returns the answer that a record holds by itself: all of it, or that it did not complete.
fn recorded_answer(flight: &Flight, record: &ClaimRecord) -> Option<Answer> {
    let ClaimState::Settled { outcome, output } = &record.state else { return None };
    let given = Answer::new(record.request, *outcome, flight.revision);
    match (outcome, output) {
        (Outcome::Complete, Some(output)) => Some(given.with_output(output.clone(), 0)),
        (Outcome::Complete, None) => None,
        (Outcome::NotRun | Outcome::Failed | Outcome::InDoubt, _) => {
            Some(given.with_failure(FailureReason::HolderGone))
        }
    }
}
