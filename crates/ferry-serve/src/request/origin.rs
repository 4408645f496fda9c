//! Finds the build at which a stream has to go on.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{BuildId, RouteKind};

use super::active::{ActiveRequest, Inquiry, Phase, StoreRead, StreamBuild};
use super::end::{self, RetryHint};
use crate::batch::Batcher;
use crate::origins::N_ASKED;
use crate::origins::exchange::{self, Read};
use crate::pass::Pass;
use crate::{CallerAttempt, Decision, DecisionKind, Effect, Metric, OriginRequest, PeerMessage};

/// Time to wait for a peer that knows the build: several round trips between instances with little
/// CPU time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Time to wait for the store, which usually answers in some milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns the build of the stream that a request continues, if this instance knows it.
pub fn known(cx: &Pass<'_>, request: &ActiveRequest) -> StreamBuild {
    match cx.ctx.origins.build(request.head.first_attempt()) {
        Some(build) => StreamBuild::Known(build.clone()),
        None => StreamBuild::Any,
    }
}

/// Asks for the build of the stream that a request continues, unless it is known.
pub fn ask(cx: &mut Pass<'_>, request: &mut ActiveRequest) {
    if request.head.resumed.is_none() || request.route.kind != RouteKind::Stream {
        return;
    }
    cx.count(Metric::StreamsTakenUp);
    if request.needed_build().is_none() {
        let is_mixed = cx.ctx.origins.is_mixed(&request.pool);
        inquire(cx, request, is_mixed);
    }
}

/// Asks the store, and peers if the pool has several builds or the store does not answer.
fn inquire(cx: &mut Pass<'_>, request: &mut ActiveRequest, is_mixed: bool) {
    let store = match cx.ctx.endpoints.is_store_down() {
        true => StoreRead::Failed,
        false => StoreRead::Open(cx.ctx.origins.request_read(cx.now, is_mixed)),
    };
    let until = match store {
        StoreRead::Open(_) => cx.now + READ_TIMEOUT,
        StoreRead::Answered | StoreRead::Failed => cx.now,
    };
    request.build = StreamBuild::Asked(Inquiry::new(store, until));
    if is_mixed || store == StoreRead::Failed {
        inquire_peers(cx, request);
    }
}

fn inquire_peers(cx: &mut Pass<'_>, request: &mut ActiveRequest) {
    let peers = peers(cx, request.head.first_attempt(), N_ASKED);
    let (now, head) = (cx.now, &request.head);
    let StreamBuild::Asked(inquiry) = &mut request.build else { return };
    inquiry.n_asked = peers.len();
    let until = if peers.is_empty() { now } else { now + ANSWER_TIMEOUT };
    inquiry.peers_until = Some(until);
    inquiry.until = inquiry.until.max(until);
    let message = OriginRequest {
        attempt: head.attempt.clone(),
        first_attempt: head.resumed.as_ref().and_then(|it| it.first_attempt.clone()),
        pool: request.pool.clone(),
    };
    for to in peers {
        let message = PeerMessage::OriginRequest(message.clone());
        cx.effects.push(Effect::Send { to, message });
    }
}

/// Answers a peer that asks for the build of a stream.
pub fn on_request(cx: &mut Pass<'_>, from: SocketAddr, request: OriginRequest) {
    let OriginRequest { attempt, first_attempt, pool } = request;
    let recorded = first_attempt.and_then(|it| cx.ctx.origins.build(&it).cloned());
    let message = match recorded {
        Some(build) => PeerMessage::Origin { attempt, build },
        None => PeerMessage::OnlyBuild { attempt, build: only_build(cx, &pool) },
    };
    cx.effects.push(Effect::Send { to: from, message });
}

/// Applies the answer of a peer with a record of the stream; returns whether the request has ended.
pub fn on_answer(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    build: BuildId,
) -> bool {
    match request.build {
        StreamBuild::Asked(_) => settle(cx, batcher, request, build, "a peer knows the build"),
        StreamBuild::Any | StreamBuild::Known(_) => false,
    }
}

/// Applies the answer of a peer without a record: the only build of the pool, if there is one. Returns
/// whether the request has ended.
pub fn on_only_build(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    build: Option<BuildId>,
) -> bool {
    let StreamBuild::Asked(inquiry) = &mut request.build else { return false };
    inquiry.only_builds.push(build);
    decide(cx, batcher, request)
}

/// Whether a request waits for a read of the store.
pub fn waits_for(request: &ActiveRequest, read: Read) -> bool {
    match request.inquiry().map(|it| it.store) {
        Some(StoreRead::Open(id)) => id <= read.id,
        Some(StoreRead::Answered | StoreRead::Failed) | None => false,
    }
}

