//! Follows the placement plan on every instance: by watch, and by poll if the watch is silent.

use std::time::Duration;

use ferry_model::{
    Moment, ObjectKey, ObjectKind, Plan, StoreError, StoreOp, StoreReply, StoredObject, Version,
};
use serde::{Deserialize, Serialize};

use crate::pass::Pass;
use crate::{Decision, DecisionKind, Effect, Owner};

/// Name of the one plan object.
pub const PLAN_NAME: &str = "deployment";

/// Minimum time between two watches, so that an object API that answers at once is not flooded.
const WATCH_PAUSE: Duration = Duration::from_millis(100);
/// Time before a failed watch is retried.
const WATCH_RETRY: Duration = Duration::from_secs(1);

/// Reads the plan and applies each higher revision.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PlanReader {
    version: Version,
    watching: bool,
    polling: bool,
    next_watch: Moment,
    next_poll: Moment,
}

impl PlanReader {
    pub fn next_wake(&self) -> Option<Moment> {
        let watch = (!self.watching).then_some(self.next_watch);
        let poll = (!self.polling).then_some(self.next_poll);
        [watch, poll].into_iter().flatten().min()
    }

    pub fn tick(&mut self, cx: &mut Pass<'_>) {
        if !self.polling && self.next_poll <= cx.now {
            self.polling = true;
            let op = StoreOp::Get { key: plan_key() };
            cx.ctx.calls.start(Owner::PlanPoll, op, cx.effects);
        }
        if !self.watching && self.next_watch <= cx.now {
            self.watching = true;
            let op = StoreOp::Watch { kind: ObjectKind::Plan, since: self.version };
            cx.ctx.calls.start(Owner::PlanWatch, op, cx.effects);
        }
    }

    pub fn on_poll(&mut self, cx: &mut Pass<'_>, result: Result<StoreReply, StoreError>) {
        self.polling = false;
        self.next_poll = cx.now + cx.ctx.tuning.place.plan_poll;
        if let Ok(StoreReply::Object(Some(object))) = result {
            self.read_object(cx, &object);
        }
    }

    pub fn on_watch(&mut self, cx: &mut Pass<'_>, result: Result<StoreReply, StoreError>) {
        self.watching = false;
        match result {
            Ok(StoreReply::Changed { objects, version }) => {
                self.next_watch = cx.now + WATCH_PAUSE;
                self.version = self.version.max(version);
                if !objects.is_empty() {
                    self.next_poll = cx.now + cx.ctx.tuning.place.plan_poll;
                }
                for object in &objects {
                    self.read_object(cx, object);
                }
            }
            Err(StoreError::Gone) => {
                self.next_watch = cx.now + WATCH_PAUSE;
                self.version = 0;
                self.next_poll = cx.now;
            }
            Ok(_) | Err(_) => self.next_watch = cx.now + WATCH_RETRY,
        }
    }

    fn read_object(&mut self, cx: &mut Pass<'_>, object: &StoredObject) {
        self.version = self.version.max(object.version);
        if object.name != PLAN_NAME {
            return;
        }
        match serde_json::from_str::<Plan>(&object.value) {
            Ok(plan) => apply_newer(cx, plan),
            Err(error) => {
                let reason = format!("could not read the plan object: {error}");
                let decision = Decision::new(DecisionKind::Drain, reason, cx.ctx.revision());
                cx.effects.push(Effect::Log(decision));
            }
        }
    }
}

/// Applies a plan if its revision is higher than that of the one in force.
pub fn apply_newer(cx: &mut Pass<'_>, plan: Plan) {
    let reason = format!("plan {} excludes {} endpoints", plan.revision, plan.draining.len());
    if cx.ctx.fleet.set_plan(plan) {
        cx.effects.push(Effect::Log(Decision::new(DecisionKind::Drain, reason, cx.ctx.revision())));
    }
}

pub fn plan_key() -> ObjectKey {
    ObjectKey::new(ObjectKind::Plan, PLAN_NAME)
}
