//! The final answer of a request, which every caller gets exactly once.

use ferry_model::{
    Answer, AttemptId, FailureReason, Outcome, RefusalReason, RequestId, Ticket,
    claim::short_digest,
};

use crate::pass::Pass;
use crate::request::Requests;
use crate::request::state::{Attempt, Phase, RequestState};
use crate::{Decision, DecisionKind, Effect, Metric};

impl Requests {
    /// Ends a request that cannot complete. The outcome tells the caller whether it may have run.
    pub(super) fn give_up(&mut self, cx: &mut Pass<'_>, id: RequestId, reason: FailureReason) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let open: Vec<AttemptId> = request.attempts.iter().map(|it| it.id).collect();
        if !open.is_empty() {
            request.mark_ran();
        }
        for attempt in open {
            cx.effects.push(Effect::Cancel { attempt });
            self.end_attempt(cx, id, attempt);
        }
        let Some(request) = self.in_flight.get(&id) else { return };
        let retry_after = cx.ctx.tuning.retry_after;
        let answer = match outcome_of(request) {
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
            format!("{}: {reason}", answer.outcome),
            request.revision,
        );
        cx.effects.push(Effect::Log(decision.with_request(id).with_stage(request.stage_name())));
        self.settle(cx, id, answer);
    }

    /// Ends a request: answers every caller, records the end of its claim and stores the answer
    /// for duplicate requests.
    pub(super) fn settle(&mut self, cx: &mut Pass<'_>, id: RequestId, answer: Answer) {
        let Some(mut request) = self.in_flight.remove(&id) else { return };
        if let Some(wake) = request.wake {
            self.timers.clear(wake, id);
        }
        if request.phase == Phase::Queued {
            self.pools.get_mut(&request.current().pool).queue.remove(id);
        }
        self.keys.remove(&request.claim);
        self.shares.ended(&request.workspace);
        let answer = match answer.request == id {
            true => answer.with_stages(std::mem::take(&mut request.reports)),
            false => answer,
        };
        self.record_end(cx, &request, &answer);
        self.remember_answer(&request, &answer);
        for caller in &request.callers {
            self.tickets.remove(&caller.ticket);
            send_answer(cx, caller.ticket, answer.clone());
        }
    }

    fn remember_answer(&mut self, request: &RequestState, answer: &Answer) {
        let is_own = answer.request == request.id;
        let is_needed = request.claimed || (request.has_key && answer.outcome == Outcome::Complete);
        if is_own && is_needed {
            let is_replaceable = !request.ran_unrepeatable && answer.outcome != Outcome::Complete;
            let digest = short_digest(&request.digest);
            self.recent.insert(request.claim, digest, answer.clone(), is_replaceable);
        }
    }

    /// Removes an attempt and starts waiting requests, as its endpoint has become free.
    pub(super) fn end_attempt(
        &mut self,
        cx: &mut Pass<'_>,
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

/// Returns the outcome of a request that did not complete.
///
/// It is only in doubt if a call that must not be repeated may have run, or if another instance
/// holds the key; running other calls again is harmless.
fn outcome_of(request: &RequestState) -> Outcome {
    match (&request.phase, request.ran_unrepeatable, request.ran) {
        (Phase::AwaitingHolder { .. }, _, _) | (_, true, _) => Outcome::InDoubt,
        (_, false, true) => Outcome::Failed,
        (_, false, false) => Outcome::NotRun,
    }
}

pub(super) fn send_answer(cx: &mut Pass<'_>, ticket: Ticket, answer: Answer) {
    let metric = match answer.outcome {
        Outcome::Complete => Metric::RequestsComplete,
        Outcome::NotRun => Metric::RequestsNotRun,
        Outcome::Failed => Metric::RequestsFailed,
        Outcome::InDoubt => Metric::RequestsInDoubt,
    };
    cx.effects.push(Effect::Count { metric, by: 1 });
    cx.effects.push(Effect::Answer { ticket, answer: Box::new(answer) });
}

pub(super) fn refuse(cx: &Pass<'_>, id: RequestId, revision: u64, reason: RefusalReason) -> Answer {
    Answer::new(id, Outcome::NotRun, revision).with_refusal(reason, cx.ctx.tuning.retry_after)
}

/// Drops a response that no call is waiting for, and closes its connection.
pub(super) fn drop_reply(cx: &mut Pass<'_>, attempt: AttemptId, reason: &str) {
    cx.effects.push(Effect::Count { metric: Metric::RepliesDropped, by: 1 });
    cx.effects.push(Effect::Cancel { attempt });
    let reason = format!("attempt {attempt}: {reason}");
    cx.effects.push(Effect::Log(Decision::new(DecisionKind::Drop, reason, cx.ctx.revision())));
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
