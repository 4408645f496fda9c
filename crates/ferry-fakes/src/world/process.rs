//! Processes that die, stop, go on and are replaced.

use std::time::Duration;

use ferry_core::{Event, Identity, Node, Tuning};
use ferry_model::Fence;

use super::{NodeIdx, World};
use crate::trace::Pause;

impl World {
    /// Returns the number of a node's present life, counted from zero.
    pub fn generation(&self, idx: NodeIdx) -> u32 {
        self.nodes[idx].generation
    }

    pub fn is_paused(&self, idx: NodeIdx) -> bool {
        self.nodes[idx].paused
    }

    /// Kills a process without a word; its callers lose their connections.
    pub fn kill(&mut self, idx: NodeIdx) {
        let slot = &mut self.nodes[idx];
        slot.alive = false;
        slot.generation += 1;
        slot.held.clear();
        for asked in self.requests.values_mut() {
            asked.connection_lost |= asked.node == idx && asked.answers.is_empty();
        }
        self.watches.retain(|it| it.node != idx);
    }

    /// Starts a fresh process in the place of one that has ended.
    pub fn replace(&mut self, idx: NodeIdx, identity: Identity, tuning: Tuning, seed: u64) {
        let now = self.now;
        let slot = &mut self.nodes[idx];
        slot.zone = identity.zone.clone();
        slot.node = Node::new(identity, tuning, seed);
        slot.generation += 1;
        slot.alive = true;
        slot.paused = false;
        slot.exited = false;
        slot.started = now;
        slot.wake = None;
        self.trace.starts.push((now, idx, slot.generation));
        self.deliver(idx, Event::Tick);
        self.list(idx);
    }

    /// Stops a process as `SIGSTOP` would: its events wait.
    pub fn pause(&mut self, idx: NodeIdx) {
        self.nodes[idx].paused = true;
        self.trace.pauses.push(Pause { node: idx, from: self.now, until: None });
    }

    /// Lets a paused process go on with everything that has waited.
    pub fn resume(&mut self, idx: NodeIdx) {
        self.nodes[idx].paused = false;
        for pause in self.trace.pauses.iter_mut().filter(|it| it.node == idx) {
            pause.until.get_or_insert(self.now);
        }
        let held = std::mem::take(&mut self.nodes[idx].held);
        for event in held {
            self.deliver(idx, event);
        }
        self.deliver(idx, Event::Tick);
    }

    /// Lets a paused process go on whose clock stood still meanwhile, as after a suspended machine.
    pub fn resume_suspended(&mut self, idx: NodeIdx, paused: Duration) {
        self.nodes[idx].started += paused;
        self.resume(idx);
    }

    /// Returns the fencing number under which a node would give orders now.
    pub fn fence(&self, idx: NodeIdx) -> Option<Fence> {
        let slot = &self.nodes[idx];
        let is_acting = slot.alive && !slot.paused;
        is_acting.then(|| slot.node.placement().fence(self.now - slot.started)).flatten()
    }
}
