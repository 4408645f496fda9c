//! Orders to endpoints: fencing, and work in flight.

use ferry_fakes::World;
use ferry_model::{Fence, SortedMap};

use super::{Promise, Violation};

pub(super) fn check(world: &World, found: &mut Vec<Violation>) {
    let mut highest: SortedMap<&str, Fence> = SortedMap::new();
    for order in world.orders.iter().filter(|it| !it.fenced) {
        let seen = highest.get_or_insert_with(order.endpoint.as_str(), || 0);
        if order.fence < *seen {
            let (endpoint, fence) = (&order.endpoint, order.fence);
            let what = format!("{endpoint} obeyed fence {fence} after {seen}");
            found.push(Violation::new(Promise::Fenced, what));
        }
        *seen = (*seen).max(order.fence);
        if 0 < order.broken_calls {
            let (endpoint, n_cut) = (&order.endpoint, order.broken_calls);
            let what = format!("an order to {endpoint} cut {n_cut} calls in flight");
            found.push(Violation::new(Promise::Uncut, what));
        }
    }
}
