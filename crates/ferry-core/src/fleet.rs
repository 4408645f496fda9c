//! The endpoints this instance knows and what it has learned of each.

use std::time::Duration;

use ferry_model::{Endpoint, EndpointId, EndpointState, Load, Moment, SortedMap};
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
        }
    }

    /// Whether new work may go there.
    pub fn takes_work(&self) -> bool {
        !self.leaving && self.endpoint.state == EndpointState::Live
    }
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Fleet {
    views: SortedMap<EndpointId, EndpointView>,
}

impl Fleet {
    pub fn new() -> Fleet {
        Fleet::default()
    }

    /// Joins a copy of the instance list with what was learned before.
    pub fn update(&mut self, endpoints: Vec<Endpoint>) {
        let mut old = std::mem::take(&mut self.views);
        self.views = endpoints
            .into_iter()
            .map(|endpoint| {
                let view = match old.remove(&endpoint.id) {
                    Some(known) if known.endpoint.address == endpoint.address => {
                        EndpointView { endpoint, ..known }
                    }
                    _ => EndpointView::new(endpoint),
                };
                (view.endpoint.id.clone(), view)
            })
            .collect();
    }

    pub fn get(&self, id: &str) -> Option<&EndpointView> {
        self.views.get(id)
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
