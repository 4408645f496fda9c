//! Checks fencing of orders to endpoints, and that orders interrupt no calls.

use ferry_fakes::World;
use ferry_model::{Fence, SortedMap};

use super::{Invariant, Violation};

pub(super) fn check(world: &World, violations: &mut Vec<Violation>) {
    let mut highest: SortedMap<&str, Fence> = SortedMap::new();
    for order in world.orders.iter().filter(|it| !it.fenced) {
        let newest = highest.get_or_insert_with(order.endpoint.as_str(), || 0);
        if order.fence < *newest {
            let (endpoint, fence) = (&order.endpoint, order.fence);
            let detail = format!("{endpoint} followed an order with fence {fence} after {newest}");
            violations.push(Violation::new(Invariant::Fenced, detail));
        }
        *newest = (*newest).max(order.fence);
        if 0 < order.broken_calls {
            let (endpoint, n_calls) = (&order.endpoint, order.broken_calls);
            let detail = format!("an order to {endpoint} interrupted {n_calls} calls in flight");
            violations.push(Violation::new(Invariant::UninterruptedCalls, detail));
        }
    }
}
