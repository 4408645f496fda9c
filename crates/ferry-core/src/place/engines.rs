//! What the lease holder knows of each endpoint, and the orders on their way.

use std::net::SocketAddr;

use ferry_model::{
    EndpointId, EndpointReport, Fence, ModelId, Moment, OrderResult, Revision, SortedMap,
};
use serde::{Deserialize, Serialize};
use strum::Display;

use super::PlaceTuning;
use crate::Effect;
use crate::turn::Turn;

/// Where an endpoint stands for placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CapacityState {
    /// Loaded and taking work.
    Serving,
    /// Loaded, but the plan gives it no new work.
    Draining,
    Loading,
    /// Without the models of its pool.
    Unloaded,
    /// It has not said what it holds.
    Unknown,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct EngineRecord {
    report: Option<EndpointReport>,
    /// When the question that `report` answers was asked.
    inspected_at: Moment,
    /// When the question that is not answered yet was asked.
    asked_at: Option<Moment>,
    next_ask: Moment,
    /// Revision of the plan that first withheld it.
    draining_since: Option<Revision>,
    /// When every instance was first seen to obey that revision.
    acked_at: Option<Moment>,
    order: Option<PendingOrder>,
    /// No order goes out before this, and answers to earlier questions say nothing.
    not_before: Moment,
}

/// What an order is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "snake_case")]
pub enum OrderPurpose {
    /// Repeats the endpoint's state under a new fence, so that older orders are refused.
    Confirm,
    Load,
    Unload,
}

/// The last order, until a report shows what became of it.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PendingOrder {
    at: Moment,
    purpose: OrderPurpose,
    /// Its result is known, or not to be expected any more.
    ended: bool,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Engines {
    views: SortedMap<EndpointId, EngineRecord>,
}

impl Engines {
    /// Forgets everything, as another holder may have given orders in between.
    pub fn start_term(&mut self) {
        self.views = SortedMap::new();
    }

    /// Asks each endpoint in `placed` what it holds when that is due.
    pub fn inspect_due(&mut self, cx: &mut Turn<'_>, placed: &[(EndpointId, SocketAddr)]) {
        self.views.retain(|id, _| placed.binary_search_by(|(it, _)| it.cmp(id)).is_ok());
        let timeout = cx.ctx.tuning.place.inspect_interval;
        for (id, address) in placed {
            let view = self.views.get_or_insert_with(id.clone(), EngineRecord::default);
            view.expire_order(cx.now, &cx.ctx.tuning.place);
            if view.asked_at.is_some_and(|it| cx.now < it + timeout) || cx.now < view.next_ask {
                continue;
            }
            view.asked_at = Some(cx.now);
            cx.out.push(Effect::Inspect { endpoint: id.clone(), address: *address });
        }
    }

    /// Takes an endpoint's answer; returns whether a decision may depend on it.
    pub fn on_report(
        &mut self,
        now: Moment,
        tuning: &PlaceTuning,
        id: &str,
        report: Option<EndpointReport>,
    ) -> bool {
        let Some(view) = self.views.get_mut(id) else { return false };
        let Some(asked_at) = view.asked_at.take() else { return false };
        if asked_at < view.not_before {
            view.next_ask = now.max(view.not_before);
            return false;
        }
        view.inspected_at = asked_at;
        let is_changed = !is_same_state(view.report.as_ref(), report.as_ref());
        view.report = report;
        if view.order.as_ref().is_some_and(|it| it.ended) {
            view.order = None;
        }
        let is_busy = view.order.is_some() || view.is_draining() || view.is_loading();
        view.next_ask = now + if is_busy { tuning.busy_interval } else { tuning.inspect_interval };
        is_changed || is_busy
    }

    pub fn on_ordered(&mut self, now: Moment, tuning: &PlaceTuning, id: &str, end: &OrderResult) {
        let Some(view) = self.views.get_mut(id) else { return };
        let wait = match end {
            OrderResult::Applied => Moment::ZERO,
            // An order of unknown fate may still arrive within its life.
            OrderResult::Unknown { .. } => tuning.order_ttl,
            OrderResult::NotSent { .. }
            | OrderResult::Fenced { .. }
            | OrderResult::Refused { .. } => tuning.decision_interval,
        };
        view.end_order(now + wait);
    }

