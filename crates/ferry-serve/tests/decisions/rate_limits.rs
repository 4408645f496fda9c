//! Endpoints get no more requests than the rate limit that they name for all instances together.

mod callers;
mod changes;
mod faults;
pub mod load;
mod tiny;

use ferry_serve::{Mechanism, Tuning};

use crate::simulation::{Behaviour, Simulation, ms};

use load::{LEARNING_TIME, Load, allowed, most_in_window};

struct Case {
    name: &'static str,
    n_instances: usize,
    /// Endpoints that name a limit, and the limit.
    limited: &'static [(&'static str, f64)],
    routes: &'static [&'static str],
    per_second: u64,
    disabled: &'static [Mechanism],
    failing: &'static [(&'static str, Behaviour)],
}

const CASE: Case = Case {
    name: "an engine",
    n_instances: 6,
    limited: &[("engine-0", 1.2)],
    routes: &["stream"],
    per_second: 30,
    disabled: &[],
    failing: &[],
};

const ALL_ENGINES: &[(&str, f64)] = &[("engine-0", 1.2), ("engine-1", 3.0), ("engine-2", 0.4)];

#[test]
fn no_endpoint_gets_more_than_its_limit_on_any_way_to_it() {
    let cases = [
        CASE,
        Case { name: "all engines", limited: ALL_ENGINES, ..CASE },
        Case {
            name: "engines that instances choose by themselves",
            disabled: &[Mechanism::Scheduling],
            ..CASE
        },
        Case {
            name: "streams that are resumed, as the other engines reset them",
            failing: &[("engine-1", Behaviour::Reset), ("engine-2", Behaviour::Reset)],
            ..CASE
        },
        Case {
            name: "plain requests, some of which may not be repeated",
            limited: &[("plain-0", 1.2)],
            routes: &["get", "post"],
            ..CASE
        },
        Case {
            name: "plain requests that are sent again, as the other endpoint is full",
            limited: &[("plain-0", 1.2)],
            routes: &["get"],
            failing: &[("plain-1", Behaviour::Full)],
            ..CASE
        },
        Case { name: "calls with items", limited: &[("first-0", 1.2), ("second-1", 0.8)], ..CASE },
        Case {
            name: "calls with items that are hedged",
            limited: &[("first-0", 1.2)],
            failing: &[("first-1", Behaviour::Slow(8))],
            ..CASE
        },
        Case { name: "76 instances", n_instances: 76, per_second: 120, ..CASE },
        Case {
            name: "300 instances",
            n_instances: 300,
            limited: &[("plain-0", 1.2)],
            routes: &["get", "post"],
            per_second: 300,
            ..CASE
        },
    ];
    let mut exceeded = Vec::new();
    for case in cases {
        let tuning = Tuning { disabled: case.disabled.to_vec(), ..Tuning::default() };
        let mut sim = Simulation::with_tuning(case.n_instances, tuning);
        case.failing.iter().for_each(|(id, behaviour)| sim.set_behaviour(id, *behaviour));
        let mut load = Load::new(case.routes, case.per_second);
        load.send(&mut sim, ms(2_000));
        case.limited.iter().for_each(|(id, rate)| sim.set_rate_limit(id, Some(*rate)));
        let from = sim.now + LEARNING_TIME;
        load.send(&mut sim, LEARNING_TIME + ms(8_000));
        sim.run_for(ms(5_000));
        for (id, rate) in case.limited {
            let most = most_in_window(&sim, id, from, |_| true);
            if allowed(*rate) < most {
                exceeded.push(format!("{}: {id} with {rate}/s got {most}", case.name));
            }
        }
        assert_eq!(sim.violations, Vec::<String>::new(), "{}", case.name);
    }
    assert_eq!(exceeded, Vec::<String>::new());
}
