//! Calls whose endpoints are silent: another run is looked for beside each, and what answers first
//! is forwarded. docs/design/platform.md weighs that.

use super::active::{ActiveCall, ActiveRequest, Phase};
use super::call::{record_failure, release_endpoint};
use super::{answer, crash, origin, permit, reach, retry, schedule, stages};
use crate::batch::Batcher;
use crate::pass::Pass;
use crate::{CallEvent, CallId, Decision, DecisionKind, Effect, Metric, ScheduleProgress};

/// Looks for another run beside the call in progress, whose endpoint is silent. The call goes on.
pub fn on_timeout(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest) {
    let Phase::Calling(current) = &mut request.phase else { return };
    let silence = cx.now.saturating_sub(current.last_heard);
    current.checked_at = cx.now;
    let current = current.clone();
    cx.count(Metric::CallsSilent);
    cx.log(
        Decision::new(DecisionKind::Silence, "endpoint is silent")
            .with_attempt(&request.head.attempt)
            .with_endpoint(&current.endpoint)
            .with_silence(silence, cx.late)
            .with_budget(request.deadline.saturating_sub(cx.now)),
    );
    record_failure(cx, &current);
    let is_possible = request.may_run_beside()
        && retry::has_time(cx, request)
        && origin::has_endpoint(cx, request);
    if !is_possible || !retry::reserve(cx, request) {
        return;
    }
    cx.count(Metric::CallsRepeated);
    schedule::report(cx, request, ScheduleProgress::Ended);
    request.silent.push(current);
    request.phase = Phase::RunningStages;
    retry::restart_released(cx, batcher, request);
    retry::log_retry(cx, request, "endpoint is silent");
}

/// Handles an event of a silent call; returns whether its answer goes on, so that it is the
/// request's call again.
pub fn on_event(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    call: CallId,
    event: &CallEvent,
) -> bool {
    let Some(idx) = request.silent.iter().position(|it| it.call == call) else { return false };
    let (goes_on, has_run) = match event {
        CallEvent::Began { .. } | CallEvent::Progress { .. } | CallEvent::Blocked => (true, true),
        CallEvent::Ended(end) => (end.is_complete(), true),
        CallEvent::Answer { kind, .. } => (!kind.is_error() && !request.is_streaming(), true),
        CallEvent::Broken { .. } => (false, true),
        CallEvent::NotRun { .. } | CallEvent::Unsent { .. } => (false, false),
    };
    let is_head = matches!(event, CallEvent::Began { .. });
    if let Phase::Calling(other) = &mut request.phase
        && is_head
    {
        // Any of the calls may be the first with an event.
        std::mem::swap(other, &mut request.silent[idx]);
        schedule::report(cx, request, ScheduleProgress::Ended);
        return true;
    }
    if goes_on {
        go_back(cx, batcher, request, idx, "its endpoint is heard again");
        if !is_head {
            abandon(cx, request);
        }
        return true;
    }
    let mut lost = request.silent.remove(idx);
    crash::observe(cx, request, &lost, event);
    reach::observe(cx, request, &lost, event);
    if lost.is_retry && matches!(event, CallEvent::Unsent { .. }) {
        cx.ctx.retry_budget(&request.pool).release();
        lost.is_retry = false;
    }
    release_endpoint(cx, request, &lost);
    request.n_runs += if has_run { lost.n_tries } else { 0 };
    if matches!(event, CallEvent::Answer { .. }) && !request.is_streaming() {
        answer::hold(cx, request, &lost);
    }
    cx.log(
        Decision::new(DecisionKind::Silence, "its silent endpoint gave no answer")
            .with_attempt(&request.head.attempt)
            .with_endpoint(&lost.endpoint),
    );
    false
}

/// Goes back to a silent call, as there is no other run; returns whether there is such a call.
pub fn fall_back(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    reason: &str,
) -> bool {
    let Some(last) = request.silent.len().checked_sub(1) else { return false };
    go_back(cx, batcher, request, last, reason);
    true
}

/// Cancels the silent calls, as another one brings the answer; returns whether there were any.
pub fn abandon(cx: &mut Pass<'_>, request: &mut ActiveRequest) -> bool {
    let silent = std::mem::take(&mut request.silent);
    for call in &silent {
        cancel(cx, request, call);
    }
    !silent.is_empty()
}

/// Cancels a call that may have run.
fn cancel(cx: &mut Pass<'_>, request: &mut ActiveRequest, call: &ActiveCall) {
    release_endpoint(cx, request, call);
    request.n_runs += call.n_tries;
    cx.effects.push(Effect::Cancel { call: call.call });
}

/// Makes a silent call the request's call again, and withdraws what was to take its place.
fn go_back(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    idx: usize,
    reason: &str,
) {
    let call = request.silent.remove(idx);
    match request.phase.clone() {
        Phase::Calling(other) => {
            cancel(cx, request, &other);
            // Nothing is known against its endpoint, which a later run may need.
            request.tried.retain(|it| *it != other.endpoint);
        }
        Phase::AwaitingPermit(_) => permit::withdraw(cx, request),
        Phase::AwaitingAdmission { .. }
        | Phase::RunningStages
        | Phase::AwaitingBuild
        | Phase::AwaitingEndpoint { .. } => (),
    }
    retry::release(cx, request);
    schedule::report(cx, request, ScheduleProgress::Ended);
    for idx in 0..request.stages.len() {
        stages::reset(cx, batcher, request, idx);
    }
    cx.log(
        Decision::new(DecisionKind::Silence, reason)
            .with_attempt(&request.head.attempt)
            .with_endpoint(&call.endpoint)
            .with_silence(cx.now.saturating_sub(call.last_heard), cx.late)
            .with_budget(request.deadline.saturating_sub(cx.now)),
    );
    request.phase = Phase::Calling(ActiveCall { checked_at: cx.now, ..call });
}
