//! Permits for calls with items to endpoints that limit their requests.

use std::time::Duration;

use ferry_model::{EndpointId, Moment, SortedMap};

use super::Batcher;
use crate::limits::exchange::{self, Asked};
use crate::pass::Pass;
use crate::request::permit::{ANSWER_TIMEOUT, MAX_SILENCE, PERMIT_TTL, RETRY_PAUSE};
use crate::{Asker, Group, PermitAnswer, PermitId};

/// Longest time to wait for a permit, after which the items may go elsewhere.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Class of calls with items among the requests for permits.
const CLASS: u8 = 0;

#[derive(Debug, Clone)]
struct Awaited {
    id: PermitId,
    group: Group,
    limiter: Asker,
    n_asks: u8,
    asked_at: Moment,
    /// When it is asked for again.
    until: Moment,
    n_silent: u8,
}

/// The permits of a batcher, at most one for each endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct BatchPermits {
    awaited: SortedMap<EndpointId, Awaited>,
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
        self.awaited.values().map(|it| it.until).min()
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
            let awaited = Awaited {
                id: cx.next_permit(),
                group: group.clone(),
                limiter: Asker::This,
                n_asks: 0,
                asked_at: now,
                until: now,
                n_silent: 0,
            };
            self.ask(cx, endpoint.clone(), awaited);
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
        let found = self.permits.awaited.iter().find(|it| it.1.id == id);
        let Some((endpoint, awaited)) = found.map(|it| (it.0.clone(), it.1.clone())) else {
            return;
        };
        if n_asks.is_some_and(|it| it != awaited.n_asks) {
            return;
        }
        self.permits.awaited.remove(&endpoint);
        let group = awaited.group.clone();
        self.apply(cx, endpoint, awaited, answer);
        self.dispatch(cx, &group);
    }

    /// Asks again for permits of which nothing was heard, and forgets those that expired.
    pub(super) fn renew_permits(&mut self, cx: &mut Pass<'_>) {
        let now = cx.now;
        self.permits.granted.retain(|_, expires| now < *expires);
        let due = self.permits.awaited.iter().filter(|it| it.1.until <= now);
        let due: Vec<EndpointId> = due.map(|it| it.0.clone()).collect();
        for endpoint in due {
            let Some(mut awaited) = self.permits.awaited.remove(&endpoint) else { continue };
            if self.waiting(&awaited.group).is_empty() {
                exchange::withdraw(cx, &endpoint, awaited.limiter, awaited.id);
                continue;
            }
            awaited.n_silent += 1;
            if let Asker::Peer(limiter) = awaited.limiter
                && MAX_SILENCE <= awaited.n_silent
            {
                awaited.n_silent = 0;
                exchange::on_silence(cx, limiter);
            }
            self.ask(cx, endpoint, awaited);
        }
    }

    fn ask(&mut self, cx: &mut Pass<'_>, endpoint: EndpointId, mut awaited: Awaited) {
        awaited.n_asks = awaited.n_asks.wrapping_add(1);
        awaited.asked_at = cx.now;
        let key = (awaited.id, awaited.n_asks);
        match exchange::ask(cx, &endpoint, key, CLASS, MAX_WAIT) {
            // The endpoint has no limit any longer.
            None => (),
            Some(Asked::Here(answer)) => {
                awaited.limiter = Asker::This;
                self.apply(cx, endpoint, awaited, &answer);
            }
            Some(Asked::Peer(to)) => {
                awaited.limiter = Asker::Peer(to);
                awaited.until = cx.now + ANSWER_TIMEOUT;
                self.permits.awaited.insert(endpoint, awaited);
            }
        }
    }

    fn apply(
        &mut self,
        cx: &mut Pass<'_>,
        endpoint: EndpointId,
        mut awaited: Awaited,
        answer: &PermitAnswer,
    ) {
        let defer = |cx: &mut Pass<'_>, wait, pause| {
            if let Some(view) = cx.ctx.endpoints.get_mut(&endpoint) {
                view.defer_permits(cx.now, wait, pause);
            }
        };
        match answer {
            PermitAnswer::Granted { waited } => {
                let age = (cx.now - awaited.asked_at).saturating_sub(*waited);
                if age <= PERMIT_TTL {
                    self.permits.granted.insert(endpoint, cx.now + PERMIT_TTL);
                }
            }
            PermitAnswer::Queued { wait } => {
                awaited.n_silent = 0;
                awaited.until = cx.now.saturating_add(*wait * 2).saturating_add(ANSWER_TIMEOUT);
                self.permits.awaited.insert(endpoint, awaited);
            }
            PermitAnswer::Denied { wait, pause } => defer(cx, *wait, *pause),
            PermitAnswer::Elsewhere => {
                if let Asker::Peer(limiter) = awaited.limiter {
                    exchange::on_elsewhere(cx, limiter);
                }
                defer(cx, RETRY_PAUSE, RETRY_PAUSE);
            }
            PermitAnswer::NotNeeded(notice) => {
                if let Some(notice) = notice {
                    exchange::on_notice(cx, notice);
                }
            }
        }
    }
}
