//! What one instance knows of leaving endpoints, and others send on its behalf.

use ferry_model::EndpointState;
use ferry_serve::{EndpointNotice, Event, PauseReport, PeerMessage, Restriction, StoreUpdate};

use super::announce;
use crate::rate_limits::load::Load;
use crate::simulation::{Cut, CutForm, Simulation, ms, peer};
use crate::ways::Way;

/// How what an instance knows gets to others.
#[derive(Debug, Clone, Copy)]
enum Spread {
    /// Peers are told, and what they send on behalf of an instance goes with what it knows.
    Whole,
    /// Messages that only tell what endpoints have said are lost.
    WithRequests,
}

#[test]
fn announcement_to_one_instance_binds_what_others_send_for_it() {
    for way in Way::all() {
        for instance in [0, 3] {
            for spread in [Spread::Whole, Spread::WithRequests] {
                let mut sim = way.simulation(4);
                sim.loses_notices = matches!(spread, Spread::WithRequests);
                let mut load = Load::new(way.routes, 60);
                load.send(&mut sim, ms(3_000));
                sim.run_for(ms(5_000));
                announce(&mut sim, instance, way.endpoint, 1);
                let n_calls = |sim: &Simulation| {
                    sim.endpoints.get(way.endpoint).expect("the endpoint exists").n_calls
                };
                let before = n_calls(&sim);
                assert!(0 < before, "{}: was never asked", way.name);
                load.with_instance(instance).send(&mut sim, ms(3_000));
                sim.run_for(ms(5_000));
                let n_late = n_calls(&sim) - before;
                assert_eq!(n_late, 0, "{}, announced to {instance}, {spread:?}", way.name);
            }
        }
    }
}

#[test]
fn announcement_binds_the_peer_to_which_requests_are_passed_on() {
    struct Case {
        endpoint: &'static str,
        n_plain: usize,
        routes: &'static [&'static str],
        others: &'static [&'static str],
    }
    let (routes, others): (&[&str], &[&str]) = (&["get"], &["post"]);
    let cases = [
        Case { endpoint: "plain-0", n_plain: 4, routes, others },
        // The other one is the only one whose failures show the cut.
        Case { endpoint: "plain-0", n_plain: 2, routes, others },
        Case { endpoint: "engine-0", n_plain: 2, routes: &["stream"], others: &["once"] },
    ];
    for Case { endpoint, n_plain, routes, others } in cases {
        for spread in [Spread::Whole, Spread::WithRequests] {
            let mut sim = Simulation::new(4);
            sim.fill_pool("plain", n_plain);
            sim.loses_notices = matches!(spread, Spread::WithRequests);
            let mut load = Load::new(routes, 60).with_instance(0);
            let mut others = Load::new(others, 60).with_instance(1);
            load.send(&mut sim, ms(3_000));
            sim.run_for(ms(5_000));
            announce(&mut sim, 0, endpoint, 1);
            sim.cut(Cut { instance: 0, form: CutForm::Reset, endpoints: "" });
            let mut attempts = Vec::new();
            for _ in 0..50 {
                others.send(&mut sim, ms(50));
                attempts.extend(load.send(&mut sim, ms(50)));
            }
            sim.run_for(ms(5_000));
            assert!(50 < sim.n_passed_on, "{endpoint}: {} passed on", sim.n_passed_on);
            let is_late = |it: &&String| {
                sim.runs.get(it.as_str()).is_some_and(|it| it.iter().any(|it| it == endpoint))
            };
            let late: Vec<&String> = attempts.iter().filter(is_late).collect();
            assert_eq!(late, Vec::<&String>::new(), "{endpoint}, {spread:?}");
        }
    }
}

#[test]
fn announcement_reaches_all_instances() {
    for n_instances in [2, 6, 76] {
        let mut sim = Simulation::new(n_instances);
        sim.run_for(ms(3_000));
        announce(&mut sim, n_instances - 1, "first-0", 1);
        sim.run_for(ms(100));
        let accepts_work = |it: &Option<ferry_serve::Gateway>| {
            let gateway = it.as_ref().expect("the instance is running");
            gateway.context().endpoints.get("first-0").expect("it is known").accepts_work()
        };
        let n_unaware = sim.instances.iter().filter(|it| accepts_work(it)).count();
        assert_eq!(n_unaware, 0, "of {n_instances} instances");
        // One that starts learns from its peers.
        sim.kill(0);
        sim.run_for(ms(500));
        sim.start(0);
        sim.run_for(ms(2_000));
        assert!(!accepts_work(&sim.instances[0]), "of {n_instances} instances");
    }
}

