//! A placement decision: sizes the pools, publishes the plan and sends the orders it allows.

use std::net::SocketAddr;
use std::sync::Arc;

use ferry_model::{
    Config, EndpointId, EndpointState, Fence, ModelId, Order, Pool, PoolId, SortedMap, StageKind,
};

use super::Placement;
use super::engines::{CapacityState, OrderPurpose};
use super::scale::{self, Candidate};
use crate::pass::Pass;
use crate::{Decision, DecisionKind, Effect, Metric};

/// Concurrent calls assumed per endpoint of a pool before one has reported its slots.
const DEFAULT_SLOTS: f64 = 4.0;

/// The capacity that one pool should have.
struct PoolPlan {
    pool: PoolId,
    /// Models that each endpoint with capacity must hold, sorted.
    wanted: Vec<ModelId>,
    candidates: Vec<Candidate>,
    /// Endpoints that should hold capacity, sorted.
    kept: Vec<EndpointId>,
    target: usize,
    /// Whether the endpoints refuse orders with an old fencing number.
    checks_fence: bool,
}

impl Placement {
    /// Plans, publishes and orders as far as the lease and the known state allow.
    pub(super) fn decide(&mut self, cx: &mut Pass<'_>) {
        self.follow_lease(cx);
        let Some(term) = self.term else { return };
        let Some(config) = cx.ctx.config.clone() else { return };
        self.publisher.tick(cx);
        self.history.tick(cx);
        let placed = self.placed_endpoints(cx, &config);
        self.engines.inspect_due(cx, &placed);
        if !self.history.is_read() {
            return;
        }
        let Some(stored) = self.publisher.stored_plan().cloned() else { return };
        if self.lease.term(cx.now).is_some_and(|it| it.fence < stored.fence) {
            self.lease.abandon(cx, "another instance has written the plan");
            self.term = None;
            return;
        }
        {
            let (demand, tuning, now) = (&self.demand, &cx.ctx.tuning.place, cx.now);
            self.engines.follow_plan(
                now,
                stored.revision,
                |id| stored.excludes(id),
                |revision| demand.has_acknowledged(now, tuning, revision),
            );
        }
        cx.effects.push(Effect::Count { metric: Metric::PlacementDecisions, by: 1 });
        let pools = self.plan_pools(cx, &config, &stored);
        self.publish(cx, term.fence, &pools, &stored);
        // Orders are sent only once a plan of this term is stored.
        if self.publisher.stored_plan().is_some_and(|it| term.fence <= it.fence) {
            self.order(cx, pools);
        }
    }

    fn plan_pools(
        &mut self,
        cx: &mut Pass<'_>,
        config: &Arc<Config>,
        stored: &ferry_model::Plan,
    ) -> Vec<PoolPlan> {
        config
            .pools
            .iter()
            .filter(|it| is_placed(it))
            .map(|pool| self.plan_pool(cx, config, pool, stored))
            .collect()
    }

    fn plan_pool(
        &mut self,
        cx: &mut Pass<'_>,
        config: &Config,
        pool: &Pool,
        stored: &ferry_model::Plan,
    ) -> PoolPlan {
        let wanted = wanted_models(config, pool);
        let fence = self.term.map_or(0, |it| it.fence);
        let candidates: Vec<Candidate> = cx
            .ctx
            .fleet
            .pool(&pool.name)
            .filter(|it| it.endpoint.state == EndpointState::Live && !it.leaving)
            .map(|it| {
                let id = it.endpoint.id.clone();
                let state = match pool.checks_fence && !self.engines.has_seen(&id, fence) {
                    true => CapacityState::Unknown,
                    false => self.engines.capacity_state(&id, &wanted, stored.excludes(&id)),
                };
                Candidate { id, zone: it.endpoint.zone.clone(), state }
            })
            .collect();
        let target = self.target(cx, config, &pool.name, &candidates);
        let max_draining = (candidates.len() as f64 * cx.ctx.tuning.place.drain_share) as usize;
        let kept = scale::choose_kept(&candidates, target, max_draining.max(1));
        let checks_fence = pool.checks_fence;
        PoolPlan { pool: pool.name.clone(), wanted, candidates, kept, target, checks_fence }
    }

