//! What an endpoint's answer to a request means: forward it, hold it back, or look for a better one.

use super::active::{ActiveCall, ActiveRequest, HeldError, Phase};
use super::call::{leave_endpoint, observe, pick, release_results};
use super::{end, retry, schedule, silent};
use crate::batch::Batcher;
use crate::pass::Pass;
use crate::{AnswerKind, Decision, DecisionKind, Effect, LoadReport, Metric, ScheduleProgress};

/// Records that the head of a stream has arrived.
pub fn on_began(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    current: &ActiveCall,
    load: Option<LoadReport>,
) {
    let took = cx.now.saturating_sub(current.sent_at).as_secs_f64();
    if let Some(view) = cx.ctx.endpoints.get_mut(&current.endpoint) {
        let ratio = took / current.expected.as_secs_f64().max(1e-3);
        view.record_load(cx.now, load);
        view.record_success(cx.now, ratio);
        observe(cx, current, load, Some(ratio));
    }
    schedule::report(cx, request, ScheduleProgress::Began);
    if let Phase::Calling(current) = &mut request.phase {
        current.last_heard = cx.now;
        current.is_streaming = true;
        if std::mem::take(&mut current.is_retry) {
            cx.settle_retry(&request.pool);
        }
    }
    // A head that is forwarded rules out the other calls, which may still be the first with an event,
    // and an error that is held back.
    if request.silent.is_empty() && request.held.is_none() {
        relay_head(cx, batcher, request, current);
    }
}

/// Forwards the head of a stream, unless that was done, so that no other call may bring the answer.
pub fn relay_head(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    current: &ActiveCall,
) {
    if current.is_relayed {
        return;
    }
    silent::abandon(cx, request);
    drop_held(cx, request);
    cx.effects.push(Effect::Relay { call: current.call, ticket: request.ticket });
    release_results(cx, batcher, request);
    request.began_at.get_or_insert(cx.now);
    if let Phase::Calling(current) = &mut request.phase {
        current.is_relayed = true;
    }
}

/// Handles an answer that has arrived whole; returns whether the request has ended.
pub fn on_answer(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    current: &ActiveCall,
    kind: AnswerKind,
    load: Option<LoadReport>,
) -> bool {
    leave_endpoint(cx, request, current);
    request.n_runs += current.n_tries;
    let took = cx.now.saturating_sub(current.sent_at).as_secs_f64();
    if let Some(view) = cx.ctx.endpoints.get_mut(&current.endpoint) {
        view.record_load(cx.now, load);
        match kind {
            AnswerKind::Error | AnswerKind::UnconfirmedRefusal { .. } => view.record_error(),
            AnswerKind::Result => {
                let ratio = took / current.expected.as_secs_f64().max(1e-3);
                view.record_success(cx.now, ratio);
            }
        }
    }
    if request.is_streaming() {
        let reason = "an endpoint answered without a stream, which has begun";
        return retry::rerun(cx, batcher, request, reason);
    }
    // Only callers whose requests may be repeated may see a status that promises more than is known.
    if let AnswerKind::UnconfirmedRefusal { status } = kind
        && !request.route.is_repeatable()
    {
        cx.count(Metric::RefusalsUnconfirmed);
        let reason = format!("its endpoint may have run it, and answered with status {status}");
        return end::fail(cx, batcher, request, &reason);
    }
    if kind.is_error() && looks_further(cx, batcher, request, current) {
        return false;
    }
    silent::abandon(cx, request);
    drop_held(cx, request);
    cx.effects.push(Effect::Relay { call: current.call, ticket: request.ticket });
    end::complete(cx, batcher, request, &current.endpoint, None);
    true
}

/// Goes back to a silent endpoint or starts another run after an error, which is held back
/// meanwhile; returns whether there is such a run.
fn looks_further(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    current: &ActiveCall,
) -> bool {
    if silent::fall_back(cx, batcher, request, "another endpoint answered with an error") {
        hold(cx, request, current);
        return true;
    }
    let may_run = request.route.is_repeatable()
        && request.may_run_again()
        && retry::has_time(cx, request)
        && pick(cx, request).is_some()
        && retry::reserve(cx, request);
    if may_run {
        cx.count(Metric::CallsRepeated);
        retry::log_retry(cx, request, "endpoint answered with an error");
        hold(cx, request, current);
    }
    may_run
}

/// Holds back the error that has ended a call, in place of an earlier one.
pub fn hold(cx: &mut Pass<'_>, request: &mut ActiveRequest, ended: &ActiveCall) {
    drop_held(cx, request);
    cx.effects.push(Effect::Hold { call: ended.call });
    request.held = Some(HeldError { call: ended.call, endpoint: ended.endpoint.clone() });
}

/// Drops the error that was held back, if there is one.
pub fn drop_held(cx: &mut Pass<'_>, request: &mut ActiveRequest) {
    if let Some(held) = request.held.take() {
        cx.effects.push(Effect::Cancel { call: held.call });
    }
}

/// Ends a request by the error that was held back, as no better answer will come; returns whether
/// there is one.
pub fn relay_held(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    reason: &str,
) -> bool {
    let Some(held) = request.held.take() else { return false };
    cx.log(
        Decision::new(DecisionKind::Retry, format!("{reason}; an earlier error is forwarded"))
            .with_attempt(&request.head.attempt)
            .with_pool(&request.pool)
            .with_budget(request.deadline.saturating_sub(cx.now)),
    );
    cx.effects.push(Effect::Relay { call: held.call, ticket: request.ticket });
    end::complete(cx, batcher, request, &held.endpoint, None);
    true
}
