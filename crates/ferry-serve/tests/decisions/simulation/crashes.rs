//! Engines that crash on a prompt part, and endpoints that are killed.

use std::time::Duration;

use ferry_model::{EndpointState, Moment, SortedMap};
use ferry_serve::{
    Call, CallEvent, CallId, Event, Framing, PeerMessage, PromptPart, StoreUpdate, StreamEnd,
};

use super::{ENGINE, NETWORK_DELAY, QueuedEvent, Simulation, UNIX_START, ms};

/// Time from the start of an endpoint, or its end, until all instances know of it.
const STORE_DELAY: Duration = ms(1_000);
/// Time from the first event of an answer until the engine crashes, at least and at most.
const MIN_CRASH_DELAY: u64 = 60;
const MAX_CRASH_DELAY: u64 = 110;
/// Time until an endpoint is back, at least and at most.
const MIN_DOWN_TIME: u64 = 2_000;
const MAX_DOWN_TIME: u64 = 4_000;

/// What crashes, and what was seen of it.
#[derive(Debug)]
pub struct Crashes {
    /// Parts on which each engine crashes that begins to write an answer.
    pub parts: Vec<u64>,
    /// How the streams of all engines are framed.
    pub framing: Framing,
    /// Number of events of each stream.
    pub n_events: u64,
    /// One in this many streams breaks off while its endpoint goes on.
    pub break_one_in: Option<u64>,
    /// Calls that reached an endpoint and had one of these parts.
    pub received: Vec<(Moment, u64)>,
    /// When engines crashed on a part.
    pub crashed: Vec<(Moment, u64)>,
    /// Bytes that each instance has sent about crashes, by the second.
    pub bytes: SortedMap<(usize, u64), usize>,
    /// Endpoints that do not run.
    down: Vec<String>,
    revision: u64,
}

impl Crashes {
    pub fn new() -> Crashes {
        Crashes {
            parts: Vec::new(),
            framing: Framing::Chunked,
            n_events: 5,
            break_one_in: None,
            received: Vec::new(),
            crashed: Vec::new(),
            bytes: SortedMap::new(),
            down: Vec::new(),
            revision: 100,
        }
    }

    /// Returns how many calls with a part reached endpoints later than `after` its crash with this
    /// number.
    pub fn n_received_after(&self, part: u64, n_crashes: usize, after: Duration) -> usize {
        let mut crashed = self.crashed.iter().filter(|it| it.1 == part);
        let Some((at, _)) = crashed.nth(n_crashes - 1) else { return 0 };
        self.received.iter().filter(|it| it.1 == part && *at + after < it.0).count()
    }
}

/// What happens to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointStep {
    /// It crashes on a part, unless it was started again after `started`.
    Crash {
        part: u64,
        started: u64,
    },
    /// Its entry is removed.
    Forget {
        started: u64,
    },
    Start,
    /// Its new entry is known.
    Announce {
        started: u64,
    },
}

fn encoded_len(value: &impl serde::Serialize) -> usize {
    postcard::to_stdvec(value).expect("it can be encoded").len()
}

impl Simulation {
    /// Handles a call to an endpoint that does not run; returns whether it does not.
    pub(super) fn refuse_connection(&mut self, instance: usize, call: &Call) -> bool {
        let is_down = self.crashes.down.contains(&call.endpoint);
        if is_down {
            let event = CallEvent::Unsent { error: "connection refused".to_owned() };
            self.schedule(instance, NETWORK_DELAY, Event::Call { call: call.call, event });
        }
        is_down
    }

    /// Lets the endpoint of a call that begins to write after `begin` crash, if its prompt has such
    /// a part.
    pub(super) fn plan_crash(&mut self, call: &Call, prompt: &[PromptPart], begin: Duration) {
        let (_, shared) = prompt.split_last().unwrap_or((&PromptPart { id: 0, tokens: 0 }, &[]));
        let guilty = shared.iter().find(|it| self.crashes.parts.contains(&it.id));
        let Some(part) = guilty.map(|it| it.id) else { return };
        self.crashes.received.push((self.now, part));
        let delay = self.draw(MIN_CRASH_DELAY, MAX_CRASH_DELAY);
        let started = self.endpoints.get(&call.endpoint).map_or(0, |it| it.entry.started);
        self.push_step(begin + delay, &call.endpoint, EndpointStep::Crash { part, started });
    }

    /// Adds engines until there are so many, which all instances know.
    pub fn add_engines(&mut self, n_engines: usize) {
        for number in 0..n_engines {
            let id = format!("{ENGINE}-{number}");
            if !self.endpoints.contains_key(&id) {
                self.add_endpoint(ENGINE, number);
                self.announce(&id);
            }
        }
        self.run_for(ms(10));
    }

