//! Cold endpoints get no more requests in any second than they may, and as many as they take.

use std::time::Duration;

use ferry_model::{ColdLimit, EndpointId, GatewayConfig, Moment};
use ferry_serve::{EvacuatedZones, Event, Mechanism, StoreUpdate, Tuning};

use crate::rate_limits::load::Load;
use crate::simulation::{ENGINE, Ending, Simulation, config, ms};

const SECOND: Duration = ms(1_000);
/// Requests per second that a cold engine takes, and what the platform allows beyond them.
const PER_SECOND: f64 = 7.4;
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Most requests that may reach a cold engine in a second.
const BOUND: usize = (PER_SECOND * FACTOR + SLACK) as usize;

fn cold_config(time: Duration) -> GatewayConfig {
    let mut config = config(1);
    // The stages would limit what reaches the engines.
    config.routes.iter_mut().for_each(|it| it.stages.clear());
    let engines = config.pools.get_mut(ENGINE).expect("there are engines");
    engines.cold = Some(ColdLimit { time, per_second: PER_SECOND });
    config
}

fn simulation(n_instances: usize, time: Duration, disabled: &[Mechanism]) -> Simulation {
    let tuning = Tuning {
        cold_factor: FACTOR,
        cold_slack: SLACK,
        has_evacuations: true,
        disabled: disabled.to_vec(),
        ..Tuning::default()
    };
    Simulation::with_config(n_instances, cold_config(time), tuning)
}

/// Lets engines become cold, as the entries say that each instance reads.
fn cool(sim: &mut Simulation, ids: &[EndpointId], time: Duration) {
    for id in ids {
        let endpoint = sim.endpoints.get_mut(id).expect("the endpoint exists");
        endpoint.entry.cold_left = time;
        sim.register(id);
    }
}

/// Returns the most requests that reached an engine in any second of a span.
fn most_in_second(sim: &Simulation, id: &str, from: Moment, until: Moment) -> usize {
    let arrivals = &sim.endpoints.get(id).expect("the endpoint exists").arrivals;
    let inside = arrivals.iter().map(|it| it.at).filter(|it| from <= *it && *it < until);
    let inside: Vec<Moment> = inside.collect();
    let in_second = |first: &Moment| {
        inside.iter().filter(|it| *first <= **it && **it < *first + SECOND).count()
    };
    inside.iter().map(in_second).max().unwrap_or_default()
}

fn n_between(sim: &Simulation, id: &str, from: Moment, until: Moment) -> usize {
    let arrivals = &sim.endpoints.get(id).expect("the endpoint exists").arrivals;
    arrivals.iter().filter(|it| from <= it.at && it.at < until).count()
}

fn limiters(sim: &Simulation, ids: &[EndpointId]) -> Vec<usize> {
    let is_limiter = |instance: &usize| {
        let Some(gateway) = &sim.instances[*instance] else { return false };
        ids.iter().any(|id| gateway.context().limiter_peer(sim.now, id).is_none())
    };
    (0..sim.instances.len()).filter(is_limiter).collect()
}

/// What happens while the engines are cold.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Nothing,
    KillLimiters,
    FreezeLimiters,
    CutHalf,
    StartInstances,
    LoseMessages,
}

fn apply(sim: &mut Simulation, load: &mut Load, ids: &[EndpointId], fault: Fault) {
    let n_instances = sim.instances.len();
    match fault {
        Fault::Nothing => drop(load.send(sim, ms(3_000))),
        Fault::KillLimiters => {
            let killed = limiters(sim, ids);
            killed.iter().for_each(|it| sim.kill(*it));
            load.send(sim, ms(1_500));
            killed.iter().for_each(|it| sim.start(*it));
            load.send(sim, ms(1_500));
        }
        Fault::FreezeLimiters => {
            let frozen = limiters(sim, ids);
            frozen.iter().for_each(|it| sim.freeze(*it));
            load.send(sim, ms(2_000));
            frozen.iter().for_each(|it| sim.thaw(*it));
            load.send(sim, ms(1_000));
        }
        Fault::CutHalf => {
            sim.island = (0..n_instances / 2).collect();
            load.send(sim, ms(3_000));
            sim.island = Vec::new();
        }
        Fault::StartInstances => {
            let started: Vec<usize> = (0..n_instances).filter(|it| it % 2 == 0).collect();
            started.iter().for_each(|it| sim.kill(*it));
            load.send(sim, ms(1_000));
            started.iter().for_each(|it| sim.start(*it));
            load.send(sim, ms(2_000));
        }
        Fault::LoseMessages => {
            sim.drop_one_in = Some(10);
            load.send(sim, ms(3_000));
            sim.drop_one_in = None;
        }
    }
}

