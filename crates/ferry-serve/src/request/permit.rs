//! Waits for a permit before a request is sent to an endpoint with a rate limit.

use std::time::Duration;

use ferry_model::EndpointId;

use super::active::{ActiveRequest, Phase};
use super::end::{self, RetryHint};
use super::{call, pause, schedule};
use crate::batch::Batcher;
use crate::limits::{Asked, AwaitedPermit, exchange};
use crate::pass::Pass;
use crate::{Choice, Decision, DecisionKind, EndpointView, Metric, PermitAnswer};

/// Pause before a limiter is looked for again.
pub const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Fraction of its time left for which a request may wait; the rest is for its answer.
const MAX_WAIT_FRACTION: f64 = 0.4;
/// Denials after which a request is given up.
const MAX_DENIALS: u8 = 8;

/// A request's wait for a permit.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitWait {
    pub permit: AwaitedPermit,
    /// Where the request goes then.
    choice: Choice,
}

/// Whether a request may be sent to the endpoint that was chosen for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    Open,
    Waits,
    /// It has to go elsewhere.
    Closed,
}

/// Asks for a permit, if the endpoint limits its requests.
pub fn request(cx: &mut Pass<'_>, request: &mut ActiveRequest, choice: &Choice) -> Gate {
    let permit = AwaitedPermit::new(cx.now, cx.next_permit());
    ask(cx, request, PermitWait { permit, choice: choice.clone() })
}

/// Applies the answer of a limiter; returns whether the request has ended.
pub fn on_answer(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    n_asks: Option<u8>,
    answer: &PermitAnswer,
) -> bool {
    let Phase::AwaitingPermit(wait) = request.phase.clone() else { return false };
    if !wait.permit.is_answered(n_asks) {
        return false;
    }
    let choice = wait.choice.clone();
    let gate = apply(cx, request, *wait, answer);
    go_on(cx, batcher, request, choice, gate)
}

/// Asks again for a permit of which nothing was heard; returns whether the request has ended.
pub fn on_timeout(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest) -> bool {
    let Phase::AwaitingPermit(mut wait) = request.phase.clone() else { return false };
    let choice = wait.choice.clone();
    wait.permit.on_silence(cx);
    let gate = ask(cx, request, *wait);
    go_on(cx, batcher, request, choice, gate)
}

/// Returns the endpoint for whose permit a request waits.
pub fn endpoint(request: &ActiveRequest) -> Option<&EndpointId> {
    match &request.phase {
        Phase::AwaitingPermit(wait) => Some(&wait.choice.endpoint),
        Phase::AwaitingAdmission { .. }
        | Phase::RunningStages
        | Phase::AwaitingBuild
        | Phase::AwaitingEndpoint { .. }
        | Phase::Calling(_) => None,
    }
}

/// Withdraws the request for a permit, if there is one.
pub fn withdraw(cx: &mut Pass<'_>, request: &ActiveRequest) {
    if let Phase::AwaitingPermit(wait) = &request.phase {
        wait.permit.withdraw(cx, &wait.choice.endpoint);
    }
}

/// Returns the longest useful wait for a permit: until its first event is late, or longer if much time
/// is left for the rest of its answer.
pub fn patience(cx: &Pass<'_>, request: &ActiveRequest) -> Duration {
    let begin = cx.now + call::engine_time(cx, request);
    let slack = request.objective().min(request.deadline).saturating_sub(begin);
    slack.max(request.deadline.saturating_sub(begin).mul_f64(MAX_WAIT_FRACTION))
}

/// Returns the time until an endpoint takes the request, as far as known here; zero if one has no
/// limit or none is left.
pub fn expected_wait(cx: &Pass<'_>, request: &ActiveRequest) -> Duration {
    let fits = |it: &&EndpointView| {
        it.accepts_work()
            && it.has_build(request.needed_build())
            && !request.tried.contains(&it.endpoint.id)
    };
    let candidates = cx.ctx.endpoints.pool(&request.pool).filter(fits);
    candidates.map(|it| it.permit_wait(cx.now)).min().unwrap_or_default()
}

/// Returns when a request should come back that no endpoint takes in time.
pub fn retry_hint(cx: &Pass<'_>, request: &ActiveRequest) -> (RetryHint, &'static str) {
    if let Some(wait) = pause::wait(cx, request) {
        return (RetryHint::AfterPause(wait), "its endpoints have asked for a pause");
    }
    match expected_wait(cx, request) {
        Duration::ZERO => (RetryHint::Soon, "no endpoint is left for it"),
        wait => (RetryHint::After(wait), "its endpoints take no more requests in time"),
    }
}

