//! Requests that are sent again and again, beside others of the same caller.

use std::time::Duration;

use ferry_model::Moment;
use ferry_serve::{PromptPart, RequestDigest, RequestHead};

use crate::quarantine::records::{print_decisions, quarantined, refused};
use crate::simulation::{CrashCause, ENGINE, Ending, PLAIN, Simulation, head, ms};

const STEP: Duration = ms(10);
/// Crashes after which a request must be known, and how often it may reach endpoints later than
/// `STABLE_TIME` after them.
const N_LEARNING: usize = 3;
const MAX_RECEIVED: usize = 3;
pub const STABLE_TIME: Duration = ms(3_000);
/// Fraction of the usual share of sound requests that are served.
const MIN_SOUND: f64 = 0.5;
/// The first request that returns; the others follow.
pub const FIRST_DIGEST: RequestDigest = 1_000_000_000_000_000_000_000;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Idempotent,
    NonIdempotent,
    Resumable,
    Stream,
    /// A stream without prompt and items.
    Bare,
    /// A resumable stream with items in its stages.
    Items,
}

/// Where a request comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    SameInstance,
    AnyInstance,
}

/// A request that comes back.
#[derive(Debug)]
struct Returning {
    digest: RequestDigest,
    gap: Duration,
    place: Place,
    next: Moment,
}

#[derive(Debug)]
struct Sent {
    attempt: String,
    at: Moment,
    /// Which of those that come back it is.
    digest: Option<RequestDigest>,
    /// Whether its instance could not reach the others.
    is_cut: bool,
}

/// Requests of one kind: distinct ones, and those that come back.
#[derive(Debug)]
pub struct Load {
    kind: Kind,
    rate: f64,
    returning: Vec<Returning>,
    sent: Vec<Sent>,
    began: Moment,
    rng: u64,
}

impl Kind {
    pub fn pool(self) -> &'static str {
        match self {
            Kind::Idempotent | Kind::NonIdempotent => PLAIN,
            Kind::Resumable | Kind::Stream | Kind::Bare | Kind::Items => ENGINE,
        }
    }

    pub fn head(self, attempt: &str, own: u64) -> RequestHead {
        let part = |id| PromptPart { id, tokens: 100 };
        let route = match self {
            Kind::Idempotent => "get",
            Kind::NonIdempotent => "post",
            Kind::Resumable | Kind::Items => "stream",
            Kind::Stream | Kind::Bare => "once",
        };
        let prompt = match self {
            Kind::Idempotent | Kind::NonIdempotent | Kind::Bare => Vec::new(),
            Kind::Resumable | Kind::Stream | Kind::Items => {
                [1, 10 + own % 3, own].map(part).to_vec()
            }
        };
        let items = if self == Kind::Items { vec![4, 4] } else { Vec::new() };
        RequestHead { prompt, items, ..head(route, attempt) }
    }
}

impl Load {
    pub fn new(kind: Kind, rate: f64) -> Load {
        let (returning, sent) = (Vec::new(), Vec::new());
        Load { kind, rate, returning, sent, began: Moment::ZERO, rng: 7 }
    }

