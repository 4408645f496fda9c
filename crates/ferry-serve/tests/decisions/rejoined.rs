//! Streams that callers take up after many instances, or all, were killed during a rollout.

mod behind;
mod drawn;

use ferry_model::EndpointState;
use ferry_serve::{Event, RequestHead, ResumedStream, StoreUpdate};

use crate::simulation::{ENGINE, Ending, Simulation, StoreState, head, ms};

/// Streams that each case begins.
const N_STREAMS: usize = 20;

/// Endpoints that come and go, as the store reports them.
struct Rollout {
    revision: u64,
}

impl Rollout {
    fn new() -> Rollout {
        Rollout { revision: 1_000 }
    }

    /// Adds engines of a build; the instances of `informed` learn of them at once.
    fn add(&mut self, sim: &mut Simulation, build: &str, n_engines: usize, informed: &[usize]) {
        for _ in 0..n_engines {
            let number = sim.endpoints.values().filter(|it| it.entry.pool == ENGINE).count();
            sim.add_endpoint(ENGINE, number);
            let id = format!("{ENGINE}-{number}");
            sim.set_build(&id, build);
            self.report(sim, &id, informed);
        }
    }

    fn report(&mut self, sim: &mut Simulation, id: &str, informed: &[usize]) {
        self.revision += 1;
        let endpoint = sim.endpoints.get(id).expect("the engine exists").entry.clone();
        for instance in informed {
            let update =
                StoreUpdate::Changed { revision: self.revision, endpoint: endpoint.clone() };
            sim.deliver(*instance, Event::Store(update));
        }
    }

    /// Removes the entries of all engines of a build, which serve on.
    fn remove(&mut self, sim: &mut Simulation, build: &str, informed: &[usize]) {
        self.revision += 1;
        let is_left = |it: &String| sim.endpoints.get(it).is_some_and(|it| it.entry.build == build);
        let ids: Vec<String> = sim.ids(ENGINE).into_iter().filter(is_left).collect();
        for id in &ids {
            sim.endpoints.get_mut(id).expect("the engine exists").entry.state =
                EndpointState::Leaving;
            for instance in informed {
                let update = StoreUpdate::Removed { revision: self.revision, id: id.clone() };
                sim.deliver(*instance, Event::Store(update));
            }
        }
    }

    /// Starts an instance with what the store has now.
    fn start(&self, sim: &mut Simulation, instance: usize) {
        sim.start_without_store(instance);
        sim.deliver(instance, Event::Config(sim.config.clone()));
        let listed = sim.endpoints.values().filter(|it| it.entry.state == EndpointState::Live);
        let endpoints = listed.map(|it| it.entry.clone()).collect();
        let update = StoreUpdate::List { revision: self.revision, endpoints };
        sim.deliver(instance, Event::Store(update));
    }
}

/// Returns a stream without stages, so that it begins at once.
fn stream(attempt: &str) -> RequestHead {
    RequestHead { items: Vec::new(), ..head("stream", attempt) }
}

fn continuation(attempt: &str, first: &str) -> RequestHead {
    RequestHead {
        resumed: Some(ResumedStream { first_attempt: Some(first.into()) }),
        ..stream(attempt)
    }
}

/// Returns the builds that brought events of a stream.
fn builds(sim: &Simulation, attempts: &[&str]) -> Vec<String> {
    let mut builds: Vec<String> =
        attempts.iter().filter_map(|it| sim.event_builds.get(*it)).flatten().cloned().collect();
    builds.sort_unstable();
    builds.dedup();
    builds
}

