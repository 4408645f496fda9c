//! Requests that share parts of their prompts, and those with a part that crashes engines.

use std::time::Duration;

use ferry_model::Moment;
use ferry_serve::{PromptPart, RequestHead};

use crate::quarantine::records::{print_decisions, quarantined};
use crate::simulation::{CrashCause, Simulation, head, ms};

/// The part that all prompts of the traffic share, and those that some of them share.
const FIRST_PART: u64 = 1;
const MIDDLE_PARTS: [u64; 3] = [10, 11, 12];
const N_RARE: u64 = 40;
const RARE_PARTS: u64 = 1_000;
/// The part that crashes engines.
pub const CRASHING: u64 = 666;
const STEP: Duration = ms(10);
/// Requests with the part that may reach endpoints later than `STABLE_TIME` after the crash with
/// the number `N_LEARNING`.
const MAX_RECEIVED: usize = 3;
const N_LEARNING: usize = 5;
const STABLE_TIME: Duration = ms(3_000);
/// Fraction of the usual share of sound requests that begin.
const MIN_SOUND: f64 = 0.5;

/// Where the crashing part stands among the parts that other requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    First,
    Middle,
    NextToLast,
}

/// A request that was sent: whether it is crashing, and when.
#[derive(Debug)]
struct Sent {
    attempt: String,
    at: Moment,
    is_crashing: bool,
}

#[derive(Debug)]
pub struct Traffic {
    /// Sound requests per second.
    sound_rate: f64,
    crashing_rate: f64,
    /// Further parts of crashing requests that are in no other request.
    pub n_distinct: u64,
    crashing: Vec<u64>,
    /// Whether each request has a rare part.
    has_sessions: bool,
    place: Place,
    turned: Moment,
    sent: Vec<Sent>,
    rng: u64,
}

impl Traffic {
    pub fn new(sound_rate: f64) -> Traffic {
        Traffic {
            sound_rate,
            crashing_rate: 0.0,
            n_distinct: 0,
            crashing: vec![CRASHING],
            has_sessions: false,
            place: Place::First,
            turned: Moment::ZERO,
            sent: Vec::new(),
            rng: 7,
        }
    }

    /// Lets engines crash on the crashing part, and sends requests with it from now on.
    pub fn start_crashing(&mut self, sim: &mut Simulation, place: Place, rate: f64) {
        sim.crashes.parts.clone_from(&self.crashing);
        self.place = place;
        self.crashing_rate = rate;
        self.turned = sim.now;
    }

