//! Waits for a permit before a request is sent to an endpoint with a rate limit.

use std::time::Duration;

use ferry_model::Moment;

use super::active::{ActiveRequest, Phase};
use super::end::RetryHint;
use super::{call, schedule};
use crate::batch::Batcher;
use crate::limits::exchange::{self, Asked};
use crate::pass::Pass;
use crate::{Asker, Choice, Decision, DecisionKind, EndpointView, Metric, PermitAnswer, PermitId};

/// Time to wait for an answer of the limiter: several round trips between instances with little CPU
/// time.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Time after which a permit that was granted is too old to be used.
pub const PERMIT_TTL: Duration = Duration::from_millis(250);
/// Pause before a limiter is looked for again.
pub const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Answers that a limiter may fail to give before it is taken for dead.
pub const MAX_SILENCE: u8 = 3;
/// Fraction of its time left for which a request may wait; the rest is for its answer.
const MAX_WAIT_FRACTION: f64 = 0.4;
/// Denials after which a request is given up.
const MAX_DENIALS: u8 = 8;

/// A permit that a request waits for.
#[derive(Debug, Clone, PartialEq)]
pub struct AwaitedPermit {
    pub id: PermitId,
    pub choice: Choice,
    /// Where it was asked for.
    pub limiter: Asker,
    pub n_asks: u8,
    pub asked_at: Moment,
    /// When it is asked for again.
    pub until: Moment,
    /// Number of times in a row that the limiter has not answered.
    pub n_silent: u8,
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
    let awaited = AwaitedPermit {
        id: cx.next_permit(),
        choice: choice.clone(),
        limiter: Asker::This,
        n_asks: 0,
        asked_at: cx.now,
        until: cx.now,
        n_silent: 0,
    };
    ask(cx, request, awaited)
}

/// Applies the answer of a limiter; returns whether the request has ended.
pub fn on_answer(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    n_asks: Option<u8>,
    answer: &PermitAnswer,
) -> bool {
    let Phase::AwaitingPermit(awaited) = request.phase.clone() else { return false };
    // The answer to an earlier question may be from before this process was stopped.
    if n_asks.is_some_and(|it| it != awaited.n_asks) {
        return false;
    }
    let gate = apply(cx, request, *awaited.clone(), answer);
    go_on(cx, batcher, request, awaited.choice, gate)
}

/// Asks again for a permit of which nothing was heard; returns whether the request has ended.
pub fn on_timeout(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest) -> bool {
    let Phase::AwaitingPermit(mut awaited) = request.phase.clone() else { return false };
    let choice = awaited.choice.clone();
    awaited.n_silent += 1;
    if let Asker::Peer(limiter) = awaited.limiter
        && MAX_SILENCE <= awaited.n_silent
    {
        awaited.n_silent = 0;
        exchange::on_silence(cx, limiter);
    }
    let gate = ask(cx, request, *awaited);
    go_on(cx, batcher, request, choice, gate)
}

/// Withdraws the request for a permit, if there is one.
pub fn withdraw(cx: &mut Pass<'_>, request: &ActiveRequest) {
    if let Phase::AwaitingPermit(awaited) = &request.phase {
        exchange::withdraw(cx, &awaited.choice.endpoint, awaited.limiter, awaited.id);
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
            let accepts_work = cx
                .ctx
                .endpoints
                .get(&choice.endpoint)
                .is_some_and(|it| it.accepts_work() && it.has_build(request.needed_build()));
            match accepts_work {
                true => {
                    call::send(cx, request, choice);
                    false
                }
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

fn ask(cx: &mut Pass<'_>, request: &mut ActiveRequest, mut awaited: AwaitedPermit) -> Gate {
    let endpoint = awaited.choice.endpoint.clone();
    let max_wait = match has_alternative(cx, request, &endpoint) {
        true => Duration::ZERO,
        false => patience(cx, request),
    };
    awaited.n_asks = awaited.n_asks.wrapping_add(1);
    awaited.asked_at = cx.now;
    let key = (awaited.id, awaited.n_asks);
    match exchange::ask(cx, &endpoint, key, request.class, max_wait) {
        None => Gate::Open,
        Some(Asked::Here(answer)) => {
            awaited.limiter = Asker::This;
            apply(cx, request, awaited, &answer)
        }
        Some(Asked::Peer(to)) => {
            awaited.limiter = Asker::Peer(to);
            awaited.until = cx.now + ANSWER_TIMEOUT;
            request.phase = Phase::AwaitingPermit(Box::new(awaited));
            Gate::Waits
        }
    }
}

fn apply(
    cx: &mut Pass<'_>,
    request: &mut ActiveRequest,
    mut awaited: AwaitedPermit,
    answer: &PermitAnswer,
) -> Gate {
    let endpoint = awaited.choice.endpoint.clone();
    match answer {
        PermitAnswer::Granted { waited } => {
            let age = (cx.now - awaited.asked_at).saturating_sub(*waited);
            match age <= PERMIT_TTL {
                true => Gate::Open,
                false => ask(cx, request, awaited),
            }
        }
        PermitAnswer::Queued { wait } => {
            log_wait(cx, request, &endpoint, *wait);
            awaited.n_silent = 0;
            awaited.until = cx.now.saturating_add(*wait * 2).saturating_add(ANSWER_TIMEOUT);
            request.phase = Phase::AwaitingPermit(Box::new(awaited));
            Gate::Waits
        }
        PermitAnswer::Denied { wait, pause } => close(cx, request, &awaited, *wait, *pause),
        PermitAnswer::Elsewhere => {
            if let Asker::Peer(limiter) = awaited.limiter {
                exchange::on_elsewhere(cx, limiter);
            }
            if has_alternative(cx, request, &endpoint) {
                return close(cx, request, &awaited, RETRY_PAUSE, RETRY_PAUSE);
            }
            awaited.n_silent = 0;
            awaited.until = cx.now + ANSWER_TIMEOUT;
            request.phase = Phase::AwaitingPermit(Box::new(awaited));
            Gate::Waits
        }
        PermitAnswer::NotNeeded(notice) => {
            if let Some(notice) = notice {
                exchange::on_notice(cx, notice);
            }
            Gate::Open
        }
    }
}

/// Records that an endpoint takes no more requests for a while.
fn close(
    cx: &mut Pass<'_>,
    request: &mut ActiveRequest,
    awaited: &AwaitedPermit,
    wait: Duration,
    pause: Duration,
) -> Gate {
    cx.count(Metric::RequestsHeldBack);
    request.n_denials += 1;
    if let Some(view) = cx.ctx.endpoints.get_mut(&awaited.choice.endpoint) {
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
