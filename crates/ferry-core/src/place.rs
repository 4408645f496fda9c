//! Placement: which endpoints hold capacity, as decided by the holder of a lease.
//!
//! Every instance follows the published plan ([`plan`]). Control instances also
//! contend for the lease ([`lease`]). Its holder reads demand from heartbeats
//! ([`demand`], [`forecast`]), sizes each pool ([`scale`]), publishes the plan
//! ([`publish`]) and orders endpoints to follow it ([`engines`]). The design is
//! in docs/design/placement.md.

pub mod demand;
pub mod engines;
pub mod forecast;
pub mod lease;
pub mod plan;
pub mod publish;
pub mod scale;
pub mod tuning;

mod decide;

use std::time::Duration;

use ferry_model::{
    EndpointReport, Fence, Heartbeat, Instance, Moment, OrderResult, StoreError, StoreReply,
};
use serde::{Deserialize, Serialize};

use crate::pass::{Context, Pass};
use crate::{InstanceRole, Owner};

pub use tuning::PlaceTuning;

/// How long reports are collected before a decision, as each decision looks at every endpoint.
const COLLECT_TIME: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Placement {
    reader: plan::PlanReader,
    lease: lease::LeaseState,
    demand: demand::Demand,
    history: forecast::History,
    publisher: publish::Publisher,
    engines: engines::Engines,
    needs: scale::NeedHistory,
    /// The term that the state above belongs to, with the fencing number of its first write.
    term: Option<lease::Term>,
    next_decision: Moment,
    /// When to decide ahead of time because a report changed what is known.
    early_decision: Option<Moment>,
}

impl Placement {
    pub fn new() -> Placement {
        Placement::default()
    }

    /// Returns the fencing number while it is certain that this instance holds the lease.
    pub fn fence(&self, now: Moment) -> Option<Fence> {
        self.lease.term(now).map(|it| it.fence)
    }

    pub fn next_wake(&self, ctx: &Context) -> Option<Moment> {
        if !is_contender(ctx) {
            return self.reader.next_wake();
        }
        let decision = self.term.map(|_| self.decision_at());
        [self.reader.next_wake(), self.lease.next_wake(), decision].into_iter().flatten().min()
    }

    pub fn tick(&mut self, cx: &mut Pass<'_>) {
        self.reader.tick(cx);
        if !is_contender(cx.ctx) {
            return;
        }
        self.lease.tick(cx);
        self.follow_lease(cx);
        if self.term.is_none() || cx.now < self.decision_at() {
            return;
        }
        if self.next_decision <= cx.now {
            self.next_decision = cx.now + cx.ctx.tuning.place.decision_interval;
            self.demand.sample(cx.now, &cx.ctx.tuning.place);
        }
        self.early_decision = None;
        self.decide(cx);
    }

    fn decision_at(&self) -> Moment {
        self.early_decision.map_or(self.next_decision, |it| it.min(self.next_decision))
    }

    pub fn on_store(
        &mut self,
        cx: &mut Pass<'_>,
        owner: Owner,
        result: Result<StoreReply, StoreError>,
    ) {
        match owner {
            Owner::Lease => {
                self.lease.on_store(cx, result);
                self.follow_lease(cx);
            }
            Owner::Plan => {
                self.publisher.on_store(cx, result);
                self.decide(cx);
            }
            Owner::PlanWatch => self.reader.on_watch(cx, result),
            Owner::PlanPoll => self.reader.on_poll(cx, result),
            Owner::History => self.history.on_store(cx, result),
            Owner::Config | Owner::Workspaces | Owner::Claims | Owner::Admin => (),
        }
    }

    pub fn on_instances(&mut self, instances: &[Instance]) {
        self.demand.on_instances(instances);
    }

    pub fn on_heartbeat(&mut self, cx: &mut Pass<'_>, heartbeat: &Heartbeat) {
        if is_contender(cx.ctx) {
            self.demand.on_heartbeat(cx.now, heartbeat);
        }
    }

    pub fn on_report(&mut self, cx: &mut Pass<'_>, id: &str, report: Option<EndpointReport>) {
        let is_changed = self.engines.on_report(cx.now, &cx.ctx.tuning.place, id, report);
        if is_changed && self.early_decision.is_none() {
            self.early_decision = Some(cx.now + COLLECT_TIME);
        }
    }

    pub fn on_ordered(&mut self, cx: &mut Pass<'_>, id: &str, fence: Fence, end: &OrderResult) {
        self.engines.on_ordered(cx.now, &cx.ctx.tuning.place, id, end);
        if let OrderResult::Fenced { seen } = end
            && fence < *seen
            && self.lease.term(cx.now).is_some_and(|it| it.fence < *seen)
        {
            self.lease.abandon(cx, "an endpoint has seen a higher fencing number");
            self.follow_lease(cx);
        }
    }

    pub fn shutdown(&mut self, cx: &mut Pass<'_>) {
        self.lease.shutdown(cx);
        self.follow_lease(cx);
    }

    /// Starts a new term when the lease was gained, and ends the term when it was lost.
    fn follow_lease(&mut self, cx: &mut Pass<'_>) {
        let term = self.lease.term(cx.now);
        match (self.term, term) {
            (Some(known), Some(term)) if known.since == term.since => (),
            (_, Some(term)) => {
                self.term = Some(term);
                self.next_decision = cx.now;
                self.early_decision = None;
                self.engines.start_term();
                self.publisher.start_term();
                self.history.start_term();
            }
            (_, None) => self.term = None,
        }
    }
}

fn is_contender(ctx: &Context) -> bool {
    ctx.identity.role == InstanceRole::Control && ctx.tuning.place.enabled
}
