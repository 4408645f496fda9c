//! What is due when on virtual time.

use std::cmp::Ordering;

use ferry_core::{Event, StageCall};
use ferry_model::{AttemptId, EndpointId, Moment, Order, StoreOp};

use super::NodeIdx;

/// One thing that is due; entries of one moment keep the order in which they were made.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) at: Moment,
    pub(super) number: u64,
    pub(super) item: Item,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

#[derive(Debug)]
pub(super) enum Item {
    Node { node: NodeIdx, generation: u32, event: Event },
    Wake { node: NodeIdx, generation: u32 },
    Call { node: NodeIdx, generation: u32, call: Box<StageCall> },
    Finish { endpoint: EndpointId, node: NodeIdx, generation: u32, attempt: AttemptId },
    Cancel { endpoint: EndpointId, node: NodeIdx, generation: u32, attempt: AttemptId },
    Store { node: NodeIdx, generation: u32, call: u64, op: StoreOp },
    Order { node: NodeIdx, generation: u32, order: Box<Order> },
    Inspect { node: NodeIdx, generation: u32, endpoint: EndpointId },
    Loaded { endpoint: EndpointId, number: u64 },
    LateWrite { op: StoreOp },
    List,
}
