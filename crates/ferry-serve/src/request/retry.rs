//! What happens to a request whose call failed: another call, its stages again, or its end.

use super::active::{ActiveCall, ActiveRequest, StageState};
use super::end::RetryHint;
use super::{crash, end, origin, pause, stages};
use crate::batch::Batcher;
use crate::pass::Pass;
use crate::{Decision, DecisionKind, Metric, NotRunReason};

/// Refusals by endpoints after which a request is given up.
const MAX_REFUSALS: u32 = 4;

/// Handles a refusal: the endpoint did not run the request.
pub fn on_refusal(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    current: &ActiveCall,
    reason: NotRunReason,
) -> bool {
    request.n_refusals += 1;
    match reason {
        NotRunReason::Full => {
            let pause = cx.now + cx.ctx.tuning.base_ejection / 2;
            if let Some(view) = cx.ctx.endpoints.get_mut(&current.endpoint) {
                view.pause_until(pause);
            }
        }
        NotRunReason::Moved => {
            let pause = cx.now + cx.ctx.tuning.max_ejection;
            if let Some(view) = cx.ctx.endpoints.get_mut(&current.endpoint) {
                view.pause_until(pause);
            }
        }
        NotRunReason::InputsGone => (),
        NotRunReason::Malformed => {
            let reason = "endpoint takes it for malformed";
            return end::give_up(cx, batcher, request, RetryHint::Soon, reason);
        }
    }
    let needs_inputs =
        reason == NotRunReason::InputsGone && request.n_restarts < stages::MAX_RESTARTS;
    let is_refused = MAX_REFUSALS <= request.n_refusals && !needs_inputs;
    if is_refused || !has_time(cx, request) || !reserve(cx, request) {
        let hint = pause::hint(cx, request);
        return end::give_up(cx, batcher, request, hint, "endpoints refuse it");
    }
    cx.count(Metric::CallsRepeated);
    match needs_inputs {
        true => {
            request.tried.retain(|it| *it != current.endpoint);
            restart_all(cx, batcher, request);
        }
        false => restart_released(cx, batcher, request),
    }
    log_retry(cx, request, reason.into());
    false
}

/// Sends a request that no endpoint has seen to another one; returns whether it has ended.
pub fn resend(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    reason: &str,
) -> bool {
    if !has_time(cx, request) {
        return end::give_up(cx, batcher, request, RetryHint::Soon, "no time is left");
    }
    restart_released(cx, batcher, request);
    log_retry(cx, request, reason);
    false
}

/// Runs a request again that may have run, if that is allowed; returns whether it has ended.
pub fn rerun(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    reason: &str,
) -> bool {
    let is_allowed =
        request.route.is_repeatable() && request.may_run_again() && has_time(cx, request);
    if !origin::has_endpoint(cx, request) && request.needed_build().is_some() {
        let reason = format!("{reason}; no endpoint of its build is left");
        return end::fail(cx, batcher, request, &reason);
    }
    if crash::is_suspect(cx, request) {
        let reason = format!("{reason}; endpoints crash on it");
        return end::fail(cx, batcher, request, &reason);
    }
    if !is_allowed || !reserve(cx, request) {
        return end::fail(cx, batcher, request, reason);
    }
    cx.count(Metric::CallsRepeated);
    if request.is_streaming() {
        cx.count(Metric::StreamsResumed);
    }
    restart_released(cx, batcher, request);
    log_retry(cx, request, reason);
    false
}

/// Reserves a retry of a request if the budget of its pool allows it, unless that was done; returns
/// whether it does.
pub fn reserve(cx: &mut Pass<'_>, request: &mut ActiveRequest) -> bool {
    request.has_retry = request.has_retry || cx.try_reserve(&request.pool);
    request.has_retry
}

/// Gives up the retry that is reserved for a request, if there is one.
pub fn release(cx: &mut Pass<'_>, request: &mut ActiveRequest) {
    if std::mem::take(&mut request.has_retry) {
        cx.ctx.retry_budget(&request.pool).release();
    }
}

fn restart_all(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest) {
    let n_restarts = request.n_restarts;
    for idx in 0..request.stages.len() {
        if matches!(request.stages[idx], StageState::Done { .. }) {
            stages::restart(cx, batcher, request, idx, "results are needed again");
        }
    }
    // All of them together are one restart.
    request.n_restarts = request.n_restarts.min(n_restarts + 1);
}

/// Restarts the stages if results that an endpoint reads were released.
pub fn restart_released(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest) {
    let is_released = |idx: &usize| match &request.stages[*idx] {
        StageState::Done { handles, is_retained, .. } => !handles.is_empty() && !is_retained,
        StageState::Waiting | StageState::Submitted(_) => false,
    };
    if request.graph.last_stages().any(|it| is_released(&it)) {
        restart_all(cx, batcher, request);
    }
}

/// Whether another call could still end in time.
pub fn has_time(cx: &Pass<'_>, request: &ActiveRequest) -> bool {
    cx.now + cx.ctx.tuning.first_token < request.deadline
}

pub fn log_retry(cx: &mut Pass<'_>, request: &ActiveRequest, reason: &str) {
    cx.log(
        Decision::new(DecisionKind::Retry, reason)
            .with_attempt(&request.head.attempt)
            .with_pool(&request.pool)
            .with_budget(request.deadline.saturating_sub(cx.now)),
    );
}
