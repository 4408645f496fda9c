//! Prompt parts that crash each engine that begins to write an answer on them.

mod drawn;
mod faults;
mod traffic;
mod trouble;

use ferry_serve::Framing;

use traffic::{GUILTY, Place, Traffic};

use crate::simulation::{Simulation, ms};

struct Case {
    n_instances: usize,
    n_engines: usize,
    place: Place,
    /// Guilty requests per second.
    rate: f64,
    framing: Framing,
}

#[test]
fn requests_with_a_part_that_crashes_engines_reach_few_of_them() {
    let (chunked, connection) = (Framing::Chunked, Framing::Connection);
    let case = |n_instances, n_engines, place, rate, framing| Case {
        n_instances,
        n_engines,
        place,
        rate,
        framing,
    };
    let cases = [
        case(1, 3, Place::Middle, 3.0, chunked),
        case(1, 6, Place::First, 1.0, chunked),
        case(1, 6, Place::NextToLast, 20.0, connection),
        case(6, 3, Place::First, 3.0, chunked),
        case(6, 6, Place::Middle, 20.0, chunked),
        case(6, 6, Place::NextToLast, 1.0, chunked),
        case(6, 6, Place::Middle, 3.0, connection),
        case(6, 12, Place::First, 20.0, connection),
        case(76, 20, Place::NextToLast, 20.0, chunked),
        case(76, 20, Place::First, 3.0, chunked),
        case(76, 20, Place::Middle, 3.0, connection),
    ];
    for case in cases {
        let mut sim = Simulation::new(case.n_instances);
        sim.add_engines(case.n_engines);
        sim.crashes.framing = case.framing;
        sim.crashes.n_events = 30;
        let mut traffic = Traffic::new(20.0 + case.n_instances as f64 / 2.0);
        traffic.run(&mut sim, ms(4_000));
        traffic.turn_guilty(&mut sim, case.place, case.rate);
        traffic.run(&mut sim, ms(18_000));
        traffic.check(&sim, &case.to_string());
    }
}

#[test]
fn guilty_parts_are_found_beside_others() {
    struct GuiltyCase {
        name: &'static str,
        traffic: fn() -> Traffic,
    }
    let cases = [
        GuiltyCase {
            name: "two guilty parts at once",
            traffic: || Traffic::new(20.0).with_guilty(&[GUILTY, GUILTY + 1]),
        },
        GuiltyCase {
            name: "each guilty request has further parts of its own",
            traffic: || Traffic::new(20.0).with_distinct(8),
        },
        GuiltyCase {
            name: "a part that was sound turns guilty",
            traffic: || Traffic::new(20.0).with_sound_part(Place::Middle, 3.0),
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(6);
        sim.add_engines(8);
        sim.crashes.n_events = 30;
        let mut traffic = (case.traffic)();
        traffic.run(&mut sim, ms(4_000));
        traffic.turn_guilty(&mut sim, Place::Middle, 3.0);
        traffic.run(&mut sim, ms(18_000));
        traffic.check(&sim, case.name);
    }
}

impl std::fmt::Display for Case {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Case { n_instances, n_engines, place, rate, framing } = self;
        write!(f, "{n_instances} instances, {n_engines} engines, {place:?}, {rate}/s, {framing}")
    }
}
