//! Attributes the crashes of a pool to a candidate, from the reports of all instances.

mod open;
mod ranking;

use std::time::Duration;

use ferry_model::{EndpointId, Moment, PoolId, SortedMap};

use super::arrivals::Arrivals;
use super::evidence::{PoolLoad, Standing};
use super::{CounterEvidence, CrashCandidate, CrashReport, Crashed, Exposure};
use crate::PromptPart;

/// Endpoints that crash within this time count as one incident: kills, cuts and resets break many
/// at once.
const INCIDENT_TIME: Duration = Duration::from_millis(50);
/// Longest time between the breaks of one crash; an endpoint that breaks again later was alive.
const BREAK_TIME: Duration = Duration::from_millis(150);
/// Time for which crashes are kept.
const MEMORY: Duration = Duration::from_secs(600);
const MAX_CRASHES: usize = 64;
/// Time over which the calls are counted that crashes have broken off.
const CHANCE_TIME: Duration = Duration::from_secs(60);
const MAX_EXPOSURES: usize = 256;
const MAX_SOUND: usize = 2_048;
/// Time for answers to an inquiry, and the pause between inquiries.
const INQUIRY_TIME: Duration = Duration::from_millis(300);
const INQUIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time by which each further collector of a pool is later, so that the first decides if it lives.
const RANK_DELAY: Duration = Duration::from_millis(600);
/// Candidates and crashes of one inquiry.
const MAX_CANDIDATES: usize = 4;
const MAX_NAMED: usize = 6;
const MAX_ATTRIBUTIONS: usize = 16;

/// One start of an endpoint that crashed.
#[derive(Debug, Clone)]
struct Crash {
    endpoint: EndpointId,
    started: u64,
    at: Moment,
    exposures: Vec<Exposure>,
    /// Number of calls that it broke off, if it is kept without some of them.
    n_calls: usize,
}

impl Crash {
    fn has(&self, candidate: CrashCandidate) -> bool {
        self.exposures.iter().any(|it| it.candidate == candidate)
    }

    /// Returns the number of calls that it broke off.
    fn n_calls(&self) -> usize {
        let is_request = |it: &&Exposure| matches!(it.candidate, CrashCandidate::Request(_));
        self.exposures.iter().filter(is_request).count().max(self.n_calls)
    }

    /// Whether a candidate in quarantine caused it, which then speaks for no other one.
    fn is_explained(&self, standing: &impl Fn(CrashCandidate) -> Standing) -> bool {
        self.exposures.iter().any(|it| standing(it.candidate) == Standing::Quarantined)
    }
}

/// Whether the other instances were asked, or when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Inquiry {
    Opens(Moment),
    Ends(Moment),
}

/// The crashes of one pool.
#[derive(Debug, Clone, Default)]
struct PoolRecord {
    crashes: Vec<Crash>,
    arrivals: Arrivals,
    /// Last sound answer to each candidate, as far as reported.
    sound: SortedMap<CrashCandidate, Moment>,
    inquiry: Option<Inquiry>,
    last_inquiry: Option<Moment>,
    /// When the last inquiry was opened about candidates that are only kept.
    last_look: Option<Moment>,
    /// The candidates of the last inquiry.
    candidates: Vec<CrashCandidate>,
    /// When the last report came, and the place of this instance among the collectors then.
    last_report: Option<Moment>,
    rank: usize,
    /// Whether the open crashes are others than those that were last kept.
    is_changed: bool,
    /// The crashes that each candidate in quarantine explains.
    attributions: Vec<(CrashCandidate, Vec<Crash>)>,
}

/// What a collector does about a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// Other instances are asked for evidence against these candidates.
    Inquire {
        candidates: Vec<CrashCandidate>,
        crashes: Vec<Crashed>,
    },
    Quarantine {
        candidate: CrashCandidate,
        n_crashes: usize,
    },
    /// A later attribution explains all crashes of this one.
    Lift {
        candidate: CrashCandidate,
    },
    /// The open crashes have changed.
    Keep,
}

/// Collects the crashes of the pools for which this instance attributes them.
#[derive(Debug, Clone, Default)]
pub struct CrashCollector {
    pools: SortedMap<PoolId, PoolRecord>,
}

impl CrashCollector {
    pub fn new() -> CrashCollector {
        CrashCollector::default()
    }