/// What the store says of an endpoint that leaves.
#[derive(Debug, Clone, Copy)]
enum Withdrawal {
    Leaving,
    Removed,
}

#[test]
fn entry_that_one_instance_has_read_binds_what_others_send_for_it() {
    let items = |it: &Way| it.endpoint.starts_with("first") || it.endpoint.starts_with("second");
    for way in Way::all().iter().filter(|it| items(it)) {
        for instance in [0, 3] {
            for withdrawal in [Withdrawal::Leaving, Withdrawal::Removed] {
                let mut sim = way.simulation(4);
                let mut load = Load::new(way.routes, 60);
                load.send(&mut sim, ms(3_000));
                sim.run_for(ms(5_000));
                // The other watches of the store are silent, and reads from peers fail.
                sim.loses_reads = true;
                let entry = &sim.endpoints.get(way.endpoint).expect("the endpoint exists").entry;
                let (revision, id) = (20, way.endpoint.to_owned());
                let endpoint =
                    ferry_model::GatewayEndpoint { state: EndpointState::Leaving, ..entry.clone() };
                let update = match withdrawal {
                    Withdrawal::Leaving => StoreUpdate::Changed { revision, endpoint },
                    Withdrawal::Removed => StoreUpdate::Removed { revision, id },
                };
                sim.deliver(instance, Event::Store(update));
                let n_calls = |sim: &Simulation| {
                    sim.endpoints.get(way.endpoint).expect("the endpoint exists").n_calls
                };
                let before = n_calls(&sim);
                load.with_instance(instance).send(&mut sim, ms(4_000));
                sim.run_for(ms(5_000));
                let n_late = n_calls(&sim) - before;
                assert_eq!(n_late, 0, "{}, read by {instance}: {withdrawal:?}", way.name);
            }
        }
    }
}

/// Returns the longest pause of an endpoint of which an instance tells others.
fn told_pause(sim: &Simulation, instance: usize) -> Option<std::time::Duration> {
    let gateway = sim.instances[instance].as_ref().expect("it is running");
    let notices = gateway.context().endpoints.notices(sim.now, "first", 0);
    let left = |it: &EndpointNotice| match it.restriction {
        Restriction::Paused { left, .. } => Some(left),
        Restriction::Announced { .. }
        | Restriction::Withdrawn { .. }
        | Restriction::Cold { .. } => None,
    };
    notices.iter().filter_map(left).max()
}

#[test]
fn pause_that_a_peer_has_told_of_goes_no_further() {
    let mut sim = Simulation::new(2);
    let (endpoint, report) = ("first-0".to_owned(), PauseReport::Asked(ms(2_000)));
    sim.deliver(0, Event::Pause { endpoint: endpoint.clone(), started: 1, report });
    assert_eq!(told_pause(&sim, 0), Some(ms(2_000)));
    let restriction = Restriction::Paused { started: 1, left: ms(5_000) };
    let notices = vec![EndpointNotice { endpoint, restriction }];
    for (instance, from) in [(0, 1), (1, 0)] {
        let message = PeerMessage::Notices { notices: notices.clone() };
        sim.deliver(instance, Event::Peer { from: peer(from), message });
    }
    // Each hop takes time, by which two instances would put off the end for each other for good.
    assert_eq!(told_pause(&sim, 0), Some(ms(2_000)));
    assert_eq!(told_pause(&sim, 1), None);
    for instance in [0, 1] {
        let gateway = sim.instances[instance].as_ref().expect("it is running");
        let view = gateway.context().endpoints.get("first-0").expect("it is known");
        assert!(view.wants_pause(sim.now + ms(4_999)), "instance {instance}");
        assert!(!view.wants_pause(sim.now + ms(5_000)), "instance {instance}");
    }
}
