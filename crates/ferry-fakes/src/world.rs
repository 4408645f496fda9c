//! A world of nodes on virtual time, driven by a queue of actions.

mod execute;
mod orders;
mod process;
mod queue;
mod serve;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use ferry_core::{Arrival, Decision, Event, Identity, InstancesAnswer, Metric, Node, Tuning};
use ferry_model::{
    AdminReply, Endpoint, EndpointId, Instance, KeyState, Moment, SortedMap, StoreOp, Ticket,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::caller::{Request, RequestRecord};
use crate::endpoint::{FakeEndpoint, Run};
use crate::interceptor::Interceptor;
use crate::network::Network;
use crate::store::FakeStore;
use crate::trace::{AppliedRevision, Trace};
use crate::world::queue::{Action, Scheduled};

pub use orders::{FakeEngine, ReceivedOrder, WeightStore};

/// Count and encoded size of messages between peers, without the overhead of the transport.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerTraffic {
    pub messages: u64,
    pub bytes: u64,
}

/// Index of a node in its world.
pub type NodeIdx = usize;

/// Time between two deliveries of the instance list to the nodes.
const INSTANCE_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a node gives up a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a watch without changes is answered.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug)]
pub struct World {
    pub now: Moment,
    pub store: FakeStore,
    pub endpoints: SortedMap<EndpointId, FakeEndpoint>,
    pub network: Network,
    /// The instances as the instance list shows them.
    pub instances: Vec<Instance>,
    pub requests: SortedMap<Ticket, RequestRecord>,
    pub runs: Vec<Run>,
    pub weights: WeightStore,
    /// Every order that reached an endpoint.
    pub orders: Vec<ReceivedOrder>,
    /// Replies to operators; more than one reply to a ticket is a bug of the node.
    pub admin_replies: SortedMap<Ticket, Vec<(Moment, AdminReply)>>,
    /// Answers to callers that requested the addresses to use.
    pub instance_answers: SortedMap<Ticket, InstancesAnswer>,
    /// Answers to callers that requested the state of a key.
    pub key_states: SortedMap<Ticket, KeyState>,
    /// Messages between peers that were sent, and their encoded size.
    pub peer_traffic: PeerTraffic,
    /// Calls to the object API by verb.
    pub store_calls: SortedMap<&'static str, u64>,
    /// Every decision, with the node that made it.
    pub decisions: Vec<(Moment, NodeIdx, Decision)>,
    /// Whether nodes keep getting the endpoints of the last delivered list.
    pub list_frozen: bool,
    /// Whether nodes get no list at all.
    pub list_missing: bool,
    /// Sees, and may change, the events and effects of every node.
    pub interceptor: Option<Box<dyn Interceptor>>,
    pub trace: Trace,
    nodes: Vec<Process>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    watches: Vec<Watch>,
    /// Endpoints in the last delivered list.
    listed: Vec<Endpoint>,
    n_scheduled: u64,
    n_tickets: Ticket,
    rng: Pcg64Mcg,
}

#[derive(Debug)]
struct Process {
    node: Node,
    zone: String,
    /// Events of an earlier generation are dropped.
    generation: u32,
    alive: bool,
    paused: bool,
    /// Events that arrived during a pause.
    pending_events: Vec<Event>,
    started: Moment,
    wake: Option<Moment>,
    counts: SortedMap<Metric, u64>,
    exited: bool,
}

#[derive(Debug)]
struct Watch {
    node: NodeIdx,
    generation: u32,
    call: u64,
    op: StoreOp,
    until: Moment,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut world = World {
            now: Moment::ZERO,
            store: FakeStore::new(),
            endpoints: SortedMap::new(),
            network: Network::default(),
            instances: Vec::new(),
            requests: SortedMap::new(),
            runs: Vec::new(),
            weights: WeightStore::default(),
            orders: Vec::new(),
            admin_replies: SortedMap::new(),
            instance_answers: SortedMap::new(),
            key_states: SortedMap::new(),
            peer_traffic: PeerTraffic::default(),
            store_calls: SortedMap::new(),
            decisions: Vec::new(),
            list_frozen: false,
            list_missing: false,
            interceptor: None,
            trace: Trace::default(),
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            watches: Vec::new(),
            listed: Vec::new(),
            n_scheduled: 0,
            n_tickets: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        world.schedule(Moment::ZERO, Action::DeliverLists);
        world
    }

