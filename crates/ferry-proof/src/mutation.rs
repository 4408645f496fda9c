//! Mutations of a node's events and effects, to show that the checker can fail.

use ferry_core::{CallEvent, Effect, Event};
use ferry_fakes::{Intercepted, Interceptor, NodeIdx, World};
use ferry_model::{
    AdminReply, EndpointState, Moment, ObjectKind, Outcome, SortedMap, StoreOp, StoreReply,
};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::check::Invariant;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Mutation {
    /// Stages that need a claim are dispatched although no claim was written.
    DispatchUnclaimed,
    /// A call that may have run counts as unsent, and is sent again.
    ResendAfterByte,
    /// Answers carry an older revision than the one applied.
    LowerRevision,
    /// The reply to one call is used as the reply to another.
    SwapReplies,
    /// The node never learns that an endpoint is leaving.
    HideLeaving,
    /// Requests that failed or are in doubt are answered as not run.
    #[strum(serialize = "deny_run")]
    ReportNotRun,
    /// Each answer is sent twice.
    AnswerTwice,
    /// Some answers are never sent.
    #[strum(serialize = "forget_answer")]
    DropAnswer,
    /// Each token is sent twice.
    RepeatToken,
    /// The process exits as soon as it is asked to shut down.
    ExitAtOnce,
    /// Operators receive an acceptance of a change that was never written.
    #[strum(serialize = "claim_accepted")]
    ReportAccepted,
    /// Endpoints ignore fences, and an old order is sent again.
    IgnoreFence,
}

impl Mutation {
    /// Returns the invariant that the mutation violates.
    pub fn violates(self) -> Invariant {
        match self {
            Mutation::DispatchUnclaimed | Mutation::ResendAfterByte => Invariant::AtMostOnce,
            Mutation::LowerRevision => Invariant::ConfigPropagation,
            Mutation::SwapReplies => Invariant::CorrectOutput,
            Mutation::HideLeaving => Invariant::NoNewWork,
            Mutation::ReportNotRun => Invariant::NotRun,
            Mutation::AnswerTwice | Mutation::DropAnswer => Invariant::Answered,
            Mutation::RepeatToken => Invariant::IntactStream,
            Mutation::ExitAtOnce => Invariant::GracefulShutdown,
            Mutation::ReportAccepted => Invariant::TruthfulReplies,
            Mutation::IgnoreFence => Invariant::Fenced,
        }
    }
}

/// Applies a mutation at every node.
#[derive(Debug)]
pub struct Mutant {
    mutation: Mutation,
    /// The last output that each node received.
    outputs: SortedMap<NodeIdx, String>,
    /// Nodes that exit with their next effects.
    exits: Vec<NodeIdx>,
    /// The first order that any node sent.
    first_order: Option<Effect>,
    /// The last store version that was made up.
    version: u64,
}

impl Mutant {
    pub fn new(mutation: Mutation) -> Mutant {
        Mutant {
            mutation,
            outputs: SortedMap::new(),
            exits: Vec::new(),
            first_order: None,
            version: 1 << 32,
        }
    }

    /// Makes the endpoints ignore fences, if the mutation needs it.
    pub fn prepare(&self, world: &mut World) {
        if self.mutation == Mutation::IgnoreFence {
            world.endpoints.values_mut().for_each(|it| it.faults.ignores_fence = true);
        }
    }

    fn mutate_call(&mut self, node: NodeIdx, event: CallEvent) -> CallEvent {
        match (self.mutation, event) {
            (Mutation::ResendAfterByte, CallEvent::Broken { error }) => CallEvent::Unsent { error },
            (Mutation::SwapReplies, CallEvent::Reply { echo, output, load }) => {
                let previous = self.outputs.insert(node, output.clone());
                CallEvent::Reply { echo, output: previous.unwrap_or(output), load }
            }
            (Mutation::HideLeaving, CallEvent::Refused { error, retry_after, .. }) => {
                CallEvent::Refused { error, leaving: false, retry_after }
            }
            (Mutation::HideLeaving, CallEvent::Reply { echo, output, .. }) => {
                CallEvent::Reply { echo, output, load: None }
            }
            (Mutation::HideLeaving, CallEvent::End { echo, count, digest, .. }) => {
                CallEvent::End { echo, count, digest, load: None }
            }
            (_, event) => event,
        }
    }

    fn mutate_effect(&mut self, effect: Effect, intercepted: &mut Intercepted) {
        match (self.mutation, effect) {
            (Mutation::DispatchUnclaimed, Effect::Store { call, op }) if is_claim(&op) => {
                self.version += 1;
                let result = Ok(StoreReply::Written(self.version));
                intercepted.events.push(Event::Store { call, result });
            }
            (Mutation::LowerRevision, Effect::Answer { ticket, mut answer }) => {
                answer.revision = 0;
                intercepted.effects.push(Effect::Answer { ticket, answer });
            }
            (Mutation::ReportNotRun, Effect::Answer { ticket, mut answer }) => {
                if matches!(answer.outcome, Outcome::InDoubt | Outcome::Failed) {
                    answer.outcome = Outcome::NotRun;
                }
                intercepted.effects.push(Effect::Answer { ticket, answer });
            }
            (Mutation::AnswerTwice, Effect::Answer { ticket, answer }) => {
                intercepted.effects.push(Effect::Answer { ticket, answer: answer.clone() });
                intercepted.effects.push(Effect::Answer { ticket, answer });
            }
            (Mutation::DropAnswer, Effect::Answer { ticket, .. }) if ticket % 4 == 0 => (),
            (Mutation::RepeatToken, Effect::Emit { ticket, number, text }) => {
                intercepted.effects.push(Effect::Emit { ticket, number, text: text.clone() });
                intercepted.effects.push(Effect::Emit { ticket, number, text });
            }
            (Mutation::ReportAccepted, Effect::Admin { ticket, .. }) => {
                let reply = Box::new(AdminReply::Accepted { revision: u64::MAX });
                intercepted.effects.push(Effect::Admin { ticket, reply });
            }
            (Mutation::IgnoreFence, Effect::Order { address, order }) => {
                let current = Effect::Order { address, order };
                let first = self.first_order.get_or_insert_with(|| current.clone()).clone();
                intercepted.effects.extend([current, first]);
            }
            (_, effect) => intercepted.effects.push(effect),
        }
    }
}

impl Interceptor for Mutant {
    fn event(&mut self, node: NodeIdx, _now: Moment, event: Event) -> Option<Event> {
        match event {
            Event::Call { attempt, event } => {
                let event = self.mutate_call(node, event);
                Some(Event::Call { attempt, event })
            }
            Event::Fleet { mut endpoints, instances } if self.mutation == Mutation::HideLeaving => {
                endpoints.iter_mut().for_each(|it| it.state = EndpointState::Live);
                Some(Event::Fleet { endpoints, instances })
            }
            Event::Shutdown if self.mutation == Mutation::ExitAtOnce => {
                self.exits.push(node);
                Some(Event::Shutdown)
            }
            event => Some(event),
        }
    }

    fn effects(&mut self, node: NodeIdx, _now: Moment, effects: Vec<Effect>) -> Intercepted {
        let mut intercepted = Intercepted::default();
        for effect in effects {
            self.mutate_effect(effect, &mut intercepted);
        }
        if let Some(idx) = self.exits.iter().position(|it| *it == node) {
            self.exits.remove(idx);
            intercepted.effects.push(Effect::Exit);
        }
        intercepted
    }
}

fn is_claim(op: &StoreOp) -> bool {
    matches!(op, StoreOp::Put { key, .. } if key.kind == ObjectKind::Claims)
}
