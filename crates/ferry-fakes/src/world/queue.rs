//! The actions that are due on virtual time.

use std::cmp::Ordering;

use ferry_core::{Event, StageCall};
use ferry_model::{AttemptId, EndpointId, Moment, Order, StoreOp};

use super::NodeIdx;

/// An action with its due time; actions due at the same time keep their order of scheduling.
#[derive(Debug)]
pub(super) struct Scheduled {
    pub(super) at: Moment,
    pub(super) number: u64,
    pub(super) action: Action,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

#[derive(Debug)]
pub(super) enum Action {
    Deliver { node: NodeIdx, generation: u32, event: Event },
    Wake { node: NodeIdx, generation: u32 },
    Call { node: NodeIdx, generation: u32, call: Box<StageCall> },
    FinishCall { endpoint: EndpointId, node: NodeIdx, generation: u32, attempt: AttemptId },
    CancelCall { endpoint: EndpointId, node: NodeIdx, generation: u32, attempt: AttemptId },
    Store { node: NodeIdx, generation: u32, call: u64, op: StoreOp },
    Order { node: NodeIdx, generation: u32, order: Box<Order> },
    Inspect { node: NodeIdx, generation: u32, endpoint: EndpointId },
    FinishLoad { endpoint: EndpointId, number: u64 },
    LateWrite { op: StoreOp },
    DeliverLists,
}
