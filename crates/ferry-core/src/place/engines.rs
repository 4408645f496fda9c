//! What the lease holder knows of each endpoint, and its pending orders.

use std::net::SocketAddr;

use ferry_model::{
    EndpointId, EndpointReport, Fence, ModelId, Moment, OrderResult, Revision, SortedMap,
};
use serde::{Deserialize, Serialize};
use strum::Display;

use super::PlaceTuning;
use crate::Effect;
use crate::pass::Pass;

/// The state of an endpoint's capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CapacityState {
    /// Holds the models of its pool and takes work.
    Serving,
    /// Holds the models of its pool, but the plan excludes it from new work.
    Draining,
    Loading,
    /// Does not hold the models of its pool.
    Unloaded,
    /// Has not reported what it holds.
    Unknown,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct EngineRecord {
    report: Option<EndpointReport>,
    /// When the inspection that `report` answers was sent.
    inspected_at: Moment,
    /// When the inspection that is not answered yet was sent.
    pending_at: Option<Moment>,
    next_inspect: Moment,
    /// Revision of the plan that first excluded it from new work.
    draining_since: Option<Revision>,
    /// When every instance was first seen to follow that revision.
    acked_at: Option<Moment>,
    order: Option<PendingOrder>,
    /// No order is sent before this, and answers to earlier inspections are ignored.
    not_before: Moment,
}

/// The purpose of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "snake_case")]
pub enum OrderPurpose {
    /// Repeats the endpoint's state under a new fencing number, so that it refuses older orders.
    Confirm,
    Load,
    Unload,
}

/// The last order, until a report shows its outcome.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PendingOrder {
    at: Moment,
    purpose: OrderPurpose,
    /// Whether its result is known or no longer expected.
    ended: bool,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Engines {
    records: SortedMap<EndpointId, EngineRecord>,
}

impl Engines {
    /// Discards all records, as another holder may have sent orders in between.
    pub fn start_term(&mut self) {
        self.records = SortedMap::new();
    }

    /// Inspects each endpoint in `placed` for which that is due.
    pub fn inspect_due(&mut self, cx: &mut Pass<'_>, placed: &[(EndpointId, SocketAddr)]) {
        self.records.retain(|id, _| placed.binary_search_by(|(it, _)| it.cmp(id)).is_ok());
        let timeout = cx.ctx.tuning.place.inspect_interval;
        for (id, address) in placed {
            let record = self.records.get_or_insert_with(id.clone(), EngineRecord::default);
            record.expire_order(cx.now, &cx.ctx.tuning.place);
            if record.pending_at.is_some_and(|it| cx.now < it + timeout)
                || cx.now < record.next_inspect
            {
                continue;
            }
            record.pending_at = Some(cx.now);
            cx.effects.push(Effect::Inspect { endpoint: id.clone(), address: *address });
        }
    }

    /// Records an endpoint's answer; returns whether a decision may depend on it.
    pub fn on_report(
        &mut self,
        now: Moment,
        tuning: &PlaceTuning,
        id: &str,
        report: Option<EndpointReport>,
    ) -> bool {
        let Some(record) = self.records.get_mut(id) else { return false };
        let Some(pending_at) = record.pending_at.take() else { return false };
        if pending_at < record.not_before {
            record.next_inspect = now.max(record.not_before);
            return false;
        }
        record.inspected_at = pending_at;
        let is_changed = !is_same_state(record.report.as_ref(), report.as_ref());
        record.report = report;
        if record.order.as_ref().is_some_and(|it| it.ended) {
            record.order = None;
        }
        let is_busy = record.order.is_some() || record.is_draining() || record.is_loading();
        record.next_inspect =
            now + if is_busy { tuning.busy_interval } else { tuning.inspect_interval };
        is_changed || is_busy
    }

    pub fn on_ordered(&mut self, now: Moment, tuning: &PlaceTuning, id: &str, end: &OrderResult) {
        let Some(record) = self.records.get_mut(id) else { return };
        let wait = match end {
            OrderResult::Applied => Moment::ZERO,
            // An order whose outcome is unknown may still arrive within its time to live.
            OrderResult::Unknown { .. } => tuning.order_ttl,
            OrderResult::NotSent { .. }
            | OrderResult::Fenced { .. }
            | OrderResult::Refused { .. } => tuning.decision_interval,
        };
        record.end_order(now + wait);
    }

