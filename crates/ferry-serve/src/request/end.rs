//! Ends each request exactly once.

use std::time::Duration;

use ferry_model::PoolId;

use super::active::{ActiveRequest, Phase};
use super::call::leave_endpoint;
use super::{answer, crash, pause, permit, schedule, silent, stages};
use crate::batch::Batcher;
use crate::pass::Pass;
use crate::quarantine;
use crate::{
    CrashCandidate, Decision, DecisionKind, Effect, LongId, Metric, Refusal, ScheduleProgress,
    Status, StreamEnd,
};

/// A refused caller should retry within its time left divided by this.
const RETRY_DIVISOR: u32 = 4;

/// Returns the quarantine for which a request may not be sent to an endpoint, if any.
pub fn quarantined(cx: &Pass<'_>, request: &ActiveRequest) -> Option<(PoolId, CrashCandidate)> {
    let quarantine = &cx.ctx.quarantine;
    if let Some(pool) = quarantine.find_request(request.digest) {
        return Some((pool.clone(), CrashCandidate::Request(request.digest)));
    }
    let candidate = quarantine.find(&request.pool, crash::candidates(request))?;
    Some((request.pool.clone(), candidate))
}

/// Refuses a new request that is in quarantine.
pub fn refuse_quarantined(
    cx: &mut Pass<'_>,
    request: &ActiveRequest,
    found: &(PoolId, CrashCandidate),
) {
    note_quarantined(cx, request, found);
    refuse(cx, request, Status::NotRun, RetryHint::Never, refusal_reason(found.1));
}

/// Ends a request that is in quarantine before it is sent to an endpoint, or before that begins to
/// write.
pub fn end_quarantined(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    found: &(PoolId, CrashCandidate),
) {
    note_quarantined(cx, request, found);
    if stop_call(cx, request) {
        request.n_runs += 1;
    }
    give_up(cx, batcher, request, RetryHint::Never, refusal_reason(found.1));
}

fn note_quarantined(
    cx: &mut Pass<'_>,
    request: &ActiveRequest,
    (pool, candidate): &(PoolId, CrashCandidate),
) {
    quarantine::exchange::on_refused(cx, pool, *candidate);
    let is_own = |it: &&LongId| CrashCandidate::Part(it.part) == *candidate;
    let long_id = request.head.long_ids.iter().find(is_own);
    cx.ctx.quarantine.record_long_id(long_id);
    let written = long_id.map_or(String::new(), |it| format!(" ({})", it.text));
    cx.log(
        Decision::new(DecisionKind::Quarantine, format!("refused: {candidate}{written}"))
            .with_attempt(&request.head.attempt)
            .with_digest(request.digest)
            .with_pool(pool),
    );
}

fn refusal_reason(candidate: CrashCandidate) -> &'static str {
    match candidate {
        CrashCandidate::Part(_) => "a part of its prompt crashes endpoints",
        CrashCandidate::Request(_) => "it crashes endpoints",
    }
}

/// Ends a request whose complete answer was forwarded.
pub fn complete(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    endpoint: &str,
    end: Option<StreamEnd>,
) {
    cx.count(Metric::RequestsComplete);
    let first = request.began_at.unwrap_or(cx.now);
    cx.log(
        Decision::new(DecisionKind::Complete, "its answer was forwarded")
            .with_attempt(&request.head.attempt)
            .with_route(&request.route.name)
            .with_endpoint(endpoint)
            .with_end(end)
            .with_times(first - request.arrived, cx.now - request.arrived)
            .with_slack(request.objective().saturating_sub(first))
            .with_pause(request.pauses.longest(), request.route.max_gap)
            .with_budget(request.deadline.saturating_sub(cx.now)),
    );
    release_stages(cx, batcher, request);
}

/// When a refused caller should retry.
///
/// Callers that retry while a burst lasts are refused again and use up their last attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryHint {
    /// After a short pause: another endpoint or instance may serve it.
    Soon,
    /// As late as it can still be served.
    Late,
    /// Once an endpoint is expected to take it.
    After(Duration),
    /// Behind the pause that its endpoints have asked for.
    AfterPause(Duration),
    /// Not at all: it would be refused again.
    Never,
}

/// Refuses a request that is not sent anywhere else.
pub fn refuse(
    cx: &mut Pass<'_>,
    request: &ActiveRequest,
    status: Status,
    hint: RetryHint,
    reason: &'static str,
) {
    let time_left = request.deadline.saturating_sub(cx.now);
    let latest = time_left / RETRY_DIVISOR;
    let wait = match hint {
        RetryHint::Soon => Some(cx.ctx.tuning.retry_after.min(latest)),
        RetryHint::Late => Some(latest),
        RetryHint::After(wait) => Some(wait.max(cx.ctx.tuning.retry_after.min(latest))),
        RetryHint::AfterPause(wait) => {
            cx.count(Metric::RequestsPaused);
            Some(pause::spread(&request.head.attempt, wait, time_left))
        }
        RetryHint::Never => None,
    };
    let retry_after = wait.filter(|_| status == Status::NotRun);
    cx.count(Metric::RequestsRefused);
    cx.log(
        Decision::new(DecisionKind::Refuse, reason)
            .with_attempt(&request.head.attempt)
            .with_pool(&request.pool)
            .with_budget(time_left),
    );
    let refusal = Refusal { status, retry_after, reason };
    cx.effects.push(Effect::Refuse { ticket: request.ticket, refusal });
}

