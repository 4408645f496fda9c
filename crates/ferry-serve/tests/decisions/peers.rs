//! What instances know of each other when the network between them fails.

use crate::world::{Ending, World, head, ms};

#[test]
fn an_instance_that_is_cut_off_works_alone() {
    let mut world = World::new(4);
    world.cut = vec![2];
    world.run_for(ms(1_000));
    for number in 0..10 {
        let attempt = format!("probe-{number}");
        world.arrive(2, &attempt, head("once", &attempt));
        world.run_for(ms(100));
    }
    world.run_for(ms(4_000));
    for number in 0..10 {
        assert_eq!(world.outcome(&format!("probe-{number}")).ending, Ending::Stream);
    }
}

#[test]
fn a_cut_in_the_middle_of_stages_loses_nothing() {
    for instance in 0..4 {
        let mut world = World::new(4);
        for number in 0..12 {
            let attempt = format!("probe-{number}");
            world.arrive(number % 4, &attempt, head("once", &attempt));
        }
        world.run_for(ms(60));
        world.cut = vec![instance];
        world.run_for(ms(1_500));
        world.cut = Vec::new();
        world.run_for(ms(4_000));
        for number in 0..12 {
            let outcome = world.outcome(&format!("probe-{number}"));
            assert_eq!(outcome.ending, Ending::Stream, "cut {instance}, probe {number}");
        }
        assert_eq!(world.wrongs, Vec::<String>::new());
    }
}

#[test]
fn a_large_fleet_that_starts_at_once_soon_knows_itself() {
    // Heartbeats in turns would take 2.6 s to reach all.
    let n_instances = 104;
    let world = World::new(n_instances);
    for instance in world.instances.iter().flatten() {
        let context = instance.context();
        let n_known = context.peers.n_instances(world.now, &context.tuning);
        assert_eq!(n_known, n_instances, "{} a second after the start", context.identity.instance);
    }
}

#[test]
fn an_instance_that_starts_anew_soon_knows_a_large_fleet() {
    let n_instances = 104;
    let mut world = World::new(n_instances);
    world.kill(7);
    world.run_for(ms(2_000));
    world.start(7);
    world.run_for(ms(500));
    let context = world.instances[7].as_ref().expect("it lives").context();
    let n_known = context.peers.n_instances(world.now, &context.tuning);
    assert_eq!(n_known, n_instances);
}
