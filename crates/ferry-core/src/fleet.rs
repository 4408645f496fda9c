//! The endpoints this instance knows and what it has learned of each.

use std::time::Duration;

use ferry_model::{Endpoint, EndpointId, EndpointState, Load, Moment, Plan, Revision, SortedMap};
use serde::{Deserialize, Serialize};

/// Weight of the newest service time in the running mean.
const LEARN_RATE: f64 = 0.2;
/// Service time assumed before the first reply.
const FIRST_SERVICE: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointView {
    pub endpoint: Endpoint,
    /// Calls of this instance in flight.
    pub outstanding: u32,
    pub load: Load,
    pub load_at: Moment,
    /// Mean service time.
    pub service: Duration,
    /// The endpoint itself or a refusal said that it leaves.
    pub leaving: bool,
    /// The placement plan gives it no new work.
    pub withheld: bool,
}

impl EndpointView {
    fn new(endpoint: Endpoint) -> EndpointView {
        EndpointView {
            endpoint,
            outstanding: 0,
            load: Load::default(),
            load_at: Moment::ZERO,
            service: FIRST_SERVICE,
            leaving: false,
            withheld: false,
        }
    }

    /// Whether new work may go there.
    pub fn takes_work(&self) -> bool {
        !self.leaving && !self.withheld && self.endpoint.state == EndpointState::Live
    }
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Fleet {
    views: SortedMap<EndpointId, EndpointView>,
    /// The placement plan that this instance obeys.
    plan: Plan,
}

impl Fleet {
    pub fn new() -> Fleet {
        Fleet::default()
    }

    /// Joins a copy of the instance list with what was learned before.
    pub fn update(&mut self, endpoints: Vec<Endpoint>) {
        let mut old = std::mem::take(&mut self.views);
        let plan = &self.plan;
        self.views = endpoints
            .into_iter()
            .map(|endpoint| {
                let view = match old.remove(&endpoint.id) {
                    Some(known) if known.endpoint.address == endpoint.address => {
                        EndpointView { endpoint, ..known }
                    }
                    _ => {
                        let withheld = plan.withholds(&endpoint.id);
                        EndpointView { withheld, ..EndpointView::new(endpoint) }
                    }
                };
                (view.endpoint.id.clone(), view)
            })
            .collect();
    }

    pub fn get(&self, id: &str) -> Option<&EndpointView> {
        self.views.get(id)
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
            view.withheld = plan.withholds(id);
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

    pub fn pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a EndpointView> {
        self.views.values().filter(move |it| it.endpoint.pool == pool)
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

    pub fn served(&mut self, id: &str, took: Duration) {
        if let Some(view) = self.views.get_mut(id) {
            view.service = view.service.mul_f64(1.0 - LEARN_RATE) + took.mul_f64(LEARN_RATE);
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
}
