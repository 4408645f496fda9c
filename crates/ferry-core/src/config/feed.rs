//! Follows objects of one kind by watch, and by poll in case the watch misses changes.

use std::time::Duration;

use ferry_model::{
    Moment, ObjectKey, ObjectKind, StoreError, StoreOp, StoreReply, StoredObject, Version,
};
use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::pass::Pass;
use crate::{CallId, Owner};

/// Time between polls per known instance, so that a larger fleet polls less often.
const POLL_PER_INSTANCE: Duration = Duration::from_millis(100);
/// Minimum time between the starts of two watches if the first one returns no changes.
const MIN_WATCH: Duration = Duration::from_secs(1);

/// What is read before the watch has a position, and whether it is also polled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// One small object, polled in case a watch misses a change.
    Object(String),
    /// All objects of the kind: too many to poll, so peers send the changes that a watch misses.
    Kind,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Feed {
    owner: Owner,
    kind: ObjectKind,
    scope: Scope,
    poll: Option<CallId>,
    watch: Option<CallId>,
    /// Version from which the watch continues; `None` until the first read.
    position: Option<Version>,
    watched_at: Moment,
    next_poll: Option<Moment>,
    next_watch: Moment,
    is_healthy: bool,
}

impl Feed {
    pub fn new(owner: Owner, kind: ObjectKind, scope: Scope) -> Feed {
        Feed {
            owner,
            kind,
            scope,
            poll: None,
            watch: None,
            position: None,
            watched_at: Moment::ZERO,
            next_poll: Some(Moment::ZERO),
            next_watch: Moment::ZERO,
            is_healthy: false,
        }
    }

    /// Whether the last call to the object API succeeded.
    pub fn is_healthy(&self) -> bool {
        self.is_healthy
    }

    pub fn next_wake(&self) -> Option<Moment> {
        let poll = self.next_poll.filter(|_| self.poll.is_none());
        let watch = (self.watch.is_none() && self.position.is_some()).then_some(self.next_watch);
        [poll, watch].into_iter().flatten().min()
    }

    pub fn tick(&mut self, cx: &mut Pass<'_>) {
        if self.poll.is_none() && self.next_poll.is_some_and(|it| it <= cx.now) {
            let op = match &self.scope {
                Scope::Object(name) => {
                    StoreOp::Get { key: ObjectKey::new(self.kind, name.as_str()) }
                }
                Scope::Kind => StoreOp::List { kind: self.kind },
            };
            self.poll = Some(cx.ctx.calls.start(self.owner, op, cx.effects));
        }
        if let Some(since) = self.position
            && self.watch.is_none()
            && self.next_watch <= cx.now
        {
            self.watched_at = cx.now;
            let op = StoreOp::Watch { kind: self.kind, since };
            self.watch = Some(cx.ctx.calls.start(self.owner, op, cx.effects));
        }
    }

    /// Handles the result of a call and returns the objects that it contains.
    pub fn on_store(
        &mut self,
        cx: &mut Pass<'_>,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) -> Vec<StoredObject> {
        let objects = if self.poll == Some(call) {
            self.poll = None;
            self.on_poll(cx, result)
        } else if self.watch == Some(call) {
            self.watch = None;
            self.on_watch(cx, result)
        } else {
            Vec::new()
        };
        self.tick(cx);
        objects
    }

    fn on_poll(
        &mut self,
        cx: &mut Pass<'_>,
        result: Result<StoreReply, StoreError>,
    ) -> Vec<StoredObject> {
        let (objects, version) = match result {
            Ok(StoreReply::Object(found)) => {
                let version = found.as_ref().map_or(0, |it| it.version);
                (Vec::from_iter(found), version)
            }
            Ok(StoreReply::List { objects, version }) => (objects, version),
            Ok(_) | Err(_) => {
                self.is_healthy = false;
                self.next_poll = Some(cx.now + retry_after(cx));
                return Vec::new();
            }
        };
        self.is_healthy = true;
        self.position = Some(self.position.unwrap_or(0).max(version));
        self.next_poll = match self.scope {
            Scope::Object(_) => Some(cx.now + next_interval(cx)),
            Scope::Kind => None,
        };
        objects
    }

    fn on_watch(
        &mut self,
        cx: &mut Pass<'_>,
        result: Result<StoreReply, StoreError>,
    ) -> Vec<StoredObject> {
        match result {
            Ok(StoreReply::Changed { objects, version }) => {
                self.is_healthy = true;
                self.position = Some(self.position.unwrap_or(0).max(version));
                self.next_watch = match objects.is_empty() {
                    true => cx.now.max(self.watched_at + MIN_WATCH),
                    false => cx.now,
                };
                objects
            }
            Err(StoreError::Gone) => {
                self.position = None;
                self.next_poll = Some(cx.now);
                Vec::new()
            }
            Ok(_) | Err(_) => {
                self.is_healthy = false;
                let retry = cx.now + retry_after(cx);
                self.next_watch = retry;
                // The watch may have missed changes while the object API was unavailable.
                self.next_poll = match self.scope {
                    Scope::Object(_) => Some(self.next_poll.unwrap_or(retry).min(retry)),
                    Scope::Kind => self.next_poll,
                };
                Vec::new()
            }
        }
    }
}

/// Returns the time between polls, which grows with the fleet to limit the load of all its polls.
fn poll_interval(cx: &Pass<'_>) -> Duration {
    let tuning = &cx.ctx.tuning;
    let stretched = POLL_PER_INSTANCE * cx.ctx.members.len() as u32;
    stretched.clamp(tuning.config_poll, tuning.config_poll_max.max(tuning.config_poll))
}

/// Varies a duration by up to 10 %, so that calls of many instances do not coincide.
pub fn jitter(cx: &mut Pass<'_>, time: Duration) -> Duration {
    time.mul_f64(cx.ctx.rng.random_range(0.9..1.1))
}

fn retry_after(cx: &mut Pass<'_>) -> Duration {
    let time = cx.ctx.tuning.store_retry;
    jitter(cx, time)
}

fn next_interval(cx: &mut Pass<'_>) -> Duration {
    let time = poll_interval(cx);
    jitter(cx, time)
}
