//! The placement lease: which instance may send orders, and under which fencing number.
//!
//! It is taken and renewed by conditional updates only, so two instances never hold
//! one version. The holder counts its time to live on its own monotonic clock from
//! before the write, so it always gives up before a contender may take over.
//! See docs/design/placement.md.

use ferry_model::{
    Fence, Lease, Moment, ObjectKey, ObjectKind, StoreError, StoreOp, StoreReply, StoredObject,
    Version,
};
use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::pass::Pass;
use crate::{Decision, DecisionKind, Effect, Owner};

/// Name of the one lease object.
pub const LEASE_NAME: &str = "placement";

/// The pending call to the object API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum Step {
    Idle,
    Reading,
    Writing(Write),
    /// The answer to the write was lost; a read must show whether it took effect.
    Unconfirmed(Write),
    Confirming(Write),
    Releasing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Write {
    nonce: u64,
    sent: Moment,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Held {
    fence: Fence,
    until: Moment,
    /// When the current term started.
    since: Moment,
}

/// The version of the lease that a contender last saw, and when it first saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Seen {
    version: Version,
    at: Moment,
}

/// One uninterrupted period of holding the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// Version of the lease at its last write.
    pub fence: Fence,
    pub since: Moment,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseState {
    step: Step,
    next: Moment,
    seen: Option<Seen>,
    held: Option<Held>,
    leaving: bool,
}

impl Default for LeaseState {
    fn default() -> Self {
        LeaseState { step: Step::Idle, next: Moment::ZERO, seen: None, held: None, leaving: false }
    }
}

impl LeaseState {
    /// Returns the term while the lease is certainly held; call it right before each action.
    pub fn term(&self, now: Moment) -> Option<Term> {
        let held = self.held.filter(|it| now < it.until)?;
        Some(Term { fence: held.fence, since: held.since })
    }

    pub fn next_wake(&self) -> Option<Moment> {
        let next = match self.step {
            Step::Idle | Step::Unconfirmed(_) if !self.leaving => Some(self.next),
            _ => None,
        };
        let lapse = self.held.map(|it| it.until);
        [next, lapse].into_iter().flatten().min()
    }

    pub fn tick(&mut self, cx: &mut Pass<'_>) {
        self.lapse(cx);
        if self.leaving || cx.now < self.next {
            return;
        }
        match self.step {
            Step::Idle => match self.held {
                Some(held) => self.write(cx, held.fence),
                None => self.read(cx, Step::Reading),
            },
            Step::Unconfirmed(write) => self.read(cx, Step::Confirming(write)),
            Step::Reading | Step::Writing(_) | Step::Confirming(_) | Step::Releasing => (),
        }
    }

    pub fn on_store(&mut self, cx: &mut Pass<'_>, result: Result<StoreReply, StoreError>) {
        self.lapse(cx);
        match std::mem::replace(&mut self.step, Step::Idle) {
            Step::Reading => self.on_read(cx, result),
            Step::Writing(write) => self.on_written(cx, write, result),
            Step::Confirming(write) => self.on_confirmed(cx, write, result),
            Step::Idle | Step::Unconfirmed(_) | Step::Releasing => (),
        }
    }

    /// Stops using the lease at once, as another instance may hold it.
    pub fn abandon(&mut self, cx: &mut Pass<'_>, reason: &str) {
        if self.held.take().is_some() {
            log(cx, reason);
            self.next = cx.now;
        }
    }

    /// Releases the lease, so that another instance need not wait until it lapses.
    pub fn shutdown(&mut self, cx: &mut Pass<'_>) {
        self.leaving = true;
        let Some(held) = self.held.take() else { return };
        log(cx, "released the lease at shutdown");
        self.put(cx, held.fence, Moment::ZERO);
        self.step = Step::Releasing;
    }

    fn lapse(&mut self, cx: &mut Pass<'_>) {
        if self.held.is_some_and(|it| it.until <= cx.now) {
            self.held = None;
            log(cx, "the lease has lapsed");
        }
    }

    fn read(&mut self, cx: &mut Pass<'_>, step: Step) {
        self.step = step;
        cx.ctx.calls.start(Owner::Lease, StoreOp::Get { key: lease_key() }, cx.effects);
    }

    fn write(&mut self, cx: &mut Pass<'_>, expect: Version) {
        let ttl = cx.ctx.tuning.place.lease_ttl;
        let nonce = self.put(cx, expect, ttl);
        self.step = Step::Writing(Write { nonce, sent: cx.now });
    }

