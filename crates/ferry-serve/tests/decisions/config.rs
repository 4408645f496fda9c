//! Which configuration is used, and how an instance gets it that the store does not answer.

use std::sync::Arc;

use ferry_serve::{Event, Gateway, Status, StoreUpdate};

use crate::simulation::{Ending, Simulation, config, front, head, ms};

#[test]
fn older_config_version_is_ignored() {
    let mut sim = Simulation::new(1);
    let mut newer = config(5);
    newer.routes.retain(|it| it.name != "get");
    sim.deliver(0, Event::Config(Arc::new(newer)));
    sim.deliver(0, Event::Config(Arc::new(config(4))));
    sim.arrive(0, "probe", head("get", "probe"));
    let is_gone = matches!(
        &sim.outcome("probe").ending,
        Ending::Refused(it) if it.status == Status::NoRoute
    );
    assert!(is_gone, "{:?}", sim.outcome("probe"));
}

#[test]
fn instance_without_config_refuses_as_not_run() {
    let mut sim = Simulation::new(1);
    sim.start_without_store(0);
    sim.arrive(0, "probe", head("get", "probe"));
    let Ending::Refused(refusal) = &sim.outcome("probe").ending else {
        panic!("{:?}", sim.outcome("probe"))
    };
    assert_eq!(refusal.status, Status::NotRun);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn instance_is_ready_once_it_knows_the_endpoints() {
    let mut sim = Simulation::new(1);
    sim.start_without_store(0);
    sim.deliver(0, Event::Config(Arc::new(config(1))));
    let is_ready = |sim: &Simulation| sim.instances[0].as_ref().map(Gateway::is_ready);
    assert_eq!(is_ready(&sim), Some(false));
    let list = StoreUpdate::List { revision: 5, endpoints: Vec::new() };
    sim.deliver(0, Event::Store(list));
    assert_eq!(is_ready(&sim), Some(true));
}

#[test]
fn instance_reads_config_from_peers_without_store() {
    let mut sim = Simulation::new(3);
    sim.deliver(0, Event::Store(StoreUpdate::Unreachable));
    let newer = Arc::new(config(7));
    for instance in [1, 2] {
        sim.deliver(instance, Event::Config(newer.clone()));
    }
    sim.run_for(ms(1_000));
    assert_eq!(sim.instances[0].as_ref().map(|it| it.version()), Some(7));
}

#[test]
fn instance_starts_from_peers_while_store_is_down() {
    let mut sim = Simulation::new(3);
    sim.kill(0);
    sim.run_for(ms(1_000));
    sim.start_without_store(0);
    sim.deliver(0, Event::Store(StoreUpdate::Unreachable));
    sim.run_for(ms(1_000));
    sim.arrive(0, "probe", head("get", "probe"));
    sim.run_for(ms(500));
    assert_eq!(sim.outcome("probe").ending, Ending::Answer);
}

#[test]
fn directory_lists_serving_instances() {
    struct Case {
        name: &'static str,
        dead: &'static [usize],
        overloaded: &'static [usize],
        zone: &'static str,
        expected: &'static [usize],
    }
    let cases = [
        Case {
            name: "instances of the caller's zone",
            dead: &[],
            overloaded: &[],
            zone: "zone-0",
            expected: &[0, 2],
        },
        Case {
            name: "an instance of another zone if the caller's has only one",
            dead: &[0],
            overloaded: &[],
            zone: "zone-0",
            expected: &[1, 2],
        },
        Case {
            name: "no overloaded instance while others serve",
            dead: &[],
            overloaded: &[2],
            zone: "zone-0",
            expected: &[0, 1],
        },
        Case {
            name: "the only live instance returns itself",
            dead: &[0, 2],
            overloaded: &[1],
            zone: "zone-0",
            expected: &[1],
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(3);
        for instance in case.dead {
            sim.kill(*instance);
        }
        for instance in case.overloaded {
            sim.timer_lag[*instance] = ms(200);
        }
        sim.run_for(ms(2_500));
        let instance = sim.instances[1].as_ref().expect("the instance is running");
        let mut addresses = instance.directory(sim.now, Some(case.zone));
        addresses.sort();
        let expected: Vec<_> = case.expected.iter().map(|it| front(*it)).collect();
        assert_eq!(addresses, expected, "{}", case.name);
    }
}
