//! Asks the scheduler of a pool of engines for the engine of a request, and tells it what became of
//! the call.

use std::time::Duration;

use ferry_model::{EndpointId, PoolKind, ZoneId};

use super::active::{ActiveRequest, Phase};
use super::{call, origin};
use crate::batch::Batcher;
use crate::choose::{prefixes, shared_key};
use crate::pass::{Context, Pass};
use crate::{
    Asker, CallerAttempt, Choice, Chooser, Decision, DecisionKind, Effect, EndpointView, Mechanism,
    Metric, PeerMessage, Release, ScheduleDecision, ScheduleProgress, ScheduleRequest, Scheduled,
    Shard,
};

/// Time to wait for a decision, after which this instance chooses: several round trips between
/// instances with little CPU time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Multiple of the expected time after which a request no longer waits for what its engine reads.
const PATIENCE_FACTOR: u32 = 2;

/// Sends a request whose stages are done, or asks where to; returns whether it has ended instead.
pub fn start(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest) -> bool {
    if origin::decide(cx, batcher, request) {
        return true;
    }
    if request.inquiry().is_some() {
        request.phase = Phase::AwaitingBuild;
        return false;
    }
    let is_scheduled = cx.ctx.tuning.is_enabled(Mechanism::Scheduling);
    let Some(wanted) = wanted(cx, request).filter(|_| is_scheduled) else {
        let choice = call::pick(cx, request);
        return call::start(cx, batcher, request, choice);
    };
    match cx.ctx.scheduler_peer(cx.now, wanted.shard) {
        None => {
            request.scheduled_by = Some(Asker::This);
            let scheduled = schedule(cx, Asker::This, wanted);
            on_scheduled(cx, batcher, request, scheduled)
        }
        Some(to) => {
            cx.ctx.scheduler.note_predecessor();
            request.scheduled_by = Some(Asker::Peer(to));
            request.phase = Phase::AwaitingEndpoint { until: cx.now + ANSWER_TIMEOUT };
            cx.effects.push(Effect::Send { to, message: PeerMessage::Schedule(Box::new(wanted)) });
            false
        }
    }
}

/// Returns what a request needs from an engine; none if it does not go to one.
pub fn wanted(cx: &Pass<'_>, request: &ActiveRequest) -> Option<ScheduleRequest> {
    match request.own_pool().map(|it| &it.kind) {
        Some(PoolKind::Engine { .. }) => Some(ScheduleRequest {
            attempt: request.head.attempt.clone(),
            shard: shard(cx, request),
            pool: request.pool.clone(),
            prompt: request.head.prompt.clone(),
            results: call::results(cx, request),
            tried: excluded(cx, request),
            zone: cx.ctx.identity.zone.clone(),
            build: request.needed_build().map(str::to_owned),
        }),
        Some(PoolKind::Plain | PoolKind::Batch(_)) | None => None,
    }
}

/// Returns the engines to which a request may not go: those that were tried, and those that have asked
/// this instance, but not the scheduler, for a pause.
fn excluded(cx: &Pass<'_>, request: &ActiveRequest) -> Vec<EndpointId> {
    let pausing = cx.ctx.endpoints.pool(&request.pool).filter(|it| it.wants_pause(cx.now));
    let pausing = pausing.map(|it| it.endpoint.id.clone());
    request.tried.iter().cloned().chain(pausing).collect()
}

/// Returns the shard of the engines of a request: that of the parts of its prompt that others share,
/// so that they meet at the same engines.
fn shard(cx: &Pass<'_>, request: &ActiveRequest) -> Shard {
    let n_instances = cx.ctx.peers.n_instances(cx.now, &cx.ctx.tuning);
    match shared_key(&prefixes(&request.head.prompt)) {
        Some(key) => Shard::for_attempt(&key.to_string(), n_instances),
        None => Shard::for_attempt(&request.head.attempt, n_instances),
    }
}

/// Returns the zone of the engine that a request is likely to go to, if this instance is the
/// scheduler.
pub fn likely_zone(cx: &Pass<'_>, wanted: &ScheduleRequest) -> Option<ZoneId> {
    let ctx = &cx.ctx;
    let is_scheduler = ctx.tuning.is_enabled(Mechanism::Scheduling)
        && ctx.scheduler_peer(cx.now, wanted.shard).is_none();
    is_scheduler.then(|| ctx.scheduler.likely_zone(cx.now, &ctx.endpoints, &ctx.tuning, wanted))?
}

