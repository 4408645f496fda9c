//! The endpoints known to this instance, and what it has observed of each.

pub mod endpoint_view;
pub mod groups;
pub mod prefixes;

use std::time::Duration;

use ferry_model::{
    CacheUpdate, Endpoint, EndpointId, Load, ModelId, Moment, Plan, Revision, SortedMap, ZoneId,
};
use serde::{Deserialize, Serialize};

use crate::Tuning;

pub use endpoint_view::EndpointView;
pub use groups::{Group, Groups};
pub use prefixes::{Affinity, Prefixes};

/// Factor applied to the trust in an endpoint's cache events after a gap in their sequence.
const GAP_TRUST: f64 = 0.5;
/// Trust regained with each cache event in sequence.
const TRUST_STEP: f64 = 0.05;

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Fleet {
    views: SortedMap<EndpointId, EndpointView>,
    groups: Groups,
    prefixes: Prefixes,
    /// The placement plan in use.
    plan: Plan,
    /// The last endpoint list received, to skip unchanged ones.
    last_list: Vec<Endpoint>,
    /// Whether an endpoint list was received.
    is_known: bool,
}

impl Fleet {
    pub fn new() -> Fleet {
        Fleet::default()
    }

    /// Whether an endpoint list was received; until then no request can be served.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Replaces the endpoint list, keeping what was observed of endpoints at the same address.
    pub fn update(&mut self, endpoints: Vec<Endpoint>, zone: &ZoneId, tuning: &Tuning) {
        self.is_known = true;
        if endpoints == self.last_list {
            return;
        }
        self.last_list.clone_from(&endpoints);
        let mut old = std::mem::take(&mut self.views);
        let plan = &self.plan;
        let mut views: Vec<(EndpointId, EndpointView)> = endpoints
            .into_iter()
            .map(|endpoint| {
                let view = match old.remove(&endpoint.id) {
                    Some(known) if known.endpoint.address == endpoint.address => {
                        EndpointView { endpoint, ..known }
                    }
                    _ => {
                        let excluded = plan.excludes(&endpoint.id);
                        EndpointView {
                            excluded,
                            ..EndpointView::new(endpoint, tuning.initial_limit)
                        }
                    }
                };
                (view.endpoint.id.clone(), view)
            })
            .collect();
        views.sort_by(|left, right| left.0.cmp(&right.0));
        self.views = views.into_iter().collect();
        self.groups = Groups::new(self.views.values(), zone);
    }

    pub fn get(&self, id: &str) -> Option<&EndpointView> {
        self.views.get(id)
    }

    /// Returns the endpoint at an index stored in a [`Group`].
    pub fn by_index(&self, idx: u32) -> Option<&EndpointView> {
        self.views.get_index(idx as usize)
    }

    pub fn group(&self, pool: &str, model: &Option<ModelId>) -> Option<&Group> {
        self.groups.get(pool, model)
    }

    pub fn iter(&self) -> impl Iterator<Item = &EndpointView> {
        self.views.values()
    }

