//! Endpoints that are cold: for some seconds they take few requests, and crash of more.
//!
//! The rate holds for all instances together, so that a cold endpoint counts as one that limits its
//! requests, and each needs a permit; docs/design/load.md weighs that.

use std::time::Duration;

use ferry_model::{EndpointId, GatewayPool, Moment, PoolId, SortedMap, ZoneId};

use super::{EndpointNotice, EndpointView, Endpoints, RequestRate, Restriction};
use crate::Tuning;
use crate::limits::{BURST_TIME, PERMIT_TTL};

/// Longest time for which an endpoint is cold; a longer one counts as this.
const MAX_COLD_TIME: Duration = Duration::from_secs(60);
/// Fraction of the rate of a cold endpoint that is used even if no slack is left for bursts.
const MIN_FRACTION: f64 = 0.5;

/// What the cold endpoints of a pool take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ColdPace {
    /// Time for which an endpoint is cold after its start.
    time: Duration,
    rate: RequestRate,
}

impl ColdPace {
    /// Returns the pace of a pool; none if its endpoints are never cold.
    ///
    /// A second may have the requests whose permits were granted in it, those whose permits were granted
    /// just before, and a burst of permits granted at once. The rate keeps all of them within what the
    /// platform allows.
    fn new(pool: &GatewayPool, tuning: &Tuning) -> Option<ColdPace> {
        let limit = pool.cold.as_ref()?;
        let steady = limit.per_second * tuning.cold_factor;
        let most = steady + tuning.cold_slack;
        let seconds = 1.0 + PERMIT_TTL.as_secs_f64();
        let burst = BURST_TIME.as_secs_f64();
        // A burst has one permit at least.
        let safe = (most / (seconds + burst)).min((most - 1.0) / seconds);
        let rate = RequestRate::new(steady.min(safe.max(limit.per_second * MIN_FRACTION)))?;
        Some(ColdPace { time: limit.time, rate })
    }
}

/// Until when an endpoint is cold.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Cold {
    /// By its own account.
    said_until: Moment,
    /// By what usually happens to it, before it has said anything.
    presumed_until: Moment,
    /// By notices of peers. Notices to others leave it out: each message takes time, by which
    /// instances would put off the end for each other.
    notified_until: Moment,
    since: Moment,
    /// Requests that it takes; none if it is warm.
    pub(super) rate: Option<RequestRate>,
    /// Calls that this instance has sent it meanwhile.
    n_sent: u32,
}

impl Cold {
    fn until(&self) -> Moment {
        self.own_until().max(self.notified_until)
    }

    fn own_until(&self) -> Moment {
        self.said_until.max(self.presumed_until)
    }
}

/// An endpoint that has become cold, or warm again.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdChange {
    pub endpoint: EndpointId,
    /// The rate that it takes, and for how long; none if it is warm again.
    pub cold: Option<(RequestRate, Duration)>,
    /// Calls that this instance has sent it while it was cold.
    pub n_sent: u32,
}

impl EndpointView {
    pub fn is_cold(&self) -> bool {
        self.cold.rate.is_some()
    }

    /// Returns since when it is cold, if it is.
    pub(super) fn cold_since(&self) -> Option<Moment> {
        self.cold.rate.map(|_| self.cold.since)
    }

    /// Returns the rate that it takes because it is cold, and for how much longer.
    pub fn cold_limit(&self, now: Moment) -> Option<(RequestRate, Duration)> {
        self.cold.rate.map(|rate| (rate, self.cold.until().saturating_sub(now)))
    }

    pub(super) fn count_cold(&mut self) {
        self.cold.n_sent += u32::from(self.cold.rate.is_some());
    }

    /// Applies the pace of its pool; returns whether that makes it cold.
    fn refresh_cold(&mut self, now: Moment, pace: Option<ColdPace>) -> bool {
        let was_cold = self.is_cold();
        self.cold.rate = pace.filter(|_| now < self.cold.until()).map(|it| it.rate);
        let has_begun = self.is_cold() && !was_cold;
        if has_begun {
            self.cold.since = now;
            self.cold.n_sent = 0;
            self.defer_permits(now, Duration::ZERO, Duration::ZERO);
        }
        has_begun
    }
}

