//! What one instance notices: breaks that may be crashes, and sound answers.

mod sound;
mod trace;

use std::cmp::Reverse;
use std::time::Duration;

use ferry_model::{EndpointId, Moment, PoolId, SortedMap};

use super::{
    CounterEvidence, CrashCandidate, CrashInquiry, CrashReport, Crashed, Exposure, OpenCrashes,
};
use sound::SoundAnswers;
pub use trace::CallTrace;

/// Silence of an endpoint after a break that may be its crash.
const SILENCE: Duration = Duration::from_millis(150);
/// Time for a probe of such an endpoint.
const PROBE_TIME: Duration = Duration::from_millis(600);
/// Time for which an end of a connection that may be a crash is kept.
const END_TTL: Duration = Duration::from_secs(5);
/// Candidates of one report; the rest of the calls is dropped.
const MAX_EXPOSURES: usize = 48;
/// Candidates without which a report is not worth its bytes, if there are more.
const MIN_EXPOSURES: usize = 8;
/// Requests that are named for each candidate.
const MAX_REQUESTS: usize = 2;
const MAX_ENDS: usize = 256;
const MAX_ENDPOINTS: usize = 2_048;
const MAX_REPORTED: usize = 512;
const MAX_INQUIRIES: usize = 64;
/// Calls that broke off with their endpoint; further ones are not kept.
const MAX_CALLS: usize = 64;
/// Reported crashes with a candidate that make it suspect.
const N_SUSPECT: u8 = 2;
/// Bytes of reports per second, and at once, to each collector.
const REPORT_RATE: f64 = 700.0;
const MAX_REPORTED_BYTES: f64 = 1_900.0;
/// Approximate bytes of a report, and of each exposure.
const REPORT_SIZE: usize = 40;
const EXPOSURE_SIZE: usize = 24;
/// Reported crashes that are retracted if their endpoint is heard again, and for how long.
const MAX_RETRACTABLE: usize = 64;
const RETRACTABLE_TIME: Duration = Duration::from_secs(30);

/// Breaks at one endpoint that may be its crash.
#[derive(Debug, Clone)]
struct Breaks {
    pool: PoolId,
    started: u64,
    last: Moment,
    calls: Vec<CallTrace>,
    /// When a probe of the endpoint was sent, if it was.
    probed: Option<Moment>,
}

impl Breaks {
    /// Returns when the next step is due: the probe, or a report without its answer.
    fn due(&self) -> Moment {
        self.probed.map_or(self.last + SILENCE, |it| it + PROBE_TIME)
    }
}

/// The last sound answer, how often a candidate was reported since, and whether it is a request.
type ExposureRank = (Option<Moment>, Reverse<u8>, bool);

/// A crash that this instance has reported.
#[derive(Debug, Clone)]
struct Reported {
    pool: PoolId,
    endpoint: EndpointId,
    started: u64,
    at: Moment,
}

