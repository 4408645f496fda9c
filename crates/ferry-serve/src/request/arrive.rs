//! Takes or refuses a request as it comes in.

use std::time::Duration;

use ferry_model::Moment;

use super::end::{self, Comeback};
use super::flight::{Flight, Phase, StageState};
use super::{stages, times};
use crate::admission;
use crate::batch::Batcher;
use crate::catalog::{Rejection, ResolvedRequest};
use crate::pass::{Pass, RouteComparison};
use crate::{Arrival, Decision, DecisionKind, Effect, Metric, Refusal, Status, groups};

/// Returns the request if it is taken; it is answered otherwise.
pub fn take(cx: &mut Pass<'_>, batcher: &Batcher, arrival: Arrival) -> Option<Flight> {
    cx.count(Metric::RequestsArrived);
    let admitted = match cx.ctx.catalog.resolve(&arrival.head) {
        Ok(admitted) => admitted,
        Err(rejection) => {
            reject(cx, &arrival, rejection);
            return None;
        }
    };
    let (now, tuning) = (cx.now, cx.ctx.tuning.clone());
    cx.ctx.retry_budget(&admitted.pool).record_request(now, &tuning);
    let comparison = cx.ctx.compare_to_route(&admitted.route.name, &arrival.head);
    let flight = flight(cx.now, comparison, arrival, admitted);
    if flight.deadline <= cx.now {
        end::refuse(cx, &flight, Status::NotRun, Comeback::Soon, "no time is left");
        return None;
    }
    if let Some((comeback, reason)) = hopeless(cx, batcher, &flight) {
        end::refuse(cx, &flight, Status::NotRun, comeback, reason);
        return None;
    }
    cx.log(
        Decision::new(DecisionKind::Admit, flight.route.name.clone())
            .with_attempt(&flight.head.attempt)
            .with_pool(&flight.pool)
            .with_budget(flight.deadline - cx.now),
    );
    Some(flight)
}

fn reject(cx: &mut Pass<'_>, arrival: &Arrival, rejection: Rejection) {
    let (status, reason) = match rejection {
        Rejection::Unconfigured => (Status::NotRun, "no configuration is known yet"),
        Rejection::NoRoute => (Status::NoRoute, "no route matches"),
        Rejection::UnknownKey => (Status::UnknownKey, "the key is unknown"),
    };
    cx.count(Metric::RequestsRefused);
    cx.log(Decision::new(DecisionKind::Refuse, reason).with_attempt(&arrival.head.attempt));
    let retry_after = (status == Status::NotRun).then_some(cx.ctx.tuning.retry_after);
    let refusal = Refusal { status, retry_after, reason };
    cx.effects.push(Effect::Refuse { ticket: arrival.ticket, refusal });
}

fn flight(
    now: Moment,
    comparison: RouteComparison,
    arrival: Arrival,
    admitted: ResolvedRequest,
) -> Flight {
    let Arrival { ticket, head } = arrival;
    let route = admitted.route;
    let time_left = head.time_left.unwrap_or(route.time_limit).min(route.time_limit);
    let (class, value) =
        admission::place(&head.attempt, admitted.rank, admitted.n_ranks, comparison.value);
    let stage = |idx: usize| match head.items.get(idx) {
        None | Some(0) => StageState::EMPTY,
        Some(_) => StageState::Waiting,
    };
    Flight {
        ticket,
        stages: (0..route.stages.len()).map(stage).collect(),
        restarts: vec![0; route.stages.len()],
        pool: admitted.pool,
        workspace: admitted.workspace,
        class,
        value,
        priority: admitted.priority,
        is_retry: Duration::ZERO < comparison.elapsed,
        arrived: now.saturating_sub(comparison.elapsed),
        deadline: now + time_left,
        phase: Phase::Staging,
        tried: Vec::new(),
        n_runs: 0,
        n_refusals: 0,
        n_redone: 0,
        is_begun: false,
        last_event: None,
        head,
        route,
    }
}

/// Returns why a request cannot be served in its time, if that is known already.
fn hopeless(cx: &Pass<'_>, batcher: &Batcher, flight: &Flight) -> Option<(Comeback, &'static str)> {
    if cx.ctx.endpoints.pool(&flight.pool).all(|it| !it.accepts_work()) {
        return Some((Comeback::Soon, "its pool has no endpoint"));
    }
    let mut wait = Duration::ZERO;
    for (idx, stage) in flight.route.stages.iter().enumerate() {
        if flight.stages[idx] != StageState::Waiting {
            continue;
        }
        if cx.ctx.endpoints.pool(&stage.pool).all(|it| !it.accepts_work()) {
            return Some((Comeback::Soon, "a pool of its stages has no endpoint"));
        }
        let waits = groups(&cx.ctx.endpoints, &stage.pool);
        let waits = waits.iter().map(|it| stages::backlog(cx, batcher, it));
        wait += waits.min().unwrap_or_default();
    }
    let needed = wait + times::path_time(cx, flight);
    let time_left = flight.deadline.saturating_sub(cx.now);
    (time_left < needed).then_some((Comeback::Late, "its stages would take longer than its time"))
}