    fn put(&mut self, cx: &mut Pass<'_>, expect: Version, ttl: Moment) -> u64 {
        let nonce = cx.ctx.rng.random();
        let lease = Lease {
            holder: cx.ctx.identity.instance.clone(),
            incarnation: cx.ctx.identity.incarnation,
            nonce,
            ttl,
        };
        let value = serde_json::to_string(&lease).unwrap_or_default();
        cx.ctx.calls.start(
            Owner::Lease,
            StoreOp::Put { key: lease_key(), expect, value },
            cx.effects,
        );
        nonce
    }

    fn on_read(&mut self, cx: &mut Pass<'_>, result: Result<StoreReply, StoreError>) {
        match result {
            Ok(StoreReply::Object(None)) => self.write(cx, 0),
            Ok(StoreReply::Object(Some(object))) => self.contend(cx, &object),
            Ok(_) | Err(_) => self.next = cx.now + cx.ctx.tuning.place.lease_poll,
        }
    }

    /// Takes the lease if its holder is this process, has released it or has let it lapse.
    fn contend(&mut self, cx: &mut Pass<'_>, object: &StoredObject) {
        let seen = match self.seen {
            Some(seen) if seen.version == object.version => seen,
            Some(_) | None => Seen { version: object.version, at: cx.now },
        };
        self.seen = Some(seen);
        let place = &cx.ctx.tuning.place;
        let lease: Option<Lease> = serde_json::from_str(&object.value).ok();
        let ttl = lease.as_ref().map_or(place.lease_ttl, |it| it.ttl);
        let is_mine = lease.as_ref().is_some_and(|it| {
            it.holder == cx.ctx.identity.instance && it.incarnation == cx.ctx.identity.incarnation
        });
        let is_over = ttl.is_zero() || seen.at + ttl + place.lease_margin <= cx.now;
        if is_mine || is_over {
            self.write(cx, object.version);
        } else {
            self.next = cx.now + place.lease_poll;
        }
    }

    fn on_written(
        &mut self,
        cx: &mut Pass<'_>,
        write: Write,
        result: Result<StoreReply, StoreError>,
    ) {
        match result {
            Ok(StoreReply::Written(version)) => self.hold(cx, version, write),
            Err(StoreError::Unknown(_)) => {
                self.step = Step::Unconfirmed(write);
                self.next = cx.now;
                self.tick(cx);
            }
            Err(StoreError::Conflict(_)) => {
                self.abandon(cx, "another instance wrote the lease");
                self.next = cx.now + cx.ctx.tuning.place.lease_poll;
            }
            Ok(_) | Err(_) => self.next = cx.now + cx.ctx.tuning.place.lease_poll,
        }
    }

    /// Handles the read after a lost answer: the nonce shows whether the write took effect.
    fn on_confirmed(
        &mut self,
        cx: &mut Pass<'_>,
        write: Write,
        result: Result<StoreReply, StoreError>,
    ) {
        match result {
            Ok(StoreReply::Object(Some(object))) => {
                let lease: Option<Lease> = serde_json::from_str(&object.value).ok();
                if lease.is_some_and(|it| it.nonce == write.nonce) {
                    self.hold(cx, object.version, write);
                } else {
                    self.next = cx.now + cx.ctx.tuning.place.lease_poll;
                }
            }
            Ok(_) => self.next = cx.now + cx.ctx.tuning.place.lease_poll,
            Err(_) => {
                self.step = Step::Unconfirmed(write);
                self.next = cx.now + cx.ctx.tuning.place.lease_poll;
            }
        }
    }

    fn hold(&mut self, cx: &mut Pass<'_>, fence: Fence, write: Write) {
        let place = &cx.ctx.tuning.place;
        let until = write.sent + place.lease_ttl.saturating_sub(place.lease_margin);
        self.next = (write.sent + place.renew_interval).max(cx.now);
        if self.leaving || until <= cx.now {
            return;
        }
        let since = match self.held {
            Some(held) => held.since,
            None => {
                log(cx, &format!("holds the lease with fencing number {fence}"));
                cx.now
            }
        };
        self.held = Some(Held { fence, until, since });
    }
}

fn lease_key() -> ObjectKey {
    ObjectKey::new(ObjectKind::Lease, LEASE_NAME)
}

fn log(cx: &mut Pass<'_>, reason: &str) {
    cx.effects.push(Effect::Log(Decision::new(DecisionKind::Lease, reason, cx.ctx.revision())));
}
