//! Endpoints that crash on a prompt part or on a whole request, and those that are killed.

use std::time::Duration;

use ferry_model::{EndpointState, Moment, SortedMap};
use ferry_serve::{
    BatchCall, BatchFailure, Call, CallEvent, CallId, Event, Framing, PeerMessage, PromptPart,
    RequestDigest, StoreUpdate, StreamEnd,
};

use super::crash_moment::{Answer, CrashMoment, PlannedCrash};
use super::{ENGINE, NETWORK_DELAY, PLAIN, QueuedEvent, Simulation, UNIX_START, ms};

/// Time from the start of an endpoint, or its end, until all instances know of it.
const STORE_DELAY: Duration = ms(1_000);
/// Time until an endpoint is back, at least and at most.
const MIN_DOWN_TIME: u64 = 2_000;
const MAX_DOWN_TIME: u64 = 4_000;

/// What crashes an endpoint that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashCause {
    Part(u64),
    Request(RequestDigest),
}

/// A call with a cause of crashes that reached an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Reach {
    pub at: Moment,
    pub cause: CrashCause,
    /// Whether the instance that sent it could not reach the others.
    pub is_cut: bool,
}

/// What crashes, and what was seen of it.
#[derive(Debug)]
pub struct Crashes {
    /// Parts that crash each engine that runs a request with one of them.
    pub parts: Vec<u64>,
    /// Requests that crash each endpoint of `pools` that runs them.
    pub requests: Vec<RequestDigest>,
    pub pools: Vec<&'static str>,
    /// A workspace whose requests crash nothing.
    pub spared: Option<&'static str>,
    pub moment: CrashMoment,
    /// How the streams of all engines are framed.
    pub framing: Framing,
    /// Number of events of each stream.
    pub n_events: u64,
    /// One in this many answers breaks off while its endpoint goes on.
    pub break_one_in: Option<u64>,
    /// Requests of which every other answer does.
    pub lost: Vec<RequestDigest>,
    pub received: Vec<Reach>,
    /// When endpoints crashed, and on what.
    pub crashed: Vec<(Moment, CrashCause)>,
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
            requests: Vec::new(),
            pools: vec![PLAIN, ENGINE],
            spared: None,
            moment: CrashMoment::EARLY,
            framing: Framing::Chunked,
            n_events: 5,
            break_one_in: None,
            lost: Vec::new(),
            received: Vec::new(),
            crashed: Vec::new(),
            bytes: SortedMap::new(),
            down: Vec::new(),
            revision: 100,
        }
    }

    /// Returns the calls with a cause that reached endpoints later than `after` its crash with this
    /// number.
    pub fn received_after(
        &self,
        cause: CrashCause,
        n_crashes: usize,
        after: Duration,
    ) -> Vec<Reach> {
        let mut crashed = self.crashed.iter().filter(|it| it.1 == cause);
        let Some((at, _)) = crashed.nth(n_crashes - 1) else { return Vec::new() };
        let late = self.received.iter().filter(|it| it.cause == cause && *at + after < it.at);
        late.copied().collect()
    }
}

