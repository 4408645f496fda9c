//! Gateways, endpoints and callers on virtual time, with injected faults.

mod callers;
mod changes;
mod config;
mod crash_moment;
mod crashes;
mod cuts;
mod endpoint;
mod faults;
mod items;
mod network;
mod pauses;
mod records;
mod start;
mod stream_check;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ferry_model::{GatewayConfig, Moment, SortedMap};
use ferry_serve::{
    CallId, Decision, Effect, Event, Gateway, PromptPart, RecordCall, Refusal, RequestDigest,
    RequestHead, Tuning,
};

pub use config::{config, front, head, limits, peer, relay};
pub use crash_moment::CrashMoment;
pub use crashes::CrashCause;
use crashes::{Crashes, EndpointStep};
pub use cuts::{Cut, CutForm};
pub use endpoint::{Behaviour, Endpoint, Received};
pub use items::NamedInputs;
pub use pauses::Pause;
pub use records::{RecordStore, StoreState};

use stream_check::{OpenCall, PendingAnswer};

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Time that a datagram between instances takes.
const NETWORK_DELAY: Duration = ms(1);

/// Start of the simulation as time since the Unix epoch; the endpoints started long before.
const UNIX_START: Duration = Duration::from_secs(1_000);

pub const PLAIN: &str = "plain";
pub const ENGINE: &str = "engine";
pub const FIRST: &str = "first";
pub const SECOND: &str = "second";

#[derive(Debug, Clone, PartialEq)]
pub enum Ending {
    Answer,
    Error,
    Stream,
    Refused(Refusal),
    Aborted,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    pub ending: Ending,
    pub took: Duration,
}

#[derive(Debug)]
struct Caller {
    attempt: String,
    prompt: Vec<PromptPart>,
    head: RequestHead,
    /// Last event that was received before, if another instance passed the request on.
    offset: u64,
    arrived: Moment,
    /// When the first event arrived.
    began: Option<Moment>,
}

#[derive(Debug)]
enum QueuedEvent {
    Tick {
        instance: usize,
        late: Duration,
    },
    Deliver {
        instance: usize,
        incarnation: u64,
        event: Event,
    },
    /// A response says whether its endpoint has a rate limit when it arrives.
    Limit {
        instance: usize,
        incarnation: u64,
        endpoint: String,
    },
    Endpoint {
        endpoint: String,
        step: EndpointStep,
    },
    /// The store executes a write whose answer was lost.
    Write(RecordCall),
}

