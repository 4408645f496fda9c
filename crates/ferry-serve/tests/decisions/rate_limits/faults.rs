//! The rate stays one when instances are killed, freeze, are cut off and lose messages.

use std::time::Duration;

use ferry_serve::Event;
use proptest::prelude::*;

use super::load::{LEARNING_TIME, Load, allowed, most_in_window, taken, used_share};
use crate::simulation::{Simulation, head, ms};

const ENGINES: [(&str, f64); 3] = [("engine-0", 1.2), ("engine-1", 3.0), ("engine-2", 6.0)];

const FREEZE: &[Fault] = &[Fault::FreezeLimiters(ms(4_000))];

struct Case {
    name: &'static str,
    n_instances: usize,
    /// Faults that begin 5 s after the limits were named.
    faults: &'static [Fault],
    drop_one_in: Option<u64>,
    /// Least share of the rate of all engines that is used meanwhile.
    least: f64,
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Kills the limiter of each engine, as often as this, two seconds apart.
    KillLimiters(usize),
    /// Freezes the limiter of each engine for this time.
    FreezeLimiters(Duration),
    /// Cuts this share of the instances off from the others.
    Cut(f64),
    /// Shuts the limiter of each engine down, and starts it again after its last request.
    LeaveLimiters,
}

/// Returns the instances that grant the permits for the engines.
fn limiters(sim: &Simulation) -> Vec<usize> {
    let is_limiter = |instance: &usize| {
        let Some(gateway) = &sim.instances[*instance] else { return false };
        let ctx = gateway.context();
        ENGINES.iter().any(|(id, _)| ctx.limiter_peer(sim.now, id).is_none())
    };
    (0..sim.instances.len()).filter(is_limiter).collect()
}

fn apply(sim: &mut Simulation, load: &mut Load, fault: Fault) {
    match fault {
        Fault::KillLimiters(n_times) => {
            for _ in 0..n_times {
                let killed = limiters(sim);
                killed.iter().for_each(|it| sim.kill(*it));
                load.send(sim, ms(1_500));
                killed.iter().for_each(|it| sim.start(*it));
                load.send(sim, ms(500));
            }
        }
        Fault::FreezeLimiters(time) => {
            let frozen = limiters(sim);
            frozen.iter().for_each(|it| sim.freeze(*it));
            load.send(sim, time);
            frozen.iter().for_each(|it| sim.thaw(*it));
        }
        Fault::LeaveLimiters => {
            let leaving = limiters(sim);
            leaving.iter().for_each(|it| sim.deliver(*it, Event::Shutdown));
            load.send(sim, ms(4_000));
            leaving.iter().for_each(|it| sim.kill(*it));
            leaving.iter().for_each(|it| sim.start(*it));
        }
        Fault::Cut(share) => {
            let n_cut = (sim.instances.len() as f64 * share) as usize;
            sim.island = (0..n_cut).collect();
            load.send(sim, ms(6_000));
            sim.island = Vec::new();
        }
    }
}

