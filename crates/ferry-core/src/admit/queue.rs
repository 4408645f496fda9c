//! Queue of the requests waiting for a pool, by priority, then fair share, then deadline.

use ferry_model::{Moment, RequestId, SortedMap, WorkspaceId};
use serde::{Deserialize, Serialize};

/// Number of workspaces above which the shares of all workspaces are reset.
const MAX_SHARES: usize = 4096;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuedRequest {
    pub request: RequestId,
    /// Lower values are served first.
    pub priority: u8,
    pub workspace: WorkspaceId,
    pub weight: u32,
    pub deadline: Moment,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Queue {
    waiting: Vec<QueuedRequest>,
    /// Calls started per workspace, divided by the weight of the workspace.
    served: SortedMap<WorkspaceId, f64>,
}

impl Queue {
    pub fn new() -> Queue {
        Queue::default()
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns about how many requests are served before a new one: all of a higher priority, and
    /// those of the same priority that fair sharing between the workspaces puts first.
    pub fn n_ahead(&self, priority: u8, workspace: &str, weight: u32) -> f64 {
        let mut n_higher = 0.0;
        let mut n_equal = 0.0;
        let mut n_own = 0.0;
        let mut weights: SortedMap<&str, u32> = SortedMap::new();
        for it in self.waiting.iter().filter(|it| it.priority <= priority) {
            if it.priority < priority {
                n_higher += 1.0;
                continue;
            }
            n_equal += 1.0;
            n_own += f64::from(u8::from(it.workspace == workspace));
            weights.insert(&it.workspace, it.weight.max(1));
        }
        weights.insert(workspace, weight.max(1));
        let total: u32 = weights.values().sum();
        let by_share = n_own * f64::from(total) / f64::from(weight.max(1));
        n_higher + by_share.min(n_equal)
    }

    /// Adds a request. A workspace without waiting requests starts at the lowest share of those
    /// that have some, so that idle time earns no advantage.
    pub fn push(&mut self, waiting: QueuedRequest) {
        let is_idle = !self.waiting.iter().any(|it| it.workspace == waiting.workspace);
        if is_idle {
            let floor = self.least_served();
            let served = self.served.get_or_insert_with(waiting.workspace.clone(), || floor);
            *served = served.max(floor);
        }
        self.waiting.push(waiting);
    }

    pub fn remove(&mut self, request: RequestId) {
        self.waiting.retain(|it| it.request != request);
    }

    /// Returns the request to be served next.
    pub fn first(&self) -> Option<&QueuedRequest> {
        let rank = |it: &QueuedRequest| (it.priority, self.served_of(&it.workspace), it.deadline);
        self.waiting.iter().min_by(|left, right| {
            let (left, right) = (rank(left), rank(right));
            left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)).then(left.2.cmp(&right.2))
        })
    }

    /// Removes a started request and charges its cost to its workspace.
    pub fn start(&mut self, request: RequestId) {
        let Some(idx) = self.waiting.iter().position(|it| it.request == request) else { return };
        let started = self.waiting.swap_remove(idx);
        let cost = 1.0 / f64::from(started.weight.max(1));
        *self.served.get_or_insert_with(started.workspace, || 0.0) += cost;
        if self.waiting.is_empty() || MAX_SHARES < self.served.len() {
            self.served = SortedMap::new();
        }
    }

    /// Returns the request to be dropped when the queue is full: the one with the lowest priority
    /// and the latest deadline.
    pub fn last(&self) -> Option<&QueuedRequest> {
        self.waiting.iter().max_by_key(|it| (it.priority, it.deadline))
    }

    fn least_served(&self) -> f64 {
        let served = self.waiting.iter().map(|it| self.served_of(&it.workspace));
        served.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    fn served_of(&self, workspace: &str) -> f64 {
        self.served.get(workspace).copied().unwrap_or(0.0)
    }
}
