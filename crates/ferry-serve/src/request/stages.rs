//! The stages of a request: what is submitted when, and to which instance.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{ResultHandle, SortedMap, ZoneId};

use super::active::{ActiveRequest, Phase, StageState, Submitted};
use super::end::RetryHint;
use super::{call, end, times};
use crate::batch::{Batcher, Job, JobKey, JobOutcome, JobOwner, group_pause};
use crate::notices;
use crate::pass::{Pass, free};
use crate::{
    Decision, DecisionKind, Effect, Group, ItemInput, JobSubmission, Mechanism, Metric,
    PeerMessage, groups,
};

/// Cost of running a stage in another zone than its data, as time.
const DATA_ZONE_COST: Duration = Duration::from_millis(250);
/// Cost of running a stage in another zone than this instance's, as time.
const OWN_ZONE_COST: Duration = Duration::from_millis(5);
/// Number of times that stages of a request may be restarted.
pub const MAX_RESTARTS: u32 = 4;

/// Submits the stages whose inputs are available; returns whether the request has ended.
pub fn advance(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest) -> bool {
    if MAX_RESTARTS < request.n_restarts {
        return end::give_up(cx, batcher, request, RetryHint::Soon, "its stages failed too often");
    }
    let needed = times::min_path_time(request);
    if request.deadline < cx.now + needed {
        let reason = "the rest of its stages takes too long";
        return end::give_up(cx, batcher, request, RetryHint::Late, reason);
    }
    for idx in 0..request.stages.len() {
        let is_ready =
            |after: &usize| matches!(request.stages.get(*after), Some(StageState::Done { .. }));
        if request.stages[idx] == StageState::Waiting
            && request.graph.reads(idx).iter().all(is_ready)
        {
            submit(cx, batcher, request, idx);
        }
    }
    false
}

/// Sends jobs again whose batcher has not answered, or moves them to another one if it cannot work.
/// If `lost` is given, handles only the jobs at that peer, all of them.
pub fn resubmit(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    lost: Option<SocketAddr>,
) {
    for idx in 0..request.stages.len() {
        let StageState::Submitted(job) = request.stages[idx].clone() else { continue };
        let is_due = match lost {
            Some(lost) => Some(lost) == job.peer,
            None => job.resend_at(&cx.ctx.tuning) <= cx.now,
        };
        if !is_due {
            continue;
        }
        if must_reassign(cx, &job) {
            cx.count(Metric::BatchersSwitched);
            release(cx, batcher, request, idx);
            submit(cx, batcher, request, idx);
        } else if let Some(peer) = job.peer {
            let submission = submission(cx, request, idx, &job.group, Some(peer));
            request.stages[idx] = StageState::Submitted(Submitted { last_sent: cx.now, ..job });
            let message = PeerMessage::Submit(Box::new(submission));
            cx.effects.push(Effect::Send { to: peer, message });
        }
    }
}

/// Moves the jobs whose group no longer exists, or gets nothing more.
pub fn reassign(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest) {
    for idx in 0..request.stages.len() {
        let StageState::Submitted(job) = &request.stages[idx] else { continue };
        if groups(&cx.ctx.endpoints, &job.group.pool).contains(&job.group) {
            continue;
        }
        cx.count(Metric::BatchersSwitched);
        release(cx, batcher, request, idx);
        submit(cx, batcher, request, idx);
    }
}

/// Records that a peer has accepted the items of a stage.
pub fn on_accepted(request: &mut ActiveRequest, key: &JobKey) {
    let idx = usize::from(key.stage);
    let is_current = request.job_key(idx) == *key;
    if let Some(StageState::Submitted(job)) = request.stages.get_mut(idx).filter(|_| is_current) {
        job.is_accepted = true;
    }
}