/// Decides on a request as the scheduler of its pool.
pub fn schedule(cx: &mut Pass<'_>, asker: Asker, wanted: ScheduleRequest) -> Scheduled {
    let may_read = cx.ctx.tuning.is_enabled(Mechanism::CacheReading);
    if may_read && cx.ctx.scheduler.must_read_caches(&wanted.pool, wanted.shard) {
        let Pass { now, ctx, effects, .. } = &mut *cx;
        let now = *now;
        let is_own = |it: &&EndpointView| {
            it.is_open(now) && it.rate_limit().is_none() && wanted.shard.contains(&it.endpoint.id)
        };
        let engines = ctx.endpoints.pool(&wanted.pool).filter(is_own);
        effects.extend(engines.map(|it| Effect::ReadCache {
            endpoint: it.endpoint.id.clone(),
            started: it.endpoint.started,
            address: it.endpoint.address,
        }));
    }
    let (now, ctx) = (cx.now, &mut *cx.ctx);
    let scheduled = ctx.scheduler.schedule(now, &ctx.endpoints, &ctx.tuning, asker, wanted);
    if let Scheduled::Now(decision) = &scheduled
        && let Some(view) = ctx.endpoints.get_mut(&decision.endpoint)
    {
        view.expect_request(now);
    }
    scheduled
}

/// Records what became of a call that this instance scheduled, and answers those that waited for it.
pub fn on_progress(cx: &mut Pass<'_>, attempt: &CallerAttempt, progress: ScheduleProgress) {
    let (now, ctx) = (cx.now, &mut *cx.ctx);
    let Context { scheduler, endpoints, tuning, .. } = ctx;
    let released = scheduler.on_progress(now, endpoints, tuning, attempt, progress);
    answer(cx, released);
}

/// Answers those that wait for an engine which gets nothing more.
pub fn release_excluded(cx: &mut Pass<'_>) {
    let (now, ctx) = (cx.now, &mut *cx.ctx);
    let Context { scheduler, endpoints, tuning, .. } = ctx;
    let released = scheduler.release_excluded(now, endpoints, tuning);
    answer(cx, released);
}

fn answer(cx: &mut Pass<'_>, released: Vec<Release>) {
    for (asker, attempt, scheduled) in released {
        match asker {
            Asker::This => cx.released.push((attempt, scheduled)),
            Asker::Peer(to) => {
                let message = PeerMessage::Scheduled { attempt, scheduled };
                cx.effects.push(Effect::Send { to, message });
            }
        }
    }
}

/// Applies the scheduler's answer; returns whether the request has ended.
pub fn on_scheduled(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    scheduled: Scheduled,
) -> bool {
    let decision = match scheduled {
        Scheduled::Now(decision) => Some(decision),
        Scheduled::Later(time) => {
            let until = cx.now + time * PATIENCE_FACTOR + ANSWER_TIMEOUT;
            request.phase = Phase::AwaitingEndpoint { until };
            cx.log(
                Decision::new(DecisionKind::Wait, "its engine reads the shared parts for another")
                    .with_attempt(&request.head.attempt)
                    .with_route(&request.route.name)
                    .with_pool(&request.pool)
                    .with_times(cx.now - request.arrived, time)
                    .with_budget(request.deadline.saturating_sub(cx.now)),
            );
            return false;
        }
        Scheduled::Nowhere => None,
    };
    request.phase = Phase::RunningStages;
    send(cx, batcher, request, decision)
}

/// Chooses the engine of a request for which no decision has arrived in time; returns whether the
/// request has ended.
pub fn on_timeout(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest) -> bool {
    cx.count(Metric::AsksUnanswered);
    on_scheduled(cx, batcher, request, Scheduled::Nowhere)
}

/// Tells the scheduler of a request what became of its call.
pub fn report(cx: &mut Pass<'_>, request: &mut ActiveRequest, progress: ScheduleProgress) {
    let Some(by) = request.scheduled_by else { return };
    if progress == ScheduleProgress::Ended {
        request.scheduled_by = None;
    }
    let attempt = request.head.attempt.clone();
    match by {
        Asker::This => on_progress(cx, &attempt, progress),
        Asker::Peer(to) => {
            let message = PeerMessage::ScheduleProgress { attempt, progress };
            cx.effects.push(Effect::Send { to, message });
        }
    }
}

fn send(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    decision: Option<ScheduleDecision>,
) -> bool {
    let scheduled = decision.and_then(|it| choice(cx, request, it));
    let choice = match scheduled {
        Some(choice) => Some(choice),
        None => call::pick(cx, request),
    };
    call::start(cx, batcher, request, choice)
}

/// Returns the decision as a choice, unless the endpoint takes no work as far as known here.
fn choice(cx: &Pass<'_>, request: &ActiveRequest, it: ScheduleDecision) -> Option<Choice> {
    let view = cx.ctx.endpoints.get(&it.endpoint).filter(|it| it.is_usable(cx.now))?;
    if request.tried.contains(&it.endpoint) || !view.has_build(request.needed_build()) {
        return None;
    }
    Some(Choice {
        address: view.endpoint.address,
        considered: it.considered,
        cost: it.cost,
        expected: it.expected,
        prompt: call::prompt_tokens(request, it.uncached),
        endpoint: it.endpoint,
        chooser: Chooser::Scheduler,
    })
}
