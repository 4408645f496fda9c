//! Finds the part that explains the crashes of a pool, from the reports of all instances.

use std::cmp::Reverse;
use std::time::Duration;

use ferry_model::{EndpointId, Moment, PoolId, SortedMap};

use super::arrivals::Arrivals;
use super::suspect::{PartNeed, Suspect};
use super::{CrashReport, Crashed, Exposure, Objection, PartId};
use crate::PromptPart;

/// Endpoints that crash within this time count as one incident: kills, cuts and resets break many
/// at once.
const INCIDENT_TIME: Duration = Duration::from_millis(100);
/// Time for which crashes are kept.
const MEMORY: Duration = Duration::from_secs(600);
const MAX_CRASHES: usize = 64;
const MAX_PARTS: usize = 256;
const MAX_SOUND: usize = 2_048;
/// Time for objections, and the pause between accusations.
const OBJECTION_TIME: Duration = Duration::from_millis(300);
const ACCUSATION_INTERVAL: Duration = Duration::from_secs(1);
/// Time by which the second judge of a pool is later, so that the first decides if it lives.
const RANK_DELAY: Duration = Duration::from_millis(600);
/// Parts and crashes of one accusation.
const MAX_ACCUSED: usize = 8;
const MAX_NAMED: usize = 6;
const MAX_CONVICTIONS: usize = 16;

/// One start of an endpoint that crashed.
#[derive(Debug, Clone)]
struct Crash {
    endpoint: EndpointId,
    started: u64,
    at: Moment,
    parts: Vec<Exposure>,
}

impl Crash {
    fn has(&self, part: PartId) -> bool {
        self.parts.iter().any(|it| it.part == part)
    }

    /// Whether a part in quarantine caused it, which then speaks against no other part.
    fn is_explained(&self, need: &impl Fn(PartId) -> PartNeed) -> bool {
        self.parts.iter().any(|it| need(it.part) == PartNeed::Known)
    }
}

/// Whether the accused were named to the other instances, or when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Inquiry {
    Opens(Moment),
    Ends(Moment),
}

/// The crashes of one pool.
#[derive(Debug, Clone, Default)]
struct Docket {
    crashes: Vec<Crash>,
    arrivals: Arrivals,
    /// When the last sound answer on each part began, as far as told.
    sound: SortedMap<PartId, Moment>,
    inquiry: Option<Inquiry>,
    last_inquiry: Option<Moment>,
    /// The parts of the last inquiry.
    accused: Vec<PartId>,
    /// Convicted parts and the crashes that each explains.
    convictions: Vec<(PartId, Vec<Crash>)>,
}

/// What a judge does about a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Other instances are asked what they know in favour of these parts.
    Accuse {
        parts: Vec<PartId>,
        crashes: Vec<Crashed>,
    },
    Convict {
        part: PartId,
        n_crashes: usize,
    },
    /// A later conviction explains all crashes of this one.
    Lift {
        part: PartId,
    },
}

/// Judges the parts of the pools for which this instance keeps the crashes.
#[derive(Debug, Clone, Default)]
pub struct Judge {
    pools: SortedMap<PoolId, Docket>,
}

impl Judge {
    pub fn new() -> Judge {
        Judge::default()
    }

    /// Records a crash, unless a part that is known explains it. `rank` is the place of this instance
    /// among the judges of the pool.
    pub fn on_report(
        &mut self,
        now: Moment,
        report: CrashReport,
        rank: usize,
        need: impl Fn(PartId) -> PartNeed,
    ) {
        let CrashReport { pool, crashed, parts } = report;
        let at = now.saturating_sub(crashed.age);
        let docket = self.pools.get_or_insert_with(pool, Docket::default);
        docket.add(now, crashed, at, parts);
        if docket.inquiry.is_none() && !docket.suspects(&need).is_empty() {
            let next = docket.last_inquiry.map_or(now, |it| it + ACCUSATION_INTERVAL);
            docket.inquiry = Some(Inquiry::Opens(next.max(now + RANK_DELAY * rank as u32)));
        }
    }

