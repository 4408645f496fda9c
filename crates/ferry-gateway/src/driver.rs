//! Passes events to the reducer and executes its effects.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ferry_model::{Moment, ResultHandle, SortedMap, Ticket};
use ferry_platform::headers;
use ferry_platform::settings::NodeSettings;
use ferry_serve::{
    CallId, Decision, Effect, Event, Gateway, LimitReport, Metric, Refusal, StoreUpdate,
};
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, Semaphore, mpsc, oneshot, watch};
use tokio::task::{AbortHandle, spawn_local, yield_now};
use tokio::time::Instant;

use crate::body::StreamChunk;
use crate::caller_limits::CallerLimits;
use crate::client::{BufferedResponse, ConnectionCache};
use crate::decision_log::DecisionFields;
use crate::memory::{BodyMemory, MemoryReservation};
use crate::metrics::Metrics;
use crate::wire::{PeerFormats, WireFormat};
use crate::{caches, calls, health, items, peers, probes, receiving, records};

/// Lateness of the timer after which the process is taken to have stood still.
const STALL: Duration = Duration::from_millis(50);
/// Turns of the event loop after a stall before the timer is handled; each runs some tens of tasks.
const CATCH_UP_TURNS: usize = 32;
/// Interval at which errors are logged that a peer causes.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);
/// Number of chunks of a stream that are buffered for a slow caller.
const STREAM_QUEUE: usize = 64;

/// The response to a caller.
#[derive(Debug)]
pub enum Reply {
    Refusal(Refusal),
    Buffered(BufferedResponse),
    /// The head of a stream, and its chunks.
    Stream(BufferedResponse, mpsc::Receiver<StreamChunk>),
}

/// A caller that waits for its response.
#[derive(Debug)]
pub struct PendingCaller {
    pub request: Rc<CallerRequest>,
    /// Receives the response, until it has begun.
    pub reply: Option<oneshot::Sender<Reply>>,
    /// Receives the chunks of a stream once it has begun.
    pub stream: Option<mpsc::Sender<StreamChunk>>,
    /// Arrival of the request.
    pub since: Instant,
}

/// A caller's request, read completely.
#[derive(Debug)]
pub struct CallerRequest {
    pub parts: Parts,
    pub body: Bytes,
    /// Memory of the body.
    pub _reservation: MemoryReservation,
}

/// What a call has received for its caller so far.
#[derive(Debug)]
pub enum Pending {
    Answer(BufferedResponse),
    /// The head of a stream, whose body is forwarded as it arrives.
    StreamHead(BufferedResponse),
}

/// A call to an endpoint in progress.
#[derive(Debug)]
pub struct ActiveCall {
    pub task: AbortHandle,
    /// What waits for [`Effect::Relay`].
    pub pending: Option<Pending>,
    /// Receives the chunks of the stream; set by [`Effect::Relay`].
    pub relay: Option<mpsc::Sender<StreamChunk>>,
    /// Whether its answer is kept after its end; set by [`Effect::Hold`].
    pub is_held: bool,
}

/// Phases of the process, up to its shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Serving,
    /// Connections are closed after each response.
    Leaving,
    /// Idle connections are closed, and no new ones are accepted.
    Closing,
    /// All requests have ended, and new ones are refused.
    Stopped,
}

/// The reducer, and the state on which its effects act.
#[derive(Debug)]
pub struct Driver {
    pub settings: NodeSettings,
    pub log: Logger,
    pub metrics: Metrics,
    pub connections: ConnectionCache,
    /// To the store, for records of builds and streams.
    pub record_connections: Rc<ConnectionCache>,
    pub memory: BodyMemory,
    /// Permits to read the cache of an engine.
    pub cache_reads: Semaphore,
    pub callers: RefCell<SortedMap<Ticket, PendingCaller>>,
    pub calls: RefCell<SortedMap<CallId, ActiveCall>>,
    pub phase: watch::Sender<Phase>,
    /// Number of requests whose bodies are on the way.
    pub n_receiving: Cell<usize>,
    /// Limits of callers' connections in the configuration in force.
    pub limits: watch::Sender<CallerLimits>,
    /// Number of callers' connections with a request whose response has not been sent. The process
    /// waits for them, as a caller may read a response long after its endpoint has ended it.
    pub n_open: watch::Sender<usize>,
    /// The latest era of the store; none before its first answer.
    pub era: watch::Sender<Option<u64>>,
    /// Whether the store answers, as far as the most frequent calls tell.
    pub is_store_up: watch::Sender<bool>,
    /// The highest format in which messages are sent to peers, and read.
    pub highest_format: WireFormat,
    pub formats: RefCell<PeerFormats>,
    /// When each warning may be written again that is written seldom.
    next_warnings: RefCell<SortedMap<&'static str, Instant>>,
    gateway: RefCell<Gateway>,
    socket: UdpSocket,
    start: Instant,
    last_ticket: Cell<Ticket>,
    /// Time at which the timer fires.
    timer_due: Cell<Moment>,
    /// Notified if the timer must fire earlier.
    timer_changed: Notify,
}