fn set_engines(sim: &mut Simulation, rollout: &mut Rollout, build: &str) {
    let all: Vec<usize> = (0..sim.instances.len()).collect();
    for id in sim.ids(ENGINE) {
        sim.set_build(&id, build);
        rollout.report(sim, &id, &all);
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Left {
    BeforeKill,
    AfterKill,
    Stays,
}

struct Case {
    name: &'static str,
    n_instances: usize,
    /// When the endpoints of the older build leave.
    left: Left,
    /// How the store treats the instances after their start.
    store: Option<StoreState>,
    /// One in this many writes is executed without an answer.
    lose_one_in: Option<u64>,
    /// Least share of the streams that go on whose build is still there.
    least: f64,
}

#[test]
fn stream_goes_on_at_its_build_after_all_instances_were_killed() {
    let base = Case {
        name: "two builds side by side",
        n_instances: 6,
        left: Left::Stays,
        store: None,
        lose_one_in: None,
        least: 0.9,
    };
    let cases = [
        Case { ..base },
        Case { name: "one instance", n_instances: 1, ..base },
        Case { name: "the older build has just left", left: Left::BeforeKill, ..base },
        Case { name: "the older build leaves meanwhile", left: Left::AfterKill, ..base },
        Case { name: "answers of the store get lost", lose_one_in: Some(4), ..base },
        Case { name: "the store is slow afterwards", store: Some(StoreState::Slow), ..base },
        Case {
            name: "the store refuses afterwards",
            store: Some(StoreState::Refuses),
            least: 0.0,
            ..base
        },
        Case {
            name: "the store is silent afterwards",
            store: Some(StoreState::Silent),
            least: 0.0,
            ..base
        },
    ];
    for case in cases {
        let name = case.name;
        let mut sim = Simulation::new(case.n_instances);
        let mut rollout = Rollout::new();
        let all: Vec<usize> = (0..case.n_instances).collect();
        sim.crashes.n_events = 60;
        sim.records.lose_one_in = case.lose_one_in;
        set_engines(&mut sim, &mut rollout, "v1");
        rollout.add(&mut sim, "v2", 3, &all);
        // The endpoints have been there for long, so that their age is no evidence.
        sim.run_for(ms(25_000));
        let streams: Vec<(String, String)> =
            (0..N_STREAMS).map(|it| (format!("first-{it}"), format!("second-{it}"))).collect();
        for (number, (first, _)) in streams.iter().enumerate() {
            sim.arrive(number % case.n_instances, first, stream(first));
            sim.run_for(ms(20));
        }
        sim.run_for(ms(400));
        if case.left == Left::BeforeKill {
            rollout.remove(&mut sim, "v1", &all);
        }
        all.iter().for_each(|it| sim.kill(*it));
        if case.left == Left::AfterKill {
            rollout.remove(&mut sim, "v1", &[]);
        }
        all.iter().for_each(|it| rollout.start(&mut sim, *it));
        all.iter().for_each(|it| sim.set_store(*it, case.store));
        sim.run_for(ms(300));
        for (number, (first, second)) in streams.iter().enumerate() {
            sim.arrive((1 + number) % case.n_instances, second, continuation(second, first));
        }
        sim.run_for(ms(5_000));
        let (mut n_possible, mut n_continued) = (0, 0);
        for (first, second) in &streams {
            let builds = builds(&sim, &[first, second]);
            assert_eq!(builds.len(), 1, "{name}: {first} has events of {builds:?}");
            let is_there = case.left == Left::Stays || builds[0] == "v2";
            let outcome = sim.outcome(second);
            n_possible += usize::from(is_there);
            match &outcome.ending {
                Ending::Stream => n_continued += usize::from(is_there),
                // A refusal has the time to come back, and the caller's next attempt begins afresh.
                Ending::Refused(it) => {
                    assert!(it.retry_after.is_some(), "{name}: {outcome:?}");
                    assert!(outcome.took <= ms(1_000), "{name}: {outcome:?}");
                }
                other => panic!("{name}: {second} ended as {other:?}"),
            }
        }
        let share = n_continued as f64 / n_possible as f64;
        assert!(case.least <= share, "{name}: {n_continued} of {n_possible} went on");
        assert!(0 < n_possible, "{name}");
        assert_eq!(sim.violations, Vec::<String>::new(), "{name}");
    }
}

#[test]
fn instance_that_was_cut_off_begins_no_stream_that_goes_on_elsewhere_at_another_build() {
    let mut sim = Simulation::new(3);
    let mut rollout = Rollout::new();
    set_engines(&mut sim, &mut rollout, "v1");
    rollout.add(&mut sim, "v2", 3, &[0, 1, 2]);
    sim.run_for(ms(3_000));
    sim.isolated = vec![2];
    sim.set_store(2, Some(StoreState::Silent));
    rollout.remove(&mut sim, "v1", &[0, 1]);
    sim.run_for(ms(4_000));
    let begun: Vec<String> = (0..N_STREAMS).map(|it| format!("first-{it}")).collect();
    begun.iter().for_each(|it| {
        sim.arrive(2, it, stream(it));
    });
    sim.run_for(ms(150));
    assert!(begun.iter().any(|it| builds(&sim, &[it]) == ["v1"]), "v1 begins streams there");
    sim.kill(2);
    sim.run_for(ms(200));
    for first in &begun {
        let second = format!("again-{first}");
        sim.arrive(0, &second, continuation(&second, first));
    }
    sim.run_for(ms(5_000));
    for first in &begun {
        let second = format!("again-{first}");
        let builds = builds(&sim, &[first, &second]);
        assert!(builds.len() <= 1, "{first} has events of {builds:?}");
    }
}

#[test]
fn new_build_begins_streams_once_it_is_recorded() {
    struct Case {
        name: &'static str,
        store: Option<StoreState>,
        /// Whether an endpoint of the recorded build is left.
        has_other: bool,
        is_used: bool,
    }
    let cases = [
        Case { name: "the store records it", store: None, has_other: true, is_used: true },
        Case {
            name: "the store does not answer",
            store: Some(StoreState::Refuses),
            has_other: true,
            is_used: false,
        },
        Case {
            name: "the store does not answer, and nothing else is left",
            store: Some(StoreState::Refuses),
            has_other: false,
            is_used: true,
        },
    ];
    for Case { name, store, has_other, is_used } in cases {
        let mut sim = Simulation::new(3);
        let mut rollout = Rollout::new();
        sim.run_for(ms(500));
        let before = sim.endpoints.get("engine-0").expect("it exists").entry.build.clone();
        assert_eq!(sim.records.builds(ENGINE), std::slice::from_ref(&before), "{name}");
        (0..3).for_each(|it| sim.set_store(it, store));
        rollout.add(&mut sim, "v9", 3, &[0, 1, 2]);
        if !has_other {
            rollout.remove(&mut sim, &before, &[0, 1, 2]);
            sim.run_for(ms(4_000));
        }
        sim.run_for(ms(1_000));
        for number in 0..N_STREAMS {
            let attempt = format!("stream-{number}");
            sim.arrive(number % 3, &attempt, stream(&attempt));
        }
        sim.run_for(ms(3_000));
        let began = |it: usize| builds(&sim, &[&format!("stream-{it}")]) == ["v9"];
        assert_eq!((0..N_STREAMS).any(began), is_used, "{name}");
        let is_recorded = sim.records.builds(ENGINE).iter().any(|it| it == "v9");
        assert_eq!(is_recorded, store.is_none(), "{name}");
    }
}

#[test]
fn build_that_has_left_is_removed_after_the_longest_stream_and_a_margin() {
    let mut sim = Simulation::new(6);
    let mut rollout = Rollout::new();
    let all: Vec<usize> = (0..6).collect();
    set_engines(&mut sim, &mut rollout, "v1");
    rollout.add(&mut sim, "v2", 3, &all);
    sim.run_for(ms(1_000));
    rollout.remove(&mut sim, "v1", &all);
    // Requests take up to 4 s, and instances learn within 10 s what has left.
    sim.run_for(ms(13_000));
    assert!(sim.records.builds(ENGINE).iter().any(|it| it == "v1"));
    sim.run_for(ms(4_000));
    assert_eq!(sim.records.builds(ENGINE), ["v2"]);
}

#[test]
fn records_of_an_instance_that_is_gone_for_good_are_deleted() {
    let mut sim = Simulation::new(3);
    let mut rollout = Rollout::new();
    set_engines(&mut sim, &mut rollout, "v1");
    rollout.add(&mut sim, "v2", 3, &[0, 1, 2]);
    sim.run_for(ms(2_000));
    for instance in 0..3 {
        let attempt = format!("stream-{instance}");
        sim.arrive(instance, &attempt, stream(&attempt));
    }
    sim.run_for(ms(1_000));
    assert_eq!(sim.records.writers(), ["instance-0", "instance-1", "instance-2"]);
    sim.kill(2);
    sim.run_for(ms(95_000));
    // The records are read for a continuation.
    for instance in 0..2 {
        let attempt = format!("again-{instance}");
        sim.arrive(instance, &attempt, continuation(&attempt, "gone"));
    }
    sim.run_for(ms(2_000));
    assert_eq!(sim.records.writers(), ["instance-0", "instance-1"]);
}

#[test]
fn pool_of_one_build_costs_nothing() {
    let mut sim = Simulation::new(6);
    let mut rollout = Rollout::new();
    set_engines(&mut sim, &mut rollout, "v1");
    sim.run_for(ms(20_000));
    let before = (sim.records.n_reads, sim.records.n_writes);
    sim.records.n_messages = 0;
    for number in 0..N_STREAMS {
        let attempt = format!("stream-{number}");
        sim.arrive(number % 6, &attempt, stream(&attempt));
        sim.run_for(ms(100));
    }
    sim.run_for(ms(3_000));
    assert_eq!((sim.records.n_reads, sim.records.n_writes), before);
    assert_eq!(sim.records.n_messages, 0);
}

/// The stages serve 56 requests a second. A caller that takes up its stream has part of the answer, and
/// less time left than one that begins.
#[test]
fn continuation_is_served_like_a_new_request_under_load() {
    struct Case {
        name: &'static str,
        /// Milliseconds between two requests, one of five of which is a continuation.
        interval: u64,
        least: f64,
    }
    let cases = [
        Case { name: "half of the capacity", interval: 36, least: 0.99 },
        Case { name: "one and a half times the capacity", interval: 12, least: 0.9 },
        Case { name: "twice the capacity", interval: 9, least: 0.9 },
    ];
    for Case { name, interval, least } in cases {
        let mut sim = Simulation::new(3);
        sim.run_for(ms(3_000));
        let (mut begun, mut continued) = (Vec::new(), Vec::new());
        for number in 0..6_000 / interval {
            let attempt = format!("attempt-{number}");
            let request = head("stream", &attempt);
            if number % 5 == 0 {
                let first = format!("first-{number}");
                let resumed = continuation(&attempt, &first).resumed;
                let time_left = Some(ms(2_400));
                sim.arrive(0, &attempt, RequestHead { resumed, time_left, ..request });
                continued.push(attempt);
            } else {
                sim.arrive((number % 3) as usize, &attempt, request);
                begun.push(attempt);
            }
            sim.run_for(ms(interval));
        }
        sim.run_for(ms(5_000));
        let share = |attempts: &[String]| {
            let is_served = |it: &&String| sim.outcome(it).ending == Ending::Stream;
            attempts.iter().filter(is_served).count() as f64 / attempts.len() as f64
        };
        let (begun, continued) = (share(&begun), share(&continued));
        println!("{name}: {begun:.2} of the new ones are served, {continued:.2} of the others");
        assert!(least * begun <= continued, "{name}: {continued} of the continuations, {begun}");
    }
}

#[test]
fn instance_that_has_not_heard_of_a_new_build_joins_nothing() {
    let mut sim = Simulation::new(3);
    let mut rollout = Rollout::new();
    set_engines(&mut sim, &mut rollout, "v1");
    sim.run_for(ms(20_000));
    rollout.add(&mut sim, "v2", 9, &[0, 1]);
    // Otherwise peers report the new build to the instance.
    sim.isolated = vec![2];
    sim.run_for(ms(100));
    let begun: Vec<String> = (0..N_STREAMS).map(|it| format!("first-{it}")).collect();
    sim.crashes.n_events = 60;
    for (number, first) in begun.iter().enumerate() {
        sim.arrive(number % 2, first, stream(first));
    }
    sim.run_for(ms(500));
    assert!(begun.iter().any(|it| builds(&sim, &[it]) == ["v2"]), "v2 begins streams");
    sim.kill(0);
    sim.kill(1);
    for first in &begun {
        let second = format!("again-{first}");
        sim.arrive(2, &second, continuation(&second, first));
    }
    sim.run_for(ms(5_000));
    for first in &begun {
        let second = format!("again-{first}");
        let builds = builds(&sim, &[first, &second]);
        assert_eq!(builds.len(), 1, "{first} has events of {builds:?}");
        let is_served = sim.outcome(&second).ending == Ending::Stream;
        assert_eq!(is_served, builds == ["v1"], "{first}: {:?}", sim.outcome(&second));
    }
}