/// What happens to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointStep {
    /// It crashes, unless it was started again after `started`.
    Crash {
        cause: CrashCause,
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
    /// Answers a probe of an endpoint.
    pub(super) fn probe(&mut self, instance: usize, endpoint: String, started: u64) {
        self.check_pauses(instance, &endpoint);
        let cut_delay = self.cut_delay(instance, &endpoint);
        let is_alive = cut_delay.is_none() && !self.crashes.down.contains(&endpoint);
        let event = Event::Probed { endpoint, started, is_alive };
        self.schedule(instance, cut_delay.unwrap_or(NETWORK_DELAY), event);
    }

    /// Handles a call to an endpoint that does not run; returns whether it does not.
    pub(super) fn refuse_connection(&mut self, instance: usize, call: &Call) -> bool {
        if let Some(after) = self.cut_delay(instance, &call.endpoint) {
            let event = CallEvent::Unsent { error: "cut off".to_owned() };
            self.schedule(instance, after, Event::Call { call: call.call, event });
            return true;
        }
        let is_down = self.crashes.down.contains(&call.endpoint);
        if is_down {
            let event = CallEvent::Unsent { error: "connection refused".to_owned() };
            self.schedule(instance, NETWORK_DELAY, Event::Call { call: call.call, event });
        }
        is_down
    }

    /// Handles a call with items to an endpoint that does not run; returns whether it does not.
    pub(super) fn refuse_items(&mut self, instance: usize, call: &BatchCall) -> bool {
        if let Some(after) = self.cut_delay(instance, &call.endpoint) {
            let result = Err(BatchFailure::Unsent("cut off".to_owned()));
            let event = Event::Batch { call: call.call, result, load: None };
            self.schedule(instance, after, event);
            return true;
        }
        let is_down = self.crashes.down.contains(&call.endpoint);
        if is_down {
            let result = Err(BatchFailure::Unsent("connection refused".to_owned()));
            let event = Event::Batch { call: call.call, result, load: None };
            self.schedule(instance, NETWORK_DELAY, event);
        }
        is_down
    }

    /// Plans the crash of the endpoint of a call, if it has a cause of crashes.
    pub(super) fn plan_crash(
        &mut self,
        instance: usize,
        call: &Call,
        prompt: &[PromptPart],
        answer: Answer,
    ) -> Option<PlannedCrash> {
        let shared = prompt.split_last().map_or(&[][..], |it| it.1);
        let is_spared = self.crashes.spared.is_some_and(|it| call.workspace.as_deref() == Some(it));
        let part = shared.iter().find(|it| self.crashes.parts.contains(&it.id) && call.is_stream);
        let attempt = self.callers.get(&(instance, call.ticket)).map(|it| it.attempt.as_str());
        let request = attempt.filter(|_| !is_spared).and_then(|it| self.crashing_request(it));
        let cause = match part {
            Some(part) => CrashCause::Part(part.id),
            None => CrashCause::Request(request.filter(|_| self.crashes_pool(&call.endpoint))?),
        };
        let planned = self.draw_crash(self.crashes.moment, answer);
        self.push_crash(instance, &call.endpoint, cause, planned.after);
        Some(planned)
    }

    /// Plans crashes of the endpoint of a call with items; returns whether there is one.
    pub(super) fn plan_items_crash(
        &mut self,
        instance: usize,
        call: &BatchCall,
        end: Duration,
    ) -> bool {
        if !self.crashes_pool(&call.endpoint) {
            return false;
        }
        let own = call.items.iter().filter_map(|it| self.crashing_request(&it.attempt));
        let mut own: Vec<RequestDigest> = own.collect();
        own.sort_unstable();
        own.dedup();
        for digest in &own {
            let after = self.draw(1, end.as_millis() as u64 - 1);
            self.push_crash(instance, &call.endpoint, CrashCause::Request(*digest), after);
        }
        !own.is_empty()
    }

    /// Returns what all attempts have in common that are the same request, if it crashes endpoints.
    fn crashing_request(&self, attempt: &str) -> Option<RequestDigest> {
        let digest = self.digests.get(attempt)?;
        self.crashes.requests.contains(digest).then_some(*digest)
    }

    fn crashes_pool(&self, endpoint: &str) -> bool {
        let pool = self.endpoints.get(endpoint).map(|it| it.entry.pool.as_str());
        pool.is_some_and(|it| self.crashes.pools.contains(&it))
    }

    fn push_crash(&mut self, instance: usize, id: &str, cause: CrashCause, after: Duration) {
        let is_cut = self.isolated.contains(&instance);
        self.crashes.received.push(Reach { at: self.now, cause, is_cut });
        let started = self.endpoints.get(id).map_or(0, |it| it.entry.started);
        self.push_step(after, id, EndpointStep::Crash { cause, started });
    }

    pub fn add_engines(&mut self, n_engines: usize) {
        self.fill_pool(ENGINE, n_engines);
    }

    /// Adds endpoints until a pool has so many, which all instances know.
    pub fn fill_pool(&mut self, pool: &str, n_endpoints: usize) {
        for number in 0..n_endpoints {
            let id = format!("{pool}-{number}");
            if !self.endpoints.contains_key(&id) {
                self.add_endpoint(pool, number);
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
        self.break_items(id);
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
        let calls = self.asked.remove(id).unwrap_or_default();
        let is_hit = |it: &(usize, CallId)| instance.is_none_or(|only| only == it.0);
        let (broken, kept) = calls.into_iter().partition::<Vec<_>, _>(is_hit);
        self.asked.insert(id.to_owned(), kept);
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

    /// Breaks all calls with items in progress at an endpoint.
    fn break_items(&mut self, id: &str) {
        let calls = self.batches.iter().filter(|it| it.1 == id).map(|it| *it.0);
        let calls: Vec<(usize, CallId)> = calls.collect();
        for (instance, call) in calls {
            self.batches.remove(&(instance, call));
            let result = Err(BatchFailure::Broken("reset".to_owned()));
            self.schedule(instance, NETWORK_DELAY, Event::Batch { call, result, load: None });
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.busy = self.now;
        }
    }

    pub(super) fn step_endpoint(&mut self, id: &str, step: EndpointStep) {
        let current = self.endpoints.get(id).map_or(0, |it| it.entry.started);
        match step {
            EndpointStep::Crash { cause, started } => {
                let is_down = self.crashes.down.iter().any(|it| it == id);
                if started == current && !is_down {
                    self.crashes.crashed.push((self.now, cause));
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
            | PeerMessage::CrashInquiry(_)
            | PeerMessage::CounterEvidence(_) => encoded_len(message),
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

    /// Whether the next answer breaks off while its endpoint goes on.
    pub(super) fn is_answer_broken(&mut self, attempt: &str) -> bool {
        let is_lost = self.digests.get(attempt).is_some_and(|it| self.crashes.lost.contains(it));
        let n = if is_lost { Some(2) } else { self.crashes.break_one_in };
        n.is_some_and(|it| self.next_random().is_multiple_of(it))
    }
}
