//! What endpoints do with calls, by their behaviour.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{EndpointState, GatewayEndpoint, Moment};
use ferry_serve::{
    AnswerKind, Call, CallEvent, CallId, Event, Framing, HealthReport, ItemFailure, LimitReport,
    PromptPart, RequestRate, StreamEnd,
};

use super::crash_moment::Answer;
use super::{NETWORK_DELAY, QueuedEvent, Simulation, UNIX_START, ms};

const PLAIN_TIME: Duration = ms(50);
const FIRST_EVENT: Duration = ms(120);
const EVENT_GAP: Duration = ms(20);

/// The end of a stream that misses nothing.
const WHOLE: StreamEnd = StreamEnd { framing: Framing::Chunked, n_events: 1, partial: 0 };

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    Healthy,
    /// Accepts calls and never answers.
    Silent,
    /// Resets each call.
    Reset,
    /// Answers that it did not run the call.
    Full,
    /// The same, and asks for a pause.
    Pauses(Duration),
    /// Answers that the run failed.
    Failing,
    /// Runs the call, and answers with this status of a refusal.
    RefusesAfterRun(u16),
    /// Sends the head of a stream, and resets it after this time, before any event.
    HeadOnly(Duration),
    /// Takes this many times longer.
    Slow(u32),
    /// Reads prompts one after the other, this many tokens per millisecond, and caches their parts.
    Reads(u32),
    /// Produces no items.
    FailItems(ItemFailure),
}

#[derive(Debug)]
pub struct Endpoint {
    pub entry: GatewayEndpoint,
    pub behaviour: Behaviour,
    /// It says nothing until then, and goes on with what it has done meanwhile.
    pub(super) silent_until: Moment,
    /// When a batch endpoint is free again.
    pub(super) busy: Moment,
    /// Ids of the prompt parts that an engine reads, and since when it has cached each.
    pub cached: Vec<(u64, Moment)>,
    pub n_calls: usize,
    pub n_items: usize,
    /// Reads of its cache, and calls that free its results.
    pub n_messages: usize,
    pub last_call: Moment,
    /// The rate limit that it names in its responses.
    pub rate_limit: Option<RequestRate>,
    /// What it answers when it is asked whether it leaves.
    pub health: HealthReport,
    /// Each request that reached it.
    pub arrivals: Vec<Received>,
}

/// A request that an endpoint received.
#[derive(Debug, Clone, Copy)]
pub struct Received {
    pub at: Moment,
    /// Whether the instance knew that the endpoint has a rate limit.
    pub is_informed: bool,
}

impl Simulation {
    pub fn add_endpoint(&mut self, pool: &str, number: usize) {
        let id = format!("{pool}-{number}");
        let port = 9_000 + self.endpoints.len() as u16;
        let entry = GatewayEndpoint {
            id: id.clone(),
            pool: pool.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            zone: format!("zone-{}", number % 2),
            slots: 4,
            state: EndpointState::Live,
            build: "v1".to_owned(),
            started: 1,
            cold_left: Duration::ZERO,
        };
        let endpoint = Endpoint {
            entry,
            behaviour: Behaviour::Healthy,
            silent_until: Moment::ZERO,
            busy: Moment::ZERO,
            cached: Vec::new(),
            n_calls: 0,
            n_items: 0,
            n_messages: 0,
            last_call: Moment::ZERO,
            rate_limit: None,
            health: HealthReport::Sound,
            arrivals: Vec::new(),
        };
        self.endpoints.insert(id, endpoint);
    }

    /// Answers an instance that asks an endpoint whether it leaves.
    pub(super) fn check_health(&mut self, instance: usize, endpoint: String, started: u64) {
        self.n_checks += 1;
        let found = self.endpoints.get(&endpoint);
        let report = found.map_or(HealthReport::Unknown, |it| it.health);
        self.schedule(instance, NETWORK_DELAY * 2, Event::Health { endpoint, started, report });
    }

    pub fn set_behaviour(&mut self, id: &str, behaviour: Behaviour) {
        self.endpoints.get_mut(id).expect("the endpoint exists").behaviour = behaviour;
    }

