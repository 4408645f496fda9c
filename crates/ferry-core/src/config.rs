//! The configuration in force, which only a higher revision replaces.
//!
//! It arrives by watch, by poll and from peers; docs/design/configuration.md explains why all
//! three are needed.

pub mod feed;
pub mod validate;

use std::sync::Arc;

use ferry_model::{
    Config, InstanceId, Moment, ObjectKind, PeerMessage, Revision, StoreError, StoreReply,
    StoredObject,
};
use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::config::feed::{Feed, Scope};
use crate::pass::Pass;
use crate::{CallId, Decision, DecisionKind, Effect, Metric, Owner};

/// Name of the one configuration object.
pub const CONFIG_NAME: &str = "deployment";

/// Time between two pulls of the same revision, each from a peer chosen at random.
const PULL_RETRY: Moment = Moment::from_millis(300);
/// Maximum number of peers remembered as sources of a revision.
const MAX_SOURCES: usize = 8;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigState {
    feed: Feed,
    /// Highest revision that a peer has announced.
    announced: Revision,
    /// Peers that have a higher revision than this instance.
    sources: Vec<InstanceId>,
    next_pull: Option<Moment>,
    started: bool,
}

impl Default for ConfigState {
    fn default() -> Self {
        ConfigState::new()
    }
}

impl ConfigState {
    pub fn new() -> ConfigState {
        ConfigState {
            feed: Feed::new(
                Owner::Config,
                ObjectKind::Config,
                Scope::Object(CONFIG_NAME.to_owned()),
            ),
            announced: 0,
            sources: Vec::new(),
            next_pull: None,
            started: false,
        }
    }

    pub fn next_wake(&self) -> Option<Moment> {
        [self.feed.next_wake(), self.next_pull].into_iter().flatten().min()
    }

    pub fn tick(&mut self, cx: &mut Pass<'_>) {
        self.feed.tick(cx);
        if !self.started {
            self.started = true;
            self.next_pull = Some(cx.now + cx.ctx.tuning.pull_grace);
        }
        if self.next_pull.is_some_and(|it| it <= cx.now) {
            self.pull(cx);
        }
    }

    pub fn on_store(
        &mut self,
        cx: &mut Pass<'_>,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) {
        for object in self.feed.on_store(cx, call, result) {
            read_object(cx, &object);
        }
    }

    /// Records that a peer has `revision`; the peer is asked for it if the object API does not
    /// deliver it.
    pub fn on_announced(&mut self, cx: &mut Pass<'_>, from: InstanceId, revision: Revision) {
        if revision <= cx.ctx.revision() {
            return;
        }
        if self.announced < revision {
            self.announced = revision;
            self.sources.clear();
        }
        if self.announced == revision
            && self.sources.len() < MAX_SOURCES
            && !self.sources.contains(&from)
        {
            self.sources.push(from);
        }
        let grace = match self.feed.is_healthy() {
            true => cx.ctx.tuning.pull_grace,
            false => Moment::ZERO,
        };
        let at = cx.now + grace;
        self.next_pull = Some(self.next_pull.map_or(at, |it| it.min(at)));
    }

    /// Sends the configuration to a peer whose own revision, `above`, is lower.
    pub fn on_pull(&self, cx: &mut Pass<'_>, from: &str, above: Revision) {
        let Some(config) = cx.ctx.config.as_ref().filter(|it| above < it.revision) else { return };
        let message = PeerMessage::Config(Box::new(Config::clone(config)));
        cx.send(from, message);
    }

    /// Asks one peer that has a higher revision, or any peer while no such peer is known.
    fn pull(&mut self, cx: &mut Pass<'_>) {
        let own = cx.ctx.revision();
        if own != 0 && self.announced <= own {
            self.next_pull = None;
            self.sources.clear();
            return;
        }
        self.next_pull = Some(cx.now + PULL_RETRY);
        let candidates = match self.sources.is_empty() {
            true => cx.ctx.members.targets(),
            false => &self.sources,
        };
        if candidates.is_empty() {
            return;
        }
        let idx = cx.ctx.rng.random_range(0..candidates.len());
        let to = candidates[idx].clone();
        cx.send(&to, PeerMessage::PullConfig { above: own });
    }
}

/// Parses a stored configuration and applies it if it is newer.
fn read_object(cx: &mut Pass<'_>, object: &StoredObject) {
    if object.name != CONFIG_NAME {
        return;
    }
    match serde_json::from_str::<Config>(&object.value) {
        Ok(config) => apply_newer(cx, config),
        Err(error) => {
            let reason = format!("could not read the configuration object: {error}");
            let decision = Decision::new(DecisionKind::Configure, reason, cx.ctx.revision());
            cx.effects.push(Effect::Log(decision));
        }
    }
}

/// Applies a configuration if its revision is higher than the one in force, and announces it.
pub fn apply_newer(cx: &mut Pass<'_>, config: Config) {
    if config.revision <= cx.ctx.revision() {
        return;
    }
    let reason = format!("revision {} replaces {}", config.revision, cx.ctx.revision());
    cx.effects.push(Effect::Log(Decision::new(DecisionKind::Configure, reason, config.revision)));
    cx.effects.push(Effect::Count { metric: Metric::ConfigApplied, by: 1 });
    cx.ctx.members.note_revision(cx.now, config.revision);
    cx.ctx.config = Some(Arc::new(config));
    cx.ctx.members.announce(cx.now);
}