#[test]
fn cold_engine_gets_no_more_than_it_may_in_any_second() {
    struct Case {
        n_instances: usize,
        per_second: u64,
        disabled: &'static [Mechanism],
        fault: Fault,
        /// Least share of what the engines take that reaches them.
        least: f64,
    }
    const CASE: Case =
        Case { n_instances: 6, per_second: 90, disabled: &[], fault: Fault::Nothing, least: 0.9 };
    let cases = [
        Case { n_instances: 2, ..CASE },
        CASE,
        Case { disabled: &[Mechanism::Scheduling], ..CASE },
        Case { n_instances: 64, ..CASE },
        Case { n_instances: 300, per_second: 200, ..CASE },
        Case { fault: Fault::KillLimiters, least: 0.4, ..CASE },
        Case { fault: Fault::FreezeLimiters, least: 0.4, ..CASE },
        Case { fault: Fault::CutHalf, least: 0.4, ..CASE },
        Case { fault: Fault::StartInstances, least: 0.4, ..CASE },
        Case { fault: Fault::LoseMessages, least: 0.7, ..CASE },
        Case { n_instances: 64, fault: Fault::KillLimiters, least: 0.3, ..CASE },
        Case { n_instances: 64, fault: Fault::CutHalf, least: 0.3, ..CASE },
        Case { n_instances: 64, fault: Fault::StartInstances, least: 0.3, ..CASE },
    ];
    let time = ms(4_500);
    for Case { n_instances, per_second, disabled, fault, least } in cases {
        let name = format!("{n_instances} instances, {fault:?}, without {disabled:?}");
        let mut sim = simulation(n_instances, time, disabled);
        let ids = sim.ids(ENGINE);
        let mut load = Load::new(&["stream", "once"], per_second);
        load.send(&mut sim, ms(2_000));
        cool(&mut sim, &ids, time);
        let from = sim.now;
        load.send(&mut sim, ms(1_000));
        apply(&mut sim, &mut load, &ids, fault);
        let until = sim.now;
        let most: Vec<usize> = ids.iter().map(|it| most_in_second(&sim, it, from, until)).collect();
        assert!(most.iter().all(|it| *it <= BOUND), "{name}: {most:?}, {BOUND} are allowed");
        let taken = PER_SECOND * FACTOR * (until - from).as_secs_f64();
        for id in &ids {
            let share = n_between(&sim, id, from, until) as f64 / taken;
            assert!(least <= share, "{name}: {id} got {share:.2} of what it takes");
        }
    }
}

#[test]
fn warm_engines_serve_what_cold_ones_do_not_take() {
    for n_instances in [1, 6, 64] {
        let mut sim = simulation(n_instances, ms(3_000), &[]);
        let mut load = Load::new(&["stream", "once"], 80);
        load.send(&mut sim, ms(1_000));
        let ids = sim.ids(ENGINE);
        cool(&mut sim, &ids[..2], ms(3_000));
        let attempts = load.send(&mut sim, ms(3_000));
        sim.run_for(ms(4_000));
        let n_served =
            attempts.iter().filter(|it| sim.outcome(it).ending == Ending::Stream).count();
        assert_eq!(n_served, attempts.len(), "{n_instances} instances");
    }
}

