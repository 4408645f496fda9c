//! The stages of a request: what is submitted when, and to whom.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{ResultHandle, SortedMap, ZoneId};

use super::end::Comeback;
use super::flight::{Flight, Phase, StageState, Submitted};
use super::{call, end, times};
use crate::batch::{Batcher, Job, JobKey, JobOutcome, JobOwner};
use crate::pass::{Pass, free};
use crate::{
    Decision, DecisionKind, Effect, Group, ItemInput, JobSubmission, Metric, PeerMessage, groups,
};

/// Cost of work in another zone than its data, as time.
const FAR_COST: Duration = Duration::from_millis(250);
/// Cost of work in another zone than this instance's, as time.
const HOP_COST: Duration = Duration::from_millis(5);
/// Times that stages of a request may start over.
pub const MAX_REDONE: u32 = 4;

/// Submits the stages whose inputs are there; returns whether the request has ended.
pub fn advance(cx: &mut Pass<'_>, batcher: &mut Batcher, flight: &mut Flight) -> bool {
    if MAX_REDONE < flight.n_redone {
        end::give_up(cx, batcher, flight, Comeback::Soon, "its stages failed too often");
        return true;
    }
    let needed = times::path_time(cx, flight);
    if flight.deadline < cx.now + needed {
        end::give_up(cx, batcher, flight, Comeback::Late, "the rest of its stages takes too long");
        return true;
    }
    for idx in 0..flight.stages.len() {
        let is_ready =
            |after: &usize| matches!(flight.stages.get(*after), Some(StageState::Done { .. }));
        if flight.stages[idx] == StageState::Waiting
            && flight.route.stages[idx].after.iter().all(is_ready)
        {
            submit(cx, batcher, flight, idx);
        }
    }
    false
}

/// Sends jobs again whose gatherer has not answered, to another one if it can do no work; all of
/// those at `lost` if that is given.
pub fn resubmit(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    flight: &mut Flight,
    lost: Option<SocketAddr>,
) {
    for idx in 0..flight.stages.len() {
        let StageState::Submitted(job) = flight.stages[idx].clone() else { continue };
        let is_due = match lost {
            Some(lost) => Some(lost) == job.to,
            None => job.tell_again(&cx.ctx.tuning) <= cx.now,
        };
        if !is_due {
            continue;
        }
        if must_move(cx, &job) {
            cx.count(Metric::BatchersSwitched);
            release(cx, batcher, flight, idx);
            submit(cx, batcher, flight, idx);
        } else if let Some(peer) = job.to {
            let order = order(cx, flight, idx, job.group.clone());
            flight.stages[idx] = StageState::Submitted(Submitted { told: cx.now, ..job });
            let message = PeerMessage::Submit(Box::new(order));
            cx.effects.push(Effect::Send { to: peer, message });
        }
    }
}

/// Notes that a peer gathers the items of a stage.
pub fn on_accepted(flight: &mut Flight, key: &JobKey) {
    let idx = usize::from(key.stage);
    let is_current = flight.job_key(idx) == *key;
    if let Some(StageState::Submitted(job)) = flight.stages.get_mut(idx).filter(|_| is_current) {
        job.is_accepted = true;
    }
}

/// Whether a job must move: its group has no endpoint left, or who gathers it can do no work.
fn must_move(cx: &mut Pass<'_>, job: &Submitted) -> bool {
    let Submitted { to, group, since, .. } = job;
    let (to, since) = (*to, *since);
    if !groups(&cx.ctx.endpoints, &group.pool).contains(group) {
        return true;
    }
    let is_fit = match to {
        Some(to) => cx.ctx.peers.still_works(cx.now, &cx.ctx.tuning, to, since),
        None => true,
    };
    if let Some(to) = to.filter(|_| !is_fit) {
        cx.ctx.peers.suspect(to);
    }
    !is_fit && cx.ctx.batcher(cx.now, group) != to
}

/// Takes the outcome of a stage; returns whether the request has ended.
pub fn on_outcome(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    flight: &mut Flight,
    key: &JobKey,
    outcome: JobOutcome,
) -> bool {
    let idx = usize::from(key.stage);
    let is_open = flight.phase == Phase::Staging
        && *key == flight.job_key(idx)
        && matches!(flight.stages.get(idx), Some(StageState::Submitted(_)));
    if !is_open {
        free_spare(cx, flight, idx, outcome);
        return false;
    }
    match outcome {
        JobOutcome::Done(handles) => {
            cx.log(
                Decision::new(DecisionKind::Stage, "results are there")
                    .with_attempt(&flight.head.attempt)
                    .with_stage(key.stage)
                    .with_budget(flight.deadline.saturating_sub(cx.now)),
            );
            let to = match flight.stages[idx] {
                StageState::Submitted(Submitted { to, .. }) => to,
                StageState::Waiting | StageState::Done { .. } => None,
            };
            flight.stages[idx] = StageState::Done { handles, to, is_held: true };
            release_read(cx, batcher, flight, idx);
        }
        JobOutcome::Gone => redo(cx, batcher, flight, idx, "an input no longer exists"),
        JobOutcome::Failed => redo(cx, batcher, flight, idx, "the stage failed"),
        JobOutcome::Late => {
            let reason = "its stages would get their turn too late";
            end::give_up(cx, batcher, flight, Comeback::Late, reason);
            return true;
        }
    }
    false
}