    /// Returns the endpoints that may be asked what they hold, sorted.
    ///
    /// Endpoints that check no fencing number may still apply an order of the previous
    /// holder until its time to live is over, so only their later reports count.
    fn placed_endpoints(&self, cx: &Pass<'_>, config: &Config) -> Vec<(EndpointId, SocketAddr)> {
        let old_orders_expired = self.old_orders_expired(cx);
        let is_asked = |it: &Pool| is_placed(it) && (it.checks_fence || old_orders_expired);
        cx.ctx
            .fleet
            .iter()
            .filter(|it| config.pool(&it.endpoint.pool).is_some_and(is_asked))
            .map(|it| (it.endpoint.id.clone(), it.endpoint.address))
            .collect()
    }

    /// Whether the time to live of every order of an earlier holder is over.
    fn old_orders_expired(&self, cx: &Pass<'_>) -> bool {
        let place = &cx.ctx.tuning.place;
        self.term.is_some_and(|it| it.since + place.order_ttl + place.lease_margin <= cx.now)
    }

    fn target(
        &mut self,
        cx: &Pass<'_>,
        config: &Config,
        pool: &str,
        candidates: &[Candidate],
    ) -> usize {
        let tuning = &cx.ctx.tuning.place;
        let level = self.demand.level(pool);
        self.history.record(cx.now, tuning, pool, self.demand.mean(pool));
        let expected = self.history.forecast(cx.now, tuning, pool, level);
        let slots = self.mean_slots(candidates);
        let need = scale::endpoints_for(expected, slots, tuning.utilisation);
        let held = self.needs.record(cx.now, tuning, pool, need);
        // A new holder has not observed demand for long enough to remove capacity.
        let min_kept = match self.term.is_some_and(|it| cx.now < it.since + tuning.hold_time) {
            true => candidates.iter().filter(|it| it.state == CapacityState::Serving).count(),
            false => 1,
        };
        let floors = &config.preset().floors;
        let floor = floors.iter().find(|it| it.pool == pool).map_or(1, |it| it.endpoints);
        (held.max(floor) as usize).max(min_kept).min(candidates.len())
    }

    fn mean_slots(&self, candidates: &[Candidate]) -> f64 {
        let slots: Vec<u32> = candidates
            .iter()
            .filter_map(|it| self.engines.report(&it.id).map(|it| it.slots))
            .filter(|it| 0 < *it)
            .collect();
        match slots.len() {
            0 => DEFAULT_SLOTS,
            n_known => f64::from(slots.iter().sum::<u32>()) / n_known as f64,
        }
    }

    fn publish(
        &mut self,
        cx: &mut Pass<'_>,
        fence: Fence,
        pools: &[PoolPlan],
        stored: &ferry_model::Plan,
    ) {
        let mut draining = Vec::new();
        let mut holding = Vec::new();
        for pool in pools {
            for it in &pool.candidates {
                let is_kept = pool.kept.binary_search(&it.id).is_ok();
                let takes_work = match it.state {
                    CapacityState::Serving | CapacityState::Draining => is_kept,
                    CapacityState::Loading | CapacityState::Unloaded => false,
                    CapacityState::Unknown => !stored.excludes(&it.id),
                };
                match takes_work {
                    true => holding.push(it.id.clone()),
                    false => draining.push(it.id.clone()),
                }
            }
        }
        draining.sort();
        holding.sort();
        self.publisher.publish(cx, fence, draining, holding);
    }