    /// Starts a process and returns its index.
    pub fn add_node(&mut self, identity: Identity, tuning: Tuning, seed: u64) -> NodeIdx {
        let idx = self.nodes.len();
        self.nodes.push(Process {
            zone: identity.zone.clone(),
            node: Node::new(identity, tuning, seed),
            generation: 0,
            alive: true,
            paused: false,
            pending_events: Vec::new(),
            started: self.now,
            wake: None,
            counts: SortedMap::new(),
            exited: false,
        });
        self.trace.starts.push((self.now, idx, 0));
        self.deliver(idx, Event::Tick);
        self.deliver_list(idx);
        idx
    }

    pub fn add_endpoint(&mut self, endpoint: FakeEndpoint) {
        self.endpoints.insert(endpoint.endpoint.id.clone(), endpoint);
    }

    pub fn node(&self, idx: NodeIdx) -> &Node {
        &self.nodes[idx].node
    }

    pub fn n_nodes(&self) -> usize {
        self.nodes.len()
    }

    pub fn is_alive(&self, idx: NodeIdx) -> bool {
        self.nodes[idx].alive
    }

    /// Whether the process has reported that it may exit.
    pub fn has_exited(&self, idx: NodeIdx) -> bool {
        self.nodes[idx].exited
    }

    pub fn count(&self, idx: NodeIdx, metric: Metric) -> u64 {
        self.nodes[idx].counts.get(&metric).copied().unwrap_or(0)
    }

    /// Sends a caller's request to a node and returns its ticket.
    pub fn submit(&mut self, node: NodeIdx, request: Request) -> Ticket {
        self.n_tickets += 1;
        let ticket = self.n_tickets;
        let arrival = Arrival {
            ticket,
            workspace: request.workspace.clone(),
            pipeline: request.pipeline.clone(),
            key: request.key.clone(),
            input: request.input.clone(),
            digest: *blake3::hash(request.input.as_bytes()).as_bytes(),
            deadline: request.deadline,
            stream: request.stream,
        };
        let connection_lost = !self.nodes[node].alive;
        self.requests.insert(
            ticket,
            RequestRecord {
                ticket,
                node,
                request,
                at: self.now,
                tokens: Vec::new(),
                answers: Vec::new(),
                connection_lost,
                hung_up: None,
            },
        );
        self.deliver(node, Event::Arrive(arrival));
        ticket
    }

    /// Delivers an event to a node now.
    pub fn deliver(&mut self, idx: NodeIdx, event: Event) {
        let process = &mut self.nodes[idx];
        if !process.alive {
            return;
        }
        if process.paused {
            process.pending_events.push(event);
            return;
        }
        let now = self.now - process.started;
        let event = match &mut self.interceptor {
            Some(interceptor) => interceptor.event(idx, now, event),
            None => Some(event),
        };
        if let Some(event) = event {
            self.reduce(idx, now, event);
        }
        self.schedule_wake(idx);
    }

    fn reduce(&mut self, idx: NodeIdx, now: Moment, event: Event) {
        let process = &mut self.nodes[idx];
        let effects = process.node.reduce(now, event);
        let (generation, revision) = (process.generation, process.node.revision());
        if self.trace.revision(idx, generation) != revision {
            self.trace.applied.push(AppliedRevision {
                at: self.now,
                node: idx,
                generation,
                revision,
            });
        }
        let Some(interceptor) = &mut self.interceptor else {
            effects.into_iter().for_each(|it| self.execute(idx, it));
            return;
        };
        let intercepted = interceptor.effects(idx, now, effects);
        intercepted.effects.into_iter().for_each(|it| self.execute(idx, it));
        intercepted.events.into_iter().for_each(|it| self.reduce(idx, now, it));
    }

