//! Which endpoints get work as entries are added, changed, expired and removed.

use ferry_model::EndpointState;
use ferry_serve::{DecisionKind, Event, StoreUpdate};

use crate::simulation::{Behaviour, Ending, PLAIN, Simulation, head, ms};

fn n_calls(sim: &Simulation, id: &str) -> usize {
    sim.endpoints.get(id).expect("the endpoint exists").n_calls
}

fn send_requests(sim: &mut Simulation, n: usize, name: &str) {
    for number in 0..n {
        let attempt = format!("{name}-{number}");
        sim.arrive(0, &attempt, head("get", &attempt));
        sim.run_for(ms(20));
    }
    sim.run_for(ms(60));
}

#[test]
fn leaving_endpoint_gets_no_new_calls() {
    let leave = |sim: &mut Simulation| {
        let mut endpoint = sim.endpoints.get("plain-0").expect("the endpoint exists").entry.clone();
        endpoint.state = EndpointState::Leaving;
        sim.deliver(0, Event::Store(StoreUpdate::Changed { revision: 11, endpoint }));
    };
    let remove = |sim: &mut Simulation| {
        let id = "plain-0".to_owned();
        sim.deliver(0, Event::Store(StoreUpdate::Removed { revision: 11, id }));
    };
    for go in [&leave as &dyn Fn(&mut Simulation), &remove] {
        let mut sim = Simulation::new(1);
        send_requests(&mut sim, 20, "before");
        assert!(0 < n_calls(&sim, "plain-0"));
        go(&mut sim);
        let before = n_calls(&sim, "plain-0");
        send_requests(&mut sim, 20, "after");
        assert_eq!(n_calls(&sim, "plain-0"), before);
    }
}

#[test]
fn expired_entries_stay_until_rejoin_window_ends() {
    struct Case {
        name: &'static str,
        /// Milliseconds after the store became reachable.
        at: u64,
        is_used: bool,
    }
    let cases = [
        Case { name: "within the rejoin window", at: 1_000, is_used: true },
        Case { name: "not registered again after the rejoin window", at: 2_000, is_used: false },
    ];
    for case in cases {
        let mut sim = Simulation::new(1);
        sim.set_behaviour("plain-1", Behaviour::Full);
        sim.deliver(0, Event::Store(StoreUpdate::Unreachable));
        sim.run_for(ms(3_000));
        sim.deliver(0, Event::Store(StoreUpdate::Reachable));
        let endpoints = Vec::new();
        sim.deliver(0, Event::Store(StoreUpdate::List { revision: 12, endpoints }));
        sim.run_for(ms(case.at));
        let before = n_calls(&sim, "plain-0");
        send_requests(&mut sim, 3, "probe");
        assert_eq!(before < n_calls(&sim, "plain-0"), case.is_used, "{}", case.name);
    }
}

#[test]
fn entry_that_cannot_be_read_names_no_endpoint_at_once() {
    for is_store_back in [false, true] {
        let mut sim = Simulation::new(1);
        sim.run_for(ms(100));
        sim.deliver(0, Event::Store(StoreUpdate::Unreachable));
        if is_store_back {
            sim.deliver(0, Event::Store(StoreUpdate::Reachable));
        }
        let id = "plain-0".to_owned();
        sim.deliver(0, Event::Store(StoreUpdate::Unreadable { revision: 20, id }));
        let before = n_calls(&sim, "plain-0");
        send_requests(&mut sim, 20, "probe");
        assert_eq!(n_calls(&sim, "plain-0"), before, "the store is back: {is_store_back}");
        // Peers learn that it is gone, and those of an older state do not bring it back.
        let gateway = sim.instances[0].as_ref().expect("the instance is running");
        let delta = gateway.context().endpoints.delta(19);
        assert_eq!(delta.removed, ["plain-0"]);
        let endpoint = sim.endpoints.get("plain-0").expect("it exists").entry.clone();
        sim.deliver(0, Event::Store(StoreUpdate::Changed { revision: 19, endpoint }));
        send_requests(&mut sim, 20, "later");
        assert_eq!(n_calls(&sim, "plain-0"), before, "the store is back: {is_store_back}");
    }
}

