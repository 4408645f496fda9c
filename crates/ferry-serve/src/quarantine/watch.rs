//! What one instance notices: breaks that may be crashes, and sound answers.

use std::cmp::Reverse;
use std::time::Duration;

use ferry_model::{EndpointId, Moment, PoolId, SortedMap};

use super::{Accusation, CrashReport, Crashed, Exposure, Objection, PartId, Timing};

/// Silence of an endpoint after a break that makes it a crash.
const SILENCE: Duration = Duration::from_millis(150);
/// Time after the beginning of an answer by which its endpoint would have crashed.
const SOUND_AFTER: Duration = Duration::from_millis(300);
/// Time for which an end of a connection that may be a crash is kept.
const END_TTL: Duration = Duration::from_secs(5);
/// Time after a call was sent, or its endpoint began to write, in which a part crashes the endpoint.
const MIN_CRASH_TIME: Duration = Duration::from_millis(30);
const MAX_CRASH_TIME: Duration = Duration::from_millis(150);
const MAX_PARTS: usize = 32;
/// Attempts that are told of each part.
const MAX_ATTEMPTS: usize = 2;
const MAX_ENDS: usize = 256;
const MAX_SOUND: usize = 2_048;
const MAX_ENDPOINTS: usize = 2_048;
const MAX_REPORTED: usize = 512;
const MAX_ACCUSATIONS: usize = 64;
/// Reported crashes with a part that make it suspect.
const N_SUSPECT: u8 = 2;
/// Reports per second, and at once.
const REPORT_RATE: f64 = 3.0;
const MAX_REPORTS: f64 = 6.0;

/// What is known of one call.
#[derive(Debug, Clone)]
pub struct CallTrace {
    pub pool: PoolId,
    pub endpoint: EndpointId,
    /// Which start of the endpoint it is.
    pub started: u64,
    /// Parts that others may share.
    pub parts: Vec<Exposure>,
    pub sent_at: Moment,
    /// When its endpoint began to write.
    pub began_at: Option<Moment>,
}

impl CallTrace {
    /// Returns whether its timing at a crash is that of a call that causes one.
    fn timing(&self, crashed: Moment) -> Timing {
        let took = crashed.saturating_sub(self.began_at.unwrap_or(self.sent_at));
        match self.began_at {
            _ if !(MIN_CRASH_TIME..=MAX_CRASH_TIME).contains(&took) => Timing::Other,
            Some(_) => Timing::Begun,
            None => Timing::Sent,
        }
    }

    /// Whether its answer has gone on for so long that none of its parts crashes endpoints.
    pub fn is_sound(&self, now: Moment) -> bool {
        self.began_at.is_some_and(|it| it + SOUND_AFTER <= now)
    }
}

/// Breaks at one endpoint that may be its crash.
#[derive(Debug, Clone)]
struct Breaks {
    pool: PoolId,
    started: u64,
    last: Moment,
    /// Calls that may have caused it, and when each broke off.
    calls: Vec<(Moment, CallTrace)>,
}

#[derive(Debug, Clone, Default)]
pub struct CrashWatch {
    breaks: SortedMap<EndpointId, Breaks>,
    /// Calls that ended with their connection, and when: the end of the answer, or a crash.
    ends: Vec<(Moment, CallTrace)>,
    /// Last sign of life of each endpoint, and which start of it gave it.
    heard: SortedMap<EndpointId, (u64, Moment)>,
    /// When the last sound answer on each part began.
    sound: SortedMap<PoolId, SortedMap<PartId, Moment>>,
    /// Number of crashes that this instance reported for each part.
    reported: SortedMap<PartId, (u8, Moment)>,
    /// Accusations that this instance has passed on.
    accusations: Vec<u64>,
    n_reports: f64,
    last_report: Moment,
}

