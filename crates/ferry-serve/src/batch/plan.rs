//! Which items go into the next call, and to which endpoint.
//!
//! Answers two loads: a burst above what the endpoints can do, where serving strictly by due time
//! makes every request a little late, and a calm day, where results that cross zones cost most.

use std::time::Duration;

use ferry_model::{BatchLimits, Moment};

use super::{Job, JobKey, Lane, TRANSIT, call_time, lanes};

/// Time by which each lower class stands back.
const CLASS_STEP: Duration = Duration::from_millis(1000);
/// Calls that must still fit before an item is due for it to wait for an endpoint in its zone.
const NEAR_CALLS: f64 = 2.0;
/// Calls that must still fit before its time is over for a late item to wait for such an endpoint.
const LATE_NEAR_CALLS: f64 = 4.0;

/// One call to come.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Position of the endpoint.
    pub lane: usize,
    pub items: Vec<(JobKey, u16)>,
}

/// Returns the next call, if an endpoint is free that suits any of the waiting jobs.
pub fn next(
    now: Moment,
    waiting: &[(&JobKey, &Job)],
    lanes: &[Lane],
    limits: &BatchLimits,
) -> Option<Plan> {
    let full = full_call(limits);
    let mut waiting = waiting.to_vec();
    waiting.sort_by_key(|(_, it)| rank(now, it, full));
    let allowed = |lane: &Lane, job: &Job| may_use(now, lane, lanes, job, full);
    for (_, job) in &waiting {
        let expected = call_time(limits, job.pending.len().min(limits.max_items));
        let Some(lane) = lanes::best(lanes, job, expected, |it| allowed(it, job)) else { continue };
        let suited = waiting.iter().copied().filter(|(_, it)| allowed(&lanes[lane], it));
        let items = fill(suited, lanes[lane].room, limits.max_items);
        if !items.is_empty() {
            return Some(Plan { lane, items });
        }
    }
    None
}

/// Returns the jobs whose turn comes too late, given what stands before them.
pub fn hopeless(
    now: Moment,
    waiting: &[(&JobKey, &Job)],
    n_lanes: usize,
    limits: &BatchLimits,
) -> Vec<JobKey> {
    let full = full_call(limits);
    let mut waiting = waiting.to_vec();
    waiting.sort_by_key(|(_, it)| rank(now, it, full));
    let mut n_before = 0;
    let mut late = Vec::new();
    for (key, job) in waiting {
        let n_rounds = n_before / (limits.max_items * n_lanes).max(1);
        // The first round may start at any moment, and is never given up here.
        let start = now + full * n_rounds as u32;
        if 0 < n_rounds && job.deadline < start + limits.call_time {
            late.push(key.clone());
        } else {
            n_before += job.pending.len();
        }
    }
    late
}

/// Orders jobs: those that can still be in time first, then by when they are due and by class.
fn rank(now: Moment, job: &Job, full: Duration) -> (bool, Moment) {
    let is_late = job.is_late(now, full);
    (is_late, job.due + CLASS_STEP * u32::from(job.class))
}

/// Returns the time of a full call, with what it takes to be heard of.
pub(crate) fn full_call(limits: &BatchLimits) -> Duration {
    call_time(limits, limits.max_items) + TRANSIT
}

/// Whether a job may go to an endpoint: those in the zone of its results, or any if time is short.
fn may_use(now: Moment, lane: &Lane, lanes: &[Lane], job: &Job, full: Duration) -> bool {
    let Some(zone) = &job.zone else { return true };
    if *zone == lane.zone || lanes.iter().all(|it| it.zone != *zone) {
        return true;
    }
    let is_late = job.is_late(now, full);
    match is_late {
        false => job.due < now + full.mul_f64(NEAR_CALLS),
        true => job.deadline < now + full.mul_f64(LATE_NEAR_CALLS),
    }
}

/// Fills a call; a job is not torn apart once half of the call is full.
fn fill<'a>(
    jobs: impl Iterator<Item = (&'a JobKey, &'a Job)>,
    room: u64,
    n_most: usize,
) -> Vec<(JobKey, u16)> {
    let mut room = room;
    let mut items = Vec::new();
    for (key, job) in jobs {
        let n_left = n_most - items.len();
        if n_left == 0 {
            break;
        }
        if n_left < job.pending.len() && n_most <= 2 * items.len() {
            continue;
        }
        for item in job.pending.iter().take(n_left) {
            if room < job.result_bytes {
                break;
            }
            room -= job.result_bytes;
            items.push((key.clone(), *item));
        }
    }
    items
}