impl Driver {
    pub fn new(
        settings: NodeSettings,
        gateway: Gateway,
        socket: UdpSocket,
        highest_format: WireFormat,
        log: Logger,
    ) -> Rc<Driver> {
        Rc::new(Driver {
            memory: BodyMemory::new(settings.memory_limit),
            cache_reads: Semaphore::new(caches::MAX_READS),
            settings,
            log,
            metrics: Metrics::new(),
            connections: ConnectionCache::new(),
            record_connections: Rc::default(),
            callers: RefCell::default(),
            calls: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
            era: watch::Sender::new(None),
            is_store_up: watch::Sender::new(true),
            limits: watch::Sender::new(CallerLimits::of(&gateway)),
            n_open: watch::Sender::new(0),
            n_receiving: Cell::new(0),
            highest_format,
            formats: RefCell::default(),
            next_warnings: RefCell::default(),
            gateway: RefCell::new(gateway),
            socket,
            start: Instant::now(),
            last_ticket: Cell::new(0),
            timer_due: Cell::new(Moment::ZERO),
            timer_changed: Notify::new(),
        })
    }

    /// Returns the time since the start of the process.
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

    /// Reads the state of the reducer; must not be called while it processes an event.
    pub fn query<T>(&self, read: impl FnOnce(&Gateway) -> T) -> T {
        read(&self.gateway.borrow())
    }

    /// Passes an event to the reducer and executes its effects in order.
    pub fn dispatch(self: &Rc<Self>, event: Event) {
        let now = self.now();
        let effects = self.gateway.borrow_mut().reduce(now, event);
        let limits = CallerLimits::of(&self.gateway.borrow());
        self.limits.send_if_modified(|it| std::mem::replace(it, limits.clone()) != limits);
        for effect in effects {
            self.execute(effect);
        }
        let due = self.gateway.borrow().next_wake(now);
        if due < self.timer_due.get() {
            self.timer_changed.notify_one();
        }
    }

    /// Records the era of an answer of the store; returns false if a later one is known. Entries that
    /// the copy lacks count as missing since the store was away.
    pub fn enter_era(self: &Rc<Self>, era: u64) -> bool {
        let known = *self.era.borrow();
        if known < Some(era) {
            self.era.send_replace(Some(era));
            self.metrics.set_era(era);
        }
        if let Some(known) = known.filter(|it| *it < era) {
            warn!(self.log, "the store came back from an older copy"; "era" => era, "before" => known);
            self.formats.borrow_mut().on_new_era();
            self.dispatch(Event::Store(StoreUpdate::Restored));
        }
        known <= Some(era)
    }

    /// Reports the rate limit that a response of an endpoint names. Most endpoints name none, which
    /// is reported only if one was known.
    pub fn report_limit(self: &Rc<Self>, endpoint: &str, started: u64, limit: LimitReport) {
        let is_limited = |it: &Gateway| it.context().endpoints.limit(endpoint).is_some();
        if limit != LimitReport::Unlimited || self.query(is_limited) {
            self.dispatch(Event::Limit { endpoint: endpoint.to_owned(), started, limit });
        }
    }

    /// Reports what a response says of its endpoint's leaving, and the pause that it asks for. A
    /// response of another endpoint at the address says nothing of the one that was called.
    pub fn report_state(
        self: &Rc<Self>,
        endpoint: &str,
        started: u64,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        if let Some(report) = headers::leaving(headers) {
            self.dispatch(Event::Leaving { endpoint: endpoint.to_owned(), started, report });
        }
        if let Some(report) = headers::pause(status, headers) {
            self.dispatch(Event::Pause { endpoint: endpoint.to_owned(), started, report });
        }
    }

