//! Requests that are sent again and again on drawn days, while endpoints fail for other reasons.

use std::time::Duration;

use ferry_serve::{Framing, RequestDigest};

use crate::quarantine::records::{print_decisions, quarantined, refused};
use crate::quarantine::returns::{Kind, Load, Place};
use crate::quarantine::trouble::{ALL, Trouble};
use crate::simulation::{Behaviour, CrashCause, CrashMoment, Simulation, ms};

/// Days that are drawn, unless the variable `DAYS` says how many.
const N_DAYS: u64 = 16;
const N_ENDPOINTS: usize = 6;
const STEP: Duration = ms(500);
const N_STEPS: usize = 60;
/// Steps for which the same trouble lasts on a day with several.
const N_SAME: usize = 10;
/// Times as long as usual that plain calls take on some days.
const SLOW: u32 = 10;

/// What happens on one day.
#[derive(Debug)]
struct Day {
    seed: u64,
    n_instances: usize,
    kind: Kind,
    framing: Framing,
    place: Place,
    /// Milliseconds between two attempts of each request.
    gaps: Vec<u64>,
    /// One after the other.
    troubles: Vec<Trouble>,
    is_slow: bool,
    moment: CrashMoment,
}

/// What a day shows.
#[derive(Debug)]
struct Served {
    wrong: Vec<CrashCause>,
    /// Repeated requests that were refused as if they crashed endpoints.
    n_refused: usize,
    /// Shares of the distinct requests, and of the repeated ones, that are served.
    distinct: f64,
    repeated: f64,
}

impl Day {
    fn draw(seed: u64) -> Day {
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(7);
        let mut draw = |n: u64| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (state >> 33) % n
        };
        let kinds = [Kind::Idempotent, Kind::Idempotent, Kind::Resumable, Kind::Items, Kind::Bare];
        let n_troubles = if draw(2) == 0 { 1 } else { N_STEPS / N_SAME };
        let troubles = [&ALL[..], &[Trouble::LostAnswers, Trouble::KillInTurn]].concat();
        Day {
            seed,
            n_instances: [1, 3, 6, 12, 20][draw(5) as usize],
            kind: kinds[draw(kinds.len() as u64) as usize],
            framing: [Framing::Chunked, Framing::Connection][draw(2) as usize],
            place: [Place::AnyInstance, Place::SameInstance][draw(2) as usize],
            gaps: (0..1 + draw(3)).map(|_| 200 + draw(1_800)).collect(),
            troubles: (0..n_troubles)
                .map(|_| troubles[draw(troubles.len() as u64) as usize])
                .collect(),
            is_slow: draw(2) == 0,
            moment: [CrashMoment::Drawn, CrashMoment::EARLY, CrashMoment::SLOW][draw(3) as usize],
        }
    }

    fn run(&self) -> Served {
        let (mut sim, mut load) = self.start();
        let add = |gap: &u64| load.add_returning(sim.now, ms(*gap), self.place);
        let own: Vec<_> = self.gaps.iter().map(add).collect();
        self.go_on(&mut sim, &mut load, &own);
        let (wrong, n_refused) = (quarantined(&sim), refused(&sim).len());
        if !wrong.is_empty() || 0 < n_refused {
            print_decisions(&sim);
        }
        let (distinct, repeated) = load.shares(&sim);
        Served { wrong, n_refused, distinct, repeated }
    }

    /// Returns what does not hold if the first of the requests crashes endpoints, compared with the
    /// same day without it.
    fn failures(&self) -> Vec<String> {
        let (mut usual, mut unharmed) = self.start();
        self.go_on(&mut usual, &mut unharmed, &[]);
        let (mut sim, mut load) = self.start();
        load.start_crashing(&mut sim, 1, ms(self.gaps[0]), self.place);
        let add = |gap: &u64| load.add_returning(sim.now, ms(*gap), self.place);
        let sound: Vec<_> = self.gaps[1..].iter().map(add).collect();
        self.go_on(&mut sim, &mut load, &sound);
        let (from, until) = load.window(&sim);
        let before = unharmed.sound_share(&usual, from, until);
        load.failures_against(&sim, before, &format!("{self:?}"))
    }

    fn start(&self) -> (Simulation, Load) {
        let mut sim = Simulation::new(self.n_instances);
        let pool = self.kind.pool();
        sim.fill_pool(pool, N_ENDPOINTS);
        if self.is_slow && self.kind == Kind::Idempotent {
            for id in sim.ids(pool) {
                sim.set_behaviour(&id, Behaviour::Slow(SLOW));
            }
        }
        sim.crashes.framing = self.framing;
        sim.crashes.moment = self.moment;
        sim.crashes.n_events = 30;
        let mut load = Load::new(self.kind, 15.0).with_seed(self.seed);
        load.run(&mut sim, ms(2_000));
        (sim, load)
    }

    /// Goes on with the trouble of the day, where some requests may lose their answers.
    fn go_on(&self, sim: &mut Simulation, load: &mut Load, own: &[RequestDigest]) {
        for number in 0..N_STEPS {
            let trouble = self.troubles[number / N_SAME % self.troubles.len()];
            sim.crashes.break_one_in = None;
            sim.crashes.lost.clear();
            trouble.apply_to(sim, self.kind.pool(), number);
            if trouble == Trouble::LostAnswers {
                sim.crashes.lost.extend(own);
            }
            load.run(sim, STEP);
        }
    }
}

