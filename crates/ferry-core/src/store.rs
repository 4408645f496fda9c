//! Object API calls in flight and the part of the node that waits for each.

use ferry_model::{SortedMap, StoreOp};
use serde::{Deserialize, Serialize};

use crate::Effect;

/// Identifies one object API call of this incarnation.
pub type CallId = u64;

/// The part of the node that made a call and gets its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Owner {
    Config,
    Workspaces,
    Claims,
    Lease,
    /// The lease holder's reads and writes of the placement plan.
    Plan,
    /// The watch through which every instance follows the placement plan.
    PlanWatch,
    /// The poll that covers for a silent watch.
    PlanPoll,
    /// The stored demand of earlier days.
    History,
    Admin,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StoreCalls {
    next: CallId,
    waiting: SortedMap<CallId, Owner>,
}

impl StoreCalls {
    pub fn new() -> StoreCalls {
        StoreCalls::default()
    }

    /// Starts a call on behalf of `owner`.
    pub fn start(&mut self, owner: Owner, op: StoreOp, out: &mut Vec<Effect>) -> CallId {
        self.next += 1;
        self.waiting.insert(self.next, owner);
        out.push(Effect::Store { call: self.next, op });
        self.next
    }

    /// Returns who waits for an ended call; a second answer finds nobody.
    pub fn finish(&mut self, call: CallId) -> Option<Owner> {
        self.waiting.remove(&call)
    }
}
