//! Which items go into the next call, and to which endpoint.
//!
//! Serving strictly by due time would make every request a little late in a burst above the
//! capacity of the endpoints. Under light load, results that cross zones cost most.

use std::time::Duration;

use ferry_model::{BatchLimits, Moment};

use super::{Candidate, Job, JobKey, TRANSIT_TIME, call_time, candidates};

/// Delay added to the due time of a job for each class below the first.
const CLASS_PENALTY: Duration = Duration::from_millis(1000);
/// Full calls that must still fit before an item's due time for it to wait for an endpoint in its
/// zone.
const ZONE_WAIT_CALLS: f64 = 2.0;
/// Full calls that must still fit before the deadline of a late item for it to wait for one.
const LATE_ZONE_WAIT_CALLS: f64 = 4.0;

/// The next call.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Index of the endpoint.
    pub candidate: usize,
    pub items: Vec<(JobKey, u16)>,
}

/// Returns the next call, if there is a free endpoint that any of the waiting jobs may use.
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

/// Returns the jobs that would be served too late, given the jobs before them.
pub fn too_late(
    now: Moment,
    start: Moment,
    waiting: &[(&JobKey, &Job)],
    n_endpoints: f64,
    limits: &BatchLimits,
) -> Vec<JobKey> {
    let full = full_call(limits);
    let mut waiting = waiting.to_vec();
    waiting.sort_by_key(|(_, it)| rank(now, it, full));
    let mut n_before = 0;
    let mut late = Vec::new();
    for (key, job) in waiting {
        let n_rounds = n_before / ((limits.max_items as f64 * n_endpoints) as usize).max(1);
        // The first round may start at any moment, so it is never dropped unless all endpoints pause.
        let is_known = 0 < n_rounds || now < start;
        let start = start + full * n_rounds as u32;
        if is_known && job.deadline < start + limits.call_time {
            late.push(key.clone());
        } else {
            n_before += job.pending.len();
        }
    }
    late
}

/// Orders jobs: those that can still be in time first, then by due time and class.
fn rank(now: Moment, job: &Job, full: Duration) -> (bool, Moment) {
    let is_late = job.is_late(now, full);
    (is_late, job.due + CLASS_PENALTY * u32::from(job.class))
}

/// Returns the time of a full call until its results are known.
pub(crate) fn full_call(limits: &BatchLimits) -> Duration {
    call_time(limits, limits.max_items) + TRANSIT_TIME
}

/// Whether a job may go to an endpoint: one in the zone that it prefers, or any if time is short.
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

/// Fills a call; a job is not split once half of the call is full.
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
