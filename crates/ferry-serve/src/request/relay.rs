//! Passes requests on to a peer where only peers reach the endpoints.
//!
//! The peer runs the request as its own: it chooses, limits, retries and refuses. This instance
//! holds the caller, and treats the peer like an endpoint.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use ferry_model::{BuildId, InstanceId, Moment, RouteKind};

use super::active::{ActiveCall, ActiveRequest, Phase, StreamBuild};
use super::{retry, schedule, stages};
use crate::batch::Batcher;
use crate::notices;
use crate::pass::Pass;
use crate::{
    Call, CallEvent, Decision, DecisionKind, Effect, EndpointNotice, Mechanism, Metric, PeerView,
    RelayedCall, ScheduleProgress, rendezvous_hash,
};

/// Most notices that go with a request, as they take part of the bytes that its headers may have.
const MAX_NOTICES: usize = 16;

/// A peer to which a request is passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Target {
    instance: InstanceId,
    /// Where it takes requests of peers.
    relay: SocketAddr,
    /// Where it receives datagrams.
    peer: SocketAddr,
}

/// Whether a request should be passed on. One that a peer has passed on goes no further.
pub fn is_needed(cx: &Pass<'_>, request: &ActiveRequest) -> bool {
    let is_enabled = cx.ctx.tuning.is_enabled(Mechanism::Relaying);
    if !is_enabled || request.head.relayed.is_some() || !request.may_run_again() {
        return false;
    }
    is_foreign(request) || cx.ctx.reach.is_cut(&request.pool)
}

/// Whether a peer has begun the stream of a request: only peers know its build.
pub fn is_foreign(request: &ActiveRequest) -> bool {
    request.last_event.is_some() && request.was_relayed && request.build == StreamBuild::Any
}

/// Passes a request on to a peer; returns whether there is one that takes it.
pub fn start(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest) -> bool {
    let Some(target) = choose(cx, request) else { return false };
    let is_retry = request.has_arrived();
    if is_retry && !retry::reserve(cx, request) {
        return false;
    }
    request.has_retry = false;
    request.was_relayed = true;
    schedule::report(cx, request, ScheduleProgress::Ended);
    for idx in 0..request.stages.len() {
        stages::reset(cx, batcher, request, idx);
    }
    let call = cx.next_call();
    let n_runs = request.n_runs + request.silent.len() as u32;
    let n_tries = request.max_tries().saturating_sub(n_runs).max(1);
    let time_left = request.deadline.saturating_sub(cx.now);
    let notices = notices(cx, request, target.peer);
    cx.count(Metric::RequestsRelayed);
    cx.log(
        Decision::new(DecisionKind::Route, "passed on to a peer")
            .with_attempt(&request.head.attempt)
            .with_route(&request.route.name)
            .with_pool(&request.pool)
            .with_endpoint(&target.instance)
            .with_budget(time_left),
    );
    request.tried.push(target.instance.clone());
    request.phase = Phase::Calling(ActiveCall {
        call,
        endpoint: target.instance.clone(),
        build: BuildId::new(),
        started: 0,
        peer: Some(target.peer),
        n_tries,
        is_retry,
        has_begun: false,
        sent_at: cx.now,
        last_heard: cx.now,
        checked_at: Moment::ZERO,
        expected: time_left,
        patience: time_left,
        is_streaming: false,
        is_relayed: false,
        is_blocked: false,
        fetched_at: None,
    });
    cx.effects.push(Effect::Call(Box::new(Call {
        call,
        ticket: request.ticket,
        endpoint: target.instance,
        started: 0,
        address: target.relay,
        relayed: Some(RelayedCall { n_tries, notices }),
        workspace: request.workspace.clone(),
        time_left,
        urgency: 0,
        inputs: None,
        resume: request.last_event,
        is_stream: request.route.kind == RouteKind::Stream,
    })));
    true
}

/// Returns what is known of the endpoints to which a peer may send a request.
fn notices(cx: &Pass<'_>, request: &ActiveRequest, peer: SocketAddr) -> Vec<EndpointNotice> {
    let stages = request.route.stages.iter().map(|it| it.pool.as_str());
    let mut pools: Vec<&str> = stages.chain([request.pool.as_str()]).collect();
    pools.sort_unstable();
    pools.dedup();
    let all = pools.into_iter().flat_map(|it| notices::for_peer(cx, peer, it));
    all.take(MAX_NOTICES).collect()
}

/// Returns the event that ends a call to a peer which is not heard any longer.
pub fn lost_event(cx: &Pass<'_>, request: &ActiveRequest) -> Option<CallEvent> {
    let Phase::Calling(ActiveCall { peer: Some(peer), .. }) = &request.phase else { return None };
    let is_live = cx.ctx.peers.live(cx.now, &cx.ctx.tuning).any(|it| it.0 == *peer);
    let error = "the peer is not heard any longer".to_owned();
    (!is_live).then_some(CallEvent::Broken { error })
}

/// Returns one of the peers that reach the pool. Of two that a hash of the request finds, the one
/// in the zone of this instance: all cut instances together must not meet at one peer.
fn choose(cx: &Pass<'_>, request: &ActiveRequest) -> Option<Target> {
    let mut hasher = DefaultHasher::new();
    request.head.attempt.hash(&mut hasher);
    let key = hasher.finish();
    let own_zone = &cx.ctx.identity.zone;
    let tuning = &cx.ctx.tuning;
    let peers = cx.ctx.peers.live(cx.now, tuning).filter(|(_, it)| {
        let heartbeat = &it.heartbeat;
        heartbeat.accepts_work()
            && !heartbeat.unreached.contains(&request.pool)
            && !request.tried.contains(&heartbeat.instance)
    });
    let mut peers: Vec<_> = peers.collect();
    // Others may be cut off as well, and not know it yet.
    let is_fresh = |it: &PeerView| cx.now < it.last_heard + cx.ctx.peers.round_time(tuning) * 2;
    let reaches = |it: &PeerView| is_fresh(it) && it.heartbeat.reached.contains(&request.pool);
    prefer(&mut peers, |it| reaches(it.1));
    prefer(&mut peers, |it| !it.1.heartbeat.is_overloaded);
    peers.sort_by_cached_key(|it| rendezvous_hash(key, &it.1.heartbeat.instance));
    let first = peers.iter().take(2).find(|it| it.1.heartbeat.zone == *own_zone);
    let (peer, view) = first.or(peers.first())?;
    let heartbeat = &view.heartbeat;
    Some(Target { instance: heartbeat.instance.clone(), relay: heartbeat.relay, peer: *peer })
}

/// Keeps those that fit, if there are any.
fn prefer<T>(items: &mut Vec<T>, fits: impl Fn(&T) -> bool) {
    if items.iter().any(&fits) {
        items.retain(fits);
    }
}
