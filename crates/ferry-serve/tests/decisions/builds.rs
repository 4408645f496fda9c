//! Streams go on at the build that began them, whoever continues them.

use std::collections::BTreeSet;
use std::sync::Arc;

use ferry_model::{Moment, Target};
use ferry_serve::{Catalog, Event, RequestHead, ResumedStream, Status, StoreUpdate};
use proptest::prelude::*;

use crate::simulation::{Behaviour, ENGINE, Ending, PLAIN, Simulation, config, head, ms};

/// Streams that each case begins.
const N_STREAMS: usize = 24;

/// Gives the engines these builds, and lets all instances know.
fn set_builds(sim: &mut Simulation, builds: &[&str]) {
    while sim.endpoints.values().filter(|it| it.entry.pool == ENGINE).count() < builds.len() {
        let number = sim.endpoints.values().filter(|it| it.entry.pool == ENGINE).count();
        sim.add_endpoint(ENGINE, number);
    }
    for (number, build) in builds.iter().enumerate() {
        let id = format!("{ENGINE}-{number}");
        sim.set_build(&id, build);
        let endpoint = sim.endpoints.get(&id).expect("the engine exists").entry.clone();
        let running = sim.instances.iter().flatten();
        let last = running.map(|it| it.context().endpoints.revision()).max().unwrap_or_default();
        for instance in 0..sim.instances.len() {
            let revision = last + 1;
            let update = StoreUpdate::Changed { revision, endpoint: endpoint.clone() };
            sim.deliver(instance, Event::Store(update));
        }
    }
}

fn resumed_head(attempt: &str, first: Option<&str>) -> RequestHead {
    let first_attempt = first.map(Into::into);
    RequestHead { resumed: Some(ResumedStream { first_attempt }), ..head("stream", attempt) }
}

/// Returns the builds of the engines that ran these attempts.
fn builds(sim: &Simulation, attempts: &[&str]) -> BTreeSet<String> {
    let runs = attempts.iter().filter_map(|it| sim.runs.get(*it)).flatten();
    let build = |id: &String| sim.endpoints.get(id).map(|it| it.entry.build.clone());
    runs.filter_map(build).collect()
}

fn ran(sim: &Simulation, attempt: &str) -> bool {
    sim.runs.get(attempt).is_some()
}

/// Advances the simulation until a condition holds.
fn run_until(sim: &mut Simulation, holds: impl Fn(&Simulation) -> bool) {
    for _ in 0..1_000 {
        if holds(sim) {
            return;
        }
        sim.run_for(ms(5));
    }
    panic!("the condition never holds");
}

#[test]
fn stream_that_an_instance_resumes_stays_at_its_build() {
    for mixed in [["v1", "v1", "v2", "v2"], ["v1", "v2", "v1", "v3"]] {
        for number in 0..N_STREAMS {
            let attempt = format!("stream-{number}");
            let mut sim = Simulation::new(1);
            set_builds(&mut sim, &mixed);
            sim.arrive(0, &attempt, head("stream", &attempt));
            run_until(&mut sim, |it| it.first_events.contains_key(&attempt));
            sim.run_for(ms(45));
            let begun = builds(&sim, &[&attempt]);
            let n_engines = mixed.iter().filter(|it| begun.contains(**it)).count();
            let engine = sim.runs.get(&attempt).expect("it runs by now")[0].clone();
            sim.reset_calls(&engine);
            sim.run_for(ms(3_000));
            assert_eq!(builds(&sim, &[&attempt]), begun, "{mixed:?} {attempt}");
            let expected = if n_engines < 2 { Ending::Aborted } else { Ending::Stream };
            assert_eq!(sim.outcome(&attempt).ending, expected, "{mixed:?} {attempt}");
        }
    }
}

struct TakeUp {
    name: &'static str,
    builds: &'static [&'static str],
    n_instances: usize,
    /// Instances that are killed in the middle of the streams, and start again.
    killed: &'static [usize],
    drop_one_in: Option<u64>,
    /// Whether callers name the attempt that brought the first event.
    is_named: bool,
    /// Least share of the streams that go on.
    least: f64,
    /// Largest share of the streams that go on.
    most: f64,
}