/// Whether a job must move: its group no longer exists, or its batcher cannot work.
fn must_reassign(cx: &mut Pass<'_>, job: &Submitted) -> bool {
    let Submitted { peer, group, since, .. } = job;
    let (peer, since) = (*peer, *since);
    if !groups(&cx.ctx.endpoints, &group.pool).contains(group) {
        return true;
    }
    let is_working = match peer {
        Some(peer) => cx.ctx.peers.still_works(cx.now, &cx.ctx.tuning, peer, since),
        None => true,
    };
    if let Some(peer) = peer.filter(|_| !is_working) {
        cx.ctx.peers.suspect(peer);
    }
    // A batcher that does not reach the endpoints keeps its jobs until they are withdrawn.
    let is_cut = match peer.and_then(|it| cx.ctx.peers.get(it)) {
        Some(view) => view.heartbeat.unreached.contains(&group.pool),
        None => peer.is_none() && cx.ctx.reach.is_cut(&group.pool),
    };
    (is_cut || !is_working) && cx.ctx.batcher(cx.now, group) != peer
}

/// Applies the outcome of a stage; returns whether the request has ended.
pub fn on_outcome(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    key: &JobKey,
    outcome: JobOutcome,
) -> bool {
    let idx = usize::from(key.stage);
    let is_open = request.phase == Phase::RunningStages
        && *key == request.job_key(idx)
        && matches!(request.stages.get(idx), Some(StageState::Submitted(_)));
    if !is_open {
        free_duplicates(cx, request, idx, outcome);
        return false;
    }
    match outcome {
        JobOutcome::Done(handles) => {
            let (since, peer) = match &request.stages[idx] {
                StageState::Submitted(it) => (it.since, it.peer),
                StageState::Waiting | StageState::Done { .. } => (cx.now, None),
            };
            let collector =
                peer.and_then(|it| cx.ctx.peers.get(it)).map(|it| &it.heartbeat.instance);
            let collector = collector.unwrap_or(&cx.ctx.identity.instance).clone();
            cx.log(
                Decision::new(DecisionKind::Stage, "results are available")
                    .with_endpoint(&collector)
                    .with_attempt(&request.head.attempt)
                    .with_pool(&request.route.stages[idx].pool)
                    .with_stage(key.stage)
                    .with_times(cx.now - since, times::own_call_time(request, idx))
                    .with_budget(request.deadline.saturating_sub(cx.now)),
            );
            request.stages[idx] = StageState::Done { handles, peer, is_retained: true };
            release_inputs(cx, batcher, request, idx);
        }
        JobOutcome::Gone => restart(cx, batcher, request, idx, "an input no longer exists"),
        JobOutcome::Failed => restart(cx, batcher, request, idx, "the stage failed"),
        JobOutcome::Late => {
            let reason = "its stages would get their turn too late";
            return end::give_up(cx, batcher, request, RetryHint::Late, reason);
        }
    }
    false
}

/// Withdraws the job of a stage, done or in progress, at its batcher.
pub fn release(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest, idx: usize) {
    let key = request.job_key(idx);
    let peer = match &mut request.stages[idx] {
        StageState::Done { peer, is_retained, .. } if *is_retained => {
            *is_retained = false;
            *peer
        }
        StageState::Submitted(job) => job.peer,
        StageState::Done { .. } | StageState::Waiting => return,
    };
    match peer {
        Some(peer) => {
            cx.effects.push(Effect::Send { to: peer, message: PeerMessage::Withdraw(key) })
        }
        None => batcher.withdraw(cx, &key),
    }
}

/// Releases the results of the stages before `done` once nothing else reads them.
fn release_inputs(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    done: usize,
) {
    for before in request.graph.reads(done).to_vec() {
        let is_done = |idx: usize| matches!(request.stages[idx], StageState::Done { .. });
        let is_read = request.graph.readers(before).all(is_done);
        if is_read {
            release(cx, batcher, request, before);
        }
    }
}