#[test]
fn zone_that_was_evacuated_is_taken_for_cold_before_its_entries_say_so() {
    for n_instances in [1, 6, 64] {
        let mut sim = simulation(n_instances, ms(3_000), &[]);
        let mut load = Load::new(&["stream", "once"], 90);
        let tell = |sim: &mut Simulation, revision, zones: &[&str]| {
            let zones: Vec<String> = zones.iter().map(|it| (*it).to_owned()).collect();
            for instance in 0..n_instances {
                let zones = EvacuatedZones { revision, zones: zones.clone() };
                sim.deliver(instance, Event::Store(StoreUpdate::EvacuatedZones(zones)));
            }
        };
        // Both zones, so that everything that follows goes to cold engines.
        tell(&mut sim, 20, &["zone-0", "zone-1"]);
        load.send(&mut sim, ms(1_000));
        tell(&mut sim, 30, &[]);
        let from = sim.now;
        load.send(&mut sim, ms(800));
        let ids = sim.ids(ENGINE);
        cool(&mut sim, &ids, ms(2_200));
        load.send(&mut sim, ms(2_100));
        for id in &ids {
            let most = most_in_second(&sim, id, from, sim.now);
            assert!(most <= BOUND, "{n_instances} instances: {id} got {most}");
            assert!(0 < most, "{n_instances} instances: {id} got nothing");
        }
    }
}

#[test]
fn start_that_joins_is_taken_for_cold() {
    let mut sim = simulation(6, ms(3_000), &[]);
    let mut load = Load::new(&["stream", "once"], 120);
    load.send(&mut sim, ms(1_000));
    // Each engine starts again under its id; its entry does not say that it is cold.
    for id in sim.ids(ENGINE) {
        let endpoint = sim.endpoints.get_mut(&id).expect("the endpoint exists");
        endpoint.entry.started = 5_000_000;
        sim.register(&id);
    }
    let from = sim.now;
    load.send(&mut sim, ms(2_900));
    for id in sim.ids(ENGINE) {
        let most = most_in_second(&sim, &id, from, sim.now);
        assert!(most <= BOUND, "{id} got {most}");
    }
}

#[test]
fn endpoint_is_cold_by_what_was_said_last() {
    #[derive(Debug, Clone, Copy)]
    enum Step {
        /// Its entry says so, in milliseconds.
        Entry(u64),
        /// Its health check does.
        Health(u64),
        Wait(u64),
    }
    use Step::{Entry, Health, Wait};
    struct Case {
        steps: &'static [Step],
        is_cold: bool,
    }
    let cases = [
        Case { steps: &[Entry(2_000)], is_cold: true },
        Case { steps: &[Entry(2_000), Wait(2_100)], is_cold: false },
        Case { steps: &[Entry(2_000), Wait(1_000), Entry(0)], is_cold: false },
        // A copy of the entry that was read before says nothing new.
        Case { steps: &[Entry(2_000), Wait(1_500), Entry(2_000), Wait(700)], is_cold: false },
        Case { steps: &[Entry(2_000), Wait(1_500), Entry(1_900), Wait(700)], is_cold: true },
        Case { steps: &[Health(1_000)], is_cold: true },
        Case { steps: &[Health(1_000), Wait(1_100)], is_cold: false },
        Case { steps: &[Entry(3_000), Health(0)], is_cold: false },
        Case { steps: &[Entry(u64::MAX / 2), Wait(61_000)], is_cold: false },
    ];
    for Case { steps, is_cold } in cases {
        let mut sim = simulation(1, ms(3_000), &[]);
        let id = "engine-0".to_owned();
        for step in steps {
            match step {
                Entry(left) => cool(&mut sim, std::slice::from_ref(&id), ms(*left)),
                Health(left) => {
                    let (endpoint, left) = (id.clone(), ms(*left));
                    sim.deliver(0, Event::Cold { endpoint, started: 1, left });
                }
                Wait(time) => sim.run_for(ms(*time)),
            }
        }
        let gateway = sim.instances[0].as_ref().expect("it is running");
        let view = gateway.context().endpoints.get(&id).expect("it is listed");
        assert_eq!(view.is_cold(), is_cold, "{steps:?}");
    }
}