impl CrashWatch {
    /// Records a sign of life.
    pub fn on_heard(&mut self, now: Moment, endpoint: &EndpointId, started: u64) {
        match self.heard.get_mut(endpoint) {
            Some(heard) => *heard = (started, now),
            None => {
                if MAX_ENDPOINTS <= self.heard.len() {
                    self.heard.retain(|_, it| now < it.1 + END_TTL);
                }
                self.heard.insert(endpoint.clone(), (started, now));
            }
        }
        if self.ends.is_empty() {
            return;
        }
        let is_proven = |at: Moment, it: &CallTrace| {
            it.endpoint == *endpoint && it.started == started && at + SILENCE < now
        };
        let (proven, open): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.ends).into_iter().partition(|it| is_proven(it.0, &it.1));
        self.ends = open;
        for (at, trace) in proven {
            self.on_sound(trace.began_at.unwrap_or(at), &trace);
        }
    }

    /// Records an answer that is sound, which began at `at`.
    pub fn on_sound(&mut self, at: Moment, trace: &CallTrace) {
        let parts = self.sound.get_or_insert_with(trace.pool.clone(), SortedMap::new);
        for exposure in &trace.parts {
            let last = parts.get_or_insert_with(exposure.part, || at);
            *last = at.max(*last);
            self.reported.remove(&exposure.part);
        }
        while MAX_SOUND < parts.len() {
            let Some(oldest) = parts.iter().min_by_key(|it| it.1).map(|it| *it.0) else { break };
            parts.remove(&oldest);
        }
    }

    /// Records a call that broke off.
    pub fn on_broken(&mut self, now: Moment, trace: &CallTrace) {
        let CallTrace { pool, endpoint, started, .. } = trace;
        let new = || Breaks { pool: pool.clone(), started: *started, last: now, calls: Vec::new() };
        let breaks = self.breaks.get_or_insert_with(endpoint.clone(), new);
        if breaks.started != *started {
            *breaks = new();
        }
        breaks.last = now;
        if !trace.is_sound(now) {
            breaks.calls.push((now, trace.clone()));
        }
    }

    /// Records a call whose connection ended after a whole event: its answer is whole, or its
    /// endpoint has crashed.
    pub fn on_connection_end(&mut self, now: Moment, trace: CallTrace) {
        if MAX_ENDS <= self.ends.len() {
            self.ends.remove(0);
        }
        self.ends.push((now, trace));
    }

    /// Records that an endpoint takes no connections, or is gone: calls that ended with their
    /// connection just before have ended by its crash.
    pub fn on_gone(&mut self, now: Moment, endpoint: &str) {
        let heard = self.heard.get(endpoint).copied();
        let is_alive = |at: Moment, it: &CallTrace| {
            heard.is_some_and(|(started, last)| started == it.started && at + SILENCE < last)
        };
        let ends = std::mem::take(&mut self.ends);
        let (gone, open) = ends.into_iter().partition::<Vec<_>, _>(|it| it.1.endpoint == endpoint);
        self.ends = open;
        for (at, trace) in gone {
            if now < at + END_TTL && !is_alive(at, &trace) {
                self.on_broken(at, &trace);
            }
        }
    }

    /// Returns the endpoints with calls that ended with their connection lately.
    pub fn doubtful(&self) -> Vec<(EndpointId, u64)> {
        self.ends.iter().map(|it| (it.1.endpoint.clone(), it.1.started)).collect()
    }

    /// Returns the crashes that are certain enough by now, as far as this instance knows.
    pub fn due(&mut self, now: Moment) -> Vec<CrashReport> {
        self.ends.retain(|it| now < it.0 + END_TTL);
        let due = self.breaks.iter().filter(|it| it.1.last + SILENCE <= now);
        let due: Vec<EndpointId> = due.map(|it| it.0.clone()).collect();
        due.into_iter().filter_map(|it| self.report(now, it)).collect()
    }

    pub fn next_wake(&self) -> Option<Moment> {
        self.breaks.values().map(|it| it.last + SILENCE).min()
    }

    /// Whether crashes make a part suspect, as far as this instance knows.
    pub fn is_suspect(&self, part: PartId) -> bool {
        self.reported.get(&part).is_some_and(|it| N_SUSPECT <= it.0)
    }

    /// Whether an accusation is new here.
    pub fn is_new_accusation(&mut self, id: u64) -> bool {
        let is_new = !self.accusations.contains(&id);
        if is_new {
            if MAX_ACCUSATIONS <= self.accusations.len() {
                self.accusations.remove(0);
            }
            self.accusations.push(id);
        }
        is_new
    }

    /// Learns from an accusation that endpoints have crashed at which calls had just ended with their
    /// connection.
    pub fn on_crashes(&mut self, now: Moment, crashes: &[Crashed]) {
        for crashed in crashes {
            let at = now.saturating_sub(crashed.age);
            let is_near = |it: &(Moment, CallTrace)| {
                it.1.endpoint == crashed.endpoint
                    && it.1.started == crashed.started
                    && it.0 < at + SILENCE
                    && at < it.0 + SILENCE
            };
            if self.ends.iter().any(is_near) {
                self.on_gone(now, &crashed.endpoint);
            }
        }
    }

    /// Returns what this instance knows in favour of the accused, if anything.
    pub fn objection(&self, now: Moment, accusation: &Accusation) -> Option<Objection> {
        let sound = self.sound.get(&accusation.pool);
        let sound_age = |part: &PartId| {
            let at = sound?.get(part)?;
            Some((*part, now.saturating_sub(*at)))
        };
        let is_alive = |it: &&Crashed| {
            let at = now.saturating_sub(it.age);
            self.heard
                .get(&it.endpoint)
                .is_some_and(|(started, last)| *started == it.started && at + SILENCE < *last)
        };
        let alive = accusation.crashes.iter().filter(is_alive);
        let objection = Objection {
            pool: accusation.pool.clone(),
            sound: accusation.parts.iter().filter_map(sound_age).collect(),
            alive: alive.map(|it| (it.endpoint.clone(), it.started)).collect(),
        };
        (!objection.sound.is_empty() || !objection.alive.is_empty()).then_some(objection)
    }

    fn report(&mut self, now: Moment, endpoint: EndpointId) -> Option<CrashReport> {
        let Breaks { pool, started, last, mut calls } = self.breaks.remove(&endpoint)?;
        let is_alive = |it: &(u64, Moment)| it.0 == started && last < it.1;
        if self.heard.get(&endpoint).is_some_and(is_alive) {
            return None;
        }
        for (at, trace) in &self.ends {
            let is_near = *at < last + SILENCE && last < *at + SILENCE;
            if trace.endpoint == endpoint && trace.started == started && is_near {
                calls.push((*at, trace.clone()));
            }
        }
        self.ends.retain(|it| it.1.endpoint != endpoint || last + SILENCE < it.0);
        let parts = newest_parts(calls);
        let refilled = (now - self.last_report).as_secs_f64() * REPORT_RATE;
        self.n_reports = (self.n_reports - refilled).max(0.0);
        self.last_report = now;
        if parts.is_empty() || MAX_REPORTS < self.n_reports + 1.0 {
            return None;
        }
        self.n_reports += 1.0;
        let mut ids: Vec<PartId> = parts.iter().map(|it| it.part).collect();
        ids.sort_unstable();
        ids.dedup();
        for part in ids {
            let entry = self.reported.get_or_insert_with(part, || (0, now));
            *entry = (entry.0.saturating_add(1), now);
        }
        while MAX_REPORTED < self.reported.len() {
            let Some(part) = self.reported.iter().min_by_key(|it| *it.1).map(|it| *it.0) else {
                break;
            };
            self.reported.remove(&part);
        }
        let crashed = Crashed { endpoint, started, age: now.saturating_sub(last) };
        Some(CrashReport { pool, crashed, parts })
    }
}

/// Returns the parts of the calls that may have caused a crash: those with the timing of one that does
/// come first, then those of the calls that began to write last, then those of calls that have not
/// begun.
fn newest_parts(mut calls: Vec<(Moment, CallTrace)>) -> Vec<Exposure> {
    calls.sort_by_key(|(at, it)| (it.timing(*at) == Timing::Other, Reverse(it.began_at)));
    let mut parts: Vec<Exposure> = Vec::new();
    let exposures = calls.iter().flat_map(|(at, it)| {
        let timing = it.timing(*at);
        it.parts.iter().map(move |it| Exposure { timing, ..*it })
    });
    for exposure in exposures {
        let known = parts.iter().filter(|it| it.part == exposure.part);
        let is_needed = match known.clone().count() {
            0 => true,
            n => n < MAX_ATTEMPTS && known.clone().all(|it| it.attempt != exposure.attempt),
        };
        if is_needed && parts.len() < MAX_PARTS {
            parts.push(exposure);
        }
    }
    parts
}
