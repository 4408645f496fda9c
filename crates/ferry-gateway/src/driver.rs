//! The reducer and everything that its effects act on.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use ferry_model::{Moment, ResultHandle, SortedMap, Ticket};
use ferry_platform::settings::NodeSettings;
use ferry_serve::{CallId, Decision, Effect, Event, Gateway, Refusal};
use http::request::Parts;
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::Instant;

use crate::body::StreamPart;
use crate::client::{ConnectionCache, WholeResponse};
use crate::memory::{BodyMemory, MemoryReservation};
use crate::metrics::Metrics;
use crate::{calls, items, peers};

/// Events of a stream that may wait for a slow caller.
const STREAM_QUEUE: usize = 64;

/// What a caller gets.
#[derive(Debug)]
pub enum Reply {
    Refusal(Refusal),
    Whole(WholeResponse),
    /// The head of a stream, and what comes of it.
    Stream(WholeResponse, mpsc::Receiver<StreamPart>),
}

/// A caller that waits, with its request.
#[derive(Debug)]
pub struct PendingCaller {
    pub request: Rc<CallerRequest>,
    pub reply: Option<oneshot::Sender<Reply>>,
    /// Takes the events of a stream once it has begun.
    pub stream: Option<mpsc::Sender<StreamPart>>,
    pub since: Instant,
}

/// A caller's request as it was read.
#[derive(Debug)]
pub struct CallerRequest {
    pub parts: Parts,
    pub body: Bytes,
    pub _reservation: MemoryReservation,
}

/// A call to an endpoint in progress.
#[derive(Debug)]
pub struct ActiveCall {
    pub task: AbortHandle,
    /// What waits until the reducer says that it goes to the caller.
    pub pending: Option<WholeResponse>,
    /// Where events go; set by the reducer's word.
    pub relay: Option<mpsc::Sender<StreamPart>>,
}

/// How far the shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Serving,
    /// Answers end their connections.
    Leaving,
    /// Idle connections close, and nothing new is accepted.
    Closing,
    Stopped,
}

#[derive(Debug)]
pub struct Driver {
    pub settings: NodeSettings,
    pub log: Logger,
    pub metrics: Metrics,
    pub connections: ConnectionCache,
    pub memory: BodyMemory,
    pub callers: RefCell<SortedMap<Ticket, PendingCaller>>,
    pub calls: RefCell<SortedMap<CallId, ActiveCall>>,
    pub phase: watch::Sender<Phase>,
    /// Objects of the store that could not be read, and why.
    pub unreadable: RefCell<SortedMap<String, String>>,
    node: RefCell<Gateway>,
    socket: UdpSocket,
    start: Instant,
    last_ticket: Cell<Ticket>,
    /// When the timer will fire.
    armed: Cell<Moment>,
    rearm: Notify,
}

impl Driver {
    pub fn new(
        settings: NodeSettings,
        node: Gateway,
        socket: UdpSocket,
        log: Logger,
    ) -> Rc<Driver> {
        Rc::new(Driver {
            memory: BodyMemory::new(settings.memory_limit),
            settings,
            log,
            metrics: Metrics::new(),
            connections: ConnectionCache::new(),
            callers: RefCell::default(),
            calls: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
            unreadable: RefCell::default(),
            node: RefCell::new(node),
            socket,
            start: Instant::now(),
            last_ticket: Cell::new(0),
            armed: Cell::new(Moment::ZERO),
            rearm: Notify::new(),
        })
    }

    pub fn now(&self) -> Moment {
        self.start.elapsed()
    }

    pub fn next_ticket(&self) -> Ticket {
        self.last_ticket.set(self.last_ticket.get() + 1);
        self.last_ticket.get()
    }

    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Asks the reducer's state; never while an event is being taken.
    pub fn query<T>(&self, question: impl FnOnce(&Gateway) -> T) -> T {
        question(&self.node.borrow())
    }

