//! Which endpoints get work as entries come, change, lapse and go.

use ferry_model::EndpointState;
use ferry_serve::{Event, StoreUpdate};

use crate::world::{Ending, Mood, PLAIN, World, head, ms};

fn n_calls(world: &World, id: &str) -> usize {
    world.endpoints.get(id).expect("the endpoint exists").n_calls
}

fn ask(world: &mut World, n: usize, name: &str) {
    for number in 0..n {
        let attempt = format!("{name}-{number}");
        world.arrive(0, &attempt, head("get", &attempt));
        world.run_for(ms(20));
    }
    world.run_for(ms(60));
}

#[test]
fn a_leaving_endpoint_gets_nothing_from_that_event_on() {
    let leave = |world: &mut World| {
        let mut endpoint = world.endpoints.get("plain-0").expect("it exists").entry.clone();
        endpoint.state = EndpointState::Leaving;
        world.give(0, Event::Store(StoreUpdate::Changed { revision: 11, endpoint }));
    };
    let remove = |world: &mut World| {
        let id = "plain-0".to_owned();
        world.give(0, Event::Store(StoreUpdate::Removed { revision: 11, id }));
    };
    for go in [&leave as &dyn Fn(&mut World), &remove] {
        let mut world = World::new(1);
        ask(&mut world, 20, "before");
        assert!(0 < n_calls(&world, "plain-0"));
        go(&mut world);
        let before = n_calls(&world, "plain-0");
        ask(&mut world, 20, "after");
        assert_eq!(n_calls(&world, "plain-0"), before);
    }
}

#[test]
fn entries_that_lapsed_with_the_store_stay_until_it_is_back_for_a_while() {
    struct Case {
        name: &'static str,
        /// Milliseconds after the store's return.
        at: u64,
        is_used: bool,
    }
    let cases = [
        Case { name: "while it may register again", at: 1_000, is_used: true },
        Case { name: "when it has not come back", at: 2_000, is_used: false },
    ];
    for case in cases {
        let mut world = World::new(1);
        world.set_mood("plain-1", Mood::Full);
        world.give(0, Event::Store(StoreUpdate::Unreachable));
        world.run_for(ms(3_000));
        world.give(0, Event::Store(StoreUpdate::Reachable));
        let endpoints = Vec::new();
        world.give(0, Event::Store(StoreUpdate::List { revision: 12, endpoints }));
        world.run_for(ms(case.at));
        let before = n_calls(&world, "plain-0");
        ask(&mut world, 3, "probe");
        assert_eq!(before < n_calls(&world, "plain-0"), case.is_used, "{}", case.name);
    }
}

#[test]
fn entries_that_may_have_lapsed_are_not_given_to_peers() {
    let mut world = World::new(1);
    world.give(0, Event::Store(StoreUpdate::Unreachable));
    let id = "plain-0".to_owned();
    world.give(0, Event::Store(StoreUpdate::Removed { revision: 12, id }));
    let snapshot = world.instances[0].as_ref().expect("it lives").snapshot(0, 0);
    assert!(snapshot.endpoints.endpoints.iter().all(|it| it.id != "plain-0"));
    assert!(snapshot.endpoints.endpoints.iter().any(|it| it.id == "plain-1"));
}

#[test]
fn an_older_list_changes_nothing() {
    let mut world = World::new(1);
    let news = StoreUpdate::List { revision: 9, endpoints: Vec::new() };
    world.give(0, Event::Store(news));
    ask(&mut world, 1, "probe");
    assert_eq!(world.outcome("probe-0").ending, Ending::Answer);
}