    /// Records a crash, unless a candidate in quarantine explains it. `rank` is the place of this
    /// instance among the collectors of the pool.
    pub fn on_report(
        &mut self,
        now: Moment,
        report: CrashReport,
        rank: usize,
        load: PoolLoad,
        standing: impl Fn(CrashCandidate) -> Standing,
    ) {
        let CrashReport { pool, crashed, exposures } = report;
        let at = now.saturating_sub(crashed.age);
        let record = self.pools.get_or_insert_with(pool, PoolRecord::default);
        record.add(now, crashed, at, exposures);
        (record.last_report, record.rank) = (Some(now), rank);
        record.is_changed |= record.is_keeper() && !record.suspects(&standing).is_empty();
        record.open_inquiry(now, load, &standing);
    }

    /// Counts a request that has reached this instance.
    pub fn on_arrival(&mut self, now: Moment, pool: &str, prompt: &[PromptPart]) {
        let record = self.pools.get_or_insert_with(pool.to_owned(), PoolRecord::default);
        record.arrivals.record(now, prompt);
    }

    /// Records what an instance knows against an attribution.
    pub fn on_evidence(&mut self, now: Moment, evidence: &CounterEvidence) {
        let Some(record) = self.pools.get_mut(&evidence.pool) else { return };
        for (candidate, age) in &evidence.sound {
            let at = now.saturating_sub(*age);
            let last = record.sound.get_or_insert_with(*candidate, || at);
            *last = at.max(*last);
        }
        while MAX_SOUND < record.sound.len() {
            let oldest = record.sound.iter().min_by_key(|it| it.1).map(|it| *it.0);
            let Some(oldest) = oldest else { break };
            record.sound.remove(&oldest);
        }
        record.crashes.retain(|it| {
            let is_alive =
                |alive: &(EndpointId, u64)| alive.0 == it.endpoint && alive.1 == it.started;
            !evidence.alive.iter().any(is_alive)
        });
    }

    /// Drops the crashes of a candidate that is no longer in quarantine: later ones show whether it
    /// crashes endpoints.
    pub fn on_lifted(&mut self, pool: &str, candidate: CrashCandidate) {
        if let Some(record) = self.pools.get_mut(pool) {
            record.crashes.retain(|it| !it.has(candidate));
            record.is_changed = true;
        }
    }

    pub fn next_wake(&self) -> Option<Moment> {
        let inquiries = self.pools.values().filter_map(|it| it.inquiry);
        let inquiries = inquiries.map(|(Inquiry::Opens(at) | Inquiry::Ends(at))| at);
        let is_due = self.pools.values().any(PoolRecord::is_to_keep);
        inquiries.chain(is_due.then_some(Moment::ZERO)).min()
    }

    /// Returns what is due for each pool.
    pub fn tick(
        &mut self,
        now: Moment,
        load: impl Fn(&str) -> PoolLoad,
        standing: impl Fn(&str, CrashCandidate) -> Standing,
    ) -> Vec<(PoolId, Finding)> {
        let mut findings = Vec::new();
        for (pool, record) in self.pools.iter_mut() {
            let is_due = |it| matches!(it, Inquiry::Opens(at) | Inquiry::Ends(at) if at <= now);
            let mut found = Vec::new();
            if record.inquiry.is_some_and(is_due) {
                found = record.decide(now, load(pool), &|it| standing(pool, it));
            }
            if record.is_to_keep() {
                record.is_changed = false;
                found.push(Finding::Keep);
            }
            findings.extend(found.into_iter().map(|it| (pool.clone(), it)));
        }
        findings
    }
}

impl PoolRecord {
    fn add(&mut self, now: Moment, crashed: Crashed, at: Moment, exposures: Vec<Exposure>) {
        self.crashes.retain(|it| now < it.at + MEMORY);
        let Crashed { endpoint, started, .. } = crashed;
        let is_same = |it: &Crash| it.endpoint == endpoint && it.started == started;
        match self.crashes.iter_mut().find(|it| is_same(it)) {
            Some(crash) if crash.at + BREAK_TIME < at => {
                *crash = Crash { endpoint, started, at, exposures, n_calls: 0 };
            }
            // What ended earlier was whole.
            Some(crash) if at + BREAK_TIME < crash.at => (),
            Some(crash) => {
                crash.at = crash.at.max(at);
                for exposure in exposures {
                    if crash.exposures.len() < MAX_EXPOSURES && !crash.exposures.contains(&exposure)
                    {
                        crash.exposures.push(exposure);
                    }
                }
            }
            None => self.crashes.push(Crash { endpoint, started, at, exposures, n_calls: 0 }),
        }
        self.sort();
    }

