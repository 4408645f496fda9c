//! Sound requests that are sent again and again, while endpoints fail for other reasons.

use std::time::Duration;

use ferry_serve::Framing;

use crate::quarantine::records::{print_decisions, quarantined, refused};
use crate::quarantine::returns::{Kind, Load, Place};
use crate::quarantine::trouble::{ALL, Trouble};
use crate::simulation::{Behaviour, CrashCause, Simulation, ms};

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
}

/// What a day shows.
#[derive(Debug)]
struct Result {
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
        }
    }

    fn run(&self) -> Result {
        let mut sim = Simulation::new(self.n_instances);
        let pool = self.kind.pool();
        sim.fill_pool(pool, N_ENDPOINTS);
        if self.is_slow && self.kind == Kind::Idempotent {
            for id in sim.ids(pool) {
                sim.set_behaviour(&id, Behaviour::Slow(SLOW));
            }
        }
        sim.crashes.framing = self.framing;
        sim.crashes.n_events = 30;
        let mut load = Load::new(self.kind, 15.0).with_seed(self.seed);
        load.run(&mut sim, ms(2_000));
        let add = |gap: &u64| load.add_returning(sim.now, ms(*gap), self.place);
        let own: Vec<_> = self.gaps.iter().map(add).collect();
        for number in 0..N_STEPS {
            let trouble = self.troubles[number / N_SAME % self.troubles.len()];
            sim.crashes.break_one_in = None;
            sim.crashes.lost.clear();
            trouble.apply_to(&mut sim, pool, number);
            if trouble == Trouble::LostAnswers {
                sim.crashes.lost.clone_from(&own);
            }
            load.run(&mut sim, STEP);
        }
        let (wrong, n_refused) = (quarantined(&sim), refused(&sim).len());
        if !wrong.is_empty() || 0 < n_refused {
            print_decisions(&sim);
        }
        let (distinct, repeated) = load.shares(&sim);
        Result { wrong, n_refused, distinct, repeated }
    }
}

#[test]
fn sound_request_that_comes_again_and_again_stays_served() {
    let n_days = std::env::var("DAYS").ok().and_then(|it| it.parse().ok()).unwrap_or(N_DAYS);
    let mut failed = Vec::new();
    let (mut n_requests, mut n_parts) = (0, 0);
    for day in (0..n_days).map(Day::draw) {
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
