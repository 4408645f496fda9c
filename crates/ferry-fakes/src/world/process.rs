//! Kills, pauses, resumes and replaces processes.

use std::time::Duration;

use ferry_core::{Event, Identity, Node, Tuning};
use ferry_model::Fence;

use super::{NodeIdx, World};
use crate::trace::Pause;

impl World {
    /// Returns a node's generation, which grows when its process is killed and when it is replaced.
    pub fn generation(&self, idx: NodeIdx) -> u32 {
        self.nodes[idx].generation
    }

    pub fn is_paused(&self, idx: NodeIdx) -> bool {
        self.nodes[idx].paused
    }

    /// Kills a process without a shutdown; its callers lose their connections.
    pub fn kill(&mut self, idx: NodeIdx) {
        let process = &mut self.nodes[idx];
        process.alive = false;
        process.generation += 1;
        process.pending_events.clear();
        for record in self.requests.values_mut() {
            record.connection_lost |= record.node == idx && record.answers.is_empty();
        }
        self.watches.retain(|it| it.node != idx);
    }

    /// Starts a new process in place of one that has ended.
    pub fn replace(&mut self, idx: NodeIdx, identity: Identity, tuning: Tuning, seed: u64) {
        let now = self.now;
        let process = &mut self.nodes[idx];
        process.zone = identity.zone.clone();
        process.node = Node::new(identity, tuning, seed);
        process.generation += 1;
        process.alive = true;
        process.paused = false;
        process.exited = false;
        process.started = now;
        process.wake = None;
        self.trace.starts.push((now, idx, process.generation));
        self.deliver(idx, Event::Tick);
        self.deliver_list(idx);
    }

    /// Pauses a process as `SIGSTOP` would; its events wait until it resumes.
    pub fn pause(&mut self, idx: NodeIdx) {
        self.nodes[idx].paused = true;
        self.trace.pauses.push(Pause { node: idx, from: self.now, until: None });
    }

    /// Resumes a paused process, which then handles the events that have waited.
    pub fn resume(&mut self, idx: NodeIdx) {
        self.nodes[idx].paused = false;
        for pause in self.trace.pauses.iter_mut().filter(|it| it.node == idx) {
            pause.until.get_or_insert(self.now);
        }
        let events = std::mem::take(&mut self.nodes[idx].pending_events);
        for event in events {
            self.deliver(idx, event);
        }
        self.deliver(idx, Event::Tick);
    }

    /// Resumes a paused process whose clock stood still meanwhile, as on a suspended machine.
    pub fn resume_suspended(&mut self, idx: NodeIdx, paused: Duration) {
        self.nodes[idx].started += paused;
        self.resume(idx);
    }

    /// Returns the fencing number with which a node would send orders now, if it may send any.
    pub fn fence(&self, idx: NodeIdx) -> Option<Fence> {
        let process = &self.nodes[idx];
        let is_running = process.alive && !process.paused;
        is_running.then(|| process.node.placement().fence(self.now - process.started)).flatten()
    }
}