#[test]
fn store_that_comes_back_with_unreadable_entries_is_logged_once() {
    let mut sim = Simulation::new(1);
    sim.run_for(ms(100));
    sim.decisions.clear();
    sim.deliver(0, Event::Store(StoreUpdate::Unreachable));
    for number in 0..500 {
        let id = format!("malformed-{number}");
        sim.deliver(0, Event::Store(StoreUpdate::Unreadable { revision: 10, id }));
    }
    let endpoints = sim.endpoints.values().map(|it| it.entry.clone()).collect();
    sim.deliver(0, Event::Store(StoreUpdate::List { revision: 10, endpoints }));
    sim.deliver(0, Event::Store(StoreUpdate::Reachable));
    let lines = sim.decisions.iter().filter(|it| it.kind == DecisionKind::Endpoint);
    let lines: Vec<&str> = lines.map(|it| it.reason.as_str()).collect();
    assert_eq!(lines, ["store does not answer", "store answers again"]);
}

#[test]
fn store_that_comes_and_goes_keeps_no_removed_endpoint_in_use() {
    struct Case {
        name: &'static str,
        /// Milliseconds between two returns of the store.
        gap: u64,
        /// Whether the removal is an event, and not only missing in a list.
        is_event: bool,
        /// Whether all other endpoints of the pool are missing too.
        is_alone: bool,
    }
    let cases = [
        Case { name: "list, fast", gap: 300, is_event: false, is_alone: false },
        Case { name: "list", gap: 1_000, is_event: false, is_alone: false },
        Case { name: "list, slow", gap: 1_700, is_event: false, is_alone: false },
        Case { name: "event", gap: 1_000, is_event: true, is_alone: false },
        Case { name: "whole pool", gap: 1_000, is_event: false, is_alone: true },
    ];
    for case in cases {
        let mut sim = Simulation::new(1);
        sim.deliver(0, Event::Store(StoreUpdate::Unreachable));
        sim.run_for(ms(3_000));
        let is_listed = |id: &str| id != "plain-0" && !(case.is_alone && id == "plain-1");
        let listed: Vec<_> = sim.endpoints.values().map(|it| it.entry.clone()).collect();
        let listed: Vec<_> = listed.into_iter().filter(|it| is_listed(&it.id)).collect();
        let start = sim.now;
        let mut revision = 12;
        let mut comes_back = |sim: &mut Simulation| {
            revision += 1;
            let id = "plain-0".to_owned();
            if case.is_event {
                sim.deliver(0, Event::Store(StoreUpdate::Reachable));
                sim.deliver(0, Event::Store(StoreUpdate::Removed { revision, id }));
            } else {
                let endpoints = listed.clone();
                sim.deliver(0, Event::Store(StoreUpdate::List { revision, endpoints }));
                sim.deliver(0, Event::Store(StoreUpdate::Reachable));
            }
        };
        comes_back(&mut sim);
        while sim.now < start + ms(2_000) {
            sim.run_for(ms(case.gap - 100));
            sim.deliver(0, Event::Store(StoreUpdate::Unreachable));
            sim.run_for(ms(100));
            comes_back(&mut sim);
        }
        let before = n_calls(&sim, "plain-0");
        send_requests(&mut sim, 20, "probe");
        let n_late = n_calls(&sim, "plain-0") - before;
        // Endpoints of a pool that would be left without any are kept while the store comes and
        // goes.
        assert_eq!(0 < n_late, case.is_alone, "{}: {n_late} requests", case.name);
    }
}

