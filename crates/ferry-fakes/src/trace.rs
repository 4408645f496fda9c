//! Records of the processes and the store of a world, for checks after a run.

use ferry_model::{Moment, Revision, Ticket};

use crate::NodeIdx;

#[derive(Debug, Clone, Default)]
pub struct Trace {
    /// Every change of a node's revision, in order.
    pub applied: Vec<AppliedRevision>,
    /// Every configuration that was written to the store, in order.
    pub written: Vec<WrittenConfig>,
    /// When each process reported that it may exit.
    pub exits: Vec<(Moment, NodeIdx)>,
    /// Every pause of a process.
    pub pauses: Vec<Pause>,
    /// When each process started, with its generation.
    pub starts: Vec<(Moment, NodeIdx, u32)>,
    /// Every request of an operator.
    pub operator_requests: Vec<OperatorRequest>,
}

/// One request of an operator to one generation of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorRequest {
    pub ticket: Ticket,
    pub at: Moment,
    pub node: NodeIdx,
    pub generation: u32,
    /// Id of the change.
    pub change: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppliedRevision {
    pub at: Moment,
    pub node: NodeIdx,
    pub generation: u32,
    pub revision: Revision,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WrittenConfig {
    pub at: Moment,
    pub revision: Revision,
    /// Id of the newest change in the object.
    pub change: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pause {
    pub node: NodeIdx,
    pub from: Moment,
    pub until: Option<Moment>,
}

impl Trace {
    /// Returns the last revision that a generation of a node applied, or zero for none.
    pub fn revision(&self, node: NodeIdx, generation: u32) -> Revision {
        let is_it = |it: &&AppliedRevision| it.node == node && it.generation == generation;
        self.applied.iter().rev().find(is_it).map_or(0, |it| it.revision)
    }

    /// Whether a node was paused at any time from `from` to `until`.
    pub fn was_paused(&self, node: NodeIdx, from: Moment, until: Moment) -> bool {
        self.pauses
            .iter()
            .any(|it| it.node == node && it.from <= until && it.until.is_none_or(|end| from <= end))
    }
}