    /// Counts a request that has reached this instance.
    pub fn on_arrival(&mut self, now: Moment, pool: &str, prompt: &[PromptPart]) {
        let docket = self.pools.get_or_insert_with(pool.to_owned(), Docket::default);
        docket.arrivals.record(now, prompt);
    }

    /// Records what an instance knows in favour of accused parts.
    pub fn on_objection(&mut self, now: Moment, objection: &Objection) {
        let Some(docket) = self.pools.get_mut(&objection.pool) else { return };
        for (part, age) in &objection.sound {
            let at = now.saturating_sub(*age);
            let last = docket.sound.get_or_insert_with(*part, || at);
            *last = at.max(*last);
        }
        while MAX_SOUND < docket.sound.len() {
            let oldest = docket.sound.iter().min_by_key(|it| it.1).map(|it| *it.0);
            let Some(oldest) = oldest else { break };
            docket.sound.remove(&oldest);
        }
        docket.crashes.retain(|it| {
            let is_alive =
                |alive: &(EndpointId, u64)| alive.0 == it.endpoint && alive.1 == it.started;
            !objection.alive.iter().any(is_alive)
        });
    }

    /// Drops the crashes with a part that is no longer in quarantine: later ones show whether it
    /// crashes endpoints.
    pub fn on_lifted(&mut self, pool: &str, part: PartId) {
        if let Some(docket) = self.pools.get_mut(pool) {
            docket.crashes.retain(|it| !it.has(part));
        }
    }

    pub fn next_wake(&self) -> Option<Moment> {
        let inquiries = self.pools.values().filter_map(|it| it.inquiry);
        inquiries.map(|(Inquiry::Opens(at) | Inquiry::Ends(at))| at).min()
    }

    /// Returns what is due for each pool.
    pub fn tick(
        &mut self,
        now: Moment,
        need: impl Fn(&str, PartId) -> PartNeed,
    ) -> Vec<(PoolId, Verdict)> {
        let mut verdicts = Vec::new();
        for (pool, docket) in self.pools.iter_mut() {
            let found = docket.decide(now, &|part| need(pool, part));
            verdicts.extend(found.into_iter().map(|it| (pool.clone(), it)));
        }
        verdicts
    }
}

impl Docket {
    fn add(&mut self, now: Moment, crashed: Crashed, at: Moment, parts: Vec<Exposure>) {
        self.crashes.retain(|it| now < it.at + MEMORY);
        let Crashed { endpoint, started, .. } = crashed;
        let is_same = |it: &Crash| it.endpoint == endpoint && it.started == started;
        match self.crashes.iter_mut().find(|it| is_same(it)) {
            // An endpoint that breaks again was alive after the first time.
            Some(crash) if crash.at + INCIDENT_TIME * 4 < at => {
                *crash = Crash { endpoint, started, at, parts };
            }
            Some(crash) => {
                crash.at = crash.at.min(at);
                for exposure in parts {
                    if crash.parts.len() < MAX_PARTS && !crash.parts.contains(&exposure) {
                        crash.parts.push(exposure);
                    }
                }
            }
            None => self.crashes.push(Crash { endpoint, started, at, parts }),
        }
        self.crashes.sort_by_key(|it| it.at);
        if MAX_CRASHES < self.crashes.len() {
            self.crashes.remove(0);
        }
    }

    fn decide(&mut self, now: Moment, need: &impl Fn(PartId) -> PartNeed) -> Vec<Verdict> {
        match self.inquiry {
            Some(Inquiry::Opens(at)) if at <= now => {
                let parts: Vec<PartId> =
                    self.suspects(need).into_iter().map(|it| it.0).take(MAX_ACCUSED).collect();
                if parts.is_empty() {
                    self.inquiry = None;
                    return Vec::new();
                }
                self.inquiry = Some(Inquiry::Ends(now + OBJECTION_TIME));
                self.last_inquiry = Some(now);
                self.accused.clone_from(&parts);
                vec![Verdict::Accuse { crashes: self.named(now, &parts), parts }]
            }
            Some(Inquiry::Ends(at)) if at <= now => {
                self.inquiry = None;
                let Some((part, _)) = self.suspects(need).into_iter().next() else {
                    return Vec::new();
                };
                // Reports that came since then speak against another part.
                if !self.accused.contains(&part) {
                    self.inquiry = Some(Inquiry::Opens(now));
                    return Vec::new();
                }
                let verdicts = self.convict(part, need);
                let is_known = |it| if it == part { PartNeed::Known } else { need(it) };
                if !self.suspects(&is_known).is_empty() {
                    self.inquiry = Some(Inquiry::Opens(now + ACCUSATION_INTERVAL));
                }
                verdicts
            }
            Some(Inquiry::Opens(_) | Inquiry::Ends(_)) | None => Vec::new(),
        }
    }

