//! Which endpoint of a batch pool gets the next call.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{BatchLimits, EndpointId, SortedMap, ZoneId};

use super::{Job, Sent};
use crate::pass::Pass;
use crate::{CallId, Group};

/// Part of the time by which waiting for a busy endpoint must win over a free, slow one.
const WORTH_WAITING: f64 = 0.8;

/// Least part of the expected time that an endpoint is believed to take.
pub(super) const FASTEST: f64 = 0.1;

#[derive(Debug, Clone)]
pub struct Lane {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub slowdown: f64,
    pub is_free: bool,
    /// Time until it is free.
    pub wait: Duration,
    pub considered: u32,
    pub zone: ZoneId,
    /// Bytes of results that it may still take.
    pub room: u64,
}

/// Returns the usable endpoints of a group with the time until each is free.
pub fn lanes(
    cx: &Pass<'_>,
    group: &Group,
    limits: &BatchLimits,
    calls: &SortedMap<CallId, Sent>,
    held: &SortedMap<SocketAddr, u64>,
) -> Vec<Lane> {
    let members = cx.ctx.endpoints.pool(&group.pool).filter(|it| group.contains(it));
    let usable: Vec<_> = members.filter(|it| it.is_usable(cx.now)).collect();
    let considered = usable.len() as u32;
    let lane = |view: &&crate::EndpointView| {
        let own = calls.values().filter(|it| it.endpoint == view.endpoint.id);
        let ends = own.map(|it| it.at + it.expected.mul_f64(view.slowdown.max(1.0))).max();
        Lane {
            endpoint: view.endpoint.id.clone(),
            address: view.endpoint.address,
            slowdown: view.slowdown,
            is_free: view.outstanding < limits.slots,
            wait: ends.map_or(Duration::ZERO, |it| it.saturating_sub(cx.now)),
            considered,
            zone: view.endpoint.zone.clone(),
            room: limits
                .result_capacity
                .saturating_sub(held.get(&view.endpoint.address).copied().unwrap_or(0)),
        }
    };
    usable.iter().map(lane).collect()
}

/// Returns the free endpoint at which a call with `job` ends first, among those that it may use;
/// none if waiting for a busy one is better, or if none has room for a result.
pub fn best(
    lanes: &[Lane],
    job: &Job,
    expected: Duration,
    may_use: impl Fn(&Lane) -> bool,
) -> Option<usize> {
    let end = |it: &Lane| it.wait.as_secs_f64() + expected.as_secs_f64() * it.slowdown.max(FASTEST);
    let usable = || lanes.iter().enumerate().filter(|(_, it)| may_use(it));
    let first = |a: &(usize, &Lane), b: &(usize, &Lane)| end(a.1).total_cmp(&end(b.1));
    let has_room = |it: &Lane| job.result_bytes <= it.room;
    let free = usable().filter(|(_, it)| it.is_free && has_room(it)).min_by(first)?;
    let busy = usable().filter(|(_, it)| !it.is_free).min_by(first);
    let is_worth_waiting = busy.is_some_and(|it| end(it.1) < WORTH_WAITING * end(free.1));
    (!is_worth_waiting).then_some(free.0)
}
