//! Prompt parts and whole requests that crash each endpoint that runs them.

mod drawn;
mod faults;
mod kept;
mod kills;
mod records;
mod repeated;
mod request_faults;
mod requests;
mod returns;
mod rolled;
mod traffic;
mod trouble;
mod ways;

use ferry_serve::Framing;

use traffic::{CRASHING, Place, Traffic};

use crate::simulation::{CrashMoment, Simulation, ms};

struct Case {
    n_instances: usize,
    n_engines: usize,
    place: Place,
    /// Crashing requests per second.
    rate: f64,
    framing: Framing,
}

impl Case {
    fn failures(&self, moment: CrashMoment) -> Vec<String> {
        let mut sim = Simulation::new(self.n_instances);
        sim.add_engines(self.n_engines);
        sim.crashes.framing = self.framing;
        sim.crashes.moment = moment;
        sim.crashes.n_events = 30;
        let mut traffic = Traffic::new(20.0 + self.n_instances as f64 / 2.0);
        traffic.run(&mut sim, ms(4_000));
        traffic.start_crashing(&mut sim, self.place, self.rate);
        traffic.run(&mut sim, ms(18_000));
        traffic.failures(&sim, &format!("{self}, {moment:?}"))
    }
}

const fn case(
    n_instances: usize,
    n_engines: usize,
    place: Place,
    rate: f64,
    framing: Framing,
) -> Case {
    Case { n_instances, n_engines, place, rate, framing }
}

const CASES: [Case; 11] = [
    case(1, 3, Place::Middle, 3.0, Framing::Chunked),
    case(1, 6, Place::First, 1.0, Framing::Chunked),
    case(1, 6, Place::NextToLast, 20.0, Framing::Connection),
    case(6, 3, Place::First, 3.0, Framing::Chunked),
    case(6, 6, Place::Middle, 20.0, Framing::Chunked),
    case(6, 6, Place::NextToLast, 1.0, Framing::Chunked),
    case(6, 6, Place::Middle, 3.0, Framing::Connection),
    case(6, 12, Place::First, 20.0, Framing::Connection),
    case(76, 20, Place::NextToLast, 20.0, Framing::Chunked),
    case(76, 20, Place::First, 3.0, Framing::Chunked),
    case(76, 20, Place::Middle, 3.0, Framing::Connection),
];

/// Moments other than those that are drawn.
const MOMENTS: [CrashMoment; 5] = [
    CrashMoment::BeforeHead,
    CrashMoment::AtHead,
    CrashMoment::SLOW,
    CrashMoment::AtEvent,
    CrashMoment::BeforeEnd,
];

#[test]
fn requests_with_a_part_that_crashes_engines_reach_few_of_them() {
    let failed = CASES.iter().flat_map(|it| it.failures(CrashMoment::EARLY));
    assert_eq!(failed.collect::<Vec<String>>(), Vec::<String>::new());
}

#[test]
fn part_that_crashes_engines_at_a_drawn_moment_reaches_few_of_them() {
    let failed = CASES.iter().flat_map(|it| it.failures(CrashMoment::Drawn));
    assert_eq!(failed.collect::<Vec<String>>(), Vec::<String>::new());
}

#[test]
fn part_that_crashes_engines_at_any_one_moment_reaches_few_of_them() {
    let cases = [
        case(1, 6, Place::First, 3.0, Framing::Chunked),
        case(6, 6, Place::Middle, 3.0, Framing::Chunked),
        case(6, 8, Place::NextToLast, 3.0, Framing::Connection),
    ];
    let failed = MOMENTS.iter().flat_map(|it| cases.iter().flat_map(|case| case.failures(*it)));
    assert_eq!(failed.collect::<Vec<String>>(), Vec::<String>::new());
}

struct PartCase {
    name: &'static str,
    traffic: fn() -> Traffic,
}

impl PartCase {
    fn failures(&self, moment: CrashMoment) -> Vec<String> {
        let mut sim = Simulation::new(6);
        sim.add_engines(8);
        sim.crashes.moment = moment;
        sim.crashes.n_events = 30;
        let mut traffic = (self.traffic)();
        traffic.run(&mut sim, ms(4_000));
        traffic.start_crashing(&mut sim, Place::Middle, 3.0);
        traffic.run(&mut sim, ms(18_000));
        traffic.failures(&sim, &format!("{}, {moment:?}", self.name))
    }
}

const PART_CASES: [PartCase; 3] = [
    PartCase {
        name: "two crashing parts at once",
        traffic: || Traffic::new(20.0).with_crashing(&[CRASHING, CRASHING + 1]),
    },
    PartCase {
        name: "each crashing request has further parts of its own",
        traffic: || Traffic::new(20.0).with_distinct(8),
    },
    PartCase {
        name: "a part that was sound begins to crash engines",
        traffic: || Traffic::new(20.0).with_sound_part(Place::Middle, 3.0),
    },
];

#[test]
fn crashing_parts_are_found_beside_others() {
    let failed = PART_CASES.iter().flat_map(|it| it.failures(CrashMoment::EARLY));
    assert_eq!(failed.collect::<Vec<String>>(), Vec::<String>::new());
}

#[test]
fn parts_that_crash_engines_at_a_drawn_moment_are_found_beside_others() {
    let failed = PART_CASES.iter().flat_map(|it| it.failures(CrashMoment::Drawn));
    assert_eq!(failed.collect::<Vec<String>>(), Vec::<String>::new());
}

impl std::fmt::Display for Case {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Case { n_instances, n_engines, place, rate, framing } = self;
        write!(f, "{n_instances} instances, {n_engines} engines, {place:?}, {rate}/s, {framing}")
    }
}
