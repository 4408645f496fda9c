//! Deliberate errors at the border of a node, to show that the checker can fail.

use ferry_core::{CallEvent, Effect, Event};
use ferry_fakes::{Intercepted, Interceptor, NodeIdx, World};
use ferry_model::{
    AdminReply, EndpointState, Moment, ObjectKind, Outcome, SortedMap, StoreOp, StoreReply,
};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::check::Promise;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Mutation {
    /// Runs go out although no claim was ever written.
    DispatchUnclaimed,
    /// A call that may have run counts as unsent and goes out again.
    ResendAfterByte,
    /// Requests run under an older revision than the one applied.
    LowerRevision,
    /// The reply to one call is taken for the reply to another.
    SwapReplies,
    /// The node never hears that an endpoint leaves.
    HideLeaving,
    /// A run that is in doubt is reported as not run.
    DenyRun,
    /// Each answer is given twice.
    AnswerTwice,
    /// Answers of one pipeline are forgotten.
    ForgetAnswer,
    /// Each token is given twice.
    RepeatToken,
    /// The process exits as soon as it is asked to.
    ExitAtOnce,
    /// Operators hear that a change stands which nobody wrote.
    ClaimAccepted,
    /// Endpoints ignore the fence, and an old order arrives again.
    IgnoreFence,
}

impl Mutation {
    /// The promise that the error breaks.
    pub fn breaks(self) -> Promise {
        match self {
            Mutation::DispatchUnclaimed | Mutation::ResendAfterByte => Promise::AtMostOnce,
            Mutation::LowerRevision => Promise::Configured,
            Mutation::SwapReplies => Promise::Own,
            Mutation::HideLeaving => Promise::Leaving,
            Mutation::DenyRun => Promise::NotRun,
            Mutation::AnswerTwice | Mutation::ForgetAnswer => Promise::Answered,
            Mutation::RepeatToken => Promise::Streamed,
            Mutation::ExitAtOnce => Promise::Graceful,
            Mutation::ClaimAccepted => Promise::Settled,
            Mutation::IgnoreFence => Promise::Fenced,
        }
    }
}

/// Makes the error at every node.
#[derive(Debug)]
pub struct Mutant {
    mutation: Mutation,
    outputs: SortedMap<NodeIdx, String>,
    exits: Vec<NodeIdx>,
    first: Option<Effect>,
    versions: u64,
}

impl Mutant {
    pub fn new(mutation: Mutation) -> Mutant {
        Mutant {
            mutation,
            outputs: SortedMap::new(),
            exits: Vec::new(),
            first: None,
            versions: 1 << 32,
        }
    }

    /// Prepares the endpoints for errors that are theirs.
    pub fn prepare(&self, world: &mut World) {
        if self.mutation == Mutation::IgnoreFence {
            world.endpoints.values_mut().for_each(|it| it.faults.ignores_fence = true);
        }
    }

    fn alter_call(&mut self, node: NodeIdx, event: CallEvent) -> CallEvent {
        match (self.mutation, event) {
            (Mutation::ResendAfterByte, CallEvent::Broken { error }) => CallEvent::Unsent { error },
            (Mutation::SwapReplies, CallEvent::Reply { echo, output, load }) => {
                let before = self.outputs.insert(node, output.clone());
                CallEvent::Reply { echo, output: before.unwrap_or(output), load }
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

    fn alter_effect(&mut self, effect: Effect, passed: &mut Intercepted) {
        match (self.mutation, effect) {
            (Mutation::DispatchUnclaimed, Effect::Store { call, op }) if is_claim(&op) => {
                self.versions += 1;
                let result = Ok(StoreReply::Written(self.versions));
                passed.events.push(Event::Store { call, result });
            }
            (Mutation::LowerRevision, Effect::Answer { ticket, mut answer }) => {
                answer.revision = 0;
                passed.effects.push(Effect::Answer { ticket, answer });
            }
            (Mutation::DenyRun, Effect::Answer { ticket, mut answer }) => {
                if matches!(answer.outcome, Outcome::InDoubt | Outcome::Failed) {
                    answer.outcome = Outcome::NotRun;
                }
                passed.effects.push(Effect::Answer { ticket, answer });
            }
            (Mutation::AnswerTwice, Effect::Answer { ticket, answer }) => {
                passed.effects.push(Effect::Answer { ticket, answer: answer.clone() });
                passed.effects.push(Effect::Answer { ticket, answer });
            }
            (Mutation::ForgetAnswer, Effect::Answer { ticket, .. }) if ticket % 4 == 0 => (),
            (Mutation::RepeatToken, Effect::Emit { ticket, number, text }) => {
                passed.effects.push(Effect::Emit { ticket, number, text: text.clone() });
                passed.effects.push(Effect::Emit { ticket, number, text });
            }
            (Mutation::ClaimAccepted, Effect::Admin { ticket, .. }) => {
                let reply = Box::new(AdminReply::Accepted { revision: u64::MAX });
                passed.effects.push(Effect::Admin { ticket, reply });
            }
            (Mutation::IgnoreFence, Effect::Order { address, order }) => {
                let now = Effect::Order { address, order };
                let first = self.first.get_or_insert_with(|| now.clone()).clone();
                passed.effects.extend([now, first]);
            }
            (_, effect) => passed.effects.push(effect),
        }
    }
}

impl Interceptor for Mutant {
    fn event(&mut self, node: NodeIdx, _now: Moment, event: Event) -> Option<Event> {
        match event {
            Event::Call { attempt, event } => {
                let event = self.alter_call(node, event);
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
        let mut passed = Intercepted::default();
        for effect in effects {
            self.alter_effect(effect, &mut passed);
        }
        if let Some(idx) = self.exits.iter().position(|it| *it == node) {
            self.exits.remove(idx);
            passed.effects.push(Effect::Exit);
        }
        passed
    }
}

fn is_claim(op: &StoreOp) -> bool {
    matches!(op, StoreOp::Put { key, .. } if key.kind == ObjectKind::Claims)
}