#[test]
fn stream_that_its_caller_takes_up_goes_on_at_its_build() {
    let mixed = &["v1", "v1", "v2", "v2"];
    let cases = [
        TakeUp {
            name: "the instance that began it is gone",
            builds: mixed,
            n_instances: 6,
            killed: &[0],
            drop_one_in: None,
            is_named: true,
            least: 1.0,
            most: 1.0,
        },
        TakeUp {
            name: "two of six instances are gone, and datagrams get lost",
            builds: mixed,
            n_instances: 6,
            killed: &[0, 3],
            drop_one_in: Some(10),
            is_named: true,
            least: 0.9,
            most: 1.0,
        },
        TakeUp {
            name: "the instance that began it lives",
            builds: mixed,
            n_instances: 3,
            killed: &[],
            drop_one_in: None,
            is_named: true,
            least: 1.0,
            most: 1.0,
        },
        TakeUp {
            name: "only the store knows what began it",
            builds: mixed,
            n_instances: 3,
            killed: &[0, 1, 2],
            drop_one_in: None,
            is_named: true,
            least: 0.9,
            most: 1.0,
        },
        TakeUp {
            name: "its caller does not name its first attempt",
            builds: mixed,
            n_instances: 3,
            killed: &[0],
            drop_one_in: None,
            is_named: false,
            least: 0.0,
            most: 0.0,
        },
        TakeUp {
            name: "there has been one build for long, and nobody knows more",
            builds: &["v1", "v1", "v1"],
            n_instances: 3,
            killed: &[0, 1, 2],
            drop_one_in: None,
            is_named: false,
            least: 1.0,
            most: 1.0,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(case.n_instances);
        set_builds(&mut sim, case.builds);
        sim.drop_one_in = case.drop_one_in;
        sim.run_for(ms(1_000));
        let streams: Vec<(String, String)> =
            (0..N_STREAMS).map(|it| (format!("first-{it}"), format!("second-{it}"))).collect();
        for (first, _) in &streams {
            sim.arrive(0, first, head("stream", first));
        }
        run_until(&mut sim, |sim| streams.iter().all(|it| sim.first_events.contains_key(&it.0)));
        // The last of them has begun this instant, and its record is still on its way.
        sim.run_for(ms(25));
        case.killed.iter().for_each(|it| sim.kill(*it));
        case.killed.iter().for_each(|it| sim.start(*it));
        sim.run_for(ms(100));
        for (number, (first, second)) in streams.iter().enumerate() {
            let instance = (1 + number) % case.n_instances;
            let first = Some(first.as_str()).filter(|_| case.is_named);
            sim.arrive(instance, second, resumed_head(second, first));
        }
        sim.run_for(ms(5_000));
        let mut n_continued = 0;
        for (first, second) in &streams {
            assert_eq!(builds(&sim, &[first, second]).len(), 1, "{}: {first}", case.name);
            match &sim.outcome(second).ending {
                Ending::Stream => n_continued += 1,
                Ending::Refused(it) => assert_eq!(it.status, Status::NotRun, "{}", case.name),
                other => panic!("{}: {second} ended as {other:?}", case.name),
            }
        }
        let share = f64::from(n_continued) / N_STREAMS as f64;
        assert!(case.least <= share && share <= case.most, "{}: {share} went on", case.name);
        assert_eq!(sim.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[derive(Debug, Clone)]
enum Step {
    Arrive(usize),
    /// Takes up the latest stream at an instance.
    TakeUp(usize),
    /// Breaks the calls at an engine, which starts again with a build.
    Replace {
        engine: usize,
        build: usize,
    },
    Kill(usize),
    Start(usize),
    Isolate(usize),
    Reconnect,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_usize).prop_map(Step::Arrive),
        4 => (0..3_usize).prop_map(Step::TakeUp),
        3 => (0..4_usize, 0..2_usize).prop_map(|(engine, build)| Step::Replace { engine, build }),
        1 => (0..3_usize).prop_map(Step::Kill),
        2 => (0..3_usize).prop_map(Step::Start),
        1 => (0..3_usize).prop_map(Step::Isolate),
        1 => Just(Step::Reconnect),
        8 => (1..300_u64).prop_map(Step::Wait),
    ]
}

/// Plays steps and returns the attempts of each stream.
fn play(sim: &mut Simulation, steps: &[Step]) -> Vec<Vec<String>> {
    let mut builds = vec!["v1", "v1", "v2", "v2"];
    set_builds(sim, &builds);
    let mut streams: Vec<Vec<String>> = Vec::new();
    for (number, step) in steps.iter().enumerate() {
        let attempt = format!("attempt-{number}");
        match *step {
            Step::Arrive(instance) if sim.instances[instance].is_some() => {
                sim.arrive(instance, &attempt, head("stream", &attempt));
                streams.push(vec![attempt]);
            }
            Step::TakeUp(instance) if sim.instances[instance].is_some() => {
                let has_events = |it: &Vec<String>| sim.event_builds.contains_key(&it[0]);
                let Some(stream) = streams.iter_mut().rfind(|it| has_events(it)) else { continue };
                let head = resumed_head(&attempt, Some(&stream[0]));
                stream.push(attempt.clone());
                sim.arrive(instance, &attempt, head);
            }
            Step::Arrive(_) | Step::TakeUp(_) => (),
            Step::Replace { engine, build } => {
                let id = format!("{ENGINE}-{engine}");
                sim.reset_calls(&id);
                sim.set_behaviour(&id, Behaviour::Healthy);
                builds[engine] = ["v1", "v2"][build];
                set_builds(sim, &builds);
            }
            Step::Kill(instance) => sim.kill(instance),
            Step::Start(instance) if sim.instances[instance].is_none() => sim.start(instance),
            Step::Start(_) => (),
            Step::Isolate(instance) => sim.isolated = vec![instance],
            Step::Reconnect => sim.isolated = Vec::new(),
            Step::Wait(time) => sim.run_for(ms(time)),
        }
    }
    sim.run_for(ms(6_000));
    streams
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn no_stream_has_events_of_two_builds(steps in prop::collection::vec(step(), 5..60)) {
        let mut sim = Simulation::new(3);
        for stream in play(&mut sim, &steps) {
            let builds: BTreeSet<&String> =
                stream.iter().filter_map(|it| sim.event_builds.get(it)).flatten().collect();
            prop_assert!(builds.len() <= 1, "{:?} has events of {:?}", stream, builds);
        }
        prop_assert_eq!(&sim.violations, &Vec::<String>::new());
    }
}

#[test]
fn stream_without_endpoints_of_its_build_is_refused_at_once() {
    let mut sim = Simulation::new(2);
    set_builds(&mut sim, &["v1", "v1", "v1"]);
    sim.run_for(ms(1_000));
    sim.arrive(0, "first", head("stream", "first"));
    run_until(&mut sim, |it| it.first_events.contains_key("first"));
    sim.run_for(ms(45));
    sim.kill(0);
    set_builds(&mut sim, &["v2", "v2", "v2"]);
    sim.arrive(1, "second", resumed_head("second", Some("first")));
    sim.run_for(ms(3_000));
    let outcome = sim.outcome("second");
    let Ending::Refused(refusal) = &outcome.ending else { panic!("{outcome:?}") };
    assert_eq!(refusal.status, Status::NotRun);
    assert!(refusal.retry_after.is_some(), "{refusal:?}");
    assert!(outcome.took <= ms(50), "{outcome:?}");
    assert!(!ran(&sim, "second"));
}

#[test]
fn stream_without_events_may_go_to_any_build() {
    let mut sim = Simulation::new(1);
    set_builds(&mut sim, &["v1", "v2", "v3"]);
    sim.arrive(0, "probe", head("stream", "probe"));
    run_until(&mut sim, |it| ran(it, "probe"));
    let engine = sim.runs.get("probe").expect("it runs by now")[0].clone();
    sim.reset_calls(&engine);
    sim.run_for(ms(3_000));
    assert_eq!(sim.outcome("probe").ending, Ending::Stream);
    assert_eq!(builds(&sim, &["probe"]).len(), 2);
}

#[test]
fn stream_that_its_caller_takes_up_goes_on_in_its_pool() {
    let mut config = config(1);
    for route in &mut config.routes {
        let target = |pool: &str| Target { pool: pool.to_owned(), weight: 1 };
        route.targets = vec![target(ENGINE), target(PLAIN)];
    }
    let mut catalog = Catalog::new();
    catalog.update(Moment::ZERO, Arc::new(config));
    let pool = |head: RequestHead| catalog.resolve(&head).expect("the route exists").pool;
    for number in 0..N_STREAMS {
        let (first, second) = (format!("first-{number}"), format!("second-{number}"));
        let begun = pool(head("stream", &first));
        assert_eq!(pool(resumed_head(&second, Some(&first))), begun, "{first}");
    }
}