#[derive(Debug, Clone, Default)]
pub struct CrashWatch {
    breaks: SortedMap<EndpointId, Breaks>,
    /// Calls that ended with their connection, and when: the end of the answer, or a crash.
    ends: Vec<(Moment, CallTrace)>,
    /// Last sign of life of each endpoint, and which start of it gave it.
    heard: SortedMap<EndpointId, (u64, Moment)>,
    sound: SortedMap<PoolId, SoundAnswers>,
    /// Number of crashes that this instance reported for each candidate since its last sound answer, or that
    /// were kept as it started.
    reported: SortedMap<(PoolId, CrashCandidate), (u8, Moment)>,
    /// Crashes that may turn out to be none.
    retractable: Vec<Reported>,
    retractions: Vec<CounterEvidence>,
    /// Inquiries that this instance has passed on.
    inquiries: Vec<u64>,
    /// Bytes of reports that count against the limit.
    n_bytes: f64,
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
        self.retract(endpoint, started);
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
            self.on_sound(at, &trace);
        }
    }

    /// Records an answer that was whole at `at`, so that none of its candidates crashes endpoints.
    pub fn on_sound(&mut self, at: Moment, trace: &CallTrace) {
        let sound = self.sound.get_or_insert_with(trace.pool.clone(), SoundAnswers::default);
        sound.record(at, trace.exposures.iter().map(|it| it.candidate));
        if self.reported.is_empty() {
            return;
        }
        for exposure in &trace.exposures {
            self.reported.remove(&(trace.pool.clone(), exposure.candidate));
        }
    }

    /// Records a call that broke off.
    pub fn on_broken(&mut self, now: Moment, trace: CallTrace) {
        let CallTrace { pool, endpoint, started, .. } = &trace;
        let new = || Breaks {
            pool: pool.clone(),
            started: *started,
            last: now,
            calls: Vec::new(),
            probed: None,
        };
        let breaks = self.breaks.get_or_insert_with(endpoint.clone(), new);
        if breaks.started != *started {
            *breaks = new();
        }
        breaks.last = now;
        if breaks.calls.len() < MAX_CALLS {
            breaks.calls.push(trace.with_end(now));
        }
    }

    /// Records a call whose connection ended after a whole event: its answer is whole, or its
    /// endpoint has crashed.
    pub fn on_connection_end(&mut self, now: Moment, trace: CallTrace) {
        if MAX_ENDS <= self.ends.len() {
            self.ends.remove(0);
        }
        self.ends.push((now, trace.with_end(now)));
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
                self.on_broken(at, trace);
            }
        }
    }

    /// Returns the endpoints with calls that ended with their connection lately.
    pub fn doubtful(&self) -> Vec<(EndpointId, u64)> {
        self.ends.iter().map(|it| (it.1.endpoint.clone(), it.1.started)).collect()
    }

    /// Returns the endpoints that may have crashed and are to be probed now.
    pub fn due_probes(&mut self, now: Moment) -> Vec<(EndpointId, u64)> {
        self.ends.retain(|it| now < it.0 + END_TTL);
        let heard = &self.heard;
        self.breaks.retain(|endpoint, it| {
            let is_alive = |heard: &(u64, Moment)| heard.0 == it.started && it.last < heard.1;
            !heard.get(endpoint).is_some_and(is_alive)
        });
        let mut due = Vec::new();
        for (endpoint, breaks) in self.breaks.iter_mut() {
            if breaks.probed.is_none() && breaks.due() <= now {
                breaks.probed = Some(now);
                due.push((endpoint.clone(), breaks.started));
            }
        }
        due
    }

    /// Returns the crashes of endpoints whose probes have not ended in time.
    pub fn due_reports(&mut self, now: Moment) -> Vec<CrashReport> {
        let due = self.breaks.iter().filter(|it| it.1.probed.is_some() && it.1.due() <= now);
        let due: Vec<EndpointId> = due.map(|it| it.0.clone()).collect();
        due.into_iter().filter_map(|it| self.report(now, it)).collect()
    }

    /// Handles the end of a probe; returns the crash to report, if the endpoint is not alive.
    pub fn on_probed(
        &mut self,
        now: Moment,
        endpoint: &EndpointId,
        started: u64,
        is_alive: bool,
    ) -> Option<CrashReport> {
        self.breaks.get(endpoint).filter(|it| it.started == started && it.probed.is_some())?;
        if is_alive {
            self.breaks.remove(endpoint);
            self.on_heard(now, endpoint, started);
            return None;
        }
        self.report(now, endpoint.clone())
    }

    /// Whether every break is known to be a crash or none.
    pub fn is_settled(&self) -> bool {
        self.breaks.is_empty()
    }

    pub fn next_wake(&self) -> Option<Moment> {
        let retraction = (!self.retractions.is_empty()).then_some(Moment::ZERO);
        self.breaks.values().map(Breaks::due).chain(retraction).min()
    }

    /// Returns the sound answers per second of a pool at this instance.
    pub fn sound_rate(&self, now: Moment, pool: &str) -> f64 {
        self.sound.get(pool).map_or(0.0, |it| it.rate(now))
    }

    /// Returns the endpoints that were heard again after their crash was reported.
    pub fn take_retractions(&mut self) -> Vec<CounterEvidence> {
        std::mem::take(&mut self.retractions)
    }

    /// Whether crashes make a candidate suspect, as far as this instance knows.
    pub fn is_suspect(&self, pool: &str, candidate: CrashCandidate) -> bool {
        self.reported.get(&(pool.to_owned(), candidate)).is_some_and(|it| N_SUSPECT <= it.0)
    }

    /// Takes over which candidates the crashes that were kept make suspect, so that a new process repeats no
    /// request that its former one would not have repeated. What this instance has counted itself may be among
    /// them.
    pub fn restore(&mut self, now: Moment, pool: &str, open: &OpenCrashes) {
        let mut kept: SortedMap<CrashCandidate, u8> = SortedMap::default();
        for crash in &open.crashes {
            let mut candidates: Vec<_> = crash.exposures.iter().map(|it| it.candidate).collect();
            candidates.sort_unstable();
            candidates.dedup();
            for candidate in candidates {
                let sound = open.sound.iter().find(|it| it.0 == candidate);
                let at = now.saturating_sub(crash.crashed.age);
                let is_open = sound.is_none_or(|it| crash.crashed.age < it.1)
                    && self.last_sound(pool, candidate).is_none_or(|it| it < at);
                if is_open {
                    let n = kept.get_or_insert_with(candidate, || 0);
                    *n = n.saturating_add(1);
                }
            }
        }
        for (candidate, n) in kept.iter() {
            let entry =
                self.reported.get_or_insert_with((pool.to_owned(), *candidate), || (0, now));
            entry.0 = entry.0.max(*n);
        }
        self.bound_reported();
    }

    /// Whether an inquiry is new here.
    pub fn is_new_inquiry(&mut self, id: u64) -> bool {
        let is_new = !self.inquiries.contains(&id);
        if is_new {
            if MAX_INQUIRIES <= self.inquiries.len() {
                self.inquiries.remove(0);
            }
            self.inquiries.push(id);
        }
        is_new
    }

    /// Learns from an inquiry that endpoints have crashed at which calls had just ended with their
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

    /// Returns what this instance knows against an attribution, if anything.
    pub fn counter_evidence(&self, now: Moment, inquiry: &CrashInquiry) -> Option<CounterEvidence> {
        let sound_age = |candidate: &CrashCandidate| {
            let at = self.last_sound(&inquiry.pool, *candidate)?;
            Some((*candidate, now.saturating_sub(at)))
        };
        let is_alive = |it: &&Crashed| {
            let at = now.saturating_sub(it.age);
            self.heard
                .get(&it.endpoint)
                .is_some_and(|(started, last)| *started == it.started && at + SILENCE < *last)
        };
        let alive = inquiry.crashes.iter().filter(is_alive);
        let evidence = CounterEvidence {
            pool: inquiry.pool.clone(),
            sound: inquiry.candidates.iter().filter_map(sound_age).collect(),
            alive: alive.map(|it| (it.endpoint.clone(), it.started)).collect(),
        };
        (!evidence.sound.is_empty() || !evidence.alive.is_empty()).then_some(evidence)
    }

    fn last_sound(&self, pool: &str, candidate: CrashCandidate) -> Option<Moment> {
        self.sound.get(pool)?.last(candidate)
    }

    fn retract(&mut self, endpoint: &str, started: u64) {
        let is_alive = |it: &Reported| it.endpoint == endpoint && it.started == started;
        if let Some(idx) = self.retractable.iter().position(is_alive) {
            let Reported { pool, endpoint, started, .. } = self.retractable.remove(idx);
            let alive = vec![(endpoint, started)];
            self.retractions.push(CounterEvidence { pool, sound: Vec::new(), alive });
        }
    }

    fn report(&mut self, now: Moment, endpoint: EndpointId) -> Option<CrashReport> {
        let Breaks { pool, started, last, mut calls, .. } = self.breaks.remove(&endpoint)?;
        let is_alive = |it: &(u64, Moment)| it.0 == started && last < it.1;
        if self.heard.get(&endpoint).is_some_and(is_alive) {
            return None;
        }
        for (at, trace) in &self.ends {
            let is_near = *at < last + SILENCE && last < *at + SILENCE;
            if trace.endpoint == endpoint && trace.started == started && is_near {
                calls.push(trace.clone());
            }
        }
        self.ends.retain(|it| it.1.endpoint != endpoint || last + SILENCE < it.0);
        let mut exposures = self.exposures(&pool, &calls);
        let n_allowed = self.n_allowed(now);
        if exposures.is_empty() || n_allowed < exposures.len().min(MIN_EXPOSURES) {
            return None;
        }
        exposures.truncate(n_allowed);
        self.n_bytes += (REPORT_SIZE + exposures.len() * EXPOSURE_SIZE) as f64;
        self.count_reported(now, &pool, &exposures);
        self.retractable.retain(|it| now < it.at + RETRACTABLE_TIME);
        if self.retractable.len() < MAX_RETRACTABLE {
            let (pool, endpoint) = (pool.clone(), endpoint.clone());
            self.retractable.push(Reported { pool, endpoint, started, at: last });
        }
        let crashed = Crashed { endpoint, started, age: now.saturating_sub(last) };
        Some(CrashReport { pool, crashed, exposures })
    }

    /// Returns the number of exposures with which a report stays within the bytes that reports may take.
    fn n_allowed(&mut self, now: Moment) -> usize {
        let refilled = (now - self.last_report).as_secs_f64() * REPORT_RATE;
        self.last_report = now;
        self.n_bytes = (self.n_bytes - refilled).max(0.0);
        let left = MAX_REPORTED_BYTES - self.n_bytes - REPORT_SIZE as f64;
        (left / EXPOSURE_SIZE as f64).max(0.0) as usize
    }

    /// Returns the candidates of calls that broke off together: those that were never sound first, then
    /// those that were not for longest. Of equal ones, those that were reported most often come first, and
    /// parts before requests, of which there are many.
    fn exposures(&self, pool: &str, calls: &[CallTrace]) -> Vec<Exposure> {
        let mut ranked: Vec<(ExposureRank, Exposure)> = Vec::new();
        for exposure in calls.iter().flat_map(|it| &it.exposures) {
            let known = || ranked.iter().filter(|it| it.1.candidate == exposure.candidate);
            let is_known = known().any(|it| it.1.request == exposure.request);
            if !is_known && known().count() < MAX_REQUESTS {
                let candidate = exposure.candidate;
                let n_reported = self.reported.get(&(pool.to_owned(), candidate)).map(|it| it.0);
                let is_request = matches!(candidate, CrashCandidate::Request(_));
                let rank = Reverse(n_reported.unwrap_or_default());
                ranked.push(((self.last_sound(pool, candidate), rank, is_request), *exposure));
            }
        }
        ranked.sort_by_key(|it| it.0);
        ranked.truncate(MAX_EXPOSURES);
        ranked.into_iter().map(|it| it.1).collect()
    }

    fn count_reported(&mut self, now: Moment, pool: &str, exposures: &[Exposure]) {
        let mut candidates: Vec<CrashCandidate> = exposures.iter().map(|it| it.candidate).collect();
        candidates.sort_unstable();
        candidates.dedup();
        for candidate in candidates {
            let key = (pool.to_owned(), candidate);
            let entry = self.reported.get_or_insert_with(key, || (0, now));
            *entry = (entry.0.saturating_add(1), now);
        }
        self.bound_reported();
    }

    fn bound_reported(&mut self) {
        while MAX_REPORTED < self.reported.len() {
            let oldest = self.reported.iter().min_by_key(|it| it.1.1).map(|it| it.0.clone());
            let Some(oldest) = oldest else { break };
            self.reported.remove(&oldest);
        }
    }
}