/// Gives up what a stage has made or is making, at the instance that gathers it.
pub fn release(cx: &mut Pass<'_>, batcher: &mut Batcher, flight: &mut Flight, idx: usize) {
    let key = flight.job_key(idx);
    let to = match &mut flight.stages[idx] {
        StageState::Done { to, is_held, .. } if *is_held => {
            *is_held = false;
            *to
        }
        StageState::Submitted(job) => job.to,
        StageState::Done { .. } | StageState::Waiting => return,
    };
    match to {
        Some(to) => cx.effects.push(Effect::Send { to, message: PeerMessage::Withdraw(key) }),
        None => batcher.withdraw(cx, &key),
    }
}

/// Gives up the results of the stages before one that is done, once nothing else reads them.
fn release_read(cx: &mut Pass<'_>, batcher: &mut Batcher, flight: &mut Flight, done: usize) {
    for before in flight.route.stages[done].after.clone() {
        let route = flight.route.clone();
        let mut readers = route.stages.iter().enumerate().filter(|it| it.1.after.contains(&before));
        let is_read = readers.all(|(idx, _)| matches!(flight.stages[idx], StageState::Done { .. }));
        if is_read {
            release(cx, batcher, flight, before);
        }
    }
}

/// Makes a stage, and those that it reads, start over.
pub fn redo(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    flight: &mut Flight,
    idx: usize,
    reason: &str,
) {
    cx.log(
        Decision::new(DecisionKind::Retry, reason)
            .with_attempt(&flight.head.attempt)
            .with_stage(idx as u8),
    );
    let mut again = vec![idx];
    while let Some(idx) = again.pop() {
        let had_items = flight.head.items.get(idx).is_some_and(|it| 0 < *it);
        if !had_items {
            continue;
        }
        release(cx, batcher, flight, idx);
        flight.restarts[idx] = flight.restarts[idx].wrapping_add(1);
        flight.stages[idx] = StageState::Waiting;
        again.extend(flight.route.stages[idx].after.iter().filter(|it| **it < idx));
    }
    flight.n_redone += 1;
}

/// Frees results of a request that is not in progress.
pub fn free_unknown(cx: &mut Pass<'_>, outcome: JobOutcome) {
    match outcome {
        JobOutcome::Done(handles) => free(cx, handles),
        JobOutcome::Gone | JobOutcome::Failed | JobOutcome::Late => (),
    }
}

/// Returns the results that an endpoint reads.
pub fn inputs(flight: &Flight) -> Vec<ResultHandle> {
    last_stages(flight).flat_map(|it| results(flight, it)).collect()
}

/// Returns the stages that no other stage follows.
pub fn last_stages(flight: &Flight) -> impl Iterator<Item = usize> {
    let is_last = |idx: &usize| flight.route.stages.iter().all(|it| !it.after.contains(idx));
    (0..flight.stages.len()).filter(is_last)
}

fn submit(cx: &mut Pass<'_>, batcher: &mut Batcher, flight: &mut Flight, idx: usize) {
    let Some(group) = pick_group(cx, batcher, flight, idx) else {
        // The pool has no endpoint at the moment; the stage waits for one to come back.
        flight.stages[idx] = StageState::Waiting;
        return;
    };
    let to = cx.ctx.batcher(cx.now, &group);
    let order = order(cx, flight, idx, group.clone());
    let job = Submitted { to, group, since: cx.now, told: cx.now, is_accepted: false };
    flight.stages[idx] = StageState::Submitted(job);
    match to {
        Some(to) => {
            let message = PeerMessage::Submit(Box::new(order));
            cx.effects.push(Effect::Send { to, message });
        }
        None => {
            let (key, job) = Job::from_submit(JobOwner::Local, order, cx.now);
            batcher.submit(cx, key, job);
        }
    }
}

