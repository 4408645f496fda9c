//! What crosses the border of a node, for recorders and deliberate errors.

use std::fmt::Debug;

use ferry_core::{Effect, Event};
use ferry_model::Moment;

use crate::NodeIdx;

/// What became of a node's effects at its border.
#[derive(Debug, Default)]
pub struct Intercepted {
    /// Effects to carry out.
    pub effects: Vec<Effect>,
    /// Events to give back to the node at once.
    pub events: Vec<Event>,
}

/// Sees, and may change, every event before a node takes it and every effect after.
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
