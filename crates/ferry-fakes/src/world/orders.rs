//! Orders to endpoints, their reports and the weight store on virtual time.

use std::time::Duration;

use ferry_core::{CallEvent, Event};
use ferry_model::{
    EndpointId, EndpointReport, Fence, ModelId, Moment, Order, OrderResult, StageKind,
};

use super::{Item, NodeIdx, World};
use crate::endpoint::FakeEndpoint;

/// The store of model weights that all endpoints load from.
#[derive(Debug, Clone)]
pub struct WeightStore {
    /// Loads that it serves at once; further ones are refused.
    pub max_loads: usize,
    /// Time of one load.
    pub load_time: Duration,
    /// Loads that were refused.
    pub refused: u64,
}

impl Default for WeightStore {
    fn default() -> Self {
        WeightStore { max_loads: 2, load_time: Duration::from_secs(5), refused: 0 }
    }
}

/// One order, as the endpoint saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedOrder {
    pub at: Moment,
    pub node: NodeIdx,
    pub endpoint: EndpointId,
    pub fence: Fence,
    pub models: Vec<ModelId>,
    /// It was refused for its fencing number.
    pub fenced: bool,
    /// Calls in flight that it cut.
    pub broken_calls: usize,
}

/// The models of one endpoint and the orders it has seen.
#[derive(Debug, Clone, Default)]
pub struct FakeEngine {
    /// Sorted.
    pub models: Vec<ModelId>,
    /// Sorted.
    pub loading: Vec<ModelId>,
    /// Highest fencing number seen; none where it checks none.
    pub fence: Option<Fence>,
    /// Time with models loaded or loading, up to `held_since`.
    pub held_time: Duration,
    pub held_since: Option<Moment>,
    /// Tells a load from an earlier one that was broken off.
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

    fn account(&mut self, now: Moment) {
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
            self.ordered(node, generation, &order, self.now, OrderResult::NotSent { error });
            return;
        };
        let delay = self.network.delay(&self.nodes[node].zone, &it.endpoint.zone);
        let delay = delay + it.faults.order_delay;
        if order.ttl < delay && !it.faults.accepts_expired {
            let error = "the order's life is over".to_owned();
            let at = self.now + order.ttl;
            self.ordered(node, generation, &order, at, OrderResult::Unknown { error });
            return;
        }
        self.schedule(self.now + delay, Item::Order { node, generation, order });
    }

    pub(super) fn take_order(&mut self, node: NodeIdx, generation: u32, order: &Order) {
        let Some(it) = self.endpoints.get_mut(&order.endpoint) else { return };
        let at = self.now + self.network.delay(&self.nodes[node].zone, &it.endpoint.zone);
        let is_lost = it.faults.unanswered_orders;
        if it.faults.down {
            let error = "connection refused".to_owned();
            self.ordered(node, generation, order, at, OrderResult::NotSent { error });
            return;
        }
        let result = self.obey(node, order);
        if is_lost {
            let error = "the answer was lost".to_owned();
            let at = self.now + order.ttl;
            self.ordered(node, generation, order, at, OrderResult::Unknown { error });
        } else {
            self.ordered(node, generation, order, at, result);
        }
    }

    fn obey(&mut self, node: NodeIdx, order: &Order) -> OrderResult {
        let now = self.now;
        let n_loading = self.endpoints.values().filter(|it| !it.engine.loading.is_empty()).count();
        let mut seen = ReceivedOrder {
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
                seen.fenced = true;
                self.orders.push(seen);
                return OrderResult::Fenced { seen: known };
            }
            it.engine.fence = Some(order.fence.max(known));
        }
        let missing: Vec<ModelId> =
            order.models.iter().filter(|it2| !it.engine.models.contains(it2)).cloned().collect();
        let is_new_load = !missing.is_empty() && missing != it.engine.loading;
        if is_new_load && self.weights.max_loads <= n_loading {
            self.weights.refused += 1;
            self.orders.push(seen);
            return OrderResult::Refused { error: "the weight store is busy".to_owned() };
        }
        let is_unload = it.engine.models.iter().any(|it| !order.models.contains(it));
        it.engine.models.retain(|it| order.models.contains(it));
        if is_new_load {
            it.engine.n_loads += 1;
            let item = Item::Loaded { endpoint: order.endpoint.clone(), number: it.engine.n_loads };
            it.engine.loading = missing;
            self.schedule(now + self.weights.load_time, item);
        } else if missing.is_empty() {
            it.engine.loading.clear();
        }
        if is_unload {
            seen.broken_calls = self.cut_calls(&order.endpoint);
        }
        self.orders.push(seen);
        self.changed(&order.endpoint);
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
        self.changed(endpoint);
    }

    pub(super) fn inspect(&mut self, node: NodeIdx, generation: u32, endpoint: EndpointId) {
        let Some(it) = self.endpoints.get(&endpoint) else {
            self.send(self.now, node, generation, Event::Report { endpoint, report: None });
            return;
        };
        let delay = self.network.delay(&self.nodes[node].zone, &it.endpoint.zone);
        self.schedule(self.now + delay, Item::Inspect { node, generation, endpoint });
    }

    pub(super) fn take_inspect(&mut self, node: NodeIdx, generation: u32, endpoint: EndpointId) {
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

    /// Breaks every call of an endpoint whose models are gone, and returns how many.
    fn cut_calls(&mut self, endpoint: &str) -> usize {
        let Some(it) = self.endpoints.get_mut(endpoint) else { return 0 };
        let mut jobs = std::mem::take(&mut it.running);
        jobs.append(&mut it.waiting);
        let n_cut = jobs.len() + std::mem::take(&mut it.stuck_calls);
        for job in jobs {
            let event = CallEvent::Broken { error: "the model was unloaded".to_owned() };
            let event = Event::Call { attempt: job.call.attempt, event };
            self.send(self.now, job.node, job.generation, event);
        }
        n_cut
    }

    /// Brings the list's line and the account of an endpoint up to date.
    fn changed(&mut self, endpoint: &str) {
        let now = self.now;
        let Some(it) = self.endpoints.get_mut(endpoint) else { return };
        it.engine.account(now);
        if it.lists_models {
            it.endpoint.models = it.engine.models.clone();
        }
    }

    fn ordered(
        &mut self,
        node: NodeIdx,
        generation: u32,
        order: &Order,
        at: Moment,
        end: OrderResult,
    ) {
        let (endpoint, fence) = (order.endpoint.clone(), order.fence);
        self.send(at, node, generation, Event::Ordered { endpoint, fence, result: end });
    }
}
