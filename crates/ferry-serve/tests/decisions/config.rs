//! Which configuration is in force, and how an instance gets it that the store turns away.

use std::sync::Arc;

use ferry_serve::{Event, Status, StoreUpdate};

use crate::world::{Ending, World, config, front, head, ms};

#[test]
fn an_older_version_never_comes_back() {
    let mut world = World::new(1);
    let mut newer = config(5);
    newer.routes.retain(|it| it.name != "get");
    world.give(0, Event::Config(Arc::new(newer)));
    world.give(0, Event::Config(Arc::new(config(4))));
    world.arrive(0, "probe", head("get", "probe"));
    let is_gone = matches!(
        &world.outcome("probe").ending,
        Ending::Refused(it) if it.status == Status::NoRoute
    );
    assert!(is_gone, "{:?}", world.outcome("probe"));
}

#[test]
fn an_instance_without_configuration_promises_that_nothing_ran() {
    let mut world = World::new(1);
    world.start_blind(0);
    world.arrive(0, "probe", head("get", "probe"));
    let Ending::Refused(refusal) = &world.outcome("probe").ending else {
        panic!("{:?}", world.outcome("probe"))
    };
    assert_eq!(refusal.status, Status::NotRun);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn an_instance_learns_from_peers_what_the_store_does_not_tell_it() {
    let mut world = World::new(3);
    world.give(0, Event::Store(StoreUpdate::Unreachable));
    let newer = Arc::new(config(7));
    for instance in [1, 2] {
        world.give(instance, Event::Config(newer.clone()));
    }
    world.run_for(ms(1_000));
    assert_eq!(world.instances[0].as_ref().map(|it| it.version()), Some(7));
}

#[test]
fn an_instance_that_starts_while_the_store_is_away_serves_by_its_peers() {
    let mut world = World::new(3);
    world.kill(0);
    world.run_for(ms(1_000));
    world.start_blind(0);
    world.give(0, Event::Store(StoreUpdate::Unreachable));
    world.run_for(ms(1_000));
    world.arrive(0, "probe", head("get", "probe"));
    world.run_for(ms(500));
    assert_eq!(world.outcome("probe").ending, Ending::Answer);
}

#[test]
fn callers_are_sent_to_instances_that_serve() {
    struct Case {
        name: &'static str,
        dead: &'static [usize],
        strained: &'static [usize],
        zone: &'static str,
        expected: &'static [usize],
    }
    let cases = [
        Case {
            name: "those of the caller's zone",
            dead: &[],
            strained: &[],
            zone: "zone-0",
            expected: &[0, 2],
        },
        Case {
            name: "another one where only one is near",
            dead: &[0],
            strained: &[],
            zone: "zone-0",
            expected: &[1, 2],
        },
        Case {
            name: "not a strained one while others serve",
            dead: &[],
            strained: &[2],
            zone: "zone-0",
            expected: &[0, 1],
        },
        Case {
            name: "the last one names itself",
            dead: &[0, 2],
            strained: &[1],
            zone: "zone-0",
            expected: &[1],
        },
    ];
    for case in cases {
        let mut world = World::new(3);
        for instance in case.dead {
            world.kill(*instance);
        }
        for instance in case.strained {
            world.lag[*instance] = ms(200);
        }
        world.run_for(ms(2_500));
        let asked = world.instances[1].as_ref().expect("it lives");
        let mut addresses = asked.directory(world.now, Some(case.zone));
        addresses.sort();
        let expected: Vec<_> = case.expected.iter().map(|it| front(*it)).collect();
        assert_eq!(addresses, expected, "{}", case.name);
    }
}
