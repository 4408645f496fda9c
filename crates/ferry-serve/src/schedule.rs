//! Chooses the engines of all requests of a pool on one instance, the scheduler.
//!
//! The first token of a request waits for the prompts that its engine reads before it. An instance
//! that sees only its own requests, and load reports that are old, does not know these prompts, nor
//! which engine has cached the parts that requests share. The scheduler knows both, as every request
//! of the pool asks it. An instance that gets no answer in time chooses by itself.

mod engine;
mod estimate;

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{BuildId, EndpointId, Moment, PoolId, SortedMap, ZoneId};
use serde::{Deserialize, Serialize};

use crate::choose::{millis, prefixes};
use crate::{CallerAttempt, Endpoints, Mechanism, PromptPart, Shard, Tuning};

use engine::Engine;

pub use estimate::EngineCost;

/// Time after which a call is forgotten whose end was not reported.
const MAX_CALL_TIME: Duration = Duration::from_secs(30);
/// Interval at which such calls are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Calls that are counted at a time; beyond it, instances choose by themselves.
const MAX_CALLS: usize = 20_000;

/// Asks for the engine of a request whose stages are done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScheduleRequest {
    pub attempt: CallerAttempt,
    /// Shard of the engines that it may go to; requests that share parts have the same.
    pub shard: Shard,
    pub pool: PoolId,
    pub prompt: Vec<PromptPart>,
    /// Megabytes of results to read, by zone.
    pub results: Vec<(ZoneId, f64)>,
    /// Endpoints to which the request was already sent.
    pub tried: Vec<EndpointId>,
    /// Zone of the instance that asks.
    pub zone: ZoneId,
    /// Build that the engine must have.
    pub build: Option<BuildId>,
}

/// The engine that a request goes to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScheduleDecision {
    pub endpoint: EndpointId,
    /// Expected time to the first token.
    pub expected: Duration,
    /// Expected cost, as time.
    pub cost: Duration,
    pub considered: u32,
    /// Shared tokens that the engine has to read.
    pub uncached: u32,
}

/// The answer to a request for an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Scheduled {
    /// Goes to this engine now.
    Now(ScheduleDecision),
    /// Goes to an engine that is reading parts of its prompt for another request, once they are
    /// read, in about this time: a call that began before would read them a second time.
    Later(Duration),
    /// No engine is left for it.
    Nowhere,
}

/// Where a request for an engine came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asker {
    This,
    Peer(SocketAddr),
}

/// An answer that a request waits for.
pub type Release = (Asker, CallerAttempt, Scheduled);

/// A request that waits until its engine has read parts of its prompt.
#[derive(Debug, Clone)]
struct Held {
    asker: Asker,
    request: ScheduleRequest,
    decision: ScheduleDecision,
    /// The attempt for which the engine reads these parts.
    reader: CallerAttempt,
}

/// What became of a call that was scheduled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ScheduleProgress {
    /// The first token arrived.
    Began,
    /// The call ended, whether it had begun or not.
    Ended,
}

/// Calls in progress at the engines, as far as this instance scheduled them.
#[derive(Debug, Clone, Default)]
pub struct Scheduler {
    engines: SortedMap<EndpointId, Engine>,
    calls: SortedMap<CallerAttempt, (Moment, EndpointId)>,
    held: Vec<Held>,
    next_expiry: Moment,
    /// Longest useful pause between the events of a stream, by pool.
    max_pauses: SortedMap<PoolId, Duration>,
    /// Whether another scheduler has chosen engines before.
    has_predecessor: bool,
    /// Pools, and shards of them, whose caches were read since.
    read_pools: Vec<(PoolId, Shard)>,
}

impl Scheduler {
    pub fn new(has_predecessor: bool) -> Scheduler {
        Scheduler { has_predecessor, ..Scheduler::default() }
    }

    /// Sets the longest useful pauses between the events of streams, by pool.
    pub fn set_max_pauses(&mut self, max_pauses: SortedMap<PoolId, Duration>) {
        self.max_pauses = max_pauses;
    }

    /// Records that another instance schedules requests.
    pub fn note_predecessor(&mut self) {
        self.has_predecessor = true;
        self.read_pools.clear();
    }

    /// Returns whether the caches of a pool have to be read, as another scheduler has filled them;
    /// true once for each pool and shard.
    pub fn must_read_caches(&mut self, pool: &str, shard: Shard) -> bool {
        let is_read = |it: &(PoolId, Shard)| it.0 == pool && it.1 == shard;
        if !self.has_predecessor || self.read_pools.iter().any(is_read) {
            return false;
        }
        self.read_pools.push((pool.to_owned(), shard));
        true
    }

    /// Records what an engine has cached.
    pub fn on_cached(&mut self, now: Moment, endpoint: &EndpointId, parts: &[PromptPart]) {
        let engine = self.engines.get_or_insert_with(endpoint.clone(), Engine::default);
        engine.record_parts(now, parts);
    }

