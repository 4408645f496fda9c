//! The steps at which a fault can strike, recognised at the border of a node.

use std::sync::{Arc, Mutex, PoisonError};

use ferry_core::{CallEvent, Effect, Event, Metric};
use ferry_fakes::{Intercepted, Interceptor, NodeIdx};
use ferry_model::{EndpointId, Moment, ObjectKind, StageKind, StoreOp};
use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Number of the token at which a stream counts as half-way.
const MIDDLE_TOKEN: u32 = 8;

#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// A caller asks which addresses to use.
    Resolve,
    /// A request comes in.
    Admit,
    /// A claim is on its way to the store.
    Claim,
    DispatchEncode,
    DispatchRetrieve,
    DispatchRerank,
    DispatchGenerate,
    /// A call to a plain service that may be repeated.
    DispatchService,
    /// A call that may not be repeated.
    DispatchOnce,
    /// A streamed answer is half-way.
    MidStream,
    /// The whole answer of a stage has come.
    Reply,
    /// A changed configuration is on its way to the store.
    ConfigWrite,
    /// The first node applies a changed configuration.
    ConfigSpread,
    /// The placement lease is taken or renewed.
    Lease,
    /// An endpoint is ordered into another state.
    Order,
    /// A placement plan that withdraws endpoints is on its way to the store.
    Drain,
}

impl Step {
    /// Whether an endpoint takes part in the step.
    pub fn calls_endpoint(self) -> bool {
        match self {
            Step::DispatchEncode
            | Step::DispatchRetrieve
            | Step::DispatchRerank
            | Step::DispatchGenerate
            | Step::DispatchService
            | Step::DispatchOnce
            | Step::MidStream
            | Step::Reply => true,
            Step::Resolve
            | Step::Admit
            | Step::Claim
            | Step::ConfigWrite
            | Step::ConfigSpread
            | Step::Lease
            | Step::Order
            | Step::Drain => false,
        }
    }

    fn of_event(event: &Event) -> Option<Step> {
        match event {
            Event::AskInstances { .. } => Some(Step::Resolve),
            Event::Arrive(_) => Some(Step::Admit),
            Event::Call { event: CallEvent::Token { number: MIDDLE_TOKEN, .. }, .. } => {
                Some(Step::MidStream)
            }
            Event::Call { event: CallEvent::Reply { .. }, .. } => Some(Step::Reply),
            _ => None,
        }
    }

    fn of_effect(effect: &Effect) -> Option<Step> {
        match effect {
            Effect::Call(call) if !call.repeatable => Some(Step::DispatchOnce),
            Effect::Call(call) => Some(match call.kind {
                StageKind::Encode => Step::DispatchEncode,
                StageKind::Retrieve => Step::DispatchRetrieve,
                StageKind::Rerank => Step::DispatchRerank,
                StageKind::Generate => Step::DispatchGenerate,
                StageKind::Service => Step::DispatchService,
            }),
            Effect::Store { op: StoreOp::Put { key, .. }, .. } => match key.kind {
                ObjectKind::Claims => Some(Step::Claim),
                ObjectKind::Config => Some(Step::ConfigWrite),
                ObjectKind::Lease => Some(Step::Lease),
                ObjectKind::Plan => Some(Step::Drain),
                _ => None,
            },
            Effect::Count { metric: Metric::ConfigApplied, .. } => Some(Step::ConfigSpread),
            Effect::Order { .. } => Some(Step::Order),
            _ => None,
        }
    }
}

/// Where a step was seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hit {
    pub node: NodeIdx,
    /// The endpoint that takes part, if one does.
    pub endpoint: Option<EndpointId>,
}

/// Watches the border of every node for one step.
#[derive(Debug)]
pub struct Probe {
    step: Step,
    hit: Arc<Mutex<Option<Hit>>>,
    /// Whatever else disturbs the border.
    next: Option<Box<dyn Interceptor>>,
}

impl Probe {
    /// Makes a probe and the place where its hits appear.
    pub fn new(step: Step, next: Option<Box<dyn Interceptor>>) -> (Probe, Arc<Mutex<Option<Hit>>>) {
        let hit = Arc::new(Mutex::new(None));
        (Probe { step, hit: hit.clone(), next }, hit)
    }

    fn note(&self, node: NodeIdx, endpoint: Option<EndpointId>) {
        let mut hit = self.hit.lock().unwrap_or_else(PoisonError::into_inner);
        hit.get_or_insert(Hit { node, endpoint });
    }
}

impl Interceptor for Probe {
    fn event(&mut self, node: NodeIdx, now: Moment, event: Event) -> Option<Event> {
        let is_it = Step::of_event(&event) == Some(self.step);
        if is_it {
            self.note(node, None);
        }
        match &mut self.next {
            Some(next) => next.event(node, now, event),
            None => Some(event),
        }
    }

    fn effects(&mut self, node: NodeIdx, now: Moment, effects: Vec<Effect>) -> Intercepted {
        let passed = match &mut self.next {
            Some(next) => next.effects(node, now, effects),
            None => Intercepted { effects, events: Vec::new() },
        };
        let found = passed.effects.iter().find(|it| Step::of_effect(it) == Some(self.step));
        match found {
            Some(Effect::Call(call)) => self.note(node, Some(call.endpoint.clone())),
            Some(_) => self.note(node, None),
            None => (),
        }
        passed
    }
}
