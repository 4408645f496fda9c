//! Processor time inside reducers, and memory of their state.

use std::fs;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ferry_core::{Effect, Event, Node};
use ferry_fakes::{Border, NodeIdx, Passed};
use ferry_model::Moment;

/// Bytes of copies that make the memory of one state visible.
const COPY_BYTES: usize = 48 * 1024 * 1024;
const MAX_COPIES: usize = 2_000;
/// Bytes of a page in `/proc/self/statm`.
const PAGE: u64 = 4_096;

/// Time that each node spent in its reducer, by node.
pub type Times = Arc<Mutex<Vec<Duration>>>;

/// Takes the time from before each event to after its effects.
#[derive(Debug)]
pub struct Meter {
    started: Instant,
    times: Times,
}

impl Meter {
    pub fn new(n_nodes: usize) -> (Meter, Times) {
        let times = Arc::new(Mutex::new(vec![Duration::ZERO; n_nodes]));
        (Meter { started: Instant::now(), times: times.clone() }, times)
    }
}

impl Border for Meter {
    fn event(&mut self, _node: NodeIdx, _now: Moment, event: Event) -> Option<Event> {
        self.started = Instant::now();
        Some(event)
    }

    fn effects(&mut self, node: NodeIdx, _now: Moment, effects: Vec<Effect>) -> Passed {
        let took = self.started.elapsed();
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(time) = times.get_mut(node) {
            *time += took;
        }
        Passed { effects, events: Vec::new() }
    }
}

/// Returns the resident bytes of one node's state, from many deep copies of it.
pub fn state_bytes(node: &Node) -> Result<f64, String> {
    let bytes = postcard::to_stdvec(node).map_err(|it| format!("could not encode: {it}"))?;
    let n_copies = (COPY_BYTES / bytes.len().max(1)).clamp(8, MAX_COPIES);
    let before = resident()?;
    let mut copies: Vec<Node> = Vec::with_capacity(n_copies);
    for _ in 0..n_copies {
        copies.push(postcard::from_bytes(&bytes).map_err(|it| format!("could not decode: {it}"))?);
    }
    let after = resident()?;
    drop(copies);
    Ok(after.saturating_sub(before) as f64 / n_copies as f64)
}

fn resident() -> Result<u64, String> {
    let path = "/proc/self/statm";
    let text = fs::read_to_string(path).map_err(|it| format!("could not read {path}: {it}"))?;
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.map(|it| it * PAGE).ok_or_else(|| format!("could not read {path}: no second field"))
}