impl Endpoints {
    /// Applies the paces of a configuration, or of other settings.
    pub fn set_paces<'a>(
        &mut self,
        now: Moment,
        pools: impl Iterator<Item = (&'a PoolId, &'a GatewayPool)>,
        tuning: &Tuning,
    ) {
        let pace = |(id, pool): (&PoolId, &GatewayPool)| {
            ColdPace::new(pool, tuning).map(|it| (id.clone(), it))
        };
        self.paces = pools.filter_map(pace).collect::<SortedMap<_, _>>();
        let ids: Vec<EndpointId> = self.views.keys().cloned().collect();
        ids.iter().for_each(|it| self.refresh(now, it));
    }

    /// Applies that an endpoint says for how much longer it is cold.
    pub fn record_cold(&mut self, now: Moment, id: &str, started: u64, left: Duration) {
        if let Some(view) = self.views.get_mut(id).filter(|it| it.endpoint.started == started) {
            view.cold.said_until = now + left.min(MAX_COLD_TIME);
            view.cold.notified_until = Moment::ZERO;
            self.refresh(now, id);
        }
    }

    /// Applies the notice of a peer; returns whether the endpoint was not cold here.
    pub(super) fn extend_cold(
        &mut self,
        now: Moment,
        id: &str,
        started: u64,
        left: Duration,
    ) -> bool {
        let view = self.views.get_mut(id).filter(|it| it.endpoint.started == started);
        let Some(view) = view else { return false };
        let was_cold = view.is_cold();
        view.cold.notified_until = view.cold.notified_until.max(now + left.min(MAX_COLD_TIME));
        self.refresh(now, id);
        !was_cold && self.get(id).is_some_and(EndpointView::is_cold)
    }

    /// Takes an endpoint for cold whose entry may not say so yet: a start that has just come, or one
    /// in a zone that was evacuated.
    pub(super) fn presume_cold(&mut self, now: Moment, id: &str) {
        let Some(view) = self.views.get_mut(id) else { return };
        let Some(pace) = self.paces.get(&view.endpoint.pool) else { return };
        view.cold.presumed_until = now + pace.time.min(MAX_COLD_TIME);
        self.refresh(now, id);
    }

    /// Records that an endpoint was cold before this instance began: another one may grant its permits.
    pub(super) fn mark_cold_before(&mut self, id: &str) {
        if let Some(view) = self.views.get_mut(id) {
            view.cold.since = Moment::ZERO;
        }
    }

    /// Takes the endpoints of a zone for cold.
    pub(super) fn presume_zone_cold(&mut self, now: Moment, zone: &ZoneId) {
        let inside = self.views.values().filter(|it| it.endpoint.zone == *zone);
        let ids: Vec<EndpointId> = inside.map(|it| it.endpoint.id.clone()).collect();
        ids.iter().for_each(|it| self.presume_cold(now, it));
    }

    /// Ends what is over.
    pub(super) fn expire_cold(&mut self, now: Moment) {
        if self.paces.is_empty() {
            return;
        }
        let is_over = |it: &&EndpointView| it.is_cold() && it.cold.until() <= now;
        let over = self.views.values().filter(is_over);
        let ids: Vec<EndpointId> = over.map(|it| it.endpoint.id.clone()).collect();
        ids.iter().for_each(|it| self.refresh(now, it));
    }

    /// Returns when an endpoint is warm again.
    pub(super) fn next_warm(&self) -> Option<Moment> {
        if self.paces.is_empty() {
            return None;
        }
        let cold = self.views.values().filter(|it| it.is_cold());
        cold.map(|it| it.cold.until()).min()
    }

    /// Returns the endpoints that have become cold or warm since this was called last.
    pub fn take_cold_changes(&mut self) -> Vec<ColdChange> {
        std::mem::take(&mut self.cold_changes)
    }

    /// Counts the endpoints that are cold.
    pub fn n_cold(&self) -> usize {
        self.views.values().filter(|it| it.is_cold()).count()
    }

    /// Returns the notice for the limiter of an endpoint that is cold.
    pub fn cold_notices(&self, now: Moment, id: &str) -> Vec<EndpointNotice> {
        let notice = |it: &EndpointView| {
            let left = it.cold.own_until().saturating_sub(now);
            if !it.is_cold() || left.is_zero() {
                return None;
            }
            let restriction = Restriction::Cold { started: it.endpoint.started, left };
            Some(EndpointNotice { endpoint: id.to_owned(), restriction })
        };
        self.get(id).and_then(notice).into_iter().collect()
    }

    fn refresh(&mut self, now: Moment, id: &str) {
        let Some(view) = self.views.get_mut(id) else { return };
        let was_cold = view.is_cold();
        let pace = self.paces.get(&view.endpoint.pool).copied();
        let has_begun = view.refresh_cold(now, pace);
        if has_begun || was_cold != view.is_cold() {
            let (cold, n_sent) = (view.cold_limit(now), view.cold.n_sent);
            self.cold_changes.push(ColdChange { endpoint: id.to_owned(), cold, n_sent });
        }
    }
}