/// Restarts a stage, and the stages that it reads.
pub fn restart(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    request: &mut ActiveRequest,
    idx: usize,
    reason: &str,
) {
    cx.log(
        Decision::new(DecisionKind::Retry, reason)
            .with_attempt(&request.head.attempt)
            .with_stage(idx as u8),
    );
    let mut pending = vec![idx];
    let mut visited = Vec::new();
    while let Some(idx) = pending.pop() {
        if visited.contains(&idx) {
            continue;
        }
        visited.push(idx);
        reset(cx, batcher, request, idx);
        pending.extend(request.graph.reads(idx));
    }
    request.n_restarts += 1;
}

/// Withdraws a stage with items and its results, so that the next run begins with it anew.
pub fn reset(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest, idx: usize) {
    if request.graph.has_items(idx) {
        release(cx, batcher, request, idx);
        request.restarts[idx] = request.restarts[idx].wrapping_add(1);
        request.stages[idx] = StageState::Waiting;
    }
}

/// Frees results of a request that is no longer in progress.
pub fn free_orphaned(cx: &mut Pass<'_>, outcome: JobOutcome) {
    match outcome {
        JobOutcome::Done(handles) => free(cx, handles),
        JobOutcome::Gone | JobOutcome::Failed | JobOutcome::Late => (),
    }
}

/// Returns the results that the request's endpoint reads.
pub fn inputs(request: &ActiveRequest) -> Vec<ResultHandle> {
    request.graph.last_stages().flat_map(|it| results(request, it)).cloned().collect()
}

fn submit(cx: &mut Pass<'_>, batcher: &mut Batcher, request: &mut ActiveRequest, idx: usize) {
    let Some(group) = pick_group(cx, batcher, request, idx) else {
        // The pool has no endpoint at the moment; the stage waits until there is one.
        request.stages[idx] = StageState::Waiting;
        return;
    };
    let peer = cx.ctx.batcher(cx.now, &group);
    let submission = submission(cx, request, idx, &group, peer);
    let job = Submitted { peer, group, since: cx.now, last_sent: cx.now, is_accepted: false };
    request.stages[idx] = StageState::Submitted(job);
    match peer {
        Some(peer) => {
            let message = PeerMessage::Submit(Box::new(submission));
            cx.effects.push(Effect::Send { to: peer, message });
        }
        None => {
            let (key, job) = Job::from_submit(JobOwner::Local, submission, cx.now);
            batcher.submit(cx, key, job);
        }
    }
}

/// Returns the group of a stage's pool that is likely to start first, preferring one near its data.
fn pick_group(
    cx: &Pass<'_>,
    batcher: &Batcher,
    request: &ActiveRequest,
    idx: usize,
) -> Option<Group> {
    let mut groups = groups(&cx.ctx.endpoints, &request.route.stages[idx].pool);
    if groups.len() < 2 {
        return groups.pop();
    }
    let input = input(request, idx);
    let best = preferred_zone(cx, request, idx, &input);
    let cost = |it: &Group| {
        let away = match &best {
            Some(zone) if it.zone.as_ref() != Some(zone) => DATA_ZONE_COST,
            None if it.zone.as_ref() != Some(&cx.ctx.identity.zone) => OWN_ZONE_COST,
            Some(_) | None => Duration::ZERO,
        };
        away + expected_wait(cx, batcher, it)
    };
    groups.into_iter().min_by_key(cost)
}

/// Returns the expected wait for items of a group, as reported by its batcher.
pub fn expected_wait(cx: &Pass<'_>, batcher: &Batcher, group: &Group) -> Duration {
    let Some(peer) = cx.ctx.batcher(cx.now, group) else {
        return batcher.wait(cx.now, cx.ctx, group).unwrap_or_default();
    };
    let Some(view) = cx.ctx.peers.get(peer) else { return Duration::ZERO };
    let reported = view.heartbeat.backlog.iter().find(|it| it.group == *group);
    reported.map_or(Duration::ZERO, |it| it.wait)
}

/// Returns the time for which all endpoints of a group have asked this instance for a pause, if it
/// collects the group's items.
pub fn pause(cx: &Pass<'_>, group: &Group) -> Duration {
    match cx.ctx.batcher(cx.now, group) {
        None => group_pause(cx.ctx, cx.now, group),
        Some(_) => Duration::ZERO,
    }
}

