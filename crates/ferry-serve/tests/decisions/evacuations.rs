//! Zones whose endpoints an operator evacuates.

use std::time::Duration;

use ferry_model::store_position;
use ferry_serve::{EvacuatedZones, Event, Status, StoreUpdate, Tuning};

use crate::rate_limits::load::Load;
use crate::simulation::{Ending, Simulation, head, ms};
use crate::ways::{Way, n_received};

/// Time in which an instance learns of an evacuation that only a peer has read.
const LEARNING_TIME: Duration = ms(2_500);

fn tuning() -> Tuning {
    Tuning { has_evacuations: true, ..Tuning::default() }
}

fn evacuate(sim: &mut Simulation, instance: usize, revision: u64, zone: &str) {
    let zone = zone.to_owned();
    sim.deliver(instance, Event::Store(StoreUpdate::Evacuated { revision, zone }));
}

fn readmit(sim: &mut Simulation, instance: usize, revision: u64, zone: &str) {
    let zone = zone.to_owned();
    sim.deliver(instance, Event::Store(StoreUpdate::Readmitted { revision, zone }));
}

/// Counts everything that has reached the endpoints of a zone.
fn n_in_zone(sim: &Simulation, zone: &str) -> usize {
    let inside = sim.endpoints.values().filter(|it| it.entry.zone == zone);
    inside.map(|it| n_received(sim, &it.entry.id)).sum()
}

fn evacuated(sim: &Simulation, instance: usize) -> Vec<String> {
    let gateway = sim.instances[instance].as_ref().expect("it is running");
    gateway.context().endpoints.evacuated().map(|it| it.0.clone()).collect()
}

#[test]
fn nothing_reaches_an_evacuated_zone_on_any_way() {
    for way in Way::all() {
        for n_instances in [1, 6] {
            for delay in [0, 37, 110, 400] {
                let mut sim = way.simulation_with(n_instances, tuning());
                let zone = sim.endpoints.get(way.endpoint).expect("it exists").entry.zone.clone();
                let mut load = Load::new(way.routes, 60);
                load.send(&mut sim, ms(3_000 + delay));
                assert!(0 < n_received(&sim, way.endpoint), "{}: was never asked", way.name);
                for instance in 0..n_instances {
                    evacuate(&mut sim, instance, 20, &zone);
                }
                let before = n_in_zone(&sim, &zone);
                load.send(&mut sim, ms(3_000));
                // A scheduler that takes over reads the caches of engines.
                if 1 < n_instances {
                    sim.kill(0);
                }
                load.send(&mut sim, ms(3_000));
                sim.run_for(ms(5_000));
                let n_late = n_in_zone(&sim, &zone) - before;
                assert_eq!(n_late, 0, "{}, {n_instances} instances, {delay} ms", way.name);
                assert_eq!(sim.violations, Vec::<String>::new(), "{}", way.name);
                for instance in 1..n_instances {
                    readmit(&mut sim, instance, 30, &zone);
                }
                load.send(&mut sim, ms(2_000));
                let is_used = 1 < n_instances && before < n_in_zone(&sim, &zone);
                assert!(n_instances == 1 || is_used, "{}: not used again", way.name);
            }
        }
    }
}

/// What an instance learns of the zones, from the store unless said otherwise. Each has an era and
/// a revision.
#[derive(Debug, Clone, Copy)]
enum Step {
    List(u64, u64, &'static [&'static str]),
    Evacuated(u64, u64, &'static str),
    Readmitted(u64, u64, &'static str),
    /// The other instance reads a list.
    PeerList(u64, u64, &'static [&'static str]),
    /// What the other instance knows.
    Peer,
    Wait(u64),
}

fn apply(sim: &mut Simulation, step: Step) {
    let list = |era, revision, zones: &[&str]| {
        let zones = zones.iter().map(|it| (*it).to_owned()).collect();
        let revision = store_position(era, revision);
        Event::Store(StoreUpdate::EvacuatedZones(EvacuatedZones { revision, zones }))
    };
    match step {
        Step::List(era, revision, zones) => sim.deliver(0, list(era, revision, zones)),
        Step::PeerList(era, revision, zones) => sim.deliver(1, list(era, revision, zones)),
        Step::Evacuated(era, revision, zone) => {
            evacuate(sim, 0, store_position(era, revision), zone);
        }
        Step::Readmitted(era, revision, zone) => {
            readmit(sim, 0, store_position(era, revision), zone);
        }
        Step::Peer => {
            let peer = sim.instances[1].as_ref().expect("it is running");
            let delta = peer.context().endpoints.delta(0);
            sim.deliver(0, Event::Store(StoreUpdate::Peer(delta)));
        }
        Step::Wait(time) => sim.run_for(ms(time)),
    }
}