    /// Chooses the engine at which the request costs least, and counts the request there.
    pub fn schedule(
        &mut self,
        now: Moment,
        endpoints: &Endpoints,
        tuning: &Tuning,
        asker: Asker,
        request: ScheduleRequest,
    ) -> Scheduled {
        self.expire(now, endpoints);
        if MAX_CALLS <= self.calls.len() {
            return Scheduled::Nowhere;
        }
        let prefixes = prefixes(&request.prompt);
        let Some((best, view, considered)) = self.best(now, endpoints, tuning, &request, &prefixes)
        else {
            return Scheduled::Nowhere;
        };
        let id = view.endpoint.id.clone();
        let engine = self.engines.get_or_insert_with(id.clone(), Engine::default);
        let shared = &request.prompt[..request.prompt.len().saturating_sub(1)];
        let reader =
            engine.reader(now, shared).filter(|_| tuning.is_enabled(Mechanism::SharedReading));
        engine.add(now, &request.attempt, best.read, best.wait + best.read, &request.prompt);
        self.calls.insert(request.attempt.clone(), (now, id.clone()));
        let expected = best.wait + best.read + millis(tuning.first_token);
        let decision = ScheduleDecision {
            endpoint: id,
            expected: Duration::from_secs_f64(expected / 1e3),
            cost: Duration::from_secs_f64(best.cost / 1e3),
            considered,
            uncached: best.uncached,
        };
        match reader {
            Some(reader) => {
                let time = decision.expected;
                self.held.push(Held { asker, request, decision, reader });
                Scheduled::Later(time)
            }
            None => Scheduled::Now(decision),
        }
    }

    /// Returns the availability zone of the engine at which the request would cost least now.
    pub fn likely_zone(
        &self,
        now: Moment,
        endpoints: &Endpoints,
        tuning: &Tuning,
        request: &ScheduleRequest,
    ) -> Option<ZoneId> {
        let prefixes = prefixes(&request.prompt);
        let (_, view, _) = self.best(now, endpoints, tuning, request, &prefixes)?;
        Some(view.endpoint.zone.clone())
    }

    /// Records what became of a call, and returns the answers of those that waited for it.
    pub fn on_progress(
        &mut self,
        now: Moment,
        endpoints: &Endpoints,
        tuning: &Tuning,
        attempt: &CallerAttempt,
        progress: ScheduleProgress,
    ) -> Vec<Release> {
        self.held.retain(|it| it.request.attempt != *attempt);
        let Some((_, id)) = self.calls.get(attempt).cloned() else { return Vec::new() };
        let has_read = match self.engines.get_mut(&id) {
            None => false,
            Some(engine) => match progress {
                ScheduleProgress::Began => {
                    engine.begin(now, attempt);
                    true
                }
                ScheduleProgress::Ended => engine.end(now, attempt),
            },
        };
        if progress == ScheduleProgress::Ended {
            self.calls.remove(attempt);
        }
        let waiting = |it: &mut Held| it.reader == *attempt;
        let followers: Vec<Held> = self.held.extract_if(.., waiting).collect();
        followers.into_iter().map(|it| self.release(now, endpoints, tuning, has_read, it)).collect()
    }

    /// Answers a request that waited for another one: it goes to the engine if that has read the
    /// parts, and is scheduled anew otherwise.
    fn release(
        &mut self,
        now: Moment,
        endpoints: &Endpoints,
        tuning: &Tuning,
        has_read: bool,
        held: Held,
    ) -> Release {
        let Held { asker, request, decision, .. } = held;
        let attempt = request.attempt.clone();
        let engine = self.engines.get_mut(&decision.endpoint);
        let accepts_work = endpoints.get(&decision.endpoint).is_some_and(|it| it.accepts_work());
        if has_read && accepts_work {
            if let Some(engine) = engine {
                engine.restart(now, &attempt);
            }
            return (asker, attempt, Scheduled::Now(decision));
        }
        if let Some(engine) = engine {
            engine.end(now, &attempt);
        }
        let scheduled = self.schedule(now, endpoints, tuning, asker, request);
        (asker, attempt, scheduled)
    }

    /// Schedules the requests anew that wait for an engine which gets nothing more.
    pub fn release_excluded(
        &mut self,
        now: Moment,
        endpoints: &Endpoints,
        tuning: &Tuning,
    ) -> Vec<Release> {
        let is_excluded = |it: &mut Held| {
            !endpoints.get(&it.decision.endpoint).is_some_and(|it| it.accepts_work())
        };
        let excluded: Vec<Held> = self.held.extract_if(.., is_excluded).collect();
        excluded.into_iter().map(|it| self.release(now, endpoints, tuning, false, it)).collect()
    }

    /// Forgets engines that are gone, and calls whose end was not reported.
    fn expire(&mut self, now: Moment, endpoints: &Endpoints) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now + EXPIRY_INTERVAL;
        self.engines.retain(|id, _| endpoints.get(id).is_some());
        let is_old = |it: &&(Moment, EndpointId)| it.0 + MAX_CALL_TIME < now;
        let old = self.calls.iter().filter(|(_, it)| is_old(it)).map(|it| it.0.clone());
        for attempt in old.collect::<Vec<_>>() {
            let (_, id) = self.calls.remove(&attempt).unwrap_or_default();
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.end(now, &attempt);
            }
            // Those that waited for it have chosen by themselves long ago.
            self.held.retain(|it| it.reader != attempt && it.request.attempt != attempt);
        }
    }
}