fn input(request: &ActiveRequest, idx: usize) -> ItemInput {
    let reads = request.graph.reads(idx);
    match reads.is_empty() {
        true => ItemInput::Key(request.head.item_key.clone()),
        false => {
            let results = reads.iter().flat_map(|it| results(request, *it));
            ItemInput::Results(results.cloned().collect())
        }
    }
}

fn submission(
    cx: &Pass<'_>,
    request: &ActiveRequest,
    idx: usize,
    group: &Group,
    peer: Option<SocketAddr>,
) -> JobSubmission {
    let input = input(request, idx);
    let rest = times::remaining_time(cx, request, idx);
    let zone = preferred_zone(cx, request, idx, &input);
    JobSubmission {
        key: request.job_key(idx),
        group: group.clone(),
        digest: request.digest,
        n_items: request.head.items.get(idx).copied().unwrap_or_default(),
        result_bytes: request.route.stages[idx].result_bytes,
        class: request.class,
        zone,
        input,
        due: request.objective().saturating_sub(cx.now + rest),
        time_left: times::time_left(cx, request, idx),
        notices: peer.map(|it| notices::for_peer(cx, it, &group.pool)).unwrap_or_default(),
    }
}

/// Returns the results of a stage; none until it is done.
fn results(request: &ActiveRequest, idx: usize) -> &[ResultHandle] {
    match request.stages.get(idx) {
        Some(StageState::Done { handles, .. }) => handles,
        Some(StageState::Waiting | StageState::Submitted(_)) | None => &[],
    }
}

/// Frees duplicate results that are not the ones in use.
fn free_duplicates(cx: &mut Pass<'_>, request: &ActiveRequest, idx: usize, outcome: JobOutcome) {
    let JobOutcome::Done(handles) = outcome else { return };
    let used = match request.stages.get(idx) {
        Some(StageState::Done { handles, .. }) => handles.as_slice(),
        Some(StageState::Waiting | StageState::Submitted(_)) | None => &[],
    };
    let spare = handles.into_iter().filter(|it| !used.contains(it)).collect();
    free(cx, spare);
}

/// Bytes of results from which on the zone of a stage matters.
const LARGE_BYTES: u64 = 1_000_000;

/// Returns the zone in which a stage should run: that of its inputs if they are large, else that of
/// the endpoint that will read its results if those are large.
fn preferred_zone(
    cx: &Pass<'_>,
    request: &ActiveRequest,
    idx: usize,
    input: &ItemInput,
) -> Option<ZoneId> {
    if !cx.ctx.tuning.is_enabled(Mechanism::ZonePlacement) {
        return None;
    }
    let stage = &request.route.stages[idx];
    let n_items = u64::from(request.head.items.get(idx).copied().unwrap_or_default());
    let is_last = request.graph.readers(idx).next().is_none();
    if let ItemInput::Results(handles) = input {
        let reads = request.graph.reads(idx).iter();
        let bytes: u64 = reads.map(|it| request.route.stages[*it].result_bytes).sum();
        // Each item reads all results.
        if LARGE_BYTES <= bytes * handles.len() as u64 * n_items {
            return majority_zone(cx, handles);
        }
    }
    let is_large = LARGE_BYTES <= stage.result_bytes * n_items;
    (is_last && is_large).then(|| call::likely_zone(cx, request)).flatten()
}

/// Returns the zone that holds most of the results.
fn majority_zone(cx: &Pass<'_>, handles: &[ResultHandle]) -> Option<ZoneId> {
    let mut counts: SortedMap<ZoneId, usize> = SortedMap::new();
    for zone in handles.iter().filter_map(|it| cx.ctx.endpoints.zone_at(it.address)) {
        *counts.get_or_insert_with(zone.clone(), || 0) += 1;
    }
    counts.iter().max_by_key(|(_, count)| **count).map(|(zone, _)| zone.clone())
}