    /// Returns where an endpoint stands, from its report and the order on its way.
    pub fn capacity_state(&self, id: &str, wanted: &[ModelId], is_draining: bool) -> CapacityState {
        let Some(view) = self.views.get(id) else { return CapacityState::Unknown };
        match view.order.as_ref().map(|it| it.purpose) {
            Some(OrderPurpose::Load) => return CapacityState::Loading,
            Some(OrderPurpose::Unload) => return CapacityState::Unloaded,
            Some(OrderPurpose::Confirm) => return CapacityState::Unknown,
            None => (),
        }
        let Some(report) = &view.report else { return CapacityState::Unknown };
        if wanted.iter().all(|it| report.models.binary_search(it).is_ok()) {
            return if is_draining { CapacityState::Draining } else { CapacityState::Serving };
        }
        match report.loading.is_empty() {
            true => CapacityState::Unloaded,
            false => CapacityState::Loading,
        }
    }

    /// Whether an endpoint has seen `fence` or a higher one.
    pub fn has_seen(&self, id: &str, fence: Fence) -> bool {
        self.report(id).and_then(|it| it.fence).is_some_and(|it| fence <= it)
    }

    pub fn report(&self, id: &str) -> Option<&EndpointReport> {
        self.views.get(id)?.report.as_ref()
    }

    /// Endpoints that load, or are about to: each uses a part of the weight store's rate.
    pub fn n_loading(&self) -> usize {
        let is_loading = |it: &&EngineRecord| {
            it.order.as_ref().is_some_and(|it| it.purpose == OrderPurpose::Load) || it.is_loading()
        };
        self.views.values().filter(is_loading).count()
    }

    /// Follows which endpoints the stored plan withholds, and who has acknowledged that.
    pub fn follow_plan(
        &mut self,
        now: Moment,
        revision: Revision,
        is_draining: impl Fn(&str) -> bool,
        has_acknowledged: impl Fn(Revision) -> bool,
    ) {
        for (id, view) in self.views.iter_mut() {
            if !is_draining(id) {
                view.draining_since = None;
                view.acked_at = None;
                continue;
            }
            let since = *view.draining_since.get_or_insert(revision);
            if !has_acknowledged(since) {
                view.acked_at = None;
            } else if view.acked_at.is_none() {
                view.acked_at = Some(now);
                view.next_ask = now;
            }
        }
    }

    /// Whether an endpoint has nothing in flight and no instance will send it anything.
    ///
    /// Only an answer to a question asked after the last acknowledgement counts:
    /// an earlier one may miss a call that was on its way.
    pub fn is_drained(&self, id: &str) -> bool {
        let Some(view) = self.views.get(id) else { return false };
        let (Some(acked_at), Some(report)) = (view.acked_at, &view.report) else {
            return false;
        };
        acked_at <= view.inspected_at && report.in_flight == 0
    }

    /// Whether an order may go out now: none is on its way and none failed just now.
    pub fn can_order(&self, now: Moment, id: &str) -> bool {
        self.views.get(id).is_some_and(|it| it.order.is_none() && it.not_before <= now)
    }

    pub fn record_order(&mut self, now: Moment, id: &str, purpose: OrderPurpose) {
        if let Some(view) = self.views.get_mut(id) {
            view.order = Some(PendingOrder { at: now, purpose, ended: false });
        }
    }
}

impl EngineRecord {
    fn is_loading(&self) -> bool {
        self.report.as_ref().is_some_and(|it| !it.loading.is_empty())
    }

    /// Whether it is draining and still has something to unload.
    fn is_draining(&self) -> bool {
        self.draining_since.is_some()
            && self.report.as_ref().is_some_and(|it| !it.models.is_empty())
    }

    fn end_order(&mut self, not_before: Moment) {
        if let Some(order) = &mut self.order {
            order.ended = true;
        }
        self.not_before = not_before;
        self.next_ask = not_before;
    }

    /// Gives up on the result of an order whose life is long over.
    fn expire_order(&mut self, now: Moment, tuning: &PlaceTuning) {
        let is_over = |it: &PendingOrder| !it.ended && it.at + 2 * tuning.order_ttl <= now;
        if self.order.as_ref().is_some_and(is_over) {
            self.end_order(now);
        }
    }
}

/// Whether two reports differ in nothing but the calls in flight.
fn is_same_state(left: Option<&EndpointReport>, right: Option<&EndpointReport>) -> bool {
    let idle = |it: &EndpointReport| EndpointReport { in_flight: 0, ..it.clone() };
    left.map(idle) == right.map(idle)
}