/// Returns the group of a stage's pool that is likely to be first, with its data near.
fn pick_group(cx: &Pass<'_>, batcher: &Batcher, flight: &Flight, idx: usize) -> Option<Group> {
    let mut groups = groups(&cx.ctx.endpoints, &flight.route.stages[idx].pool);
    if groups.len() < 2 {
        return groups.pop();
    }
    let input = input(flight, idx);
    let best = best_zone(cx, flight, idx, &input);
    let cost = |it: &Group| {
        let away = match &best {
            Some(zone) if it.zone.as_ref() != Some(zone) => FAR_COST,
            None if it.zone.as_ref() != Some(&cx.ctx.identity.zone) => HOP_COST,
            Some(_) | None => Duration::ZERO,
        };
        away + backlog(cx, batcher, it)
    };
    groups.into_iter().min_by_key(cost)
}

/// Returns the expected wait for items of a group, as the instance that gathers them tells it.
pub fn backlog(cx: &Pass<'_>, batcher: &Batcher, group: &Group) -> Duration {
    let Some(peer) = cx.ctx.batcher(cx.now, group) else {
        return batcher.wait(cx.now, cx.ctx, group).unwrap_or_default();
    };
    let Some(view) = cx.ctx.peers.get(peer) else { return Duration::ZERO };
    let told = view.heartbeat.backlog.iter().find(|it| it.group == *group);
    told.map_or(Duration::ZERO, |it| it.wait)
}

fn input(flight: &Flight, idx: usize) -> ItemInput {
    let after = &flight.route.stages[idx].after;
    match after.is_empty() {
        true => ItemInput::Key(flight.head.item_key.clone()),
        false => ItemInput::Results(after.iter().flat_map(|it| results(flight, *it)).collect()),
    }
}

fn order(cx: &Pass<'_>, flight: &Flight, idx: usize, group: Group) -> JobSubmission {
    let input = input(flight, idx);
    let rest = times::rest_time(cx, flight, idx);
    let zone = best_zone(cx, flight, idx, &input);
    JobSubmission {
        key: flight.job_key(idx),
        group,
        n_items: flight.head.items.get(idx).copied().unwrap_or_default(),
        result_bytes: flight.route.stages[idx].result_bytes,
        class: flight.class,
        zone,
        input,
        due: flight.objective().saturating_sub(cx.now + rest),
        time_left: times::time_left(cx, flight, idx),
    }
}

/// Returns the results of a stage; those of the stages before it if it has no items.
fn results(flight: &Flight, idx: usize) -> Vec<ResultHandle> {
    match flight.stages.get(idx) {
        Some(StageState::Done { handles, .. }) if !handles.is_empty() => handles.clone(),
        Some(StageState::Done { .. }) => {
            let before = flight.route.stages[idx].after.iter().filter(|it| **it < idx);
            before.flat_map(|it| results(flight, *it)).collect()
        }
        Some(StageState::Waiting | StageState::Submitted(_)) | None => Vec::new(),
    }
}

/// Frees results that came twice and are not those in use.
fn free_spare(cx: &mut Pass<'_>, flight: &Flight, idx: usize, outcome: JobOutcome) {
    let JobOutcome::Done(handles) = outcome else { return };
    let used = match flight.stages.get(idx) {
        Some(StageState::Done { handles, .. }) => handles.as_slice(),
        Some(StageState::Waiting | StageState::Submitted(_)) | None => &[],
    };
    let spare = handles.into_iter().filter(|it| !used.contains(it)).collect();
    free(cx, spare);
}

/// Bytes that must cross zones for it to matter where the items of a stage are worked on.
const MANY_BYTES: u64 = 1_000_000;

/// Returns the zone in which a stage is best worked on: that of its inputs if they are large, else
/// that of the endpoint which will read its results if those are.
fn best_zone(cx: &Pass<'_>, flight: &Flight, idx: usize, input: &ItemInput) -> Option<ZoneId> {
    let stage = &flight.route.stages[idx];
    let n_items = u64::from(flight.head.items.get(idx).copied().unwrap_or_default());
    let is_last = flight.route.stages.iter().all(|it| !it.after.contains(&idx));
    if let ItemInput::Results(handles) = input {
        let bytes: u64 = stage.after.iter().map(|it| flight.route.stages[*it].result_bytes).sum();
        // Each item reads all results.
        if MANY_BYTES <= bytes * handles.len() as u64 * n_items {
            return main_zone(cx, handles);
        }
    }
    let is_large = MANY_BYTES <= stage.result_bytes * n_items;
    (is_last && is_large).then(|| call::home_zone(cx, flight)).flatten()
}

/// Returns the zone in which most of the results lie.
fn main_zone(cx: &Pass<'_>, handles: &[ResultHandle]) -> Option<ZoneId> {
    let mut counts: SortedMap<ZoneId, usize> = SortedMap::new();
    for zone in handles.iter().filter_map(|it| cx.ctx.endpoints.zone_at(it.address)) {
        *counts.get_or_insert_with(zone.clone(), || 0) += 1;
    }
    counts.iter().max_by_key(|(_, count)| **count).map(|(zone, _)| zone.clone())
}
