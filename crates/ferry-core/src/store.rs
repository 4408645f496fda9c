//! Object API calls in flight, each with the component of the node that waits for its result.

use ferry_model::{SortedMap, StoreOp};
use serde::{Deserialize, Serialize};

use crate::Effect;

/// Identifies one object API call of this incarnation.
pub type CallId = u64;

/// The component of the node that made a call and gets its result.
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
    /// The poll that finds changes which the watch has missed.
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
    pub fn start(&mut self, owner: Owner, op: StoreOp, effects: &mut Vec<Effect>) -> CallId {
        self.next += 1;
        self.waiting.insert(self.next, owner);
        effects.push(Effect::Store { call: self.next, op });
        self.next
    }

    /// Returns the owner of an ended call, or `None` if its result was already delivered.
    pub fn finish(&mut self, call: CallId) -> Option<Owner> {
        self.waiting.remove(&call)
    }
}