#[test]
fn changes_of_a_peer_hide_no_removal() {
    struct Case {
        name: &'static str,
        /// Revision that the reader has seen; zero reads the whole list.
        since: u64,
        comes_back: bool,
    }
    let cases = [
        Case { name: "changes", since: 10, comes_back: false },
        Case { name: "list", since: 0, comes_back: false },
        Case { name: "changes, and the entry comes back", since: 10, comes_back: true },
        Case { name: "list, and the entry comes back", since: 0, comes_back: true },
    ];
    for case in cases {
        let mut sim = Simulation::new(2);
        sim.isolated = vec![0, 1];
        let entry = sim.endpoints.get("plain-0").expect("the endpoint exists").entry.clone();
        // The store returns for instance 1, which has read the removal but waits for the entry to
        // come back.
        sim.deliver(1, Event::Store(StoreUpdate::Unreachable));
        sim.deliver(1, Event::Store(StoreUpdate::Reachable));
        let id = "plain-0".to_owned();
        sim.deliver(1, Event::Store(StoreUpdate::Removed { revision: 13, id: id.clone() }));
        let mut other = sim.endpoints.get("plain-1").expect("the endpoint exists").entry.clone();
        other.slots += 1;
        sim.deliver(1, Event::Store(StoreUpdate::Changed { revision: 14, endpoint: other }));
        let read = |sim: &Simulation, since| {
            let gateway = sim.instances[1].as_ref().expect("the instance is running");
            Event::Store(StoreUpdate::Peer(gateway.snapshot(0, since).endpoints))
        };
        let update = read(&sim, case.since);
        sim.deliver(0, update);
        // Its own watch is late.
        sim.deliver(0, Event::Store(StoreUpdate::Removed { revision: 13, id }));
        if case.comes_back {
            let update = StoreUpdate::Changed { revision: 15, endpoint: entry };
            sim.run_for(ms(500));
            sim.deliver(1, Event::Store(update));
            let update = read(&sim, 14);
            sim.deliver(0, update);
        }
        sim.run_for(ms(2_000));
        let before = n_calls(&sim, "plain-0");
        send_requests(&mut sim, 20, "probe");
        let n_late = n_calls(&sim, "plain-0") - before;
        assert_eq!(0 < n_late, case.comes_back, "{}: {n_late} requests", case.name);
    }
}

#[test]
fn possibly_expired_entries_are_not_sent_to_peers() {
    let mut sim = Simulation::new(1);
    sim.deliver(0, Event::Store(StoreUpdate::Unreachable));
    let id = "plain-0".to_owned();
    sim.deliver(0, Event::Store(StoreUpdate::Removed { revision: 12, id }));
    let snapshot = sim.instances[0].as_ref().expect("the instance is running").snapshot(0, 0);
    assert!(snapshot.endpoints.endpoints.iter().all(|it| it.id != "plain-0"));
    assert!(snapshot.endpoints.endpoints.iter().any(|it| it.id == "plain-1"));
}

#[test]
fn older_list_is_ignored() {
    let mut sim = Simulation::new(1);
    let update = StoreUpdate::List { revision: 9, endpoints: Vec::new() };
    sim.deliver(0, Event::Store(update));
    send_requests(&mut sim, 1, "probe");
    assert_eq!(sim.outcome("probe-0").ending, Ending::Answer);
}

#[test]
fn restarted_endpoint_has_fresh_statistics() {
    let mut sim = Simulation::new(1);
    sim.set_behaviour("plain-0", Behaviour::Reset);
    sim.set_behaviour("plain-1", Behaviour::Reset);
    send_requests(&mut sim, 10, "before");
    for id in ["plain-0", "plain-1"] {
        sim.set_behaviour(id, Behaviour::Healthy);
        let mut endpoint = sim.endpoints.get(id).expect("the endpoint exists").entry.clone();
        endpoint.started = 2;
        sim.deliver(0, Event::Store(StoreUpdate::Changed { revision: 11, endpoint }));
    }
    let gateway = sim.instances[0].as_ref().expect("the instance is running");
    for view in gateway.context().endpoints.pool(PLAIN) {
        assert!(view.is_usable(sim.now), "{} is still paused", view.endpoint.id);
        assert_eq!((view.outstanding, view.failure_rate), (0, 0.0));
    }
}