/// Decides on a stream for which the store was read; returns whether the request has ended.
pub fn on_read(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    read: Read,
) -> bool {
    let is_mixed = only_build(cx, &request.pool).is_none();
    let StreamBuild::Asked(inquiry) = &mut request.build else { return false };
    if read.is_answered && is_mixed && !read.with_streams {
        // The pool had one build only as far as this instance knew.
        inquire(cx, request, is_mixed);
        return false;
    }
    inquiry.store = if read.is_answered { StoreRead::Answered } else { StoreRead::Failed };
    inquiry.until = inquiry.peers_until.unwrap_or(cx.now);
    decide(cx, batcher, request)
}

/// Decides at which build a stream goes on, unless an answer is still waited for; returns whether the
/// request has ended.
pub fn decide(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest) -> bool {
    let StreamBuild::Asked(inquiry) = &mut request.build else { return false };
    match inquiry.store {
        StoreRead::Open(_) if cx.now < inquiry.until => return false,
        StoreRead::Open(_) => inquiry.store = StoreRead::Failed,
        StoreRead::Answered | StoreRead::Failed => (),
    }
    if inquiry.store == StoreRead::Failed && inquiry.peers_until.is_none() {
        inquire_peers(cx, request);
    }
    let first_attempt = request.head.first_attempt();
    if let Some(build) = cx.ctx.origins.build(first_attempt).cloned() {
        return settle(cx, batcher, request, build, "its build is recorded");
    }
    let only = only_build(cx, &request.pool);
    let StreamBuild::Asked(inquiry) = &request.build else { return false };
    // A read that starts after the request has arrived has every build that may have begun its stream.
    if let (StoreRead::Answered, Some(build)) = (inquiry.store, &only) {
        return settle(cx, batcher, request, build.clone(), "its pool has had one build only");
    }
    let is_open = inquiry.only_builds.len() < inquiry.n_asked && cx.now < inquiry.until;
    if is_open {
        return false;
    }
    // No build is added while the store is down for all; if it is not, a peer may have another answer.
    let agree = !inquiry.only_builds.is_empty() && inquiry.only_builds.iter().all(|it| *it == only);
    let is_alone = cx.ctx.peers.n_remembered(cx.now) == 1;
    match (inquiry.store, only) {
        (StoreRead::Failed, Some(build)) if agree || is_alone => {
            settle(cx, batcher, request, build, "its pool has one build as far as known")
        }
        _ => {
            cx.count(Metric::BuildsUnknown);
            let reason = "the build that began it is unknown";
            end::give_up(cx, batcher, request, RetryHint::Soon, reason)
        }
    }
}

/// Records the build that brought the first event of a stream.
pub fn on_event(cx: &mut Pass<'_>, request: &mut ActiveRequest, build: &BuildId) {
    if request.needed_build().is_some() {
        return;
    }
    request.build = StreamBuild::Known(build.clone());
    if cx.ctx.origins.is_mixed(&request.pool) {
        record(cx, request);
    }
}

/// Records the build that began a stream, if there is one and its caller may take it up.
pub fn record(cx: &mut Pass<'_>, request: &ActiveRequest) {
    let StreamBuild::Known(build) = &request.build else { return };
    if request.route.kind == RouteKind::Stream && request.route.resumable {
        let time_left = request.deadline.saturating_sub(cx.now);
        exchange::record_stream(cx, request.head.first_attempt(), build, time_left);
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

/// Lets a stream go on at a build; returns whether the request has ended instead.
fn settle(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    build: BuildId,
    reason: &str,
) -> bool {
    cx.log(
        Decision::new(DecisionKind::Resume, reason)
            .with_attempt(&request.head.attempt)
            .with_resumed(request.head.resumed.as_ref())
            .with_build(Some(&build))
            .with_pool(&request.pool),
    );
    request.build = StreamBuild::Known(build);
    if matches!(request.phase, Phase::AwaitingBuild) {
        request.phase = Phase::RunningStages;
    }
    if has_endpoint(cx, request) {
        return false;
    }
    end::give_up(cx, batcher, request, RetryHint::Late, "no endpoint of its build is left")
}

/// Returns the only build with which streams of a pool can have begun, as far as this instance knows.
fn only_build(cx: &Pass<'_>, pool: &str) -> Option<BuildId> {
    cx.ctx.origins.only_build(&cx.ctx.endpoints, pool)
}

fn peers(cx: &Pass<'_>, attempt: &CallerAttempt, n_peers: usize) -> Vec<SocketAddr> {
    cx.ctx.peers.ranked(cx.now, &cx.ctx.tuning, attempt, n_peers)
}