    /// Returns the state of an endpoint by its report and its pending order.
    pub fn capacity_state(&self, id: &str, wanted: &[ModelId], is_draining: bool) -> CapacityState {
        let Some(record) = self.records.get(id) else { return CapacityState::Unknown };
        match record.order.as_ref().map(|it| it.purpose) {
            Some(OrderPurpose::Load) => return CapacityState::Loading,
            Some(OrderPurpose::Unload) => return CapacityState::Unloaded,
            Some(OrderPurpose::Confirm) => return CapacityState::Unknown,
            None => (),
        }
        let Some(report) = &record.report else { return CapacityState::Unknown };
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
        self.records.get(id)?.report.as_ref()
    }

    /// Returns how many endpoints load or are ordered to; they share the weight store's bandwidth.
    pub fn n_loading(&self) -> usize {
        let is_loading = |it: &&EngineRecord| {
            it.order.as_ref().is_some_and(|it| it.purpose == OrderPurpose::Load) || it.is_loading()
        };
        self.records.values().filter(is_loading).count()
    }

    /// Records which endpoints the stored plan excludes, and when all instances acknowledged that.
    pub fn follow_plan(
        &mut self,
        now: Moment,
        revision: Revision,
        is_draining: impl Fn(&str) -> bool,
        has_acknowledged: impl Fn(Revision) -> bool,
    ) {
        for (id, record) in self.records.iter_mut() {
            if !is_draining(id) {
                record.draining_since = None;
                record.acked_at = None;
                continue;
            }
            let since = *record.draining_since.get_or_insert(revision);
            if !has_acknowledged(since) {
                record.acked_at = None;
            } else if record.acked_at.is_none() {
                record.acked_at = Some(now);
                record.next_inspect = now;
            }
        }
    }

    /// Whether an endpoint has no calls in flight and no instance will send it any.
    ///
    /// Only an answer to an inspection sent after the last acknowledgement counts:
    /// an earlier one may miss a call that had not arrived yet.
    pub fn is_drained(&self, id: &str) -> bool {
        let Some(record) = self.records.get(id) else { return false };
        let (Some(acked_at), Some(report)) = (record.acked_at, &record.report) else {
            return false;
        };
        acked_at <= record.inspected_at && report.in_flight == 0
    }

    /// Whether an order may be sent now: none is pending and none has just failed.
    pub fn can_order(&self, now: Moment, id: &str) -> bool {
        self.records.get(id).is_some_and(|it| it.order.is_none() && it.not_before <= now)
    }

    pub fn record_order(&mut self, now: Moment, id: &str, purpose: OrderPurpose) {
        if let Some(record) = self.records.get_mut(id) {
            record.order = Some(PendingOrder { at: now, purpose, ended: false });
        }
    }
}

impl EngineRecord {
    fn is_loading(&self) -> bool {
        self.report.as_ref().is_some_and(|it| !it.loading.is_empty())
    }

    /// Whether the plan excludes it and it still has models to unload.
    fn is_draining(&self) -> bool {
        self.draining_since.is_some()
            && self.report.as_ref().is_some_and(|it| !it.models.is_empty())
    }

    fn end_order(&mut self, not_before: Moment) {
        if let Some(order) = &mut self.order {
            order.ended = true;
        }
        self.not_before = not_before;
        self.next_inspect = not_before;
    }

    /// Stops waiting for the result of an order long after its time to live.
    fn expire_order(&mut self, now: Moment, tuning: &PlaceTuning) {
        let is_over = |it: &PendingOrder| !it.ended && it.at + 2 * tuning.order_ttl <= now;
        if self.order.as_ref().is_some_and(is_over) {
            self.end_order(now);
        }
    }
}

/// Whether two reports are equal apart from the calls in flight.
fn is_same_state(left: Option<&EndpointReport>, right: Option<&EndpointReport>) -> bool {
    let idle = |it: &EndpointReport| EndpointReport { in_flight: 0, ..it.clone() };
    left.map(idle) == right.map(idle)
}