    /// Lets an endpoint name a rate limit from now on, or none any longer.
    pub fn set_rate_limit(&mut self, id: &str, per_second: Option<f64>) {
        let endpoint = self.endpoints.get_mut(id).expect("the endpoint exists");
        endpoint.rate_limit = per_second.and_then(RequestRate::new);
    }

    pub(super) fn is_informed(&self, instance: usize, id: &str) -> bool {
        let gateway = self.instances[instance].as_ref();
        let view = gateway.and_then(|it| it.context().endpoints.get(id));
        view.is_some_and(|it| it.rate_limit().is_some())
    }

    /// Delivers what an endpoint says of its rate limit in a response that arrives now.
    pub(super) fn report_limit(&mut self, instance: usize, endpoint: String) {
        let rate = self.endpoints.get(&endpoint).and_then(|it| it.rate_limit);
        let limit = rate.map_or(LimitReport::Unlimited, LimitReport::Limited);
        let started = self.known_start(instance, &endpoint);
        self.deliver(instance, Event::Limit { endpoint, started, limit });
    }

    /// Returns the start of an endpoint that an instance calls.
    fn known_start(&self, instance: usize, id: &str) -> u64 {
        let gateway = self.instances[instance].as_ref();
        let view = gateway.and_then(|it| it.context().endpoints.get(id));
        view.map_or(0, |it| it.endpoint.started)
    }

    pub(super) fn schedule_limit(&mut self, instance: usize, after: Duration, endpoint: &str) {
        let incarnation = self.incarnations[instance];
        let endpoint = endpoint.to_owned();
        self.push(self.now + after, QueuedEvent::Limit { instance, incarnation, endpoint });
    }

    /// Starts an endpoint again with another build, unless it has that build already.
    pub fn set_build(&mut self, id: &str, build: &str) {
        let started = UNIX_START + self.now;
        let entry = &mut self.endpoints.get_mut(id).expect("the endpoint exists").entry;
        if entry.build != build {
            entry.build = build.to_owned();
            entry.started = started.as_millis() as u64;
        }
    }

