//! Finds the build at which a stream has to go on.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{BuildId, RouteKind};

use super::active::{ActiveRequest, Phase, StreamBuild};
use super::end::{self, RetryHint};
use crate::batch::Batcher;
use crate::origins::{N_ASKED, N_HOLDERS};
use crate::pass::Pass;
use crate::{CallerAttempt, Decision, DecisionKind, Effect, Metric, OriginRequest, PeerMessage};

/// Time to wait for a peer that knows the build: several round trips between instances with little
/// CPU time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Returns the build of the stream that a request continues, if this instance knows it.
pub fn known(cx: &Pass<'_>, request: &ActiveRequest) -> StreamBuild {
    match cx.ctx.origins.build(request.head.first_attempt()) {
        Some(build) => StreamBuild::Known(build.clone()),
        None => StreamBuild::Any,
    }
}

/// Asks peers for the build of the stream that a request continues, unless it is known.
pub fn ask(cx: &mut Pass<'_>, request: &mut ActiveRequest) {
    let Some(resumed) = &request.head.resumed else { return };
    if request.route.kind != RouteKind::Stream {
        return;
    }
    cx.count(Metric::StreamsTakenUp);
    if request.needed_build().is_some() {
        return;
    }
    let first_attempt = resumed.first_attempt.clone();
    let peers = peers(cx, request.head.first_attempt(), N_ASKED);
    let until = if peers.is_empty() { cx.now } else { cx.now + ANSWER_TIMEOUT };
    request.build = StreamBuild::Asked { until };
    let attempt = request.head.attempt.clone();
    let message = OriginRequest { attempt, first_attempt, pool: request.pool.clone() };
    for to in peers {
        let message = PeerMessage::OriginRequest(message.clone());
        cx.effects.push(Effect::Send { to, message });
    }
}

/// Answers a peer that asks for the build of a stream, if this instance knows it.
pub fn on_request(cx: &mut Pass<'_>, from: SocketAddr, request: OriginRequest) {
    let OriginRequest { attempt, first_attempt, pool } = request;
    let recorded = first_attempt.and_then(|it| cx.ctx.origins.build(&it).cloned());
    if let Some(build) = recorded.or_else(|| only_build(cx, &pool)) {
        let message = PeerMessage::Origin { attempt, build };
        cx.effects.push(Effect::Send { to: from, message });
    }
}

/// Applies the answer of a peer; returns whether the request has ended.
pub fn on_answer(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    build: BuildId,
) -> bool {
    if !matches!(request.build, StreamBuild::Asked { .. }) {
        return false;
    }
    set_build(cx, request, build, "a peer knows the build");
    if matches!(request.phase, Phase::AwaitingBuild { .. }) {
        request.phase = Phase::RunningStages;
    }
    if has_endpoint(cx, request) {
        return false;
    }
    end::give_up(cx, batcher, request, RetryHint::Late, "no endpoint of its build is left")
}

/// Decides on a stream of which no peer knows the build; returns whether the request has ended.
pub fn on_timeout(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest) -> bool {
    match only_build(cx, &request.pool) {
        Some(build) => {
            set_build(cx, request, build, "its pool has had one build only");
            false
        }
        None => {
            cx.count(Metric::BuildsUnknown);
            let reason = "the build that began it is unknown";
            end::give_up(cx, batcher, request, RetryHint::Soon, reason)
        }
    }
}

/// Records the build that brought the first event of a stream, here and at peers.
pub fn on_event(cx: &mut Pass<'_>, request: &mut ActiveRequest, build: &BuildId) {
    if request.needed_build().is_some() {
        return;
    }
    request.build = StreamBuild::Known(build.clone());
    if !request.route.is_repeatable() {
        return;
    }
    let attempt = request.head.attempt.clone();
    let time_left = request.deadline.saturating_sub(cx.now);
    cx.ctx.origins.record(cx.now, attempt.clone(), build.clone(), time_left);
    for to in peers(cx, &attempt, N_HOLDERS) {
        let (attempt, build) = (attempt.clone(), build.clone());
        let message = PeerMessage::Began { attempt, build, time_left };
        cx.effects.push(Effect::Send { to, message });
    }
}

/// Returns whether an endpoint is left at which the stream may go on.
pub fn has_endpoint(cx: &Pass<'_>, request: &ActiveRequest) -> bool {
    cx.ctx.endpoints.pool(&request.pool).any(|it| {
        it.accepts_work()
            && it.has_build(request.needed_build())
            && !request.tried.contains(&it.endpoint.id)
    })
}

fn set_build(cx: &mut Pass<'_>, request: &mut ActiveRequest, build: BuildId, reason: &str) {
    cx.log(
        Decision::new(DecisionKind::Resume, reason)
            .with_attempt(&request.head.attempt)
            .with_resumed(request.head.resumed.as_ref())
            .with_build(Some(&build))
            .with_pool(&request.pool),
    );
    request.build = StreamBuild::Known(build);
}

/// Returns the build that every stream of a pool has begun with, if there has been one only for as
/// long as a stream may last.
fn only_build(cx: &Pass<'_>, pool: &str) -> Option<BuildId> {
    let longest = cx.ctx.catalog.longest_request()?;
    cx.ctx.endpoints.only_build(cx.now, pool, longest).cloned()
}

fn peers(cx: &Pass<'_>, attempt: &CallerAttempt, n_peers: usize) -> Vec<SocketAddr> {
    cx.ctx.peers.ranked(cx.now, &cx.ctx.tuning, attempt, n_peers)
}