    /// Dispatches a tick whenever the reducer needs one.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let due = self.gateway.borrow().next_wake(self.now());
            self.timer_due.set(due);
            tokio::select! {
                () = tokio::time::sleep_until(self.start + due) => {
                    let late = self.now().saturating_sub(due);
                    if STALL <= late {
                        catch_up().await;
                    }
                    self.dispatch(Event::Tick { late });
                }
                () = self.timer_changed.notified() => (),
            }
        }
    }

    fn execute(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Refuse { ticket, refusal } => self.refuse(ticket, refusal),
            Effect::Call(call) => calls::start(self, *call),
            Effect::Relay { call, ticket } => self.relay(call, ticket),
            Effect::Hold { call } => self.hold(call),
            Effect::Finish { ticket } | Effect::Abort { ticket } => self.remove_caller(ticket),
            Effect::Cancel { call } => self.cancel(call),
            Effect::Batch(call) => items::start(self, *call),
            Effect::Free { address, handles } => self.free(address, handles),
            Effect::ReadCache { endpoint, started, address } => {
                caches::read(self, endpoint, started, address);
            }
            Effect::Probe { endpoint, started, address } => {
                probes::start(self, endpoint, started, address);
            }
            Effect::CheckHealth { endpoint, started, address, path } => {
                health::check(self, endpoint, started, address, path);
            }
            Effect::Record(call) => records::start(self, call),
            Effect::Send { to, message } => peers::send(self, to, &message),
            Effect::Pull { from, version, since } => peers::pull(self, from, version, since),
            Effect::Log(decision) => self.log_decision(&decision),
            Effect::Count(metric) => self.metrics.count(metric),
            Effect::Close => self.set_phase(Phase::Closing),
            Effect::Exit => self.set_phase(Phase::Stopped),
        }
    }

    fn refuse(&self, ticket: Ticket, refusal: Refusal) {
        let caller = self.callers.borrow_mut().remove(&ticket);
        let Some(reply) = caller.and_then(|it| it.reply) else { return };
        // Fails if the caller has disconnected.
        let _ = reply.send(Reply::Refusal(refusal));
    }

    /// Sends the pending response, or head of a stream, to the caller.
    fn relay(&self, call: CallId, ticket: Ticket) {
        let mut calls = self.calls.borrow_mut();
        let mut callers = self.callers.borrow_mut();
        let (Some(active), Some(caller)) = (calls.get_mut(&call), callers.get_mut(&ticket)) else {
            return;
        };
        match active.pending.take() {
            None => (),
            Some(Pending::Answer(response)) => {
                if let Some(reply) = callers.remove(&ticket).and_then(|it| it.reply) {
                    // Fails if the caller has disconnected.
                    let _ = reply.send(Reply::Buffered(response));
                }
                calls.remove(&call);
            }
            Some(Pending::StreamHead(head)) => {
                if let Some(reply) = caller.reply.take() {
                    let (sender, receiver) = mpsc::channel(STREAM_QUEUE);
                    caller.stream = Some(sender);
                    self.metrics.record_first_event(caller.since.elapsed());
                    let _ = reply.send(Reply::Stream(head, receiver));
                }
                active.relay = caller.stream.clone();
            }
        }
    }

    fn hold(&self, call: CallId) {
        if let Some(active) = self.calls.borrow_mut().get_mut(&call) {
            active.is_held = true;
        }
    }

    fn remove_caller(&self, ticket: Ticket) {
        if let Some(caller) = self.callers.borrow_mut().remove(&ticket) {
            self.metrics.record_response(caller.since.elapsed());
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

    /// Begins the shutdown.
    pub fn stop(self: &Rc<Self>) {
        self.set_phase(Phase::Leaving);
        receiving::report(self);
        self.dispatch(Event::Shutdown);
    }

    fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    fn log_decision(&self, it: &Decision) {
        info!(self.log, "decision"; DecisionFields(it));
    }

    /// Logs an error of which others may cause any number.
    pub fn warn_seldom(&self, message: &'static str, error: &dyn std::fmt::Display) {
        let now = Instant::now();
        let mut next_warnings = self.next_warnings.borrow_mut();
        if next_warnings.get(message).is_none_or(|it| *it <= now) {
            next_warnings.insert(message, now + WARNING_INTERVAL);
            self.warn(message, error);
        }
    }

    /// Counts and logs a part of a response that could not be read, while the others were.
    pub fn note_unreadable(&self, message: &'static str, error: &dyn std::fmt::Display) {
        self.metrics.count(Metric::EntriesUnreadable);
        self.warn_seldom(message, error);
    }

    /// Counts and logs parts of a caller's prompt that could not be read, while the others were.
    pub fn note_parts(&self, n_unreadable: usize) {
        if 0 < n_unreadable {
            (0..n_unreadable).for_each(|_| self.metrics.count(Metric::PartsUnreadable));
            self.warn_seldom("could not read parts of a prompt", &n_unreadable);
        }
    }

    /// Counts and logs objects of the store whose names cannot be read.
    pub fn note_unnamed(&self, n_objects: usize) {
        if 0 < n_objects {
            (0..n_objects).for_each(|_| self.metrics.count(Metric::ObjectsUnreadable));
            self.warn_seldom("ignored objects of the store without a name", &n_objects);
        }
    }

    /// Logs an error that is not part of a decision.
    pub fn warn(&self, message: &str, error: &dyn std::fmt::Display) {
        warn!(self.log, "{}", message; "error" => error.to_string());
    }
}

/// Handles what has arrived while the process stood still. Otherwise a timer would find endpoints
/// silent whose bytes wait in the sockets.
async fn catch_up() {
    for _ in 0..CATCH_UP_TURNS {
        yield_now().await;
    }
}
