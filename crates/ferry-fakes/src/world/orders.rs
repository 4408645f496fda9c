//! Placement orders to endpoints, their reports and the weight store on virtual time.

use std::time::Duration;

use ferry_core::{CallEvent, Event};
use ferry_model::{
    EndpointId, EndpointReport, Fence, ModelId, Moment, Order, OrderResult, StageKind,
};

use super::{Action, NodeIdx, World};
use crate::endpoint::FakeEndpoint;

/// The store of model weights that all endpoints load from.
#[derive(Debug, Clone)]
pub struct WeightStore {
    /// Loads that run at the same time; further ones are refused.
    pub max_loads: usize,
    pub load_time: Duration,
    /// Number of loads that were refused.
    pub refused: u64,
}

impl Default for WeightStore {
    fn default() -> Self {
        WeightStore { max_loads: 2, load_time: Duration::from_secs(5), refused: 0 }
    }
}

/// One order, as the endpoint received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedOrder {
    pub at: Moment,
    pub node: NodeIdx,
    pub endpoint: EndpointId,
    pub fence: Fence,
    pub models: Vec<ModelId>,
    /// Whether it was refused for its outdated fencing number.
    pub fenced: bool,
    /// Number of calls in flight that it broke.
    pub broken_calls: usize,
}

/// The models of an endpoint, its highest fencing number and its use of capacity.
#[derive(Debug, Clone, Default)]
pub struct FakeEngine {
    /// Loaded models, sorted.
    pub models: Vec<ModelId>,
    /// Models that are being loaded, sorted.
    pub loading: Vec<ModelId>,
    /// Highest fencing number seen; `None` if the endpoint doesn't check it.
    pub fence: Option<Fence>,
    /// Time with models loaded or loading, up to `held_since`.
    pub held_time: Duration,
    pub held_since: Option<Moment>,
    /// Number of loads started; distinguishes a load from an earlier one that was aborted.
    pub(crate) n_loads: u64,
}

impl FakeEngine {
    pub fn new(models: Vec<ModelId>) -> FakeEngine {
        FakeEngine {
            models,
            fence: Some(0),
            held_since: Some(Moment::ZERO),
            ..FakeEngine::default()
        }
    }

    /// Returns the time for which it has held capacity.
    pub fn held_time(&self, now: Moment) -> Duration {
        self.held_time + self.held_since.map_or(Duration::ZERO, |it| now.saturating_sub(it))
    }

    fn update_held_time(&mut self, now: Moment) {
        self.held_time = self.held_time(now);
        let is_held = !self.models.is_empty() || !self.loading.is_empty();
        self.held_since = is_held.then_some(now);
    }
}

impl FakeEndpoint {
    /// Whether it can run a call of this kind and model.
    pub(crate) fn can_run(&self, kind: StageKind, model: Option<&ModelId>) -> bool {
        match (kind, model) {
            (StageKind::Service, _) => true,
            (_, Some(model)) => self.engine.models.binary_search(model).is_ok(),
            (_, None) => !self.engine.models.is_empty(),
        }
    }
}

impl World {
    /// Returns the time for which the endpoints of a pool have held capacity.
    pub fn held_time(&self, pool: &str) -> Duration {
        let members = self.endpoints.values().filter(|it| it.endpoint.pool == pool);
        members.map(|it| it.engine.held_time(self.now)).sum()
    }

    /// Returns how many endpoints of a pool have their models loaded.
    pub fn n_loaded(&self, pool: &str) -> usize {
        let is_loaded = |it: &&FakeEndpoint| !it.engine.models.is_empty();
        self.endpoints.values().filter(|it| it.endpoint.pool == pool).filter(is_loaded).count()
    }

    pub(super) fn start_order(&mut self, node: NodeIdx, generation: u32, order: Box<Order>) {
        let Some(it) = self.endpoints.get(&order.endpoint) else {
            let error = "no such endpoint".to_owned();
            self.send_result(node, generation, &order, self.now, OrderResult::NotSent { error });
            return;
        };
        let delay = self.network.delay(&self.nodes[node].zone, &it.endpoint.zone);
        let delay = delay + it.faults.order_delay;
        if order.ttl < delay && !it.faults.accepts_expired {
            let error = "the order has expired".to_owned();
            let at = self.now + order.ttl;
            self.send_result(node, generation, &order, at, OrderResult::Unknown { error });
            return;
        }
        self.schedule(self.now + delay, Action::Order { node, generation, order });
    }

    pub(super) fn receive_order(&mut self, node: NodeIdx, generation: u32, order: &Order) {
        let Some(it) = self.endpoints.get_mut(&order.endpoint) else { return };
        let at = self.now + self.network.delay(&self.nodes[node].zone, &it.endpoint.zone);
        let is_lost = it.faults.unanswered_orders;
        if it.faults.down {
            let error = "connection refused".to_owned();
            self.send_result(node, generation, order, at, OrderResult::NotSent { error });
            return;
        }
        let result = self.apply_order(node, order);
        if is_lost {
            let error = "the answer was lost".to_owned();
            let at = self.now + order.ttl;
            self.send_result(node, generation, order, at, OrderResult::Unknown { error });
        } else {
            self.send_result(node, generation, order, at, result);
        }
    }