    /// Closes a caller's connection.
    pub fn hang_up(&mut self, ticket: Ticket) {
        let Some(record) = self.requests.get_mut(&ticket) else { return };
        record.hung_up = Some(self.now);
        let node = record.node;
        self.deliver(node, Event::CallerGone { ticket });
    }

    /// Runs everything that is due up to `until`.
    pub fn run_until(&mut self, until: Moment) {
        while self.step(until) {}
        self.now = self.now.max(until);
    }

    /// Performs the next action that is due up to `until`; returns false if there is none.
    pub fn step(&mut self, until: Moment) -> bool {
        if self.queue.peek().is_none_or(|Reverse(scheduled)| until < scheduled.at) {
            return false;
        }
        let Some(Reverse(scheduled)) = self.queue.pop() else { return false };
        self.now = scheduled.at;
        self.perform(scheduled.action);
        true
    }

    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    fn schedule(&mut self, at: Moment, action: Action) {
        self.n_scheduled += 1;
        self.queue.push(Reverse(Scheduled { at, number: self.n_scheduled, action }));
    }

    fn schedule_wake(&mut self, idx: NodeIdx) {
        let process = &mut self.nodes[idx];
        let Some(wake) = process.node.next_wake() else { return };
        let at = (process.started + wake).max(self.now);
        let is_later = process.wake.is_some_and(|it| self.now < it && it <= at);
        if is_later {
            return;
        }
        process.wake = Some(at);
        let generation = process.generation;
        self.schedule(at, Action::Wake { node: idx, generation });
    }

    fn send(&mut self, at: Moment, node: NodeIdx, generation: u32, event: Event) {
        self.schedule(at, Action::Deliver { node, generation, event });
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Deliver { node, generation, event } => {
                if self.nodes[node].generation == generation {
                    self.deliver(node, event);
                }
            }
            Action::Wake { node, generation } => {
                if self.nodes[node].generation == generation {
                    self.wake(node);
                }
            }
            Action::Call { node, generation, call } => self.receive_call(node, generation, *call),
            Action::FinishCall { endpoint, node, generation, attempt } => {
                self.finish_call(&endpoint, node, generation, attempt);
            }
            Action::CancelCall { endpoint, node, generation, attempt } => {
                self.cancel_call(&endpoint, node, generation, attempt);
            }
            Action::Store { node, generation, call, op } => {
                self.perform_store_call(node, generation, call, op)
            }
            Action::Order { node, generation, order } => {
                self.receive_order(node, generation, &order)
            }
            Action::Inspect { node, generation, endpoint } => {
                self.receive_inspect(node, generation, endpoint)
            }
            Action::FinishLoad { endpoint, number } => self.finish_load(&endpoint, number),
            Action::LateWrite { op } => {
                self.store.perform(&op);
                self.wake_watches();
            }
            Action::DeliverLists => {
                for idx in 0..self.nodes.len() {
                    self.deliver_list(idx);
                }
                self.expire_watches();
                self.schedule(self.now + INSTANCE_LIST_INTERVAL, Action::DeliverLists);
            }
        }
    }

    fn wake(&mut self, idx: NodeIdx) {
        let process = &mut self.nodes[idx];
        if process.wake.is_some_and(|it| it <= self.now) {
            process.wake = None;
        }
        let is_due = process.node.next_wake().is_some_and(|it| process.started + it <= self.now);
        if process.paused || is_due {
            self.deliver(idx, Event::Tick);
        } else {
            self.schedule_wake(idx);
        }
    }

    fn deliver_list(&mut self, idx: NodeIdx) {
        if self.list_missing {
            return;
        }
        if !self.list_frozen || self.listed.is_empty() {
            self.listed = self.endpoints.values().map(|it| it.endpoint.clone()).collect();
        }
        let event =
            Event::Fleet { endpoints: self.listed.clone(), instances: self.instances.clone() };
        self.deliver(idx, event);
    }
}