    pub fn with_seed(mut self, seed: u64) -> Load {
        self.rng = self.rng.wrapping_add(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        self
    }

    /// Lets one more request come back from now on, and returns its digest.
    pub fn add_returning(&mut self, now: Moment, gap: Duration, place: Place) -> RequestDigest {
        let digest = FIRST_DIGEST + self.returning.len() as u128;
        self.returning.push(Returning { digest, gap, place, next: now });
        digest
    }

    /// Lets a number of requests that crash endpoints come back from now on.
    pub fn start_crashing(&mut self, sim: &mut Simulation, n: usize, gap: Duration, place: Place) {
        self.began = sim.now;
        for _ in 0..n {
            let digest = self.add_returning(sim.now, gap, place);
            sim.crashes.requests.push(digest);
        }
    }

    /// Lets no request come back any longer.
    pub fn stop(&mut self) {
        self.returning.clear();
    }

    pub fn run(&mut self, sim: &mut Simulation, time: Duration) {
        let until = sim.now + time;
        while sim.now < until {
            if self.chance(self.rate * STEP.as_secs_f64()) {
                let instance = self.draw_instance(sim);
                let own = 1_000_000 + self.next_random();
                self.send(sim, instance, own, None);
            }
            for idx in 0..self.returning.len() {
                let Returning { digest, gap, place, next } = self.returning[idx];
                if next <= sim.now {
                    self.returning[idx].next = sim.now + gap;
                    let instance = match place {
                        Place::SameInstance => Some(idx % sim.instances.len()),
                        Place::AnyInstance => self.draw_instance(sim),
                    };
                    self.send(sim, instance, digest as u64, Some(digest));
                }
            }
            sim.run_for(STEP);
        }
    }

    /// Returns what does not hold, with the figures.
    pub fn failures(&self, sim: &Simulation, name: &str) -> Vec<String> {
        let until = self.began.saturating_sub(STABLE_TIME / 2);
        self.failures_against(sim, self.sound_share(sim, Moment::ZERO, until), name)
    }

    /// Returns what does not hold, where `before` is the share of sound requests that are usually
    /// served.
    pub fn failures_against(&self, sim: &Simulation, before: f64, name: &str) -> Vec<String> {
        let mut failed = Vec::new();
        let mut fail = |what: String| failed.push(format!("{name}: {what}"));
        let n_crashes = sim.crashes.crashed.len();
        let mut n_late = 0;
        for cause in self.causes(sim) {
            let late = sim.crashes.received_after(cause, N_LEARNING, STABLE_TIME);
            n_late = n_late.max(late.iter().filter(|it| !it.is_cut).count());
        }
        if MAX_RECEIVED < n_late {
            fail(format!("{n_late} received late, {n_crashes} crashes"));
        }
        let (from, until) = self.window(sim);
        let after = if from < until { self.sound_share(sim, from, until) } else { before };
        if after < before * MIN_SOUND {
            fail(format!("sound requests {before:.2} -> {after:.2}, {n_crashes} crashes"));
        }
        let mut wrong = quarantined(sim);
        wrong.retain(|it| !self.causes(sim).contains(it));
        if !wrong.is_empty() {
            fail(format!("in quarantine: {wrong:?}"));
        }
        let refused = refused(sim);
        let sound = self.sent.iter().filter(|it| it.is_sound(sim));
        let n_refused = sound.filter(|it| refused.contains(it.attempt.as_str())).count();
        if 0 < n_refused {
            fail(format!("{n_refused} sound requests refused"));
        }
        let open = self.not_refused(sim);
        if MAX_RECEIVED < open.len() {
            fail(format!("{} not refused for good, such as {:?}", open.len(), open[0]));
        }
        if !sim.violations.is_empty() {
            fail(format!("{:?}", sim.violations));
        }
        if !failed.is_empty() {
            print_decisions(sim);
        }
        println!(
            "{name}: {n_crashes} crashes, {n_late} received late, sound {before:.2} -> {after:.2}"
        );
        failed
    }

    /// Returns what became of the attempts that should be refused at once and for good, and are not.
    fn not_refused(&self, sim: &Simulation) -> Vec<String> {
        let mut open = Vec::new();
        for cause in self.causes(sim) {
            let Some(learnt) = self.learnt(sim, cause) else { continue };
            let is_late = |it: &&Sent| {
                it.digest.map(CrashCause::Request) == Some(cause)
                    && learnt + STABLE_TIME < it.at
                    && !it.is_cut
            };
            let mut own = Vec::new();
            for sent in self.sent.iter().filter(is_late) {
                let Some(outcome) = sim.outcomes.get(&sent.attempt) else { continue };
                let is_final =
                    matches!(&outcome.ending, Ending::Refused(it) if it.retry_after.is_none());
                if !is_final || STEP < outcome.took {
                    own.push(format!("{} ended as {outcome:?}", sent.attempt));
                }
            }
            if open.len() < own.len() {
                open = own;
            }
        }
        open
    }

    fn causes(&self, sim: &Simulation) -> Vec<CrashCause> {
        sim.crashes.requests.iter().map(|it| CrashCause::Request(*it)).collect()
    }

    /// Returns when a cause has crashed as many endpoints as are enough.
    fn learnt(&self, sim: &Simulation, cause: CrashCause) -> Option<Moment> {
        let mut own = sim.crashes.crashed.iter().filter(|it| it.1 == cause);
        own.nth(N_LEARNING - 1).map(|it| it.0)
    }

    /// Returns from when on sound requests must be served, and until when they are counted.
    pub fn window(&self, sim: &Simulation) -> (Moment, Moment) {
        let learnt = self.causes(sim).into_iter().filter_map(|it| self.learnt(sim, it));
        let from = learnt.max().unwrap_or(self.began) + STABLE_TIME * 2;
        (from, sim.now.saturating_sub(ms(2_000)))
    }

    /// Returns the share of sound requests that are served: answered, or begun.
    pub fn sound_share(&self, sim: &Simulation, from: Moment, until: Moment) -> f64 {
        let asked = self.sent.iter().filter(|it| from <= it.at && it.at < until);
        served(sim, asked.filter(|it| it.is_sound(sim)))
    }

    /// Returns the shares of the distinct requests, and of those that come back, that are served.
    pub fn shares(&self, sim: &Simulation) -> (f64, f64) {
        let until = sim.now.saturating_sub(ms(2_000));
        let share = |is_returning: bool| {
            let own = self.sent.iter().filter(|it| it.digest.is_some() == is_returning);
            served(sim, own.filter(|it| it.at < until))
        };
        (share(false), share(true))
    }

    fn send(
        &mut self,
        sim: &mut Simulation,
        instance: Option<usize>,
        own: u64,
        digest: Option<RequestDigest>,
    ) {
        let attempt = format!("attempt-{}", self.sent.len());
        let is_cut = instance.is_some_and(|it| sim.isolated.contains(&it));
        self.sent.push(Sent { attempt: attempt.clone(), at: sim.now, digest, is_cut });
        let Some(instance) = instance.filter(|it| sim.instances[*it].is_some()) else { return };
        let head = self.kind.head(&attempt, own);
        match digest {
            Some(digest) => sim.arrive_same(instance, &attempt, digest, head),
            None => sim.arrive(instance, &attempt, head),
        };
    }

    fn draw_instance(&mut self, sim: &Simulation) -> Option<usize> {
        let live = (0..sim.instances.len()).filter(|it| sim.instances[*it].is_some());
        let live: Vec<usize> = live.collect();
        let number = self.next_random() as usize;
        live.get(number % live.len().max(1)).copied()
    }

    fn chance(&mut self, probability: f64) -> bool {
        (self.next_random() % 1_000_000) as f64 / 1e6 < probability
    }

    fn next_random(&mut self) -> u64 {
        self.rng = self.rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.rng >> 33
    }
}

impl Sent {
    /// Whether it crashes nothing.
    fn is_sound(&self, sim: &Simulation) -> bool {
        self.digest.is_none_or(|it| !sim.crashes.requests.contains(&it))
    }
}

/// Returns the share of the requests that are answered, or have begun.
fn served<'a>(sim: &Simulation, asked: impl Iterator<Item = &'a Sent>) -> f64 {
    let is_answered = |it: &str| sim.outcomes.get(it).is_some_and(|it| it.ending == Ending::Answer);
    let is_served =
        |it: &&&Sent| sim.first_events.contains_key(&it.attempt) || is_answered(&it.attempt);
    let asked: Vec<&Sent> = asked.collect();
    asked.iter().filter(is_served).count() as f64 / asked.len().max(1) as f64
}
