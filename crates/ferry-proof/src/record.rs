//! Records every node's events at its border, for replays.

use std::sync::{Arc, Mutex, PoisonError};

use ferry_core::{Effect, Event};
use ferry_fakes::{Intercepted, Interceptor, NodeIdx};
use ferry_model::Moment;

/// The events of a run, in the order in which nodes took them.
pub type Recorded = Arc<Mutex<Vec<(NodeIdx, Moment, Event)>>>;

/// Keeps a copy of each event, and counts effects by node.
#[derive(Debug, Default)]
pub struct Recorder {
    events: Recorded,
}

impl Recorder {
    /// Makes a recorder and the place where its events appear.
    pub fn new() -> (Recorder, Recorded) {
        let recorder = Recorder::default();
        let events = recorder.events.clone();
        (recorder, events)
    }
}

impl Interceptor for Recorder {
    fn event(&mut self, node: NodeIdx, now: Moment, event: Event) -> Option<Event> {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.push((node, now, event.clone()));
        Some(event)
    }

    fn effects(&mut self, _node: NodeIdx, _now: Moment, effects: Vec<Effect>) -> Intercepted {
        Intercepted { effects, events: Vec::new() }
    }
}