    /// Puts the crashes into the order of time, and drops the oldest if there are too many.
    fn sort(&mut self) {
        self.crashes.sort_by_key(|it| it.at);
        let n_surplus = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..n_surplus);
    }

    /// Asks all instances about the candidates, unless that is going on.
    fn open_inquiry(
        &mut self,
        now: Moment,
        load: PoolLoad,
        standing: &impl Fn(CrashCandidate) -> Standing,
    ) {
        // What is only kept must not delay a decision.
        let last = if !self.likely(now, load, standing).is_empty() {
            self.last_inquiry
        } else if self.is_keeper() && !self.suspects(standing).is_empty() {
            self.last_inquiry.max(self.last_look)
        } else {
            return;
        };
        let next = last.map_or(now, |it| it + INQUIRY_INTERVAL);
        let next = next.max(now + RANK_DELAY * self.rank as u32);
        match self.inquiry {
            None => self.inquiry = Some(Inquiry::Opens(next)),
            Some(Inquiry::Opens(at)) => self.inquiry = Some(Inquiry::Opens(at.min(next))),
            Some(Inquiry::Ends(_)) => (),
        }
    }

    /// Takes the next step of an inquiry that is due.
    fn decide(
        &mut self,
        now: Moment,
        load: PoolLoad,
        standing: &impl Fn(CrashCandidate) -> Standing,
    ) -> Vec<Finding> {
        let likely = self.likely(now, load, standing);
        match self.inquiry {
            Some(Inquiry::Opens(_)) => {
                let mut candidates = likely;
                candidates.truncate(MAX_CANDIDATES);
                let is_decisive = !candidates.is_empty();
                // What is kept should come with what speaks against it.
                if !is_decisive && self.is_changed {
                    candidates = self.suspects(standing);
                }
                if candidates.is_empty() {
                    self.inquiry = None;
                    return Vec::new();
                }
                self.inquiry = Some(Inquiry::Ends(now + INQUIRY_TIME));
                match is_decisive {
                    true => self.last_inquiry = Some(now),
                    false => self.last_look = Some(now),
                }
                self.candidates.clone_from(&candidates);
                vec![Finding::Inquire { crashes: self.named(now, &candidates), candidates }]
            }
            Some(Inquiry::Ends(_)) => {
                self.inquiry = None;
                let Some(candidate) = likely.first().copied() else { return Vec::new() };
                // Reports that came since then speak for another one.
                if !self.candidates.contains(&candidate) {
                    self.inquiry = Some(Inquiry::Opens(now));
                    return Vec::new();
                }
                let findings = self.attribute(candidate, standing);
                let is_known = |it| match it == candidate {
                    true => Standing::Quarantined,
                    false => standing(it),
                };
                if !self.likely(now, load, &is_known).is_empty() {
                    self.inquiry = Some(Inquiry::Opens(now + INQUIRY_INTERVAL));
                }
                findings
            }
            None => Vec::new(),
        }
    }

    /// Attributes crashes to a candidate. Of several that fit, only one is taken at a time, as all
    /// others that stood beside it may be sound: what it explains no longer speaks for them.
    fn attribute(
        &mut self,
        candidate: CrashCandidate,
        standing: &impl Fn(CrashCandidate) -> Standing,
    ) -> Vec<Finding> {
        let open = self.crashes.iter().filter(|it| !it.is_explained(standing));
        let explained: Vec<Crash> = open.filter(|it| it.has(candidate)).cloned().collect();
        self.is_changed = true;
        let mut findings = vec![Finding::Quarantine { candidate, n_crashes: explained.len() }];
        self.attributions.retain(|it| it.0 != candidate);
        let is_wrong = |it: &(CrashCandidate, Vec<Crash>)| it.1.iter().all(|it| it.has(candidate));
        let (wrong, kept) =
            std::mem::take(&mut self.attributions).into_iter().partition::<Vec<_>, _>(is_wrong);
        findings.extend(wrong.iter().map(|it| Finding::Lift { candidate: it.0 }));
        self.attributions = kept;
        self.attributions.push((candidate, explained));
        if MAX_ATTRIBUTIONS < self.attributions.len() {
            self.attributions.remove(0);
        }
        findings
    }

    /// Returns the last crashes that these candidates may explain.
    fn named(&self, now: Moment, candidates: &[CrashCandidate]) -> Vec<Crashed> {
        let is_near = |it: &&Crash| candidates.iter().any(|candidate| it.has(*candidate));
        let crashes = self.crashes.iter().rev().filter(is_near);
        let named = crashes.take(MAX_NAMED).map(|it| Crashed {
            endpoint: it.endpoint.clone(),
            started: it.started,
            age: now.saturating_sub(it.at),
        });
        named.collect()
    }
}
