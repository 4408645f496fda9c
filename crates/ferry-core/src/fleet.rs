//! The endpoints this instance knows and what it has learned of each.

pub mod groups;
pub mod prefixes;
pub mod view;

use std::time::Duration;

use ferry_model::{
    CacheUpdate, Endpoint, EndpointId, Load, ModelId, Moment, Plan, Revision, SortedMap, ZoneId,
};
use serde::{Deserialize, Serialize};

use crate::Tuning;

pub use groups::{Group, Groups};
pub use prefixes::{Affinity, Prefixes};
pub use view::EndpointView;

/// Share of its trust that an engine's cache keeps after a gap in its events.
const GAP_TRUST: f64 = 0.5;
/// Trust regained with each event in sequence.
const TRUST_STEP: f64 = 0.05;

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Fleet {
    views: SortedMap<EndpointId, EndpointView>,
    groups: Groups,
    prefixes: Prefixes,
    /// The placement plan that this instance obeys.
    plan: Plan,
    /// The list as it came last, to skip copies without news.
    listed: Vec<Endpoint>,
}

impl Fleet {
    pub fn new() -> Fleet {
        Fleet::default()
    }

    /// Joins a copy of the instance list with what was learned before.
    pub fn update(&mut self, endpoints: Vec<Endpoint>, zone: &ZoneId, tuning: &Tuning) {
        if endpoints == self.listed {
            return;
        }
        self.listed.clone_from(&endpoints);
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
                        let withheld = plan.excludes(&endpoint.id);
                        EndpointView {
                            withheld,
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

    /// Returns the endpoint at a position of a [`Group`].
    pub fn at(&self, idx: u32) -> Option<&EndpointView> {
        self.views.get_index(idx as usize)
    }

    pub fn group(&self, pool: &str, model: &Option<ModelId>) -> Option<&Group> {
        self.groups.get(pool, model)
    }

    pub fn iter(&self) -> impl Iterator<Item = &EndpointView> {
        self.views.values()
    }

    /// Obeys a placement plan if its revision is higher than the one obeyed so far.
    pub fn set_plan(&mut self, plan: Plan) -> bool {
        if plan.revision <= self.plan.revision {
            return false;
        }
        for (id, view) in self.views.iter_mut() {
            view.withheld = plan.excludes(id);
        }
        self.plan = plan;
        true
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the revision of the plan obeyed, as heartbeats acknowledge it; zero before the first.
    pub fn plan_revision(&self) -> Revision {
        self.plan.revision
    }

    pub fn pool<'a>(&'a self, pool: &str) -> impl Iterator<Item = &'a EndpointView> {
        let all = self.groups.get(pool, &None).map_or(&[][..], |it| &it.all);
        all.iter().filter_map(|idx| self.at(*idx))
    }

    pub fn affinity(&self, now: Moment, input: &str) -> Option<Affinity> {
        self.prefixes.find(now, input)
    }

    pub fn started(&mut self, id: &str) {
        if let Some(view) = self.views.get_mut(id) {
            view.outstanding += 1;
        }
    }

    pub fn ended(&mut self, id: &str) {
        if let Some(view) = self.views.get_mut(id) {
            view.outstanding = view.outstanding.saturating_sub(1);
        }
    }

    /// Learns from a good answer; `usual` is the pool's median service time.
    pub fn served(
        &mut self,
        now: Moment,
        id: &str,
        usual: Duration,
        took: Duration,
        tuning: &Tuning,
    ) {
        if let Some(view) = self.views.get_mut(id) {
            view.served(now, took);
            view.adapt(now, usual, took, tuning);
        }
    }

    /// Learns that the engine has just computed the prefixes of `input`.
    pub fn prefilled(&mut self, now: Moment, id: &str, input: &str) {
        for (_, hash) in prefixes::prefix_hashes(input) {
            self.prefixes.store(now, id, hash);
        }
    }

    pub fn lags(&mut self, now: Moment, id: &str, running: Duration) {
        if let Some(view) = self.views.get_mut(id) {
            view.lags(now, running);
        }
    }

    /// Counts a failed call and returns whether the endpoint was ejected for it.
    pub fn failed(&mut self, now: Moment, id: &str, tuning: &Tuning) -> bool {
        let Some(view) = self.views.get_mut(id) else { return false };
        view.failures += 1;
        let is_over = tuning.eject_after <= view.failures && !view.is_ejected(now);
        is_over && self.eject(now, id, tuning)
    }

    /// Ejects an endpoint unless too many of its pool are ejected already.
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
        view.ejected = Some(now + time);
        view.back_at = Some(now + time);
        view.ejections += 1;
        view.failures = 0;
        true
    }

    /// Notes that the endpoint's open connections are silent; new ones are used for a while.
    pub fn silent(&mut self, id: &str, until: Moment) {
        if let Some(view) = self.views.get_mut(id) {
            view.silent_until = until;
        }
    }

    pub fn reported(&mut self, now: Moment, id: &str, load: Load) {
        if let Some(view) = self.views.get_mut(id) {
            view.leaving |= load.leaving;
            view.load = load;
            view.load_at = now;
        }
    }

    pub fn leaves(&mut self, id: &str) {
        if let Some(view) = self.views.get_mut(id) {
            view.leaving = true;
        }
    }

    /// Takes a cache event; a gap in its sequence lowers the trust in what is known.
    pub fn cached(&mut self, now: Moment, update: &CacheUpdate) {
        let Some(view) = self.views.get_mut(&update.endpoint) else { return };
        if update.sequence <= view.sequence && view.sequence != 0 {
            return;
        }
        let is_next = view.sequence == 0 || update.sequence == view.sequence + 1;
        view.trust = match is_next {
            true => (view.trust + TRUST_STEP).min(1.0),
            false => view.trust * GAP_TRUST,
        };
        view.sequence = update.sequence;
        for hash in &update.evicted {
            self.prefixes.evict(&update.endpoint, *hash);
        }
        for hash in &update.stored {
            self.prefixes.store(now, &update.endpoint, *hash);
        }
    }
}
