//! The configuration in force: only a higher revision ever replaces it.

use std::sync::Arc;

use ferry_model::{Config, Moment, ObjectKey, ObjectKind, StoreError, StoreOp, StoreReply};
use serde::{Deserialize, Serialize};

use crate::node::Turn;
use crate::{Decision, DecisionKind, Effect, Metric, Owner};

/// Name of the one configuration object.
pub const CONFIG_NAME: &str = "deployment";

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ConfigState {
    next_poll: Moment,
    polling: bool,
}

impl ConfigState {
    pub fn new() -> ConfigState {
        ConfigState::default()
    }

    pub fn next_wake(&self) -> Option<Moment> {
        (!self.polling).then_some(self.next_poll)
    }

    pub fn tick(&mut self, cx: &mut Turn<'_>) {
        if self.polling || cx.now < self.next_poll {
            return;
        }
        self.polling = true;
        let key = ObjectKey::new(ObjectKind::Config, CONFIG_NAME);
        cx.ctx.calls.start(Owner::Config, StoreOp::Get { key }, cx.out);
    }

    pub fn on_store(&mut self, cx: &mut Turn<'_>, result: Result<StoreReply, StoreError>) {
        self.polling = false;
        self.next_poll = cx.now + cx.ctx.tuning.config_poll;
        let Ok(StoreReply::Object(Some(object))) = result else { return };
        match serde_json::from_str::<Config>(&object.value) {
            Ok(config) => offer(cx, config),
            Err(error) => {
                let reason = format!("could not read the configuration object: {error}");
                cx.out.push(Effect::Log(Decision::new(
                    DecisionKind::Configure,
                    reason,
                    cx.ctx.revision(),
                )));
            }
        }
    }
}

/// Applies a configuration if its revision is higher than the one in force.
pub fn offer(cx: &mut Turn<'_>, config: Config) {
    if config.revision <= cx.ctx.revision() {
        return;
    }
    let reason = format!("revision {} replaces {}", config.revision, cx.ctx.revision());
    cx.out.push(Effect::Log(Decision::new(DecisionKind::Configure, reason, config.revision)));
    cx.out.push(Effect::Count { metric: Metric::ConfigApplied, by: 1 });
    cx.ctx.config = Some(Arc::new(config));
}