#[test]
fn evacuated_zones_are_those_that_the_store_named_last() {
    use Step::{Evacuated, List, Peer, PeerList, Readmitted, Wait};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        evacuated: &'static [&'static str],
    }
    let cases = [
        Case { name: "one", steps: &[Evacuated(0, 20, "zone-0")], evacuated: &["zone-0"] },
        Case {
            name: "ended",
            steps: &[Evacuated(0, 20, "zone-0"), Readmitted(0, 21, "zone-0")],
            evacuated: &[],
        },
        Case {
            name: "ended and begun again in one answer",
            steps: &[
                Evacuated(0, 20, "zone-0"),
                Readmitted(0, 22, "zone-0"),
                Evacuated(0, 22, "zone-0"),
            ],
            evacuated: &["zone-0"],
        },
        Case {
            name: "two at once, one of them without endpoints",
            steps: &[Evacuated(0, 20, "zone-1"), Evacuated(0, 21, "nowhere")],
            evacuated: &["nowhere", "zone-1"],
        },
        Case {
            name: "a late answer",
            steps: &[List(0, 30, &["zone-0"]), Readmitted(0, 25, "zone-0"), List(0, 24, &[])],
            evacuated: &["zone-0"],
        },
        Case {
            name: "a list that lacks it",
            steps: &[Evacuated(0, 20, "zone-0"), List(0, 30, &["zone-1"])],
            evacuated: &["zone-1"],
        },
        Case {
            name: "a peer",
            steps: &[PeerList(0, 20, &["zone-0"]), Peer],
            evacuated: &["zone-0"],
        },
        Case {
            name: "a peer that is behind",
            steps: &[PeerList(0, 20, &["zone-0"]), List(0, 21, &[]), Peer],
            evacuated: &[],
        },
        Case {
            name: "a copy of the store that lacks it, which is written again",
            steps: &[
                List(1, 500, &["zone-0"]),
                List(2, 40, &[]),
                Wait(1_000),
                Evacuated(2, 45, "zone-0"),
                Wait(3_000),
            ],
            evacuated: &["zone-0"],
        },
        Case {
            name: "a copy of the store that lacks it, at once",
            steps: &[List(1, 500, &["zone-0"]), List(2, 40, &[]), Wait(1_000)],
            evacuated: &["zone-0"],
        },
        Case {
            name: "a copy of the store that lacks it for good",
            steps: &[List(1, 500, &["zone-0"]), List(2, 40, &[]), Wait(3_000)],
            evacuated: &[],
        },
        Case {
            name: "a copy of the store from before the end",
            steps: &[
                Evacuated(1, 500, "zone-0"),
                Readmitted(1, 501, "zone-0"),
                List(2, 499, &["zone-0"]),
                Readmitted(2, 500, "zone-0"),
            ],
            evacuated: &[],
        },
        Case {
            name: "late answers of the former era",
            steps: &[List(2, 40, &["zone-0"]), Readmitted(1, 900, "zone-0"), List(1, 901, &[])],
            evacuated: &["zone-0"],
        },
    ];
    for Case { name, steps, evacuated: expected } in cases {
        let mut sim = Simulation::with_tuning(2, tuning());
        sim.isolated = vec![0, 1];
        steps.iter().for_each(|it| apply(&mut sim, *it));
        assert_eq!(evacuated(&sim, 0), expected, "{name}");
        let gateway = sim.instances[0].as_ref().expect("it is running");
        let endpoints = &gateway.context().endpoints;
        for endpoint in sim.endpoints.values() {
            let view = endpoints.get(&endpoint.entry.id).expect("it is listed");
            let is_out = expected.contains(&endpoint.entry.zone.as_str());
            assert_eq!(view.accepts_work(), !is_out, "{name}: {}", endpoint.entry.id);
        }
    }
}

#[test]
fn evacuation_that_one_instance_has_read_binds_all() {
    struct Case {
        name: &'static str,
        n_instances: usize,
        prepare: fn(&mut Simulation),
    }
    let cases = [
        Case { name: "watches that are silent", n_instances: 6, prepare: |_| () },
        Case { name: "76 instances", n_instances: 76, prepare: |_| () },
        Case {
            name: "a store that answers one instance only",
            n_instances: 6,
            prepare: |sim| {
                (1..6).for_each(|it| sim.deliver(it, Event::Store(StoreUpdate::Unreachable)));
            },
        },
        Case {
            name: "an instance that starts without the store",
            n_instances: 6,
            prepare: |sim| {
                sim.kill(3);
                sim.start_without_store(3);
            },
        },
    ];
    for Case { name, n_instances, prepare } in cases {
        let mut sim = Simulation::with_tuning(n_instances, tuning());
        // A third of the endpoints can serve it.
        let mut load = Load::new(&["get", "post", "stream", "once"], 24);
        load.send(&mut sim, ms(2_000));
        prepare(&mut sim);
        evacuate(&mut sim, 0, 20, "zone-0");
        load.send(&mut sim, LEARNING_TIME);
        let before = n_in_zone(&sim, "zone-0");
        let attempts = load.send(&mut sim, ms(4_000));
        sim.run_for(ms(5_000));
        assert_eq!(n_in_zone(&sim, "zone-0"), before, "{name}");
        let is_served =
            |it: &&String| matches!(sim.outcome(it).ending, Ending::Answer | Ending::Stream);
        let n_served = attempts.iter().filter(is_served).count();
        assert!(9 * attempts.len() <= 10 * n_served, "{name}: {n_served} of {}", attempts.len());
    }
}

