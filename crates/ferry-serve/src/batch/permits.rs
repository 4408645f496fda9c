//! Permits for calls with items to endpoints that limit their requests.

use std::time::Duration;

use ferry_model::{EndpointId, Moment, SortedMap};

use super::Batcher;
use crate::limits::{Asked, AwaitedPermit, PERMIT_TTL, exchange};
use crate::pass::Pass;
use crate::request::permit::RETRY_PAUSE;
use crate::{Group, PermitAnswer, PermitId};

/// Longest time to wait for a permit, after which the items may go elsewhere.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Class of calls with items among the requests for permits.
const CLASS: u8 = 0;

/// A batch's wait for a permit.
#[derive(Debug, Clone)]
struct PermitWait {
    permit: AwaitedPermit,
    group: Group,
}

/// The permits of a batcher, at most one for each endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct BatchPermits {
    awaited: SortedMap<EndpointId, PermitWait>,
    /// When each permit that was granted expires.
    granted: SortedMap<EndpointId, Moment>,
}

impl BatchPermits {
    /// Whether an endpoint may get a call now.
    pub(super) fn is_granted(&self, now: Moment, endpoint: &str) -> bool {
        self.granted.get(endpoint).is_some_and(|it| now < *it)
    }

    /// Records that a call uses the permit for an endpoint.
    pub(super) fn spend(&mut self, endpoint: &str) {
        self.granted.remove(endpoint);
    }

    pub(super) fn next_wake(&self) -> Option<Moment> {
        self.awaited.values().map(|it| it.permit.until).min()
    }
}

impl Batcher {
    /// Asks for permits for the endpoints of a group that limit their requests; returns whether one
    /// may get a call now.
    pub(super) fn want_permits(&mut self, cx: &mut Pass<'_>, group: &Group, slots: u32) -> bool {
        let (now, permits) = (cx.now, &self.permits);
        let members = cx.ctx.endpoints.pool(&group.pool).filter(|it| group.contains(it));
        let wanted = members.filter(|it| {
            it.rate_limit().is_some()
                && it.is_usable(now)
                && it.outstanding < slots
                && it.may_have_permit(now)
                && !permits.awaited.contains_key(&it.endpoint.id)
                && !permits.is_granted(now, &it.endpoint.id)
        });
        let wanted: Vec<EndpointId> = wanted.map(|it| it.endpoint.id.clone()).collect();
        let mut is_ready = false;
        for endpoint in wanted {
            let permit = AwaitedPermit::new(now, cx.next_permit());
            let wait = PermitWait { permit, group: group.clone() };
            self.ask(cx, endpoint.clone(), wait);
            let view = cx.ctx.endpoints.get(&endpoint);
            let is_unlimited = view.is_some_and(|it| it.rate_limit().is_none());
            is_ready |= is_unlimited || self.permits.is_granted(now, &endpoint);
        }
        is_ready
    }

    /// Applies the answer of a limiter.
    pub fn on_permit(
        &mut self,
        cx: &mut Pass<'_>,
        id: PermitId,
        n_asks: Option<u8>,
        answer: &PermitAnswer,
    ) {
        let found = self.permits.awaited.iter().find(|it| it.1.permit.id == id);
        let Some((endpoint, wait)) = found.map(|it| (it.0.clone(), it.1.clone())) else { return };
        if !wait.permit.is_answered(n_asks) {
            return;
        }
        self.permits.awaited.remove(&endpoint);
        let group = wait.group.clone();
        self.apply(cx, endpoint, wait, answer);
        self.dispatch(cx, &group);
    }

    /// Asks again for permits of which nothing was heard, and forgets those that expired.
    pub(super) fn renew_permits(&mut self, cx: &mut Pass<'_>) {
        let now = cx.now;
        self.permits.granted.retain(|_, expires| now < *expires);
        let due = self.permits.awaited.iter().filter(|it| it.1.permit.until <= now);
        let due: Vec<EndpointId> = due.map(|it| it.0.clone()).collect();
        for endpoint in due {
            let Some(mut wait) = self.permits.awaited.remove(&endpoint) else { continue };
            if self.waiting(&wait.group).is_empty() {
                wait.permit.withdraw(cx, &endpoint);
                continue;
            }
            wait.permit.on_silence(cx);
            self.ask(cx, endpoint, wait);
        }
    }

    fn ask(&mut self, cx: &mut Pass<'_>, endpoint: EndpointId, mut wait: PermitWait) {
        match wait.permit.ask(cx, &endpoint, CLASS, MAX_WAIT) {
            Asked::NotNeeded => (),
            Asked::Answered(answer) => self.apply(cx, endpoint, wait, &answer),
            Asked::Waits => {
                self.permits.awaited.insert(endpoint, wait);
            }
        }
    }

    fn apply(
        &mut self,
        cx: &mut Pass<'_>,
        endpoint: EndpointId,
        mut wait: PermitWait,
        answer: &PermitAnswer,
    ) {
        let defer = |cx: &mut Pass<'_>, wait, pause| {
            if let Some(view) = cx.ctx.endpoints.get_mut(&endpoint) {
                view.defer_permits(cx.now, wait, pause);
            }
        };
        match answer {
            PermitAnswer::Granted { waited } => {
                if wait.permit.is_fresh(cx.now, *waited) {
                    self.permits.granted.insert(endpoint, cx.now + PERMIT_TTL);
                }
            }
            PermitAnswer::Queued { wait: expected } => {
                wait.permit.on_queued(cx.now, *expected);
                self.permits.awaited.insert(endpoint, wait);
            }
            PermitAnswer::Denied { wait, pause } => defer(cx, *wait, *pause),
            PermitAnswer::Elsewhere => {
                wait.permit.on_elsewhere(cx);
                defer(cx, RETRY_PAUSE, RETRY_PAUSE);
            }
            PermitAnswer::NotNeeded(notice) => {
                exchange::on_notice(cx, notice);
                // The limiter may not know that the endpoint is cold.
                defer(cx, RETRY_PAUSE, RETRY_PAUSE);
            }
        }
    }
}