    fn apply_order(&mut self, node: NodeIdx, order: &Order) -> OrderResult {
        let now = self.now;
        let n_loading = self.endpoints.values().filter(|it| !it.engine.loading.is_empty()).count();
        let mut received = ReceivedOrder {
            at: now,
            node,
            endpoint: order.endpoint.clone(),
            fence: order.fence,
            models: order.models.clone(),
            fenced: false,
            broken_calls: 0,
        };
        let Some(it) = self.endpoints.get_mut(&order.endpoint) else {
            return OrderResult::Refused { error: "no such endpoint".to_owned() };
        };
        if let Some(known) = it.engine.fence {
            if order.fence < known && !it.faults.ignores_fence {
                received.fenced = true;
                self.orders.push(received);
                return OrderResult::Fenced { seen: known };
            }
            it.engine.fence = Some(order.fence.max(known));
        }
        let missing: Vec<ModelId> = order
            .models
            .iter()
            .filter(|model| !it.engine.models.contains(model))
            .cloned()
            .collect();
        let is_new_load = !missing.is_empty() && missing != it.engine.loading;
        if is_new_load && self.weights.max_loads <= n_loading {
            self.weights.refused += 1;
            self.orders.push(received);
            return OrderResult::Refused { error: "the weight store is busy".to_owned() };
        }
        let is_unload = it.engine.models.iter().any(|it| !order.models.contains(it));
        it.engine.models.retain(|it| order.models.contains(it));
        if is_new_load {
            it.engine.n_loads += 1;
            let action =
                Action::FinishLoad { endpoint: order.endpoint.clone(), number: it.engine.n_loads };
            it.engine.loading = missing;
            self.schedule(now + self.weights.load_time, action);
        } else if missing.is_empty() {
            it.engine.loading.clear();
        }
        if is_unload {
            received.broken_calls = self.break_calls(&order.endpoint);
        }
        self.orders.push(received);
        self.update_listing(&order.endpoint);
        OrderResult::Applied
    }

    pub(super) fn finish_load(&mut self, endpoint: &str, number: u64) {
        let Some(it) = self.endpoints.get_mut(endpoint) else { return };
        if it.engine.n_loads != number || it.engine.loading.is_empty() {
            return;
        }
        let loaded = std::mem::take(&mut it.engine.loading);
        it.engine.models.extend(loaded);
        it.engine.models.sort();
        self.update_listing(endpoint);
    }

    pub(super) fn inspect(&mut self, node: NodeIdx, generation: u32, endpoint: EndpointId) {
        let Some(it) = self.endpoints.get(&endpoint) else {
            self.send(self.now, node, generation, Event::Report { endpoint, report: None });
            return;
        };
        let delay = self.network.delay(&self.nodes[node].zone, &it.endpoint.zone);
        self.schedule(self.now + delay, Action::Inspect { node, generation, endpoint });
    }

    pub(super) fn receive_inspect(&mut self, node: NodeIdx, generation: u32, endpoint: EndpointId) {
        let Some(it) = self.endpoints.get(&endpoint) else { return };
        let delay = self.network.delay(&self.nodes[node].zone, &it.endpoint.zone);
        let report = (!it.faults.down).then(|| EndpointReport {
            endpoint: endpoint.clone(),
            models: it.engine.models.clone(),
            loading: it.engine.loading.clone(),
            role: it.endpoint.role,
            in_flight: (it.running.len() + it.waiting.len() + it.stuck_calls) as u32,
            slots: it.speed.slots as u32,
            fence: it.engine.fence,
        });
        self.send(self.now + delay, node, generation, Event::Report { endpoint, report });
    }

    /// Breaks every call to an endpoint that unloaded a model, and returns their number.
    fn break_calls(&mut self, endpoint: &str) -> usize {
        let Some(it) = self.endpoints.get_mut(endpoint) else { return 0 };
        let mut jobs = std::mem::take(&mut it.running);
        jobs.append(&mut it.waiting);
        let n_broken = jobs.len() + std::mem::take(&mut it.stuck_calls);
        for job in jobs {
            let event = CallEvent::Broken { error: "the model was unloaded".to_owned() };
            let event = Event::Call { attempt: job.call.attempt, event };
            self.send(self.now, job.node, job.generation, event);
        }
        n_broken
    }

    /// Updates an endpoint's held time and its models in the instance list.
    fn update_listing(&mut self, endpoint: &str) {
        let now = self.now;
        let Some(it) = self.endpoints.get_mut(endpoint) else { return };
        it.engine.update_held_time(now);
        if it.lists_models {
            it.endpoint.models = it.engine.models.clone();
        }
    }

    fn send_result(
        &mut self,
        node: NodeIdx,
        generation: u32,
        order: &Order,
        at: Moment,
        result: OrderResult,
    ) {
        let (endpoint, fence) = (order.endpoint.clone(), order.fence);
        self.send(at, node, generation, Event::Ordered { endpoint, fence, result });
    }
}