#[test]
fn instance_that_knows_no_evacuations_yet_sends_nothing() {
    let mut sim = Simulation::with_tuning(1, tuning());
    sim.kill(0);
    sim.start_without_store(0);
    let endpoints = sim.endpoints.values().map(|it| it.entry.clone()).collect();
    sim.deliver(0, Event::Config(sim.config.clone()));
    sim.deliver(0, Event::Store(StoreUpdate::List { revision: 10, endpoints }));
    assert!(!sim.instances[0].as_ref().expect("it is running").is_ready());
    sim.arrive(0, "early", head("get", "early"));
    let Ending::Refused(refusal) = &sim.outcome("early").ending else { panic!("it was accepted") };
    assert_eq!(refusal.status, Status::NotRun);
    let zones = EvacuatedZones { revision: 11, zones: vec!["zone-0".to_owned()] };
    sim.deliver(0, Event::Store(StoreUpdate::EvacuatedZones(zones)));
    assert!(sim.instances[0].as_ref().expect("it is running").is_ready());
    sim.arrive(0, "later", head("get", "later"));
    sim.run_for(ms(1_000));
    assert_eq!(sim.outcome("later").ending, Ending::Answer);
    assert_eq!(sim.runs.get("later"), Some(&vec!["plain-1".to_owned()]));
}

#[test]
fn requests_are_refused_at_once_if_all_zones_of_a_pool_are_evacuated() {
    for route in ["get", "stream"] {
        let mut sim = Simulation::with_tuning(1, tuning());
        evacuate(&mut sim, 0, 20, "zone-0");
        evacuate(&mut sim, 0, 21, "zone-1");
        sim.arrive(0, "early", head(route, "early"));
        let outcome = sim.outcome("early");
        assert_eq!(outcome.took, Duration::ZERO, "{route}");
        let Ending::Refused(refusal) = &outcome.ending else { panic!("{route}: {outcome:?}") };
        assert_eq!(refusal.status, Status::NotRun);
        assert!(refusal.retry_after.is_some());
        readmit(&mut sim, 0, 22, "zone-1");
        sim.arrive(0, "later", head(route, "later"));
        sim.run_for(ms(4_000));
        assert!(matches!(sim.outcome("later").ending, Ending::Answer | Ending::Stream), "{route}");
    }
}

#[test]
fn request_at_an_endpoint_of_an_evacuated_zone_goes_on_to_its_end() {
    for (route, ending) in [("get", Ending::Answer), ("stream", Ending::Stream)] {
        let mut sim = Simulation::with_tuning(1, tuning());
        let attempts: Vec<String> = (0..10).map(|it| format!("{route}-{it}")).collect();
        for attempt in &attempts {
            sim.arrive(0, attempt, head(route, attempt));
        }
        assert!(sim.run_until(|it| it.runs.len() == attempts.len()), "{route}: all of them run");
        evacuate(&mut sim, 0, 20, "zone-0");
        evacuate(&mut sim, 0, 21, "zone-1");
        sim.run_for(ms(3_000));
        for attempt in &attempts {
            assert_eq!(sim.outcome(attempt).ending, ending, "{route}");
        }
    }
}

#[test]
fn items_that_wait_for_an_evacuated_zone_move_to_another_at_once() {
    for n_instances in [1, 6] {
        for delay in [0, 37, 110] {
            let mut sim = Simulation::with_tuning(n_instances, tuning());
            // Enough endpoints for the pools to be divided by zone.
            for number in 3..16 {
                sim.add_endpoint("first", number);
                sim.add_endpoint("second", number);
            }
            sim.instances.iter_mut().for_each(|it| *it = None);
            (0..n_instances).for_each(|it| sim.start(it));
            sim.run_for(ms(1_000));
            let mut load = Load::new(&["stream"], 150);
            let mut attempts = load.send(&mut sim, ms(2_000 + delay));
            (0..n_instances).for_each(|it| evacuate(&mut sim, it, 20, "zone-1"));
            attempts.extend(load.send(&mut sim, ms(2_000)));
            sim.run_for(ms(5_000));
            let is_prompt = |it: &&String| {
                sim.outcome(it).ending == Ending::Stream
                    && sim.first_events.get(*it).is_some_and(|it| *it <= ms(1_500))
            };
            let n_prompt = attempts.iter().filter(is_prompt).count();
            let name = format!("{n_instances} instances, {delay} ms");
            assert!(
                95 * attempts.len() <= 100 * n_prompt,
                "{name}: {n_prompt} of {}",
                attempts.len()
            );
        }
    }
}
