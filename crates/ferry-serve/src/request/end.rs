//! The one end of each request.

use super::call::{final_status, leave};
use super::flight::{Flight, Phase};
use super::stages;
use crate::batch::Batcher;
use crate::pass::Pass;
use crate::{Decision, DecisionKind, Effect, Metric, Refusal, Status};

/// Part of its time left after which a caller should come back at the latest.
const RETRY_PART: u32 = 4;

/// Ends a request whose answer was passed on whole.
pub fn complete(cx: &mut Pass<'_>, batcher: &mut Batcher, flight: &mut Flight, endpoint: &str) {
    cx.count(Metric::RequestsComplete);
    cx.log(
        Decision::new(DecisionKind::Complete, flight.route.name.clone())
            .with_attempt(&flight.head.attempt)
            .with_endpoint(endpoint)
            .with_budget(flight.deadline.saturating_sub(cx.now)),
    );
    give_up_stages(cx, batcher, flight);
}

/// When a refused caller should come back.
///
/// Answers the load of a burst: callers that come back while it lasts are refused again, and take
/// their last try with them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comeback {
    /// After a short pause: another endpoint or instance may do.
    Soon,
    /// As late as it can still be served.
    Late,
}

/// Answers a request that goes nowhere else.
pub fn refuse(
    cx: &mut Pass<'_>,
    flight: &Flight,
    status: Status,
    comeback: Comeback,
    reason: &'static str,
) {
    let time_left = flight.deadline.saturating_sub(cx.now);
    let latest = time_left / RETRY_PART;
    let pause = match comeback {
        Comeback::Soon => cx.ctx.tuning.retry_after.min(latest),
        Comeback::Late => latest,
    };
    let retry_after = (status == Status::NotRun).then_some(pause);
    cx.count(Metric::RequestsRefused);
    cx.log(
        Decision::new(DecisionKind::Refuse, reason)
            .with_attempt(&flight.head.attempt)
            .with_pool(&flight.pool)
            .with_budget(time_left),
    );
    let refusal = Refusal { status, retry_after, reason };
    cx.effects.push(Effect::Refuse { ticket: flight.ticket, refusal });
}

/// Ends a request that goes nowhere else, with what is true of it.
pub fn give_up(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    flight: &mut Flight,
    comeback: Comeback,
    reason: &'static str,
) {
    match flight.is_begun {
        true => abort(cx, flight, reason),
        false => refuse(cx, flight, final_status(flight), comeback, reason),
    }
    give_up_stages(cx, batcher, flight);
}

/// Ends a request that may have run and has no answer.
pub fn fail(cx: &mut Pass<'_>, batcher: &mut Batcher, flight: &mut Flight, reason: &str) {
    cx.count(Metric::RequestsFailed);
    cx.log(
        Decision::new(DecisionKind::Fail, reason)
            .with_attempt(&flight.head.attempt)
            .with_pool(&flight.pool)
            .with_budget(flight.deadline.saturating_sub(cx.now)),
    );
    match flight.is_begun {
        true => cx.effects.push(Effect::Abort { ticket: flight.ticket }),
        false => {
            let refusal = Refusal {
                status: Status::InDoubt,
                retry_after: None,
                reason: "the endpoint gave no whole answer",
            };
            cx.effects.push(Effect::Refuse { ticket: flight.ticket, refusal });
        }
    }
    give_up_stages(cx, batcher, flight);
}

/// Ends a request whose time is over.
pub fn expire(cx: &mut Pass<'_>, batcher: &mut Batcher, mut flight: Flight) {
    let was_sent = stop_call(cx, &mut flight) || 0 < flight.n_runs;
    let status = if was_sent { Status::Expired } else { Status::NotRun };
    match flight.is_begun {
        true => abort(cx, &flight, "its time is over"),
        false => refuse(cx, &flight, status, Comeback::Soon, "its time is over"),
    }
    give_up_stages(cx, batcher, &mut flight);
}

/// Ends a request whose caller has gone.
pub fn drop_flight(cx: &mut Pass<'_>, batcher: &mut Batcher, mut flight: Flight) {
    stop_call(cx, &mut flight);
    cx.count(Metric::RequestsDropped);
    cx.log(
        Decision::new(DecisionKind::Drop, "caller has gone")
            .with_attempt(&flight.head.attempt)
            .with_budget(flight.deadline.saturating_sub(cx.now)),
    );
    give_up_stages(cx, batcher, &mut flight);
}

/// Withdraws what is in progress for the request's stages and frees their results.
pub fn give_up_stages(cx: &mut Pass<'_>, batcher: &mut Batcher, flight: &mut Flight) {
    for idx in 0..flight.stages.len() {
        stages::release(cx, batcher, flight, idx);
    }
}

fn abort(cx: &mut Pass<'_>, flight: &Flight, reason: &str) {
    cx.count(Metric::RequestsFailed);
    cx.log(Decision::new(DecisionKind::Fail, reason).with_attempt(&flight.head.attempt));
    cx.effects.push(Effect::Abort { ticket: flight.ticket });
}

/// Closes the call in progress; returns whether there was one.
fn stop_call(cx: &mut Pass<'_>, flight: &mut Flight) -> bool {
    let Phase::Calling(calling) = flight.phase.clone() else { return false };
    leave(cx, flight, &calling);
    cx.effects.push(Effect::Cancel { call: calling.call });
    true
}