    fn order(&mut self, cx: &mut Pass<'_>, mut pools: Vec<PoolPlan>) {
        pools.sort_by(|left, right| shortage(right).total_cmp(&shortage(left)));
        for pool in &pools {
            for it in &pool.candidates {
                let is_kept = pool.kept.binary_search(&it.id).is_ok();
                match (it.state, is_kept) {
                    (CapacityState::Unloaded, true) => self.load(cx, pool, &it.id),
                    (CapacityState::Draining, false) => self.unload(cx, pool, &it.id),
                    (CapacityState::Unknown, _) => self.confirm(cx, pool, &it.id),
                    (CapacityState::Serving | CapacityState::Loading, _)
                    | (CapacityState::Unloaded, false)
                    | (CapacityState::Draining, true) => (),
                }
            }
        }
    }

    fn load(&mut self, cx: &mut Pass<'_>, pool: &PoolPlan, id: &str) {
        let holds_others = self.engines.report(id).is_some_and(|it| !it.models.is_empty());
        if holds_others && !self.engines.is_drained(id) {
            return;
        }
        if cx.ctx.tuning.place.max_loading <= self.engines.n_loading() {
            return;
        }
        self.send(cx, pool, id, OrderPurpose::Load, pool.wanted.clone());
    }

    fn unload(&mut self, cx: &mut Pass<'_>, pool: &PoolPlan, id: &str) {
        if self.engines.is_drained(id) {
            self.send(cx, pool, id, OrderPurpose::Unload, Vec::new());
        }
    }

    /// Raises the fencing number of an endpoint to that of this term, so that it refuses older
    /// orders.
    fn confirm(&mut self, cx: &mut Pass<'_>, pool: &PoolPlan, id: &str) {
        let fence = self.term.map_or(0, |it| it.fence);
        if !pool.checks_fence || self.engines.has_seen(id, fence) {
            return;
        }
        let Some(report) = self.engines.report(id).filter(|it| it.fence.is_some()) else { return };
        let mut models: Vec<ModelId> =
            report.models.iter().chain(&report.loading).cloned().collect();
        models.sort();
        self.send(cx, pool, id, OrderPurpose::Confirm, models);
    }

    /// Sends one order if the lease is certainly still held.
    fn send(
        &mut self,
        cx: &mut Pass<'_>,
        pool: &PoolPlan,
        id: &str,
        purpose: OrderPurpose,
        models: Vec<ModelId>,
    ) {
        let Some(term) = self.lease.term(cx.now) else { return };
        if !self.engines.can_order(cx.now, id) {
            return;
        }
        let Some(view) = cx.ctx.fleet.get(id) else { return };
        let Some(report) = self.engines.report(id) else { return };
        let address = view.endpoint.address;
        let reason = format!("{purpose}: {} of {} wanted", pool.target, pool.candidates.len());
        let decision = Decision::new(DecisionKind::Order, reason, cx.ctx.revision())
            .with_endpoint(id)
            .with_pool(&pool.pool)
            .with_score(pool.candidates.len() as u32, term.fence);
        cx.effects.push(Effect::Log(decision));
        let order = Order {
            endpoint: id.to_owned(),
            fence: term.fence,
            models,
            role: report.role,
            ttl: cx.ctx.tuning.place.order_ttl,
        };
        cx.effects.push(Effect::Order { address, order: Box::new(order) });
        self.engines.record_order(cx.now, id, purpose);
    }
}

fn is_placed(pool: &Pool) -> bool {
    pool.kind != StageKind::Service
}

/// Returns the models that pipelines request from a pool; without any, a pool serves the model of
/// its own name.
fn wanted_models(config: &Config, pool: &Pool) -> Vec<ModelId> {
    let mut models: SortedMap<ModelId, ()> = config
        .pipelines
        .iter()
        .flat_map(|it| &it.stages)
        .filter(|it| it.pool == pool.name)
        .filter_map(|it| it.model.clone())
        .map(|it| (it, ()))
        .collect();
    if models.is_empty() {
        models.insert(pool.name.clone(), ());
    }
    models.keys().cloned().collect()
}

/// Returns the missing share of a pool's target.
fn shortage(pool: &PoolPlan) -> f64 {
    let n_held = pool.candidates.iter().filter(|it| it.state <= CapacityState::Draining).count();
    pool.target.saturating_sub(n_held) as f64 / pool.target.max(1) as f64
}
