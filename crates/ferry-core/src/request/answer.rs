//! The final answer: given once, at once, and true.

use ferry_model::{
    Answer, AttemptId, FailureReason, Outcome, RefusalReason, RequestId, Ticket,
    claim::short_digest,
};

use crate::request::Requests;
use crate::request::state::{Attempt, Phase, RequestState};
use crate::turn::Turn;
use crate::{Decision, DecisionKind, Effect, Metric};

impl Requests {
    /// Ends a request without its whole answer, and says truly what may have run.
    pub(super) fn give_up(&mut self, cx: &mut Turn<'_>, id: RequestId, reason: FailureReason) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let open: Vec<AttemptId> = request.attempts.iter().map(|it| it.id).collect();
        if !open.is_empty() {
            request.mark_ran();
        }
        for attempt in open {
            cx.out.push(Effect::Cancel { attempt });
            self.end_attempt(cx, id, attempt);
        }
        let Some(request) = self.in_flight.get(&id) else { return };
        let retry_after = cx.ctx.tuning.retry_after;
        let given = match outcome_of(request) {
            Outcome::NotRun => refuse(cx, id, request.revision, refusal_for(reason)),
            Outcome::Failed => {
                let failed = Answer::new(id, Outcome::Failed, request.revision);
                failed.with_failure(reason).with_retry(retry_after)
            }
            outcome @ (Outcome::InDoubt | Outcome::Complete) => {
                Answer::new(id, outcome, request.revision).with_failure(reason)
            }
        };
        let decision = Decision::new(
            DecisionKind::Refuse,
            format!("{}: {reason}", given.outcome),
            request.revision,
        );
        cx.out.push(Effect::Log(decision.with_request(id).with_stage(request.stage_name())));
        self.settle(cx, id, given);
    }

    /// Answers every caller of a request and remembers the answer.
    pub(super) fn settle(&mut self, cx: &mut Turn<'_>, id: RequestId, given: Answer) {
        let Some(mut request) = self.in_flight.remove(&id) else { return };
        if let Some(wake) = request.wake {
            self.timers.clear(wake, id);
        }
        if request.phase == Phase::Queued {
            self.pools.get_mut(&request.current().pool).queue.remove(id);
        }
        self.keys.remove(&request.claim);
        self.shares.ended(&request.workspace);
        let given = match given.request == id {
            true => given.with_stages(std::mem::take(&mut request.reports)),
            false => given,
        };
        self.record_end(cx, &request, &given);
        self.remember_answer(&request, &given);
        for caller in &request.callers {
            self.tickets.remove(&caller.ticket);
            answer(cx, caller.ticket, given.clone());
        }
    }

    fn remember_answer(&mut self, request: &RequestState, given: &Answer) {
        let is_own = given.request == request.id;
        let is_worth = request.claimed || (request.has_key && given.outcome == Outcome::Complete);
        if is_own && is_worth {
            let is_replaceable = !request.ran_unrepeatable && given.outcome != Outcome::Complete;
            let digest = short_digest(&request.digest);
            self.recent.insert(request.claim, digest, given.clone(), is_replaceable);
        }
    }

    /// Takes an attempt out; the place it leaves at its endpoint goes to the next request.
    pub(super) fn end_attempt(
        &mut self,
        cx: &mut Turn<'_>,
        id: RequestId,
        attempt: AttemptId,
    ) -> Option<Attempt> {
        let request = self.in_flight.get_mut(&id)?;
        let ended = request.take_attempt(attempt)?;
        let pool = request.current().pool.clone();
        self.attempts.remove(&ended.id);
        cx.ctx.fleet.call_ended(&ended.endpoint);
        let state = self.pools.get_mut(&pool);
        state.running = state.running.saturating_sub(1);
        self.dispatch_queued(cx, &pool, Some(&ended.endpoint));
        Some(ended)
    }
}

/// Only a call that may not be repeated leaves doubt; a run of others is known and harmless.
fn outcome_of(request: &RequestState) -> Outcome {
    match (&request.phase, request.ran_unrepeatable, request.ran) {
        (Phase::AwaitingHolder { .. }, _, _) | (_, true, _) => Outcome::InDoubt,
        (_, false, true) => Outcome::Failed,
        (_, false, false) => Outcome::NotRun,
    }
}

pub(super) fn answer(cx: &mut Turn<'_>, ticket: Ticket, answer: Answer) {
    let metric = match answer.outcome {
        Outcome::Complete => Metric::RequestsComplete,
        Outcome::NotRun => Metric::RequestsNotRun,
        Outcome::Failed => Metric::RequestsFailed,
        Outcome::InDoubt => Metric::RequestsInDoubt,
    };
    cx.out.push(Effect::Count { metric, by: 1 });
    cx.out.push(Effect::Answer { ticket, answer: Box::new(answer) });
}

pub(super) fn refuse(cx: &Turn<'_>, id: RequestId, revision: u64, reason: RefusalReason) -> Answer {
    Answer::new(id, Outcome::NotRun, revision).with_refusal(reason, cx.ctx.tuning.retry_after)
}

/// Drops an answer that nobody waits for, and closes the connection that it came on.
pub(super) fn drop_reply(cx: &mut Turn<'_>, attempt: AttemptId, reason: &str) {
    cx.out.push(Effect::Count { metric: Metric::RepliesDropped, by: 1 });
    cx.out.push(Effect::Cancel { attempt });
    let reason = format!("attempt {attempt}: {reason}");
    cx.out.push(Effect::Log(Decision::new(DecisionKind::Drop, reason, cx.ctx.revision())));
}

fn refusal_for(reason: FailureReason) -> RefusalReason {
    match reason {
        FailureReason::DeadlinePassed => RefusalReason::DeadlinePassed,
        FailureReason::CallerGone => RefusalReason::CallerGone,
        FailureReason::StoreUnavailable => RefusalReason::StoreUnavailable,
        FailureReason::QueueFull => RefusalReason::QueueFull,
        FailureReason::StageFailed
        | FailureReason::RetriesSpent
        | FailureReason::NoEndpoint
        | FailureReason::ConnectionLost
        | FailureReason::HolderGone => RefusalReason::NoEndpoint,
    }
}
