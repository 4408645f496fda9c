//! Trouble that breaks many calls at once and no request causes.

use ferry_model::EndpointState;
use ferry_serve::Framing;

use crate::quarantine::records::{print_decisions, quarantined};
use crate::quarantine::traffic::Traffic;
use crate::simulation::{Behaviour, ENGINE, Simulation, ms};

const N_ENGINES: usize = 6;
const STEP: u64 = 500;
const N_SEEDS: u64 = 2;
const N_STEPS: usize = 30;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// One engine is killed every three seconds.
    KillOne,
    /// Four engines are killed every five seconds.
    KillSeveral,
    /// An engine is killed every half a second, one after the other.
    KillInTurn,
    /// One instance loses its connections to three engines every second.
    CutLinks,
    /// One instance loses all its connections every half a second.
    ResetInstance,
    /// Engines leave and come back one after the other.
    Release,
    /// An engine falls silent every two seconds, and its calls break three seconds later.
    Dark,
    /// One in 50 answers breaks off while its engine goes on.
    BrokenAnswers,
    /// One in 20 answers breaks off at one of the engines that serve few requests.
    QuietBrokenAnswers,
    /// Answers to certain requests break off while their endpoint goes on.
    LostAnswers,
}

/// All but lost answers, which are those to certain requests.
pub const ALL: [Trouble; 9] = [
    Trouble::KillOne,
    Trouble::KillSeveral,
    Trouble::KillInTurn,
    Trouble::CutLinks,
    Trouble::ResetInstance,
    Trouble::Release,
    Trouble::Dark,
    Trouble::BrokenAnswers,
    Trouble::QuietBrokenAnswers,
];

#[test]
fn other_trouble_quarantines_no_part() {
    let mut failed = Vec::new();
    for trouble in ALL {
        for (n_instances, framing, is_cold, rate) in [
            (1, Framing::Chunked, false, 20.0),
            (6, Framing::Chunked, false, 30.0),
            (6, Framing::Chunked, true, 30.0),
            (6, Framing::Connection, false, 30.0),
            (6, Framing::Connection, true, 10.0),
            (20, Framing::Chunked, true, 60.0),
        ] {
            for seed in 0..N_SEEDS {
                let name =
                    format!("{trouble:?}, {n_instances} instances, {framing}, {is_cold}, {seed}");
                let mut sim = Simulation::new(n_instances);
                sim.add_engines(N_ENGINES);
                sim.crashes.framing = framing;
                sim.crashes.n_events = 40;
                let mut traffic = Traffic::new(rate).with_seed(seed);
                if !is_cold {
                    traffic.run(&mut sim, ms(4_000));
                }
                for number in 0..N_STEPS {
                    trouble.apply(&mut sim, number);
                    traffic.run(&mut sim, ms(STEP));
                }
                traffic.run(&mut sim, ms(3_000));
                let wrong = quarantined(&sim);
                if !wrong.is_empty() {
                    print_decisions(&sim);
                    failed.push(format!("{name}: {wrong:?}"));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

impl Trouble {
    /// Does what is due at a step of half a second.
    pub fn apply(self, sim: &mut Simulation, number: usize) {
        self.apply_to(sim, ENGINE, number);
    }

    pub fn apply_to(self, sim: &mut Simulation, pool: &str, number: usize) {
        let engine = |it: usize| format!("{pool}-{}", it % N_ENGINES);
        match self {
            Trouble::KillOne if number.is_multiple_of(6) => sim.kill_endpoint(&engine(number / 6)),
            Trouble::KillSeveral if number.is_multiple_of(10) => {
                (0..4).for_each(|it| sim.kill_endpoint(&engine(number / 10 + it)));
            }
            Trouble::KillInTurn => sim.kill_endpoint(&engine(number)),
            Trouble::CutLinks if number.is_multiple_of(2) => {
                (0..3).for_each(|it| sim.break_calls(&engine(number / 2 + it), Some(0)));
            }
            Trouble::ResetInstance => {
                (0..N_ENGINES).for_each(|it| sim.break_calls(&engine(it), Some(0)));
            }
            Trouble::Release if number.is_multiple_of(4) => {
                let id = engine(number / 4);
                sim.set_state(&id, EndpointState::Leaving);
                let last = engine(number / 4 + N_ENGINES - 1);
                sim.restart_endpoint(&last);
            }
            Trouble::Dark if number.is_multiple_of(4) => {
                sim.set_behaviour(&engine(number / 4), Behaviour::Silent);
            }
            Trouble::Dark if number % 4 == 2 && 6 <= number => {
                let id = engine(number / 4 - 1);
                sim.break_calls(&id, None);
                sim.set_behaviour(&id, Behaviour::Healthy);
            }
            Trouble::BrokenAnswers => sim.crashes.break_one_in = Some(50),
            Trouble::QuietBrokenAnswers => sim.crashes.break_one_in = Some(20),
            Trouble::KillOne
            | Trouble::KillSeveral
            | Trouble::CutLinks
            | Trouble::Release
            | Trouble::Dark
            | Trouble::LostAnswers => (),
        }
    }
}
