//! Runs a node: feeds it events and executes its effects.

use std::sync::Arc;
use std::time::Duration;

use ferry_core::workspaces::Workspaces;
use ferry_core::{Effect, Event, Identity, Node, Tuning};
use ferry_model::{AttemptId, Moment, Revision, SortedMap, Ticket};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::metrics::{Gauge, Timer};
use crate::record::Recorder;
use crate::{CallerEvent, Callers, Clients, OrderClient, ReplyStream, logs};

/// Longest time between two ticks if the node requests no earlier one.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// Interval at which gauges are sent.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// State of a node that the process can read without sending it an event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    pub revision: Revision,
    pub ready: bool,
    /// Whether every request has ended after a shutdown.
    pub exited: bool,
}

/// Sends events to a running node.
#[derive(Debug, Clone)]
pub struct Handle {
    events: mpsc::UnboundedSender<Event>,
    callers: Arc<Callers>,
    status: watch::Receiver<Status>,
    workspaces: watch::Receiver<Arc<Workspaces>>,
}

impl Handle {
    /// Sends an event; it is dropped if the node has stopped.
    pub fn send(&self, event: Event) {
        let _ = self.events.send(event);
    }

    /// Sends the event that `make` builds for a new ticket and returns the replies to it.
    pub fn ask(&self, make: impl FnOnce(Ticket) -> Event) -> ReplyStream {
        let replies = ReplyStream::new(self.clone());
        self.send(make(replies.ticket()));
        replies
    }

    pub fn callers(&self) -> &Callers {
        &self.callers
    }

    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Returns the current workspaces.
    pub fn workspaces(&self) -> Arc<Workspaces> {
        self.workspaces.borrow().clone()
    }

    /// Returns a receiver that is notified of each change of the workspaces.
    pub fn watch_workspaces(&self) -> watch::Receiver<Arc<Workspaces>> {
        self.workspaces.clone()
    }

    /// Returns a receiver that is notified of each change of the status.
    pub fn watch_status(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }
}

#[derive(Debug)]
pub struct Driver {
    node: Node,
    clients: Clients,
    started: Instant,
    sender: mpsc::UnboundedSender<Event>,
    events: mpsc::UnboundedReceiver<Event>,
    status: watch::Sender<Status>,
    workspaces: watch::Sender<Arc<Workspaces>>,
    calls: SortedMap<AttemptId, AbortHandle>,
    orders: OrderClient,
    next_gauges: Instant,
    recorder: Option<Recorder>,
}

impl Driver {
    /// Starts a new node on the current Tokio runtime and returns its handle.
    pub fn spawn(
        identity: Identity,
        tuning: Tuning,
        seed: u64,
        clients: Clients,
    ) -> std::io::Result<Handle> {
        let recorder = clients
            .record
            .as_ref()
            .map(|it| Recorder::create(it, &identity, &tuning, seed, clients.log.clone()))
            .transpose()?;
        let node = Node::new(identity, tuning, seed);
        let (sender, events) = mpsc::unbounded_channel();
        let (status, status_rx) = watch::channel(Status::default());
        let (workspaces, workspaces_rx) = watch::channel(node.workspaces().clone());
        let handle = Handle {
            events: sender.clone(),
            callers: clients.callers.clone(),
            status: status_rx,
            workspaces: workspaces_rx,
        };
        clients.fleet.clone().spawn(sender.clone());
        if let Some(peers) = &clients.peers {
            peers.spawn(sender.clone());
        }
        let driver = Driver {
            node,
            clients,
            started: Instant::now(),
            sender,
            events,
            status,
            workspaces,
            calls: SortedMap::new(),
            orders: OrderClient::new(),
            next_gauges: Instant::now(),
            recorder,
        };
        tokio::spawn(driver.run());
        Ok(handle)
    }