    /// Kills an endpoint, which is back after seconds.
    pub fn kill_endpoint(&mut self, id: &str) {
        if self.crashes.down.iter().any(|it| it == id) {
            return;
        }
        self.crashes.down.push(id.to_owned());
        self.break_calls(id, None);
        let started = self.endpoints.get(id).map_or(0, |it| it.entry.started);
        self.push_step(STORE_DELAY, id, EndpointStep::Forget { started });
        let down_time = self.draw(MIN_DOWN_TIME, MAX_DOWN_TIME);
        self.push_step(down_time, id, EndpointStep::Start);
    }

    /// Changes the state of an endpoint's entry.
    pub fn set_state(&mut self, id: &str, state: EndpointState) {
        self.endpoints.get_mut(id).expect("the endpoint exists").entry.state = state;
        self.announce(id);
    }

    /// Starts an endpoint again that has left.
    pub fn restart_endpoint(&mut self, id: &str) {
        self.break_calls(id, None);
        let started = (UNIX_START + self.now).as_millis() as u64;
        self.endpoints.get_mut(id).expect("the endpoint exists").entry.started = started;
        self.set_state(id, EndpointState::Live);
    }

    /// Breaks all calls in progress at an endpoint, or only those of one instance.
    pub fn break_calls(&mut self, id: &str, instance: Option<usize>) {
        let calls = self.streams.remove(id).unwrap_or_default();
        let is_hit = |it: &(usize, CallId)| instance.is_none_or(|only| only == it.0);
        let (broken, kept) = calls.into_iter().partition::<Vec<_>, _>(is_hit);
        self.streams.insert(id.to_owned(), kept);
        for (instance, call) in broken {
            let has_begun = self.begun.contains(&(instance, call));
            let event = match self.crashes.framing {
                Framing::Connection if has_begun => CallEvent::Ended(StreamEnd {
                    framing: Framing::Connection,
                    n_events: 1,
                    partial: 0,
                }),
                Framing::Connection | Framing::Length | Framing::Chunked => {
                    CallEvent::Broken { error: "reset".to_owned() }
                }
            };
            self.schedule(instance, NETWORK_DELAY, Event::Call { call, event });
        }
    }

    pub(super) fn step_endpoint(&mut self, id: &str, step: EndpointStep) {
        let current = self.endpoints.get(id).map_or(0, |it| it.entry.started);
        match step {
            EndpointStep::Crash { part, started } => {
                let is_down = self.crashes.down.iter().any(|it| it == id);
                if started == current && !is_down {
                    self.crashes.crashed.push((self.now, part));
                    self.kill_endpoint(id);
                }
            }
            EndpointStep::Forget { started } if started == current => {
                self.crashes.revision += 1;
                let revision = self.crashes.revision;
                self.tell_all(StoreUpdate::Removed { revision, id: id.to_owned() });
            }
            EndpointStep::Start => {
                self.crashes.down.retain(|it| it != id);
                let started = (UNIX_START + self.now).as_millis() as u64;
                if let Some(endpoint) = self.endpoints.get_mut(id) {
                    endpoint.entry.started = started;
                    endpoint.entry.state = EndpointState::Live;
                }
                self.push_step(STORE_DELAY, id, EndpointStep::Announce { started });
            }
            EndpointStep::Announce { started } if started == current => self.announce(id),
            EndpointStep::Forget { .. } | EndpointStep::Announce { .. } => (),
        }
    }

    /// Tells all instances the entry of an endpoint.
    pub fn announce(&mut self, id: &str) {
        self.crashes.revision += 1;
        let revision = self.crashes.revision;
        let entry = self.endpoints.get(id).expect("the endpoint exists").entry.clone();
        self.tell_all(StoreUpdate::Changed { revision, endpoint: entry });
    }

    /// Counts the bytes of a message about crashes, and those that a heartbeat has for it.
    pub(super) fn count_bytes(&mut self, from: usize, message: &PeerMessage) {
        let n_bytes = match message {
            PeerMessage::Quarantine(_)
            | PeerMessage::CrashReport(_)
            | PeerMessage::Accusation(_)
            | PeerMessage::Objection(_) => encoded_len(message),
            PeerMessage::Heartbeat(it) => encoded_len(&it.quarantine),
            _ => 0,
        };
        *self.crashes.bytes.get_or_insert_with((from, self.now.as_secs()), || 0) += n_bytes;
    }

    fn tell_all(&mut self, update: StoreUpdate) {
        for instance in 0..self.instances.len() {
            self.schedule(instance, ms(0), Event::Store(update.clone()));
        }
    }

    fn push_step(&mut self, after: Duration, id: &str, step: EndpointStep) {
        let endpoint = id.to_owned();
        self.push(self.now + after, QueuedEvent::Endpoint { endpoint, step });
    }

    /// Whether the next stream breaks off while its endpoint goes on.
    pub(super) fn is_stream_broken(&mut self) -> bool {
        let n = self.crashes.break_one_in;
        n.is_some_and(|it| self.next_random().is_multiple_of(it))
    }

    fn draw(&mut self, min: u64, max: u64) -> Duration {
        ms(min + self.next_random() % (max - min + 1))
    }
}
