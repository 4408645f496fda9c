//! Writes the plan: each change is a conditional update of the one plan object.
//!
//! The first write in a term fences out the writes of the previous holder, whose
//! condition then fails whenever they arrive.

use ferry_model::{
    EndpointId, Fence, Moment, Plan, StoreError, StoreOp, StoreReply, StoredObject, Version,
};
use serde::{Deserialize, Serialize};

use super::plan;
use crate::Owner;
use crate::pass::Pass;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Step {
    Unread,
    Reading,
    Ready,
    Writing(Plan),
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Publisher {
    step: Step,
    version: Version,
    /// The plan that the object API stores.
    stored: Plan,
    next_read: Moment,
}

impl Default for Publisher {
    fn default() -> Self {
        Publisher {
            step: Step::Unread,
            version: 0,
            stored: Plan::default(),
            next_read: Moment::ZERO,
        }
    }
}

impl Publisher {
    pub fn start_term(&mut self) {
        *self = Publisher::default();
    }

    /// Reads the stored plan until it is known.
    pub fn tick(&mut self, cx: &mut Pass<'_>) {
        if self.step == Step::Unread && self.next_read <= cx.now {
            self.step = Step::Reading;
            let op = StoreOp::Get { key: plan::plan_key() };
            cx.ctx.calls.start(Owner::Plan, op, cx.effects);
        }
    }

    /// Returns the stored plan if it is known and no write of it is pending.
    pub fn stored_plan(&self) -> Option<&Plan> {
        (self.step == Step::Ready).then_some(&self.stored)
    }

    /// Writes the plan as the next revision if it differs from the stored one or a term begins.
    pub fn publish(
        &mut self,
        cx: &mut Pass<'_>,
        fence: Fence,
        draining: Vec<EndpointId>,
        holding: Vec<EndpointId>,
    ) {
        if self.step != Step::Ready {
            return;
        }
        let is_same = fence <= self.stored.fence
            && draining == self.stored.draining
            && holding == self.stored.holding;
        if is_same {
            return;
        }
        let plan = Plan { revision: self.stored.revision + 1, fence, draining, holding };
        let value = serde_json::to_string(&plan).unwrap_or_default();
        let op = StoreOp::Put { key: plan::plan_key(), expect: self.version, value };
        cx.ctx.calls.start(Owner::Plan, op, cx.effects);
        self.step = Step::Writing(plan);
    }

    pub fn on_store(&mut self, cx: &mut Pass<'_>, result: Result<StoreReply, StoreError>) {
        match (std::mem::replace(&mut self.step, Step::Unread), result) {
            (Step::Reading, Ok(StoreReply::Object(object))) => self.on_read(cx, object),
            (Step::Writing(plan), Ok(StoreReply::Written(version))) => {
                self.accept(cx, plan, version);
            }
            // Reads which plan is stored: this one or that of another holder.
            (Step::Writing(_), Err(StoreError::Unknown(_) | StoreError::Conflict(_))) => {
                self.next_read = cx.now;
                self.tick(cx);
            }
            (Step::Unread | Step::Ready, _) => (),
            (Step::Reading | Step::Writing(_), _) => {
                self.next_read = cx.now + cx.ctx.tuning.place.lease_poll;
            }
        }
    }

    fn on_read(&mut self, cx: &mut Pass<'_>, object: Option<StoredObject>) {
        self.step = Step::Ready;
        let Some(object) = object else { return };
        self.version = object.version;
        if let Ok(plan) = serde_json::from_str::<Plan>(&object.value) {
            self.stored = plan.clone();
            plan::apply_newer(cx, plan);
        }
    }

    fn accept(&mut self, cx: &mut Pass<'_>, plan: Plan, version: Version) {
        self.step = Step::Ready;
        self.version = version;
        self.stored = plan.clone();
        plan::apply_newer(cx, plan);
    }
}
