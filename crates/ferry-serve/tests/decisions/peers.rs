//! What instances know of each other when the network between them fails.

use crate::simulation::{Ending, Simulation, head, ms};

#[test]
fn isolated_instance_keeps_serving() {
    let mut sim = Simulation::new(4);
    sim.isolated = vec![2];
    sim.run_for(ms(1_000));
    for number in 0..10 {
        let attempt = format!("probe-{number}");
        sim.arrive(2, &attempt, head("once", &attempt));
        sim.run_for(ms(100));
    }
    sim.run_for(ms(4_000));
    for number in 0..10 {
        assert_eq!(sim.outcome(&format!("probe-{number}")).ending, Ending::Stream);
    }
}

#[test]
fn partition_during_stages_loses_no_request() {
    for instance in 0..4 {
        let mut sim = Simulation::new(4);
        for number in 0..12 {
            let attempt = format!("probe-{number}");
            sim.arrive(number % 4, &attempt, head("once", &attempt));
        }
        sim.run_for(ms(60));
        sim.isolated = vec![instance];
        sim.run_for(ms(1_500));
        sim.isolated = Vec::new();
        sim.run_for(ms(4_000));
        for number in 0..12 {
            let outcome = sim.outcome(&format!("probe-{number}"));
            assert_eq!(outcome.ending, Ending::Stream, "cut {instance}, probe {number}");
        }
        assert_eq!(sim.violations, Vec::<String>::new());
    }
}

#[test]
fn large_fleet_discovers_all_peers_at_startup() {
    // The rotation of heartbeats alone would take 2.6 s to reach all.
    let n_instances = 104;
    let sim = Simulation::new(n_instances);
    for instance in sim.instances.iter().flatten() {
        let context = instance.context();
        let n_known = context.peers.n_instances(sim.now, &context.tuning);
        assert_eq!(n_known, n_instances, "{} a second after the start", context.identity.instance);
    }
}

#[test]
fn restarted_instance_discovers_large_fleet() {
    let n_instances = 104;
    let mut sim = Simulation::new(n_instances);
    sim.kill(7);
    sim.run_for(ms(2_000));
    sim.start(7);
    sim.run_for(ms(500));
    let context = sim.instances[7].as_ref().expect("the instance is running").context();
    let n_known = context.peers.n_instances(sim.now, &context.tuning);
    assert_eq!(n_known, n_instances);
}