    pub(super) fn call(&mut self, instance: usize, call: &Call) {
        if self.refuse_connection(instance, call) {
            return;
        }
        let attempt = self.callers.get(&(instance, call.ticket)).map(|it| it.attempt.clone());
        let Some(attempt) = attempt else {
            return self.violations.push("a call without a caller".to_owned());
        };
        let pool = call.endpoint.split('-').next().unwrap_or_default().to_owned();
        self.reached.get_or_insert_with(pool, Vec::new).push((self.now, attempt.clone()));
        for handle in call.inputs.iter().flatten() {
            if self.results.get(&handle.id).is_none_or(|(owner, _)| *owner != attempt) {
                let event =
                    CallEvent::NotRun { reason: ferry_serve::NotRunReason::InputsGone, load: None };
                let id = call.call;
                return self.schedule(instance, NETWORK_DELAY, Event::Call { call: id, event });
            }
        }
        if let Some(inputs) = &call.inputs {
            self.record_inputs(&attempt, None, inputs);
        }
        self.check_pauses(instance, &call.endpoint);
        let offset = self.callers.get(&(instance, call.ticket)).map_or(0, |it| it.offset);
        let prompt = self.callers.get(&(instance, call.ticket)).map(|it| it.prompt.clone());
        let prompt = prompt.unwrap_or_default();
        let read_at = self.read_prompt(&call.endpoint, &prompt);
        let is_informed = self.is_informed(instance, &call.endpoint);
        self.open_call(instance, call);
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { return };
        let silence = endpoint.silent_until.saturating_sub(self.now);
        endpoint.n_calls += 1;
        endpoint.last_call = self.now;
        endpoint.arrivals.push(Received { at: self.now, is_informed });
        let (behaviour, id) = (endpoint.behaviour, call.call);
        let source = (attempt.clone(), endpoint.entry.build.clone());
        let event = |event| Event::Call { call: id, event };
        if !matches!(behaviour, Behaviour::Full | Behaviour::Pauses(_)) {
            let runs = self.runs.get_or_insert_with(attempt, Vec::new);
            runs.push(call.endpoint.clone());
        }
        let factor = if let Behaviour::Slow(factor) = behaviour { factor } else { 1 };
        match behaviour {
            Behaviour::Silent => (),
            Behaviour::Reset => {
                let broken = CallEvent::Broken { error: "reset".to_owned() };
                self.schedule(instance, NETWORK_DELAY, event(broken));
            }
            Behaviour::Full => {
                let reason = ferry_serve::NotRunReason::Full;
                self.schedule(
                    instance,
                    NETWORK_DELAY,
                    event(CallEvent::NotRun { reason, load: None }),
                );
            }
            Behaviour::Pauses(pause) => self.refuse_for_pause(instance, call, pause),
            Behaviour::Failing | Behaviour::RefusesAfterRun(_) => {
                self.calls.insert((instance, id), 1);
                self.schedule_limit(instance, PLAIN_TIME, &call.endpoint);
                let kind = match behaviour {
                    Behaviour::RefusesAfterRun(status) => AnswerKind::UnconfirmedRefusal { status },
                    _ => AnswerKind::Error,
                };
                let answer = CallEvent::Answer { kind, load: None };
                self.schedule(instance, PLAIN_TIME, event(answer));
            }
            Behaviour::HeadOnly(time) => {
                self.calls.insert((instance, id), 2);
                self.schedule(instance, FIRST_EVENT, event(CallEvent::Began { load: None }));
                let broken = CallEvent::Broken { error: "reset".to_owned() };
                self.schedule(instance, FIRST_EVENT + time, event(broken));
            }
            Behaviour::Healthy
            | Behaviour::Slow(_)
            | Behaviour::Reads(_)
            | Behaviour::FailItems(_)
                if call.is_stream =>
            {
                self.calls.insert((instance, id), 2);
                self.record_asked(instance, call);
                let begin = read_at.unwrap_or(FIRST_EVENT * factor);
                let gap = EVENT_GAP * factor;
                let first = call.resume.unwrap_or(offset) + 1;
                let n_events = self.crashes.n_events;
                let end = begin + gap * n_events as u32;
                let n_left = (n_events + 1).saturating_sub(first);
                let answer = Answer { begin, gap, n_events: n_left, end };
                let crash = self.plan_crash(instance, call, &prompt, answer);
                let is_broken = self.is_answer_broken(&source.0);
                self.sources.insert((instance, id), source);
                let whole = StreamEnd { framing: self.crashes.framing, ..WHOLE };
                if crash.is_none_or(|it| it.has_head) {
                    self.schedule_limit(instance, begin, &call.endpoint);
                    self.schedule(instance, begin, event(CallEvent::Began { load: None }));
                }
                for idx in 0..crash.map_or(n_left, |it| it.n_events) {
                    let progress = CallEvent::Progress { last_event: Some(first + idx) };
                    self.schedule(instance, begin + gap * idx as u32, event(progress));
                }
                if is_broken {
                    let error = "broken off".to_owned();
                    self.schedule(instance, end / 2, event(CallEvent::Broken { error }));
                }
                if crash.is_none() {
                    self.schedule(instance, end, event(CallEvent::Ended(whole)));
                }
            }
            Behaviour::Healthy
            | Behaviour::Slow(_)
            | Behaviour::Reads(_)
            | Behaviour::FailItems(_) => {
                self.calls.insert((instance, id), 0);
                self.record_asked(instance, call);
                let end = PLAIN_TIME * factor;
                let answer = Answer { begin: end, gap: ms(0), n_events: 0, end };
                let crash = self.plan_crash(instance, call, &prompt, answer);
                let is_broken = self.is_answer_broken(&source.0);
                if is_broken {
                    let error = "broken off".to_owned();
                    self.schedule(instance, end, event(CallEvent::Broken { error }));
                } else if crash.is_none() {
                    self.schedule_limit(instance, end, &call.endpoint);
                    let answer = CallEvent::Answer { kind: AnswerKind::Result, load: None };
                    self.schedule(instance, end, event(answer));
                }
            }
        }
        self.delay_events(silence, |at, it| at == instance && it == id);
    }

