//! A hook on the events and effects of a node, for recorders and deliberate errors.

use std::fmt::Debug;

use ferry_core::{Effect, Event};
use ferry_model::Moment;

use crate::NodeIdx;

/// What an interceptor makes of the effects of one event.
#[derive(Debug, Default)]
pub struct Intercepted {
    /// Effects to carry out.
    pub effects: Vec<Effect>,
    /// Events to deliver to the node at once.
    pub events: Vec<Event>,
}

/// Sees every event before a node handles it and the effects afterwards, and may change both.
///
/// `now` is the node's own time.
pub trait Interceptor: Debug + Send {
    fn event(&mut self, _node: NodeIdx, _now: Moment, event: Event) -> Option<Event> {
        Some(event)
    }

    fn effects(&mut self, _node: NodeIdx, _now: Moment, effects: Vec<Effect>) -> Intercepted {
        Intercepted { effects, events: Vec::new() }
    }
}