    /// Applies a placement plan if its revision is higher than that of the current one; returns
    /// whether it did.
    pub fn set_plan(&mut self, plan: Plan) -> bool {
        if plan.revision <= self.plan.revision {
            return false;
        }
        for (id, view) in self.views.iter_mut() {
            view.excluded = plan.excludes(id);
        }
        self.plan = plan;
        true
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the revision of the plan in use, as acknowledged in heartbeats; zero before the
    /// first plan.
    pub fn plan_revision(&self) -> Revision {
        self.plan.revision
    }

    pub fn pool<'a>(&'a self, pool: &str) -> impl Iterator<Item = &'a EndpointView> {
        let all = self.groups.get(pool, &None).map_or(&[][..], |it| &it.all);
        all.iter().filter_map(|idx| self.by_index(*idx))
    }

    pub fn affinity(&self, now: Moment, input: &str) -> Option<Affinity> {
        self.prefixes.find(now, input)
    }

    pub fn call_started(&mut self, id: &str) {
        if let Some(view) = self.views.get_mut(id) {
            view.outstanding += 1;
        }
    }

    pub fn call_ended(&mut self, id: &str) {
        if let Some(view) = self.views.get_mut(id) {
            view.outstanding = view.outstanding.saturating_sub(1);
        }
    }

    /// Records a successful call; `median` is the median service time of the pool.
    pub fn record_success(
        &mut self,
        now: Moment,
        id: &str,
        median: Duration,
        took: Duration,
        tuning: &Tuning,
    ) {
        if let Some(view) = self.views.get_mut(id) {
            view.record_success(now, took);
            view.adjust_limit(now, median, took, tuning);
        }
    }

    /// Records that the endpoint has just computed, and so cached, the prefixes of `input`.
    pub fn record_prefill(&mut self, now: Moment, id: &str, input: &str) {
        for (_, hash) in prefixes::prefix_hashes(input) {
            self.prefixes.store(now, id, hash);
        }
    }

    pub fn record_slow_call(&mut self, now: Moment, id: &str, running: Duration) {
        if let Some(view) = self.views.get_mut(id) {
            view.record_slow_call(now, running);
        }
    }

    /// Records a failed call; returns whether the endpoint was ejected because of it.
    pub fn record_failure(&mut self, now: Moment, id: &str, tuning: &Tuning) -> bool {
        let Some(view) = self.views.get_mut(id) else { return false };
        view.failures += 1;
        let is_over = tuning.eject_after <= view.failures && !view.is_ejected(now);
        is_over && self.eject(now, id, tuning)
    }

    /// Ejects an endpoint, unless too many endpoints of its pool are ejected already; returns
    /// whether it did.
    pub fn eject(&mut self, now: Moment, id: &str, tuning: &Tuning) -> bool {
        let Some(pool) = self.views.get(id).map(|it| it.endpoint.pool.clone()) else {
            return false;
        };
        let (n_all, n_ejected) = self.pool(&pool).fold((0_u32, 0_u32), |(all, ejected), it| {
            (all + 1, ejected + u32::from(it.is_ejected(now)))
        });
        if f64::from(n_all) * tuning.eject_share < f64::from(n_ejected + 1) {
            return false;
        }
        let Some(view) = self.views.get_mut(id) else { return false };
        let time = tuning.eject_time * 2_u32.pow(view.ejections.min(4));
        view.ejected_until = Some(now + time);
        view.returned_at = Some(now + time);
        view.ejections += 1;
        view.failures = 0;
        true
    }

    /// Records that the open connections of an endpoint are silent; calls use new connections until
    /// `until`.
    pub fn mark_silent(&mut self, id: &str, until: Moment) {
        if let Some(view) = self.views.get_mut(id) {
            view.silent_until = until;
        }
    }

    pub fn record_load(&mut self, now: Moment, id: &str, load: Load) {
        if let Some(view) = self.views.get_mut(id) {
            view.leaving |= load.leaving;
            view.load = load;
            view.load_at = now;
        }
    }

    pub fn mark_leaving(&mut self, id: &str) {
        if let Some(view) = self.views.get_mut(id) {
            view.leaving = true;
        }
    }

    /// Applies a cache event; a gap in the sequence lowers the trust in the endpoint's events.
    pub fn on_cache_event(&mut self, now: Moment, update: &CacheUpdate) {
        let Some(view) = self.views.get_mut(&update.endpoint) else { return };
        if update.sequence <= view.cache_sequence && view.cache_sequence != 0 {
            return;
        }
        let is_next = view.cache_sequence == 0 || update.sequence == view.cache_sequence + 1;
        view.cache_trust = match is_next {
            true => (view.cache_trust + TRUST_STEP).min(1.0),
            false => view.cache_trust * GAP_TRUST,
        };
        view.cache_sequence = update.sequence;
        for hash in &update.evicted {
            self.prefixes.evict(&update.endpoint, *hash);
        }
        for hash in &update.stored {
            self.prefixes.store(now, &update.endpoint, *hash);
        }
    }
}