    pub fn with_seed(mut self, seed: u64) -> Traffic {
        self.rng = self.rng.wrapping_add(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        self
    }

    pub fn with_crashing(mut self, parts: &[u64]) -> Traffic {
        self.crashing = parts.to_vec();
        self
    }

    /// Sends requests with the part that are sound so far.
    pub fn with_sound_part(mut self, place: Place, rate: f64) -> Traffic {
        self.place = place;
        self.crashing_rate = rate;
        self
    }

    /// Gives each request a rare part, as those of one session share it.
    pub fn with_sessions(mut self) -> Traffic {
        self.has_sessions = true;
        self
    }

    /// Changes how many crashing requests are sent per second.
    pub fn set_crashing_rate(&mut self, rate: f64) {
        self.crashing_rate = rate;
    }

    pub fn with_distinct(mut self, n_distinct: u64) -> Traffic {
        self.n_distinct = n_distinct;
        self
    }

    pub fn run(&mut self, sim: &mut Simulation, time: Duration) {
        let until = sim.now + time;
        while sim.now < until {
            let step = STEP.as_secs_f64();
            if self.chance(self.sound_rate * step) {
                let prompt = self.sound_prompt();
                self.send(sim, prompt, false);
            }
            if self.chance(self.crashing_rate * step) {
                let prompt = self.crashing_prompt();
                self.send(sim, prompt, true);
            }
            sim.run_for(STEP);
        }
    }

    /// Checks both rules: few requests with the part reach endpoints, and the others are served.
    pub fn check(&self, sim: &Simulation, name: &str) {
        assert_eq!(self.failures(sim, name), Vec::<String>::new());
    }

    pub fn failures(&self, sim: &Simulation, name: &str) -> Vec<String> {
        self.failures_against(sim, self.sound_before(sim), name)
    }

    /// Returns what does not hold, where `before` is the share of sound requests that usually begin.
    pub fn failures_against(&self, sim: &Simulation, before: f64, name: &str) -> Vec<String> {
        let n_crashes = sim.crashes.crashed.len();
        let received = |it: &u64| {
            sim.crashes.received_after(CrashCause::Part(*it), N_LEARNING, STABLE_TIME).len()
        };
        let n_received = self.crashing.iter().map(received).max().unwrap_or_default();
        let (from, until) = self.window(sim);
        let after = if from < until { self.sound_share(sim, from, until) } else { before };
        println!(
            "{name}: {n_crashes} crashes, {n_received} received late, sound {before:.2} -> {after:.2}"
        );
        let mut failed = Vec::new();
        if MAX_RECEIVED < n_received {
            failed.push(format!("{name}: {n_received} received late, {n_crashes} crashes"));
        }
        let is_known =
            |it: &CrashCause| self.crashing.iter().any(|part| *it == CrashCause::Part(*part));
        let wrong: Vec<CrashCause> =
            quarantined(sim).into_iter().filter(|it| !is_known(it)).collect();
        if !wrong.is_empty() {
            failed.push(format!("{name}: {wrong:?} crash nothing and are in quarantine"));
        }
        if after < before * MIN_SOUND {
            failed.push(format!("{name}: sound {before:.2} -> {after:.2}, {n_crashes} crashes"));
        }
        if !sim.violations.is_empty() {
            failed.push(format!("{name}: {:?}", sim.violations));
        }
        if !failed.is_empty() {
            print_decisions(sim);
        }
        failed
    }

    /// Returns the share of sound requests that began before the part began to crash engines.
    pub fn sound_before(&self, sim: &Simulation) -> f64 {
        self.sound_share(sim, Moment::ZERO, self.turned.saturating_sub(STABLE_TIME / 2))
    }

    /// Returns from when on sound requests must be served, twice the stable time after the fifth
    /// crash, and until when they are counted.
    pub fn window(&self, sim: &Simulation) -> (Moment, Moment) {
        let learnt = sim.crashes.crashed.get(N_LEARNING - 1).or(sim.crashes.crashed.last());
        let from = learnt.map_or(self.turned, |it| it.0) + STABLE_TIME * 2;
        (from, sim.now.saturating_sub(ms(2_000)))
    }

    pub fn sound_share(&self, sim: &Simulation, from: Moment, until: Moment) -> f64 {
        let is_asked = |it: &&Sent| !it.is_crashing && from <= it.at && it.at < until;
        let asked: Vec<&Sent> = self.sent.iter().filter(is_asked).collect();
        let n_begun = asked.iter().filter(|it| sim.first_events.contains_key(&it.attempt)).count();
        n_begun as f64 / asked.len().max(1) as f64
    }

    fn send(&mut self, sim: &mut Simulation, prompt: Vec<PromptPart>, is_crashing: bool) {
        let attempt = format!("probe-{}", self.sent.len());
        let live: Vec<usize> =
            (0..sim.instances.len()).filter(|it| sim.instances[*it].is_some()).collect();
        self.sent.push(Sent { attempt: attempt.clone(), at: sim.now, is_crashing });
        if live.is_empty() {
            return;
        }
        let instance = live[self.next_random() as usize % live.len()];
        let head = RequestHead { prompt, items: Vec::new(), ..head("stream", &attempt) };
        sim.arrive(instance, &attempt, head);
    }

    fn sound_prompt(&mut self) -> Vec<PromptPart> {
        let shared = self.shared();
        self.prompt(shared)
    }

    fn crashing_prompt(&mut self) -> Vec<PromptPart> {
        let mut shared = self.shared();
        let idx = match self.place {
            Place::First => 0,
            Place::Middle => 1,
            Place::NextToLast => shared.len(),
        };
        let choice = self.next_random() as usize % self.crashing.len();
        shared.insert(idx, self.crashing[choice]);
        for _ in 0..self.n_distinct {
            let distinct = 1_000_000 + self.next_random() % 1_000_000_000;
            let idx = self.next_random() as usize % (shared.len() + 1);
            shared.insert(idx, distinct);
        }
        self.prompt(shared)
    }

    /// Returns the first part, one of the popular parts, and sometimes a rare one.
    fn shared(&mut self) -> Vec<u64> {
        let middle = MIDDLE_PARTS[self.next_random() as usize % MIDDLE_PARTS.len()];
        let mut shared = vec![FIRST_PART, middle];
        if self.next_random().is_multiple_of(3) || self.has_sessions {
            shared.push(RARE_PARTS + self.next_random() % N_RARE);
        }
        shared
    }

    fn prompt(&mut self, shared: Vec<u64>) -> Vec<PromptPart> {
        let own = self.next_random();
        let part = |id: u64| PromptPart { id, tokens: 100 };
        shared.into_iter().chain([own]).map(part).collect()
    }

    fn chance(&mut self, probability: f64) -> bool {
        (self.next_random() % 1_000_000) as f64 / 1e6 < probability
    }

    fn next_random(&mut self) -> u64 {
        self.rng = self.rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.rng >> 33
    }
}