fn go_on(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    choice: Choice,
    gate: Gate,
) -> bool {
    match gate {
        Gate::Waits => false,
        Gate::Open => {
            request.phase = Phase::RunningStages;
            if let Some(found) = end::quarantined(cx, request) {
                end::end_quarantined(cx, batcher, request, &found);
                return true;
            }
            let is_open = cx
                .ctx
                .endpoints
                .get(&choice.endpoint)
                .is_some_and(|it| it.is_open(cx.now) && it.has_build(request.needed_build()));
            match is_open {
                true => call::send(cx, batcher, request, choice),
                false => schedule::start(cx, batcher, request),
            }
        }
        Gate::Closed => {
            request.phase = Phase::RunningStages;
            let choice = call::pick(cx, request);
            call::start(cx, batcher, request, choice)
        }
    }
}

/// Whether so many endpoints have denied a request that it is given up.
pub fn is_hopeless(request: &ActiveRequest) -> bool {
    MAX_DENIALS <= request.n_denials
}

fn ask(cx: &mut Pass<'_>, request: &mut ActiveRequest, mut wait: PermitWait) -> Gate {
    let endpoint = &wait.choice.endpoint;
    let max_wait = match has_alternative(cx, request, endpoint) {
        true => Duration::ZERO,
        false => patience(cx, request),
    };
    match wait.permit.ask(cx, endpoint, request.class, max_wait) {
        Asked::NotNeeded => Gate::Open,
        Asked::Answered(answer) => apply(cx, request, wait, &answer),
        Asked::Waits => {
            request.phase = Phase::AwaitingPermit(Box::new(wait));
            Gate::Waits
        }
    }
}

fn apply(
    cx: &mut Pass<'_>,
    request: &mut ActiveRequest,
    mut wait: PermitWait,
    answer: &PermitAnswer,
) -> Gate {
    let endpoint = wait.choice.endpoint.clone();
    match answer {
        PermitAnswer::Granted { waited } if wait.permit.is_fresh(cx.now, *waited) => {
            return Gate::Open;
        }
        PermitAnswer::Granted { .. } => return ask(cx, request, wait),
        PermitAnswer::NotNeeded(notice) => {
            exchange::on_notice(cx, notice);
            // The limiter may not know that the endpoint is cold.
            let view = cx.ctx.endpoints.get(&endpoint);
            return match view.is_some_and(|it| it.rate_limit().is_some()) {
                true => close(cx, request, &endpoint, RETRY_PAUSE, RETRY_PAUSE),
                false => Gate::Open,
            };
        }
        PermitAnswer::Denied { wait, pause } => {
            return close(cx, request, &endpoint, *wait, *pause);
        }
        PermitAnswer::Queued { wait: expected } => {
            log_wait(cx, request, &endpoint, *expected);
            wait.permit.on_queued(cx.now, *expected);
        }
        PermitAnswer::Elsewhere => {
            wait.permit.on_elsewhere(cx);
            if has_alternative(cx, request, &endpoint) {
                return close(cx, request, &endpoint, RETRY_PAUSE, RETRY_PAUSE);
            }
        }
    }
    request.phase = Phase::AwaitingPermit(Box::new(wait));
    Gate::Waits
}

/// Records that an endpoint takes no more requests for a while.
fn close(
    cx: &mut Pass<'_>,
    request: &mut ActiveRequest,
    endpoint: &str,
    wait: Duration,
    pause: Duration,
) -> Gate {
    cx.count(Metric::RequestsHeldBack);
    request.n_denials += 1;
    if let Some(view) = cx.ctx.endpoints.get_mut(endpoint) {
        view.defer_permits(cx.now, wait, pause);
    }
    Gate::Closed
}

fn log_wait(cx: &mut Pass<'_>, request: &ActiveRequest, endpoint: &str, wait: Duration) {
    cx.count(Metric::RequestsHeldBack);
    cx.log(
        Decision::new(DecisionKind::Wait, "its endpoint limits its requests")
            .with_attempt(&request.head.attempt)
            .with_route(&request.route.name)
            .with_pool(&request.pool)
            .with_endpoint(endpoint)
            .with_times(cx.now - request.arrived, wait)
            .with_budget(request.deadline.saturating_sub(cx.now)),
    );
}

/// Whether another endpoint may take the request at once.
fn has_alternative(cx: &Pass<'_>, request: &ActiveRequest, endpoint: &str) -> bool {
    cx.ctx.endpoints.pool(&request.pool).any(|it| {
        it.endpoint.id != endpoint
            && it.is_usable(cx.now)
            && it.may_have_permit(cx.now)
            && it.has_build(request.needed_build())
            && !request.tried.contains(&it.endpoint.id)
    })
}