#[test]
fn rate_of_all_instances_is_one_whatever_happens_to_them() {
    let six = Case { name: "", n_instances: 6, faults: &[], drop_one_in: None, least: 0.8 };
    let cases = [
        Case { name: "6", ..six },
        Case { name: "6, limiters killed", faults: &[Fault::KillLimiters(3)], least: 0.5, ..six },
        Case { name: "6, limiters frozen", faults: FREEZE, least: 0.5, ..six },
        Case { name: "6, limiters shut down", faults: &[Fault::LeaveLimiters], least: 0.5, ..six },
        Case { name: "6, half cut off", faults: &[Fault::Cut(0.5)], least: 0.5, ..six },
        Case { name: "6, one cut off", faults: &[Fault::Cut(0.17)], least: 0.5, ..six },
        Case { name: "6, messages lost", drop_one_in: Some(10), least: 0.8, ..six },
        Case { name: "76", n_instances: 76, ..six },
        Case {
            name: "76, limiters killed",
            n_instances: 76,
            faults: &[Fault::KillLimiters(3)],
            least: 0.5,
            ..six
        },
        Case {
            name: "76, limiters shut down",
            n_instances: 76,
            faults: &[Fault::LeaveLimiters],
            least: 0.5,
            ..six
        },
        Case {
            name: "76, half cut off",
            n_instances: 76,
            faults: &[Fault::Cut(0.5)],
            least: 0.5,
            ..six
        },
        Case { name: "300", n_instances: 300, ..six },
        Case {
            name: "300, limiters killed",
            n_instances: 300,
            faults: &[Fault::KillLimiters(2)],
            least: 0.5,
            ..six
        },
        Case { name: "300, limiters frozen", n_instances: 300, faults: FREEZE, least: 0.5, ..six },
        Case {
            name: "300, half cut off",
            n_instances: 300,
            faults: &[Fault::Cut(0.5)],
            least: 0.5,
            ..six
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(case.n_instances);
        let mut load = Load::new(&["stream", "once"], 40);
        load.send(&mut sim, ms(2_000));
        ENGINES.iter().for_each(|(id, rate)| sim.set_rate_limit(id, Some(*rate)));
        let from = sim.now + LEARNING_TIME;
        sim.drop_one_in = case.drop_one_in;
        load.send(&mut sim, ms(5_000));
        case.faults.iter().for_each(|it| apply(&mut sim, &mut load, *it));
        load.send(&mut sim, ms(6_000));
        let until = sim.now;
        sim.run_for(ms(5_000));
        for (id, rate) in ENGINES {
            let most = most_in_window(&sim, id, from, |_| true);
            let share = used_share(&sim, id, rate, from, until);
            println!("{:24} {id} {rate}/s: most {most} in 4 s, used {share:.2}", case.name);
            let is_cut = case.faults.iter().any(|it| matches!(it, Fault::Cut(_)));
            // Two sides of a partition may each have a limiter.
            let bound = if is_cut { allowed(rate) } else { taken(rate) };
            assert!(most <= bound, "{}: {id} with {rate}/s got {most}", case.name);
            assert!(case.least <= share, "{}: {id} used {share:.2}", case.name);
        }
        assert_eq!(sim.violations, Vec::<String>::new(), "{}", case.name);
    }
}

/// Requests that wait for their permits while their instance is stopped.
#[test]
fn instance_that_was_stopped_does_not_use_permits_that_have_run_out() {
    let cases = (0..6).flat_map(|stopped| (0..8).map(move |delay| (stopped, ms(delay))));
    for (stopped, delay) in cases {
        let mut sim = Simulation::new(6);
        let mut load = Load::new(&["get", "post"], 40);
        load.send(&mut sim, ms(2_000));
        ["plain-0", "plain-1"].iter().for_each(|it| sim.set_rate_limit(it, Some(4.0)));
        load.send(&mut sim, LEARNING_TIME);
        // Nothing waits for admission or permits any longer.
        sim.run_for(ms(5_000));
        for number in 0..12 {
            let attempt = format!("waiting-{number}");
            sim.arrive(stopped, &attempt, head("post", &attempt));
        }
        sim.run_for(delay);
        sim.freeze(stopped);
        sim.run_for(ms(3_000));
        let from = sim.now;
        sim.thaw(stopped);
        sim.run_for(ms(100));
        for id in ["plain-0", "plain-1"] {
            let most = most_in_window(&sim, id, from, |_| true);
            assert!(most <= 1, "{id} got {most} at once from {stopped} after {delay:?}");
        }
        assert_eq!(sim.violations, Vec::<String>::new());
    }
}

#[derive(Debug, Clone)]
enum Step {
    Kill(usize),
    Start(usize),
    Freeze(usize),
    Thaw(usize),
    Isolate(usize),
    Cut(usize),
    Reconnect,
    Drop(u64),
    Send(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (0..6_usize).prop_map(Step::Kill),
        2 => (0..6_usize).prop_map(Step::Start),
        1 => (0..6_usize).prop_map(Step::Freeze),
        2 => (0..6_usize).prop_map(Step::Thaw),
        1 => (0..6_usize).prop_map(Step::Isolate),
        1 => (1..6_usize).prop_map(Step::Cut),
        2 => Just(Step::Reconnect),
        1 => (5..50_u64).prop_map(Step::Drop),
        8 => (50..1_500_u64).prop_map(Step::Send),
    ]
}

fn play(sim: &mut Simulation, load: &mut Load, step: &Step) {
    match *step {
        Step::Kill(instance) => sim.kill(instance),
        Step::Start(instance) if sim.instances[instance].is_none() => sim.start(instance),
        Step::Start(_) => (),
        Step::Freeze(instance) => sim.freeze(instance),
        Step::Thaw(instance) => sim.thaw(instance),
        Step::Isolate(instance) => sim.isolated = vec![instance],
        Step::Cut(n_cut) => sim.island = (0..n_cut).collect(),
        Step::Reconnect => (sim.island, sim.isolated) = (Vec::new(), Vec::new()),
        Step::Drop(one_in) => sim.drop_one_in = Some(one_in),
        Step::Send(time) => {
            load.send(sim, ms(time));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]

    #[test]
    fn no_endpoint_gets_more_than_its_limit_under_random_faults(
        steps in prop::collection::vec(step(), 5..60)
    ) {
        let mut sim = Simulation::new(6);
        let mut load = Load::new(&["stream", "once", "get", "post"], 60);
        let limited = [("engine-0", 1.2), ("engine-1", 4.0), ("engine-2", 9.0), ("plain-0", 2.0)];
        load.send(&mut sim, ms(2_000));
        limited.iter().for_each(|(id, rate)| sim.set_rate_limit(id, Some(*rate)));
        let from = sim.now + LEARNING_TIME;
        load.send(&mut sim, LEARNING_TIME);
        steps.iter().for_each(|it| play(&mut sim, &mut load, it));
        (0..6).for_each(|it| sim.thaw(it));
        sim.run_for(ms(6_000));
        for (id, rate) in limited {
            let most = most_in_window(&sim, id, from, |it| it.is_informed);
            prop_assert!(most <= allowed(rate), "{} with {}/s got {}", id, rate, most);
        }
        prop_assert_eq!(&sim.violations, &Vec::<String>::new());
    }
}