#[test]
fn an_endpoint_that_started_again_is_judged_anew() {
    let mut world = World::new(1);
    world.set_mood("plain-0", Mood::Broken);
    world.set_mood("plain-1", Mood::Broken);
    ask(&mut world, 10, "before");
    for id in ["plain-0", "plain-1"] {
        world.set_mood(id, Mood::Sound);
        let mut endpoint = world.endpoints.get(id).expect("it exists").entry.clone();
        endpoint.started = 2;
        world.give(0, Event::Store(StoreUpdate::Changed { revision: 11, endpoint }));
    }
    let gateway = world.instances[0].as_ref().expect("it lives");
    for view in gateway.context().endpoints.pool(PLAIN) {
        assert!(view.is_usable(world.now), "{} is still paused", view.endpoint.id);
        assert_eq!((view.outstanding, view.failure_rate), (0, 0.0));
    }
}

#[test]
fn an_endpoint_that_fails_gets_a_growing_pause() {
    let mut world = World::new(1);
    world.set_mood("plain-0", Mood::Broken);
    ask(&mut world, 300, "load");
    let share = n_calls(&world, "plain-0") as f64 / 300.0;
    assert!(share <= 0.1, "{share} of the requests went to the broken endpoint");
    let n_answers =
        (0..300).filter(|it| world.outcome(&format!("load-{it}")).ending == Ending::Answer).count();
    assert_eq!(n_answers, 300);
}

#[test]
fn an_older_change_than_a_peer_has_told_changes_nothing() {
    let mut world = World::new(2);
    let mut leaving = world.endpoints.get("plain-0").expect("it exists").entry.clone();
    let before = leaving.clone();
    leaving.state = EndpointState::Leaving;
    let news = StoreUpdate::Changed { revision: 14, endpoint: leaving };
    world.give(1, Event::Store(news));
    world.give(0, Event::Store(StoreUpdate::Unreachable));
    world.run_for(ms(1_000));
    world.give(0, Event::Store(StoreUpdate::Changed { revision: 12, endpoint: before }));
    let gateway = world.instances[0].as_ref().expect("it lives");
    let view = gateway.context().endpoints.get("plain-0").expect("it is known");
    assert!(!view.accepts_work(), "an older entry came back");
}

#[test]
fn peers_tell_only_what_has_changed() {
    let mut world = World::new(4);
    let n_at_start = world.n_told;
    for number in 0..3 {
        let mut endpoint = world.endpoints.get("plain-1").expect("it exists").entry.clone();
        endpoint.slots = 5 + number;
        let revision = 11 + u64::from(number);
        world.give(1, Event::Store(StoreUpdate::Changed { revision, endpoint }));
        world.run_for(ms(2_500));
    }
    let id = "plain-0".to_owned();
    world.give(1, Event::Store(StoreUpdate::Removed { revision: 20, id }));
    world.run_for(ms(2_500));
    for instance in world.instances.iter().flatten() {
        let endpoints = &instance.context().endpoints;
        assert_eq!(endpoints.get("plain-1").map(|it| it.endpoint.slots), Some(7));
        assert!(endpoints.get("plain-0").is_none());
    }
    // Four changes for three instances that had not heard of them.
    let n_told = world.n_told - n_at_start;
    assert!(n_told <= 2 * 4 * 3, "{n_told} entries were told");
}

#[test]
fn a_list_that_shows_nothing_new_makes_no_peer_read() {
    let mut world = World::new(4);
    let n_at_start = world.n_told;
    for number in 0..10 {
        let endpoints = world.endpoints.values().map(|it| it.entry.clone()).collect();
        world.give(1, Event::Store(StoreUpdate::List { revision: 100 + number, endpoints }));
        world.run_for(ms(500));
    }
    assert_eq!(world.n_told, n_at_start);
}

#[test]
fn an_instance_that_starts_is_not_read_by_all_others() {
    let mut world = World::new(6);
    world.kill(2);
    world.run_for(ms(3_000));
    let n_at_start = world.n_told;
    world.start_blind(2);
    let endpoints = world.endpoints.values().map(|it| it.entry.clone()).collect();
    world.give(2, Event::Config(world.config.clone()));
    world.give(2, Event::Store(StoreUpdate::List { revision: 500, endpoints }));
    world.run_for(ms(5_000));
    assert_eq!(world.n_told, n_at_start);
}
