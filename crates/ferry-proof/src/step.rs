//! The steps at which faults can be injected, detected from the events and effects of a node.

use std::sync::{Arc, Mutex, PoisonError};

use ferry_core::{CallEvent, Effect, Event, Metric};
use ferry_fakes::{Intercepted, Interceptor, NodeIdx};
use ferry_model::{EndpointId, Moment, ObjectKind, StageKind, StoreOp};
use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Number of the token at which a stream counts as halfway.
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
    /// A caller asks for the addresses of instances.
    Resolve,
    /// A request arrives.
    Admit,
    /// A claim is sent to the store.
    Claim,
    DispatchEncode,
    DispatchRetrieve,
    DispatchRerank,
    DispatchGenerate,
    /// A repeatable call to a plain service.
    DispatchService,
    /// A call that must not be repeated.
    DispatchOnce,
    /// A streamed answer is halfway.
    MidStream,
    /// The complete answer of a stage arrives.
    Reply,
    /// A changed configuration is sent to the store.
    ConfigWrite,
    /// A node applies a changed configuration.
    ConfigSpread,
    /// The placement lease is taken or renewed.
    Lease,
    /// An order to change its state is sent to an endpoint.
    Order,
    /// A placement plan that withdraws endpoints is sent to the store.
    Drain,
}

impl Step {
    /// Returns whether the step is part of a call to an endpoint.
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

/// A place where a step occurred.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Occurrence {
    pub node: NodeIdx,
    /// The endpoint that is called, if any.
    pub endpoint: Option<EndpointId>,
}

/// Watches every node for one step.
#[derive(Debug)]
pub struct Probe {
    step: Step,
    occurrence: Arc<Mutex<Option<Occurrence>>>,
    /// A further interceptor, which may change events and effects.
    next: Option<Box<dyn Interceptor>>,
}

impl Probe {
    /// Creates a probe and the shared slot in which it puts an occurrence of the step.
    pub fn new(
        step: Step,
        next: Option<Box<dyn Interceptor>>,
    ) -> (Probe, Arc<Mutex<Option<Occurrence>>>) {
        let slot = Arc::new(Mutex::new(None));
        (Probe { step, occurrence: slot.clone(), next }, slot)
    }

    fn record(&self, node: NodeIdx, endpoint: Option<EndpointId>) {
        let mut occurrence = self.occurrence.lock().unwrap_or_else(PoisonError::into_inner);
        occurrence.get_or_insert(Occurrence { node, endpoint });
    }
}

impl Interceptor for Probe {
    fn event(&mut self, node: NodeIdx, now: Moment, event: Event) -> Option<Event> {
        let is_match = Step::of_event(&event) == Some(self.step);
        if is_match {
            self.record(node, None);
        }
        match &mut self.next {
            Some(next) => next.event(node, now, event),
            None => Some(event),
        }
    }

    fn effects(&mut self, node: NodeIdx, now: Moment, effects: Vec<Effect>) -> Intercepted {
        let intercepted = match &mut self.next {
            Some(next) => next.effects(node, now, effects),
            None => Intercepted { effects, events: Vec::new() },
        };
        let found = intercepted.effects.iter().find(|it| Step::of_effect(it) == Some(self.step));
        match found {
            Some(Effect::Call(call)) => self.record(node, Some(call.endpoint.clone())),
            Some(_) => self.record(node, None),
            None => (),
        }
        intercepted
    }
}
