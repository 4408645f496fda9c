//! Time spent in the reducers of nodes, and size of their state.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ferry_core::{Effect, Event, Node};
use ferry_fakes::{Intercepted, Interceptor, NodeIdx};
use ferry_model::Moment;

/// Time that each node spent in its reducer, by node.
pub type NodeTimes = Arc<Mutex<Vec<Duration>>>;

/// Measures the time that a node takes from each event to its effects.
#[derive(Debug)]
pub struct Meter {
    started: Instant,
    times: NodeTimes,
}

impl Meter {
    pub fn new(n_nodes: usize) -> (Meter, NodeTimes) {
        let times = Arc::new(Mutex::new(vec![Duration::ZERO; n_nodes]));
        (Meter { started: Instant::now(), times: times.clone() }, times)
    }
}

impl Interceptor for Meter {
    fn event(&mut self, _node: NodeIdx, _now: Moment, event: Event) -> Option<Event> {
        self.started = Instant::now();
        Some(event)
    }

    fn effects(&mut self, node: NodeIdx, _now: Moment, effects: Vec<Effect>) -> Intercepted {
        let took = self.started.elapsed();
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(time) = times.get_mut(node) {
            *time += took;
        }
        Intercepted { effects, events: Vec::new() }
    }
}

/// Returns the size of a node's state in bytes, encoded as for its digest.
///
/// Resident memory is larger by the overhead of the allocator and the spare capacity of vectors.
/// Its growth with copies of the state would not show it, as the allocator reuses freed pages.
pub fn state_bytes(node: &Node) -> Result<f64, String> {
    let bytes =
        postcard::to_stdvec(node).map_err(|it| format!("could not encode the state: {it}"))?;
    Ok(bytes.len() as f64)
}