    /// Hands an event to the reducer and executes its effects in order.
    pub fn dispatch(self: &Rc<Self>, event: Event) {
        let now = self.now();
        let effects = self.node.borrow_mut().reduce(now, event);
        for effect in effects {
            self.execute(effect);
        }
        let due = self.node.borrow().next_wake(now);
        if due < self.armed.get() {
            self.rearm.notify_one();
        }
    }

    /// Sends ticks when they are due.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let due = self.node.borrow().next_wake(self.now());
            self.armed.set(due);
            tokio::select! {
                () = tokio::time::sleep_until(self.start + due) => {
                    let late = self.now().saturating_sub(due);
                    self.dispatch(Event::Tick { late });
                }
                () = self.rearm.notified() => (),
            }
        }
    }

    fn execute(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Refuse { ticket, refusal } => self.refuse(ticket, refusal),
            Effect::Call(call) => calls::start(self, *call),
            Effect::Relay { call, ticket } => self.relay(call, ticket),
            Effect::Finish { ticket } | Effect::Abort { ticket } => self.forget(ticket),
            Effect::Cancel { call } => self.cancel(call),
            Effect::Batch(call) => items::start(self, *call),
            Effect::Free { address, handles } => self.free(address, handles),
            Effect::Send { to, message } => peers::send(self, to, &message),
            Effect::Pull { from, version, since } => peers::pull(self, from, version, since),
            Effect::Log(decision) => self.log_decision(&decision),
            Effect::Count(metric) => self.metrics.count(metric),
            Effect::Close => self.set_phase(Phase::Closing),
            Effect::Exit => self.set_phase(Phase::Stopped),
        }
    }

    fn refuse(&self, ticket: Ticket, refusal: Refusal) {
        let waiter = self.callers.borrow_mut().remove(&ticket);
        let Some(reply) = waiter.and_then(|it| it.reply) else { return };
        // A caller that has just left needs no answer.
        let _ = reply.send(Reply::Refusal(refusal));
    }

    /// Passes the pending head, or the whole answer, on to the caller.
    fn relay(&self, call: CallId, ticket: Ticket) {
        let mut calls = self.calls.borrow_mut();
        let mut callers = self.callers.borrow_mut();
        let (Some(active), Some(waiter)) = (calls.get_mut(&call), callers.get_mut(&ticket)) else {
            return;
        };
        let Some(pending) = active.pending.take() else { return };
        if !calls::is_stream_head(&pending) {
            if let Some(reply) = callers.remove(&ticket).and_then(|it| it.reply) {
                let _ = reply.send(Reply::Whole(pending));
            }
            return;
        }
        if let Some(reply) = waiter.reply.take() {
            let (sender, receiver) = mpsc::channel(STREAM_QUEUE);
            waiter.stream = Some(sender);
            self.metrics.first_event(waiter.since.elapsed());
            let _ = reply.send(Reply::Stream(pending, receiver));
        }
        active.relay = waiter.stream.clone();
    }

    fn forget(&self, ticket: Ticket) {
        if let Some(waiter) = self.callers.borrow_mut().remove(&ticket) {
            self.metrics.answered(waiter.since.elapsed());
        }
    }

    fn cancel(&self, call: CallId) {
        if let Some(active) = self.calls.borrow_mut().remove(&call) {
            active.task.abort();
        }
    }

    fn free(self: &Rc<Self>, address: SocketAddr, handles: Vec<ResultHandle>) {
        let driver = self.clone();
        spawn_local(async move { items::free(&driver, address, &handles).await });
    }

    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    fn log_decision(&self, it: &Decision) {
        info!(self.log, "decision";
            "decision" => it.kind.to_string(),
            "reason" => &it.reason,
            "request" => it.attempt.as_deref(),
            "stage" => it.stage,
            "endpoint" => &it.endpoint,
            "pool" => &it.pool,
            "considered" => it.considered,
            "score_us" => it.score,
            "budget_ms" => it.budget.map(|it| it.as_millis() as u64),
            "version" => it.version,
        );
    }

    /// Notes something that went wrong outside of any request.
    pub fn warn(&self, what: &str, error: &dyn std::fmt::Display) {
        warn!(self.log, "{}", what; "error" => error.to_string());
    }
}