#[test]
fn failing_endpoint_gets_a_growing_pause() {
    let mut sim = Simulation::new(1);
    sim.set_behaviour("plain-0", Behaviour::Reset);
    send_requests(&mut sim, 300, "load");
    let share = n_calls(&sim, "plain-0") as f64 / 300.0;
    assert!(share <= 0.1, "{share} of the requests went to the broken endpoint");
    let n_answers =
        (0..300).filter(|it| sim.outcome(&format!("load-{it}")).ending == Ending::Answer).count();
    assert_eq!(n_answers, 300);
}

#[test]
fn change_older_than_peer_state_is_ignored() {
    let mut sim = Simulation::new(2);
    let mut leaving = sim.endpoints.get("plain-0").expect("the endpoint exists").entry.clone();
    let before = leaving.clone();
    leaving.state = EndpointState::Leaving;
    let update = StoreUpdate::Changed { revision: 14, endpoint: leaving };
    sim.deliver(1, Event::Store(update));
    sim.deliver(0, Event::Store(StoreUpdate::Unreachable));
    sim.run_for(ms(1_000));
    sim.deliver(0, Event::Store(StoreUpdate::Changed { revision: 12, endpoint: before }));
    let gateway = sim.instances[0].as_ref().expect("the instance is running");
    let view = gateway.context().endpoints.get("plain-0").expect("it is known");
    assert!(!view.accepts_work(), "an older entry was applied");
}

#[test]
fn peers_send_only_changed_entries() {
    let mut sim = Simulation::new(4);
    let n_at_start = sim.n_entries_sent;
    for number in 0..3 {
        let mut endpoint = sim.endpoints.get("plain-1").expect("the endpoint exists").entry.clone();
        endpoint.slots = 5 + number;
        let revision = 11 + u64::from(number);
        sim.deliver(1, Event::Store(StoreUpdate::Changed { revision, endpoint }));
        sim.run_for(ms(2_500));
    }
    let id = "plain-0".to_owned();
    sim.deliver(1, Event::Store(StoreUpdate::Removed { revision: 20, id }));
    sim.run_for(ms(2_500));
    for instance in sim.instances.iter().flatten() {
        let endpoints = &instance.context().endpoints;
        assert_eq!(endpoints.get("plain-1").map(|it| it.endpoint.slots), Some(7));
        assert!(endpoints.get("plain-0").is_none());
    }
    // Four changes for each of the three instances that had not seen them.
    let n_entries_sent = sim.n_entries_sent - n_at_start;
    assert!(n_entries_sent <= 2 * 4 * 3, "{n_entries_sent} entries were sent");
}

#[test]
fn unchanged_list_triggers_no_pull() {
    let mut sim = Simulation::new(4);
    let n_at_start = sim.n_entries_sent;
    for number in 0..10 {
        let endpoints = sim.endpoints.values().map(|it| it.entry.clone()).collect();
        sim.deliver(1, Event::Store(StoreUpdate::List { revision: 100 + number, endpoints }));
        sim.run_for(ms(500));
    }
    assert_eq!(sim.n_entries_sent, n_at_start);
}

#[test]
fn starting_instance_is_not_pulled_by_all_peers() {
    let mut sim = Simulation::new(6);
    sim.kill(2);
    sim.run_for(ms(3_000));
    let n_at_start = sim.n_entries_sent;
    sim.start_without_store(2);
    let endpoints = sim.endpoints.values().map(|it| it.entry.clone()).collect();
    sim.deliver(2, Event::Config(sim.config.clone()));
    sim.deliver(2, Event::Store(StoreUpdate::List { revision: 500, endpoints }));
    sim.run_for(ms(5_000));
    assert_eq!(sim.n_entries_sent, n_at_start);
}