    fn record_asked(&mut self, instance: usize, call: &Call) {
        let calls = self.asked.get_or_insert_with(call.endpoint.clone(), Vec::new);
        calls.push((instance, call.call));
    }

    /// Reads a prompt at an engine that reads prompts, and returns the time until it is read.
    fn read_prompt(&mut self, id: &str, prompt: &[PromptPart]) -> Option<Duration> {
        let is_known = |part: &PromptPart| {
            let mut cached = self.endpoints.values().flat_map(|it| &it.cached);
            cached.any(|it| it.0 == part.id)
        };
        let known: Vec<u64> = prompt.iter().filter(|it| is_known(it)).map(|it| it.id).collect();
        let now = self.now;
        let endpoint = self.endpoints.get_mut(id)?;
        let Behaviour::Reads(rate) = endpoint.behaviour else { return None };
        let has = |part: &&PromptPart| {
            endpoint.cached.iter().any(|(id, since)| *id == part.id && *since <= now)
        };
        let n_cached = prompt.iter().take_while(has).count();
        let read = &prompt[n_cached..];
        let tokens: u32 = read.iter().map(|it| it.tokens).sum();
        let again = read.iter().filter(|it| known.contains(&it.id)).map(|it| it.tokens);
        self.n_read_again += u64::from(again.sum::<u32>());
        endpoint.busy =
            endpoint.busy.max(now) + Duration::from_micros(u64::from(tokens * 1_000 / rate));
        let busy = endpoint.busy;
        endpoint.cached.extend(read.iter().map(|it| (it.id, busy)));
        Some(endpoint.busy - now)
    }

    /// Records the build that brings an event of a stream.
    pub(super) fn record_event(&mut self, instance: usize, event: &Event) {
        let Event::Call { call, event } = event else { return };
        let key = (instance, *call);
        if matches!(event, CallEvent::Progress { .. }) {
            self.begun.insert(key);
        }
        match event {
            CallEvent::Progress { .. } if !self.cancelled.contains(&key) => {
                let Some((attempt, build)) = self.sources.get(&key).cloned() else { return };
                let builds = self.event_builds.get_or_insert_with(attempt, Vec::new);
                if !builds.contains(&build) {
                    builds.push(build);
                }
            }
            CallEvent::Broken { .. } | CallEvent::Ended(_) => {
                self.sources.remove(&key);
            }
            _ => (),
        }
    }

    /// Breaks all calls in progress at an endpoint, which resets those that follow.
    pub fn reset_calls(&mut self, id: &str) {
        self.set_behaviour(id, Behaviour::Reset);
        let calls: Vec<(usize, CallId)> = self.asked.get(id).cloned().unwrap_or_default();
        for (instance, call) in calls {
            let event = CallEvent::Broken { error: "reset".to_owned() };
            self.deliver(instance, Event::Call { call, event });
        }
    }

    /// Answers a call in progress with an error.
    pub fn fail(&mut self, instance: usize, call: CallId) {
        self.answer(instance, call, AnswerKind::Error);
    }

    /// Answers a call in progress without a result.
    pub fn answer(&mut self, instance: usize, call: CallId, kind: AnswerKind) {
        self.calls.insert((instance, call), 1);
        let event = CallEvent::Answer { kind, load: None };
        self.deliver(instance, Event::Call { call, event });
    }

    pub(super) fn read_cache(&mut self, instance: usize, endpoint: String) {
        self.check_pauses(instance, &endpoint);
        let Some(view) = self.endpoints.get_mut(&endpoint) else { return };
        view.n_messages += 1;
        let part = |it: &(u64, Moment)| PromptPart { id: it.0, tokens: 1 };
        let parts = view.cached.iter().map(part).collect();
        self.schedule(instance, NETWORK_DELAY, Event::Cached { endpoint, parts });
    }
}
