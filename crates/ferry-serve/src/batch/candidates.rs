//! Which endpoint of a batch pool gets the next call.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{BatchLimits, EndpointId, SortedMap, ZoneId};

use super::{Job, SentCall};
use crate::pass::Pass;
use crate::{CallId, EndpointView, Group};

/// A call waits for a busy endpoint only if it would end within this fraction of the time on a
/// free, slower one.
const BUSY_ADVANTAGE: f64 = 0.8;

/// Smallest slowdown that an endpoint is assumed to have.
pub(super) const MIN_SLOWDOWN: f64 = 0.1;

#[derive(Debug, Clone)]
pub struct Candidate {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub slowdown: f64,
    pub is_free: bool,
    /// Time until it is free.
    pub wait: Duration,
    pub considered: u32,
    pub zone: ZoneId,
    /// Bytes of results that it can still hold.
    pub free_bytes: u64,
}

/// Returns the usable endpoints of a group that take a call, with the time until each is free.
pub fn candidates(
    cx: &Pass<'_>,
    group: &Group,
    limits: &BatchLimits,
    calls: &SortedMap<CallId, SentCall>,
    result_memory: &SortedMap<SocketAddr, u64>,
    has_permit: impl Fn(&str) -> bool,
) -> Vec<Candidate> {
    let members = cx.ctx.endpoints.pool(&group.pool).filter(|it| group.contains(it));
    let may_be_called = |it: &&EndpointView| {
        it.is_usable(cx.now) && (it.rate_limit().is_none() || has_permit(&it.endpoint.id))
    };
    let usable: Vec<_> = members.filter(may_be_called).collect();
    let considered = usable.len() as u32;
    let candidate = |view: &&EndpointView| {
        let own = calls.values().filter(|it| it.endpoint == view.endpoint.id);
        let ends = own.map(|it| it.sent_at + it.expected.mul_f64(view.slowdown.max(1.0))).max();
        Candidate {
            endpoint: view.endpoint.id.clone(),
            address: view.endpoint.address,
            slowdown: view.slowdown,
            is_free: view.outstanding < limits.slots,
            wait: ends.map_or(Duration::ZERO, |it| it.saturating_sub(cx.now)),
            considered,
            zone: view.endpoint.zone.clone(),
            free_bytes: limits
                .result_capacity
                .saturating_sub(result_memory.get(&view.endpoint.address).copied().unwrap_or(0)),
        }
    };
    usable.iter().map(candidate).collect()
}

/// Returns the free endpoint at which a call with `job` ends first, among those that it may use;
/// none if waiting for a busy one is better, or if none has memory for a result.
pub fn best(
    candidates: &[Candidate],
    job: &Job,
    expected: Duration,
    may_use: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let end = |it: &Candidate| {
        it.wait.as_secs_f64() + expected.as_secs_f64() * it.slowdown.max(MIN_SLOWDOWN)
    };
    let usable = || candidates.iter().enumerate().filter(|(_, it)| may_use(it));
    let first = |a: &(usize, &Candidate), b: &(usize, &Candidate)| end(a.1).total_cmp(&end(b.1));
    let has_memory = |it: &Candidate| job.result_bytes <= it.free_bytes;
    let free = usable().filter(|(_, it)| it.is_free && has_memory(it)).min_by(first)?;
    let busy = usable().filter(|(_, it)| !it.is_free).min_by(first);
    let is_worth_waiting = busy.is_some_and(|it| end(it.1) < BUSY_ADVANTAGE * end(free.1));
    (!is_worth_waiting).then_some(free.0)
}