    /// Convicts a part. Of several that fit, only one is convicted at a time, as all others that stood
    /// beside it may be sound: what it explains no longer speaks against them.
    fn convict(&mut self, part: PartId, need: &impl Fn(PartId) -> PartNeed) -> Vec<Verdict> {
        let is_open = |it: &&Crash| !it.is_explained(need);
        let open = self.crashes.iter().filter(is_open);
        let explained: Vec<Crash> = open.filter(|it| it.has(part)).cloned().collect();
        let mut verdicts = vec![Verdict::Convict { part, n_crashes: explained.len() }];
        let is_wrong = |it: &(PartId, Vec<Crash>)| it.1.iter().all(|it| it.has(part));
        let (wrong, kept) =
            std::mem::take(&mut self.convictions).into_iter().partition::<Vec<_>, _>(is_wrong);
        verdicts.extend(wrong.iter().map(|it| Verdict::Lift { part: it.0 }));
        self.convictions = kept;
        self.convictions.push((part, explained));
        if MAX_CONVICTIONS < self.convictions.len() {
            self.convictions.remove(0);
        }
        verdicts
    }

    /// Returns the parts against which enough speaks, the most likely first: the one with most
    /// incidents; then the one that was not sound for longest, as a part that many share is often
    /// sound; then the one that fewer requests have, and the later one in the prompt, as fewer suffer
    /// if it is the wrong one. A part that nearly all requests have is none: its quarantine would
    /// close the pool.
    fn suspects(&self, need: &impl Fn(PartId) -> PartNeed) -> Vec<(PartId, Suspect)> {
        let mut suspects: SortedMap<PartId, Suspect> = SortedMap::new();
        let (mut incident, mut began) = (0, Moment::ZERO);
        let open = self.crashes.iter().filter(|it| !it.is_explained(need));
        for (number, crash) in open.enumerate() {
            if incident == 0 || began + INCIDENT_TIME < crash.at {
                (incident, began) = (incident + 1, crash.at);
            }
            for exposure in &crash.parts {
                if self.sound.get(&exposure.part).is_some_and(|it| crash.at <= *it) {
                    continue;
                }
                let new = || Suspect::new(crash.at, incident);
                suspects.get_or_insert_with(exposure.part, new).add(number, incident, exposure);
            }
        }
        let fits = |(part, it): &(&PartId, &Suspect)| {
            !self.arrivals.is_common(**part)
                && it.is_convicted(need(**part), incident, self.sound.get(*part).copied())
        };
        let found = suspects.iter().filter(fits);
        let mut found: Vec<(PartId, Suspect)> = found.map(|it| (*it.0, it.1.clone())).collect();
        found.sort_by(|(a, x), (b, y)| {
            let key = |part, it: &Suspect| (Reverse(it.incidents.get()), self.sound.get(&part));
            let fraction = |part| self.arrivals.fraction(part);
            let order = key(*a, x).cmp(&key(*b, y));
            let order = order.then_with(|| fraction(*a).total_cmp(&fraction(*b)));
            order.then_with(|| (Reverse(x.place), a).cmp(&(Reverse(y.place), b)))
        });
        found
    }

    /// Returns the last crashes in which these parts stood.
    fn named(&self, now: Moment, parts: &[PartId]) -> Vec<Crashed> {
        let crashes = self.crashes.iter().rev().filter(|it| parts.iter().any(|part| it.has(*part)));
        let named = crashes.take(MAX_NAMED).map(|it| Crashed {
            endpoint: it.endpoint.clone(),
            started: it.started,
            age: now.saturating_sub(it.at),
        });
        named.collect()
    }
}