    async fn run(mut self) {
        loop {
            let wake = self.next_wake();
            let event = tokio::select! {
                event = self.events.recv() => event,
                () = tokio::time::sleep_until(wake) => Some(Event::Tick),
            };
            let Some(event) = event else { return };
            if let Event::Call { attempt, event } = &event
                && event.is_last()
            {
                self.calls.remove(attempt);
            }
            let started = Instant::now();
            let now = self.now();
            if let Some(recorder) = &mut self.recorder {
                recorder.event(now, &event);
            }
            let effects = self.node.reduce(now, event);
            self.clients.metrics.time(Timer::ReduceTime, started.elapsed());
            for effect in effects {
                self.execute(effect);
            }
            self.publish_status();
            self.send_gauges();
        }
    }

    /// Sends the gauges if their interval has passed.
    fn send_gauges(&mut self) {
        let now = Instant::now();
        if now < self.next_gauges {
            return;
        }
        self.next_gauges = now + GAUGE_INTERVAL;
        let metrics = &self.clients.metrics;
        metrics.gauge(Gauge::RequestsOpen, self.clients.callers.len() as u64);
        metrics.gauge(Gauge::EventsWaiting, self.events.len() as u64);
        metrics.gauge(Gauge::Revision, self.node.revision());
        metrics.gauge(Gauge::Ready, u64::from(self.node.is_ready()));
        metrics.flush();
    }

    fn next_wake(&self) -> Instant {
        let latest = Instant::now() + MAX_SLEEP;
        match self.node.next_wake() {
            Some(at) => (self.started + at).min(latest),
            None => latest,
        }
    }

    fn now(&self) -> Moment {
        self.started.elapsed()
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { ticket, answer } => {
                self.clients.callers.deliver(ticket, CallerEvent::Answer(answer));
            }
            Effect::Emit { ticket, number, text } => {
                self.clients.callers.deliver(ticket, CallerEvent::Token { number, text });
            }
            Effect::Call(call) => {
                let attempt = call.attempt;
                let task = self.clients.endpoints.clone().run(*call, self.sender.clone());
                self.calls.insert(attempt, tokio::spawn(task).abort_handle());
            }
            Effect::Cancel { attempt } => {
                if let Some(task) = self.calls.remove(&attempt) {
                    task.abort();
                }
            }
            Effect::Store { call, op } => {
                let store = self.clients.store.clone();
                let sender = self.sender.clone();
                tokio::spawn(async move {
                    let result = store.run(op).await;
                    let _ = sender.send(Event::Store { call, result });
                });
            }
            Effect::Send { to, address, message } => {
                if let Some(peers) = &self.clients.peers {
                    peers.send(&to, address, *message);
                }
            }
            Effect::Instances { ticket, answer } => {
                self.clients.callers.deliver(ticket, CallerEvent::Instances(answer));
            }
            Effect::Key { ticket, state } => {
                self.clients.callers.deliver(ticket, CallerEvent::Key(state));
            }
            Effect::Admin { ticket, reply } => {
                self.clients.callers.deliver(ticket, CallerEvent::Admin(reply));
            }
            Effect::Order { address, order } => {
                let orders = self.orders.clone();
                tokio::spawn(orders.send(address, *order, Instant::now(), self.sender.clone()));
            }
            Effect::Inspect { endpoint, address } => {
                let orders = self.orders.clone();
                tokio::spawn(orders.inspect(address, endpoint, self.sender.clone()));
            }
            Effect::Log(decision) => logs::decision(&self.clients.log, &decision),
            Effect::Count { metric, by } => self.clients.metrics.count_decision(metric, by),
            Effect::Exit => {
                if let Some(recorder) = &mut self.recorder {
                    recorder.end(&self.node);
                }
                self.status.send_modify(|it| it.exited = true);
            }
        }
    }

    fn publish_status(&self) {
        let workspaces = self.node.workspaces();
        self.workspaces.send_if_modified(|it| {
            let is_changed = !Arc::ptr_eq(it, workspaces);
            if is_changed {
                it.clone_from(workspaces);
            }
            is_changed
        });
        let revision = self.node.revision();
        let ready = self.node.is_ready();
        self.status.send_if_modified(|it| {
            let is_changed = it.revision != revision || it.ready != ready;
            it.revision = revision;
            it.ready = ready;
            is_changed
        });
    }
}