/// Ends a request that is not sent anywhere else, by a refusal or by aborting its stream; returns
/// whether it has ended, as it goes on if a silent endpoint may still answer.
pub fn give_up(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    hint: RetryHint,
    reason: &'static str,
) -> bool {
    if silent::fall_back(cx, batcher, request, reason) {
        return false;
    }
    if answer::relay_held(cx, batcher, request, reason) {
        return true;
    }
    match request.is_streaming() {
        true => abort(cx, request, reason),
        false => refuse(cx, request, final_status(request), hint, reason),
    }
    release_stages(cx, batcher, request);
    true
}

/// Returns the status of a request that ends without an answer of an endpoint.
fn final_status(request: &ActiveRequest) -> Status {
    match request.n_runs {
        0 => Status::NotRun,
        _ => Status::InDoubt,
    }
}

/// Ends a request that may have run and has no answer; returns whether it has ended, as it goes on if
/// a silent endpoint may still answer.
pub fn fail(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    reason: &str,
) -> bool {
    if silent::fall_back(cx, batcher, request, reason) {
        return false;
    }
    if answer::relay_held(cx, batcher, request, reason) {
        return true;
    }
    cx.count(Metric::RequestsFailed);
    let mut decision = Decision::new(DecisionKind::Fail, reason)
        .with_attempt(&request.head.attempt)
        .with_pool(&request.pool)
        .with_budget(request.deadline.saturating_sub(cx.now));
    if let Some(last) = request.tried.last() {
        decision = decision.with_endpoint(last);
    }
    cx.log(decision);
    match request.is_streaming() {
        true => cx.effects.push(Effect::Abort { ticket: request.ticket }),
        false => {
            let refusal = Refusal {
                status: Status::InDoubt,
                retry_after: None,
                reason: "no answer of an endpoint can be forwarded",
            };
            cx.effects.push(Effect::Refuse { ticket: request.ticket, refusal });
        }
    }
    release_stages(cx, batcher, request);
    true
}

/// Ends a request that gets no more time: its deadline has passed, or the process exits.
pub fn expire(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    mut request: ActiveRequest,
    reason: &'static str,
) {
    let was_sent = stop_call(cx, &mut request) || 0 < request.n_runs;
    if answer::relay_held(cx, batcher, &mut request, reason) {
        return;
    }
    let status = if was_sent { Status::Expired } else { Status::NotRun };
    match request.is_streaming() {
        true => abort(cx, &request, reason),
        false => refuse(cx, &request, status, RetryHint::Soon, reason),
    }
    release_stages(cx, batcher, &mut request);
}

/// Ends a request whose caller has disconnected.
pub fn drop_request(cx: &mut Pass<'_>, batcher: &mut Batcher, mut request: ActiveRequest) {
    stop_call(cx, &mut request);
    answer::drop_held(cx, &mut request);
    cx.count(Metric::RequestsDropped);
    cx.log(
        Decision::new(DecisionKind::Drop, "caller disconnected")
            .with_attempt(&request.head.attempt)
            .with_budget(request.deadline.saturating_sub(cx.now)),
    );
    release_stages(cx, batcher, &mut request);
}

/// Withdraws the jobs in progress for the request's stages and frees their results.
pub fn release_stages(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest) {
    for idx in 0..request.stages.len() {
        stages::release(cx, batcher, request, idx);
    }
}

fn abort(cx: &mut Pass<'_>, request: &ActiveRequest, reason: &str) {
    cx.count(Metric::RequestsFailed);
    cx.log(Decision::new(DecisionKind::Fail, reason).with_attempt(&request.head.attempt));
    cx.effects.push(Effect::Abort { ticket: request.ticket });
}

/// Cancels the calls in progress; returns whether there were any.
fn stop_call(cx: &mut Pass<'_>, request: &mut ActiveRequest) -> bool {
    let was_silent = silent::abandon(cx, request);
    let Phase::Calling(current) = request.phase.clone() else {
        permit::withdraw(cx, request);
        schedule::report(cx, request, ScheduleProgress::Ended);
        return was_silent;
    };
    leave_endpoint(cx, request, &current);
    cx.effects.push(Effect::Cancel { call: current.call });
    true
}