pub struct Simulation {
    pub now: Moment,
    pub tuning: Tuning,
    pub config: Arc<GatewayConfig>,
    pub instances: Vec<Option<Gateway>>,
    pub endpoints: SortedMap<String, Endpoint>,
    /// Ended requests by attempt.
    pub outcomes: SortedMap<String, Outcome>,
    /// Time from arrival to the first event, by attempt.
    pub first_events: SortedMap<String, Duration>,
    /// Endpoints that started to run each attempt.
    pub runs: SortedMap<String, Vec<String>>,
    /// Moment and attempt of each call that reached an endpoint, by the endpoint's pool.
    pub reached: SortedMap<String, Vec<(Moment, String)>>,
    /// When callers sent requests, by path.
    pub sent: SortedMap<String, Vec<Moment>>,
    /// Instances that have lost their links to endpoints.
    pub cuts: Vec<Cut>,
    /// Requests that an instance got from another one, by instance and ticket, and the call there.
    passed_on: SortedMap<(usize, u64), (usize, CallId)>,
    /// Last event that the caller of the next request has received.
    offset: u64,
    /// Requests that were passed on and then cancelled.
    abandoned: BTreeSet<(usize, u64)>,
    /// Requests that were passed on.
    pub n_passed_on: usize,
    /// Whether instances start with the whole system, for the first time.
    pub is_first_start: bool,
    /// Zones that are evacuated as an instance starts, if the deployment evacuates zones.
    pub evacuated: Vec<String>,
    /// Whether endpoints lose the results of stages at once.
    pub loses_results: bool,
    /// Results that calls have named.
    pub inputs: Vec<NamedInputs>,
    /// Violations of the call protocol, as the endpoints saw them.
    pub violations: Vec<String>,
    /// Pauses that endpoints have asked instances for.
    pub pauses: Vec<Pause>,
    pub n_batches: usize,
    pub n_freed: usize,
    /// Attempts with items for which results were named that had been freed.
    pub reads_of_freed: Vec<String>,
    /// Tokens of prompt parts that engines read although one of them had read them, or was reading
    /// them.
    pub n_read_again: u64,
    /// Number of times that endpoints were asked whether they leave.
    pub n_checks: usize,
    /// Whether messages that only tell what endpoints have said are lost.
    pub loses_notices: bool,
    /// Whether instances cannot read from each other.
    pub loses_reads: bool,
    /// Number of entries that peers sent each other.
    pub n_entries_sent: usize,
    /// Decisions of all instances, in order.
    pub decisions: Vec<Decision>,
    pub exited: Vec<usize>,
    /// Instances that close their connections, and since when.
    pub closed: Vec<(usize, Moment)>,
    /// Lateness of timers by instance.
    pub timer_lag: Vec<Duration>,
    /// One in this many datagrams is lost, at random.
    pub drop_one_in: Option<u64>,
    rng: u64,
    /// The records of builds and streams in the store.
    pub records: RecordStore,
    /// Instances that cannot reach any peer.
    pub isolated: Vec<usize>,
    /// Instances that reach only each other.
    pub island: Vec<usize>,
    /// Instances that do nothing, and what has happened to them meanwhile.
    frozen: SortedMap<usize, Vec<QueuedEvent>>,
    results: SortedMap<String, (String, u8)>,
    /// Results that were freed.
    freed: Vec<String>,
    callers: SortedMap<(usize, u64), Caller>,
    cancelled: Vec<(usize, CallId)>,
    /// Calls of requests that have neither ended nor been cancelled.
    open_calls: SortedMap<(usize, CallId), OpenCall>,
    answers: SortedMap<(usize, CallId), PendingAnswer>,
    /// Endpoints of the calls for items in progress.
    batches: SortedMap<(usize, CallId), String>,
    /// Attempts of which a call was broken off, or answered with an error.
    pub broken: Vec<String>,
    /// Events that each attempt's caller got.
    pub events: SortedMap<String, Vec<u64>>,
    /// Kind of answer of each call: 0 for an answer, 1 for an error, 2 for a stream.
    calls: SortedMap<(usize, CallId), u64>,
    /// Calls that each endpoint was asked for.
    asked: SortedMap<String, Vec<(usize, CallId)>>,
    /// Attempt and build of each stream in progress.
    sources: SortedMap<(usize, CallId), (String, String)>,
    /// Builds that brought events, by attempt.
    pub event_builds: SortedMap<String, Vec<String>>,
    pub crashes: Crashes,
    /// What each attempt asks for.
    digests: SortedMap<String, RequestDigest>,
    /// Streams that have brought an event.
    begun: BTreeSet<(usize, CallId)>,
    incarnations: Vec<u64>,
    /// Whether the clock of an instance is behind its former one whenever it starts from now on.
    pub sets_clocks_back: bool,
    /// When each instance's timer fires.
    timers: Vec<Option<Moment>>,
    queue: BTreeMap<(Moment, u64), QueuedEvent>,
    n_queued: u64,
    n_tickets: u64,
}

impl Simulation {
    /// Delivers an event to an instance at once.
    pub fn deliver(&mut self, instance: usize, event: Event) {
        self.bring_events(instance, &event);
        self.pass_back_event(instance, &event);
        self.record_event(instance, &event);
        self.check_event(instance, &event);
        self.reduce(instance, event);
        self.drop_answers();
    }