fn days() -> impl Iterator<Item = Day> {
    let n_days = std::env::var("DAYS").ok().and_then(|it| it.parse().ok()).unwrap_or(N_DAYS);
    (0..n_days).map(Day::draw)
}

#[test]
fn crashing_request_is_found_on_days_with_other_trouble() {
    let failed: Vec<String> = days().flat_map(|it| it.failures()).collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

#[test]
fn sound_request_that_comes_again_and_again_stays_served() {
    let mut failed = Vec::new();
    let (mut n_days, mut n_requests, mut n_parts) = (0, 0, 0);
    for day in days() {
        n_days += 1;
        let result = day.run();
        let is_request = |it: &CrashCause| matches!(it, CrashCause::Request(_));
        n_requests += usize::from(result.wrong.iter().any(is_request));
        n_parts += usize::from(!result.wrong.iter().all(is_request));
        // Every other answer to them is lost then, and their endpoints are called once or twice.
        let is_lost = day.troubles.contains(&Trouble::LostAnswers);
        let usual = if is_lost { result.distinct / 2.0 } else { result.distinct };
        let is_served = usual / 2.0 <= result.repeated;
        if !result.wrong.is_empty() || 0 < result.n_refused || !is_served {
            failed.push(format!("{day:?}: {result:?}"));
        }
        println!("{day:?}: {:.2} {:.2}", result.distinct, result.repeated);
    }
    println!("of {n_days} days, wrong: a request on {n_requests}, a part on {n_parts}");
    assert!(failed.is_empty(), "{failed:#?}");
}

/// An endpoint that breaks off only the answers to one request has not crashed.
#[test]
fn answers_lost_at_live_endpoints_are_no_crashes() {
    let mut failed = Vec::new();
    for (n_instances, kind, rate, gap) in [
        (1, Kind::Idempotent, 1.0, 1_000),
        (1, Kind::Idempotent, 15.0, 1_000),
        (6, Kind::Idempotent, 5.0, 500),
        (6, Kind::Resumable, 5.0, 500),
        (20, Kind::Idempotent, 15.0, 400),
        (20, Kind::Bare, 15.0, 1_000),
    ] {
        for seed in 0..4 {
            let mut sim = Simulation::new(n_instances);
            sim.fill_pool(kind.pool(), N_ENDPOINTS);
            sim.crashes.n_events = 30;
            let mut load = Load::new(kind, rate).with_seed(seed);
            load.run(&mut sim, ms(2_000));
            let own = load.add_returning(sim.now, ms(gap), Place::AnyInstance);
            sim.crashes.lost = vec![own];
            load.run(&mut sim, ms(30_000));
            let wrong = quarantined(&sim);
            if !wrong.is_empty() {
                failed.push(format!(
                    "{n_instances} instances, {kind:?}, {rate}/s, {seed}: {wrong:?}"
                ));
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Its quarantine would close the pool.
#[test]
fn part_of_all_requests_stays_out_of_quarantine_beside_a_crashing_request() {
    let mut failed = Vec::new();
    for n_instances in [1, 6, 12, 20] {
        for seed in 0..4 {
            let day = Day {
                seed,
                n_instances,
                kind: Kind::Resumable,
                framing: Framing::Connection,
                place: Place::SameInstance,
                gaps: vec![1_230],
                troubles: vec![Trouble::KillSeveral],
                is_slow: false,
                moment: CrashMoment::Drawn,
            };
            let (mut sim, mut load) = day.start();
            load.start_crashing(&mut sim, 1, ms(day.gaps[0]), day.place);
            day.go_on(&mut sim, &mut load, &[]);
            let parts =
                quarantined(&sim).into_iter().filter(|it| matches!(it, CrashCause::Part(_)));
            let parts: Vec<CrashCause> = parts.collect();
            if !parts.is_empty() {
                failed.push(format!("{n_instances} instances, {seed}: {parts:?}"));
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
