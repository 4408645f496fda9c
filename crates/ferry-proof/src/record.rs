//! Records the events of every node, for replays.

use std::sync::{Arc, Mutex, PoisonError};

use ferry_core::{Effect, Event};
use ferry_fakes::{Intercepted, Interceptor, NodeIdx};
use ferry_model::Moment;

/// The events of a run, in the order in which nodes processed them.
pub type RecordedEvents = Arc<Mutex<Vec<(NodeIdx, Moment, Event)>>>;

/// Keeps a copy of each event.
#[derive(Debug, Default)]
pub struct Recorder {
    events: RecordedEvents,
}

impl Recorder {
    /// Creates a recorder and the shared list to which it adds events.
    pub fn new() -> (Recorder, RecordedEvents) {
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