    fn reduce(&mut self, instance: usize, event: Event) {
        let now = self.now;
        let Some(gateway) = &mut self.instances[instance] else { return };
        let effects = gateway.reduce(now, event);
        for effect in effects {
            self.execute(instance, effect);
        }
        self.arm(instance);
    }

    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if until < at {
                break;
            }
            let item = entry.remove();
            self.now = self.now.max(at);
            self.process(item);
        }
        self.now = until;
    }

    fn process(&mut self, item: QueuedEvent) {
        if let QueuedEvent::Endpoint { endpoint, step } = item {
            return self.step_endpoint(&endpoint, step);
        }
        if let QueuedEvent::Write(call) = item {
            return self.write_late(&call);
        }
        let (QueuedEvent::Tick { instance, .. }
        | QueuedEvent::Deliver { instance, .. }
        | QueuedEvent::Limit { instance, .. }) = item
        else {
            return;
        };
        if let Some(missed) = self.frozen.get_mut(&instance) {
            return missed.push(item);
        }
        match item {
            QueuedEvent::Tick { instance, late } => self.tick(instance, late),
            QueuedEvent::Deliver { instance, incarnation, event }
                if incarnation == self.incarnations[instance] =>
            {
                self.deliver(instance, event);
            }
            QueuedEvent::Limit { instance, incarnation, endpoint }
                if incarnation == self.incarnations[instance] =>
            {
                self.report_limit(instance, endpoint);
            }
            QueuedEvent::Deliver { .. }
            | QueuedEvent::Limit { .. }
            | QueuedEvent::Endpoint { .. }
            | QueuedEvent::Write(_) => (),
        }
    }

    fn push_write(&mut self, after: Duration, call: RecordCall) {
        self.push(self.now + after, QueuedEvent::Write(call));
    }

    fn tick(&mut self, instance: usize, late: Duration) {
        if self.timers[instance].is_some_and(|it| it <= self.now) {
            let late = late.max(self.now - self.timers[instance].unwrap_or_default());
            self.timers[instance] = None;
            self.deliver(instance, Event::Tick { late });
        }
    }

    fn arm(&mut self, instance: usize) {
        let Some(gateway) = &self.instances[instance] else { return };
        let late = self.timer_lag[instance];
        let due = gateway.next_wake(self.now).max(self.now) + late;
        if self.timers[instance].is_none_or(|it| due < it || it < self.now) {
            self.timers[instance] = Some(due);
            self.push(due, QueuedEvent::Tick { instance, late });
        }
    }

    fn push(&mut self, at: Moment, item: QueuedEvent) {
        self.n_queued += 1;
        self.queue.insert((at, self.n_queued), item);
    }

    fn schedule(&mut self, instance: usize, after: Duration, event: Event) {
        let incarnation = self.incarnations[instance];
        self.push(self.now + after, QueuedEvent::Deliver { instance, incarnation, event });
    }

    fn execute(&mut self, instance: usize, effect: Effect) {
        match effect {
            Effect::Refuse { ticket, refusal } => {
                self.check_refusal(instance, ticket, &refusal);
                self.end(instance, ticket, Ending::Refused(refusal));
            }
            Effect::Finish { ticket } => self.end(instance, ticket, Ending::Stream),
            Effect::Abort { ticket } => self.end(instance, ticket, Ending::Aborted),
            Effect::Relay { call, ticket } => self.relay(instance, call, ticket),
            Effect::Call(call) if call.relayed.is_some() => self.pass_on(instance, &call),
            Effect::Call(call) => self.call(instance, &call),
            Effect::Cancel { call } => {
                self.cancelled.push((instance, call));
                self.cancel_passed_on(instance, call);
                self.open_calls.remove(&(instance, call));
                self.answers.remove(&(instance, call));
            }
            Effect::Hold { call } => self.hold(instance, call),
            Effect::Batch(call) => self.batch(instance, &call),
            Effect::Free { handles, address } => {
                let mut endpoints = self.endpoints.values_mut();
                let endpoint = endpoints.find(|it| it.entry.address == address);
                let id = endpoint.map(|it| {
                    it.n_messages += 1;
                    it.entry.id.clone()
                });
                drop(endpoints);
                if let Some(id) = id {
                    self.check_pauses(instance, &id);
                }
                self.n_freed += handles.len();
                for handle in handles {
                    self.results.remove(&handle.id);
                    self.freed.push(handle.id);
                }
            }
            Effect::Record(call) => self.call_store(instance, call),
            Effect::Send { to, message } => self.send(instance, to, message),
            Effect::Pull { from, version, since } => self.pull(instance, from, version, since),
            Effect::Exit => self.exited.push(instance),
            Effect::Close => self.closed.push((instance, self.now)),
            Effect::Probe { endpoint, started, .. } => self.probe(instance, endpoint, started),
            Effect::CheckHealth { endpoint, started, .. } => {
                self.check_health(instance, endpoint, started);
            }
            Effect::ReadCache { endpoint, .. } => self.read_cache(instance, endpoint),
            Effect::Log(decision) => self.decisions.push(*decision),
            Effect::Count(_) => (),
        }
    }
}
