//! Which items go into the next call, and to which endpoint.
//!
//! Answers two loads: a burst above what the endpoints can do, where serving strictly by due time
//! makes every request a little late, and a calm day, where results that cross zones cost most.

use std::time::Duration;

use ferry_model::{BatchLimits, Moment};

use super::{Candidate, Job, JobKey, TRANSIT_TIME, call_time, candidates};

/// Time by which each lower class stands back.
const CLASS_PENALTY: Duration = Duration::from_millis(1000);
/// Calls that must still fit before an item is due for it to wait for an endpoint in its zone.
const ZONE_WAIT_CALLS: f64 = 2.0;
/// Calls that must still fit before its time is over for a late item to wait for such an endpoint.
const LATE_ZONE_WAIT_CALLS: f64 = 4.0;

/// One call to come.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Position of the endpoint.
    pub candidate: usize,
    pub items: Vec<(JobKey, u16)>,
}

/// Returns the next call, if an endpoint is free that suits any of the waiting jobs.
pub fn next(
    now: Moment,
    waiting: &[(&JobKey, &Job)],
    candidates: &[Candidate],
    limits: &BatchLimits,
) -> Option<Plan> {
    let full = full_call(limits);
    let mut waiting = waiting.to_vec();
    waiting.sort_by_key(|(_, it)| rank(now, it, full));
    let allowed = |candidate: &Candidate, job: &Job| may_use(now, candidate, candidates, job, full);
    for (_, job) in &waiting {
        let expected = call_time(limits, job.pending.len().min(limits.max_items));
        let Some(candidate) = candidates::best(candidates, job, expected, |it| allowed(it, job))
        else {
            continue;
        };
        let suited = waiting.iter().copied().filter(|(_, it)| allowed(&candidates[candidate], it));
        let items = fill(suited, candidates[candidate].free_bytes, limits.max_items);
        if !items.is_empty() {
            return Some(Plan { candidate, items });
        }
    }
    None
}

/// Returns the jobs whose turn comes too late, given what stands before them.
pub fn too_late(
    now: Moment,
    waiting: &[(&JobKey, &Job)],
    n_endpoints: usize,
    limits: &BatchLimits,
) -> Vec<JobKey> {
    let full = full_call(limits);
    let mut waiting = waiting.to_vec();
    waiting.sort_by_key(|(_, it)| rank(now, it, full));
    let mut n_before = 0;
    let mut late = Vec::new();
    for (key, job) in waiting {
        let n_rounds = n_before / (limits.max_items * n_endpoints).max(1);
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
    (is_late, job.due + CLASS_PENALTY * u32::from(job.class))
}

/// Returns the time of a full call, with what it takes to be heard of.
pub(crate) fn full_call(limits: &BatchLimits) -> Duration {
    call_time(limits, limits.max_items) + TRANSIT_TIME
}

/// Whether a job may go to an endpoint: those in the zone of its results, or any if time is short.
fn may_use(
    now: Moment,
    candidate: &Candidate,
    candidates: &[Candidate],
    job: &Job,
    full: Duration,
) -> bool {
    let Some(zone) = &job.zone else { return true };
    if *zone == candidate.zone || candidates.iter().all(|it| it.zone != *zone) {
        return true;
    }
    let is_late = job.is_late(now, full);
    match is_late {
        false => job.due < now + full.mul_f64(ZONE_WAIT_CALLS),
        true => job.deadline < now + full.mul_f64(LATE_ZONE_WAIT_CALLS),
    }
}

/// Fills a call; a job is not torn apart once half of the call is full.
fn fill<'a>(
    jobs: impl Iterator<Item = (&'a JobKey, &'a Job)>,
    free_bytes: u64,
    max_items: usize,
) -> Vec<(JobKey, u16)> {
    let mut free_bytes = free_bytes;
    let mut items = Vec::new();
    for (key, job) in jobs {
        let n_left = max_items - items.len();
        if n_left == 0 {
            break;
        }
        if n_left < job.pending.len() && max_items <= 2 * items.len() {
            continue;
        }
        for item in job.pending.iter().take(n_left) {
            if free_bytes < job.result_bytes {
                break;
            }
            free_bytes -= job.result_bytes;
            items.push((key.clone(), *item));
        }
    }
    items
}
