//! Endpoints that ask for a pause when they refuse a request.

use std::time::Duration;

use ferry_model::EndpointState;
use ferry_serve::{DecisionKind, EndpointsDelta, Event, PauseReport, Status, StoreUpdate};

use crate::rate_limits::load::Load;
use crate::simulation::{Behaviour, Ending, Simulation, head, ms};
use crate::ways::{Way, ids_of, n_received};

const PAUSE: u64 = 3_000;

fn ask(sim: &mut Simulation, instance: usize, endpoint: &str, pause: u64) {
    let (endpoint, report) = (endpoint.to_owned(), PauseReport::Asked(ms(pause)));
    sim.deliver(instance, Event::Pause { endpoint, started: 1, report });
}

fn n_messages(sim: &Simulation, id: &str) -> usize {
    sim.endpoints.get(id).expect("the endpoint exists").n_messages
}

#[test]
fn nothing_reaches_an_endpoint_in_its_pause_on_any_way() {
    for way in Way::all() {
        for n_instances in [1, 6] {
            for delay in [0, 37, 110] {
                let mut sim = way.simulation(n_instances);
                let mut load = Load::new(way.routes, 60);
                load.send(&mut sim, ms(3_000 + delay));
                assert!(0 < n_received(&sim, way.endpoint), "{}: was never asked", way.name);
                for instance in 0..n_instances {
                    ask(&mut sim, instance, way.endpoint, PAUSE);
                }
                let before = n_received(&sim, way.endpoint);
                load.send(&mut sim, ms(PAUSE / 3 - 50));
                // A scheduler that takes over reads the caches of engines.
                if 1 < n_instances {
                    sim.kill(0);
                }
                load.send(&mut sim, ms(PAUSE - PAUSE / 3 - 50));
                let n_early = n_received(&sim, way.endpoint) - before;
                assert_eq!(n_early, 0, "{}, {n_instances} instances, {delay} ms", way.name);
                load.send(&mut sim, ms(4_000));
                let n_later = n_received(&sim, way.endpoint) - before;
                assert!(0 < n_later, "{}, {n_instances} instances, {delay} ms", way.name);
                assert_eq!(sim.violations, Vec::<String>::new(), "{}", way.name);
            }
        }
    }
}

#[test]
fn requests_that_wait_for_a_permit_do_not_reach_an_endpoint_in_its_pause() {
    for n_instances in [1, 6] {
        for delay in [0, 37, 110, 400] {
            let mut sim = Simulation::new(n_instances);
            let ids = ids_of(&sim, "plain");
            ids.iter().for_each(|it| sim.set_rate_limit(it, Some(4.0)));
            let mut load = Load::new(&["get"], 20);
            load.send(&mut sim, ms(3_000 + delay));
            for instance in 0..n_instances {
                ask(&mut sim, instance, "plain-0", PAUSE);
            }
            let before = n_received(&sim, "plain-0");
            load.send(&mut sim, ms(PAUSE - 1));
            let n_early = n_received(&sim, "plain-0") - before;
            assert_eq!(n_early, 0, "{n_instances} instances, {delay} ms");
            load.send(&mut sim, ms(4_000));
            assert!(before < n_received(&sim, "plain-0"), "{n_instances} instances, {delay} ms");
        }
    }
}

#[test]
fn results_are_not_freed_at_an_endpoint_without_an_entry() {
    for is_readable in [true, false] {
        let mut sim = Simulation::new(1);
        let mut load = Load::new(&["stream"], 40);
        load.send(&mut sim, ms(2_000));
        assert!(0 < n_messages(&sim, "first-0"), "no result was freed");
        let id = "first-0".to_owned();
        let update = match is_readable {
            true => StoreUpdate::Removed { revision: 20, id },
            false => StoreUpdate::Unreadable { revision: 20, id },
        };
        sim.deliver(0, Event::Store(update));
        let before = n_messages(&sim, "first-0");
        load.send(&mut sim, ms(2_000));
        assert_eq!(n_messages(&sim, "first-0"), before, "readable: {is_readable}");
    }
}

#[test]
fn cache_of_an_engine_is_not_read_in_its_pause() {
    let mut sim = Simulation::new(1);
    Load::new(&["stream"], 20).send(&mut sim, ms(1_000));
    sim.is_first_start = false;
    sim.kill(0);
    sim.start(0);
    ask(&mut sim, 0, "engine-0", PAUSE);
    let before: Vec<usize> = ids_of(&sim, "engine").iter().map(|it| n_messages(&sim, it)).collect();
    sim.arrive(0, "first", head("stream", "first"));
    sim.run_for(ms(PAUSE - 100));
    let after = ids_of(&sim, "engine").into_iter().map(|it| n_messages(&sim, &it));
    let n_read: Vec<usize> = after.zip(before).map(|(after, before)| after - before).collect();
    assert_eq!(n_read, [0, 1, 1]);
}

#[test]
fn pool_that_pauses_gets_no_repeats_and_serves_again_afterwards() {
    struct Case {
        routes: &'static [&'static str],
        pool: &'static str,
        n_instances: usize,
    }
    let cases = [
        Case { routes: &["get"], pool: "plain", n_instances: 1 },
        Case { routes: &["post"], pool: "plain", n_instances: 6 },
        Case { routes: &["stream"], pool: "engine", n_instances: 1 },
        Case { routes: &["once"], pool: "engine", n_instances: 6 },
        Case { routes: &["stream"], pool: "first", n_instances: 1 },
        Case { routes: &["stream"], pool: "second", n_instances: 6 },
        Case { routes: &["get"], pool: "plain", n_instances: 76 },
    ];
    for Case { routes, pool, n_instances } in cases {
        let mut sim = Simulation::new(n_instances);
        let mut load = Load::new(routes, 40);
        load.send(&mut sim, ms(2_000));
        for id in ids_of(&sim, pool) {
            sim.set_behaviour(&id, Behaviour::Pauses(ms(PAUSE)));
        }
        load.send(&mut sim, ms(2 * PAUSE));
        assert!(!sim.pauses.is_empty(), "{routes:?} {pool}: no endpoint was asked");
        for id in ids_of(&sim, pool) {
            sim.set_behaviour(&id, Behaviour::Healthy);
        }
        sim.run_for(ms(PAUSE));
        let attempts = load.send(&mut sim, ms(2_000));
        sim.run_for(ms(5_000));
        let is_served =
            |it: &&String| matches!(sim.outcome(it).ending, Ending::Answer | Ending::Stream);
        let n_served = attempts.iter().filter(is_served).count();
        let name = format!("{routes:?} {pool} {n_instances}");
        assert!(attempts.len() * 8 <= n_served * 10, "{name}: {n_served} of {}", attempts.len());
        assert_eq!(sim.violations, Vec::<String>::new(), "{name}");
    }
}

#[test]
fn request_is_refused_at_once_until_the_first_pause_ends() {
    struct Case {
        route: &'static str,
        /// Pause of each endpoint in milliseconds.
        pauses: &'static [(&'static str, u64)],
        /// The time after which the caller is asked to come back is in this range; none if the
        /// request is served.
        expected: Option<(u64, u64)>,
    }
    let cases = [
        Case { route: "get", pauses: &[("plain-0", 900)], expected: None },
        Case {
            route: "get",
            pauses: &[("plain-0", 900), ("plain-1", 1_500)],
            expected: Some((900, 1_350)),
        },
        Case {
            route: "post",
            pauses: &[("plain-0", 90_000), ("plain-1", 120_000)],
            expected: Some((90_000, 90_000)),
        },
        Case {
            route: "stream",
            pauses: &[("engine-0", 2_000), ("engine-1", 2_500), ("engine-2", 1_800)],
            expected: Some((1_800, 2_700)),
        },
        // The stages take longer.
        Case {
            route: "stream",
            pauses: &[("engine-0", 10), ("engine-1", 10), ("engine-2", 10)],
            expected: None,
        },
        Case {
            route: "stream",
            pauses: &[("first-0", 9_000), ("first-1", 8_000), ("first-2", 9_000)],
            expected: Some((8_000, 8_000)),
        },
        Case {
            route: "stream",
            pauses: &[("second-0", 9_000), ("second-1", 8_000), ("second-2", 9_000)],
            expected: Some((8_000, 8_000)),
        },
        Case {
            route: "stream",
            pauses: &[("second-0", 500), ("second-1", 500), ("second-2", 500)],
            expected: None,
        },
    ];
    for Case { route, pauses, expected } in cases {
        let mut sim = Simulation::new(1);
        sim.run_for(ms(100));
        for (id, pause) in pauses {
            ask(&mut sim, 0, id, *pause);
        }
        sim.arrive(0, "asked", head(route, "asked"));
        sim.run_for(ms(4_000));
        let outcome = sim.outcome("asked");
        match (expected, &outcome.ending) {
            (None, Ending::Answer | Ending::Stream) => (),
            (Some((least, most)), Ending::Refused(refusal)) => {
                assert_eq!(outcome.took, Duration::ZERO, "{route} {pauses:?}");
                assert_eq!(refusal.status, Status::NotRun);
                let wait = refusal.retry_after.expect("the caller is told when to come back");
                assert!(ms(least) <= wait && wait <= ms(most), "{route} {pauses:?}: {wait:?}");
            }
            _ => panic!("{route} {pauses:?}: {outcome:?}"),
        }
    }
}

#[test]
fn callers_do_not_return_in_one_wave() {
    let mut sim = Simulation::new(1);
    sim.run_for(ms(100));
    ask(&mut sim, 0, "plain-0", 1_000);
    ask(&mut sim, 0, "plain-1", 1_000);
    let attempts: Vec<String> = (0..100).map(|it| format!("get-{it}")).collect();
    let mut waits = Vec::new();
    for attempt in &attempts {
        sim.arrive(0, attempt, head("get", attempt));
        match &sim.outcome(attempt).ending {
            Ending::Refused(refusal) => waits.extend(refusal.retry_after),
            ending => panic!("{attempt}: {ending:?}"),
        }
    }
    waits.sort_unstable();
    assert_eq!(waits.len(), attempts.len());
    // In each tenth of the time, some but not many.
    for tenth in 0..10 {
        let from = ms(1_000 + 50 * tenth);
        let n_back = waits.iter().filter(|it| from <= **it && **it < from + ms(50)).count();
        assert!((2..=25).contains(&n_back), "{n_back} within 50 ms from {from:?}");
    }
}

#[test]
fn endpoint_gets_its_calls_back_step_by_step_behind_a_pause() {
    let mut sim = Simulation::new(1);
    let mut load = Load::new(&["get"], 200);
    load.send(&mut sim, ms(1_000));
    ask(&mut sim, 0, "plain-0", 1_000);
    ask(&mut sim, 0, "plain-1", 1_000);
    load.send(&mut sim, ms(1_000));
    let end = sim.now;
    load.send(&mut sim, ms(2_000));
    let n_within = |from: u64, until: u64| {
        let arrivals = &sim.endpoints.get("plain-0").expect("it exists").arrivals;
        let range = end + ms(from)..end + ms(until);
        arrivals.iter().filter(|it| range.contains(&it.at)).count()
    };
    assert_eq!(n_within(0, 50), 1);
    assert!(n_within(0, 200) <= 10, "{} in the first 200 ms", n_within(0, 200));
    assert!(60 <= n_within(1_000, 2_000), "{} in the second second", n_within(1_000, 2_000));
}

/// What happens to the endpoint `plain-0` in its pause.
#[derive(Debug, Clone, Copy)]
enum Then {
    Nothing,
    /// Its entry is written again, with this start.
    Entry(u64),
    Unreadable,
    Removed,
    List,
    Peer,
    StoreAway,
    StoreBack,
    Configuration,
    Asks(u64),
}

/// Starts in Unix milliseconds by clocks that are some seconds, and more than an hour, ahead of that of
/// the instance.
const AHEAD: u64 = 1_004_000;
const LATER: u64 = 5_000_000;

#[test]
fn pause_holds_until_its_end_or_a_start_after_it() {
    struct Case {
        then: &'static [Then],
        /// When the endpoint takes requests again, in milliseconds after it asked for 2 s.
        end: u64,
    }
    let cases = [
        Case { then: &[Then::Nothing], end: 2_000 },
        Case { then: &[Then::Asks(500)], end: 2_000 },
        Case { then: &[Then::Asks(0)], end: 2_000 },
        Case { then: &[Then::Asks(3_000)], end: 3_000 },
        Case { then: &[Then::Asks(3_000), Then::Asks(100)], end: 3_000 },
        Case { then: &[Then::Entry(1)], end: 2_000 },
        // The entry of the start that has asked may be late, and its clock off by any time.
        Case { then: &[Then::Entry(2)], end: 2_000 },
        Case { then: &[Then::Entry(AHEAD)], end: 2_000 },
        Case { then: &[Then::Removed, Then::Entry(AHEAD)], end: 2_000 },
        Case { then: &[Then::Removed, Then::Asks(3_000), Then::Entry(1)], end: 3_000 },
        Case { then: &[Then::Removed, Then::Asks(3_000), Then::Entry(AHEAD)], end: 3_000 },
        Case { then: &[Then::Entry(LATER)], end: 2_000 },
        Case { then: &[Then::Removed, Then::Entry(1)], end: 2_000 },
        Case { then: &[Then::Removed, Then::Entry(2)], end: 2_000 },
        Case { then: &[Then::Removed, Then::Entry(LATER)], end: 2_000 },
        Case { then: &[Then::Unreadable, Then::Entry(1)], end: 2_000 },
        Case { then: &[Then::List], end: 2_000 },
        Case { then: &[Then::Peer], end: 2_000 },
        Case { then: &[Then::StoreAway, Then::StoreBack, Then::List], end: 2_000 },
        Case { then: &[Then::StoreAway, Then::Removed, Then::StoreBack, Then::List], end: 2_000 },
        Case { then: &[Then::Configuration], end: 2_000 },
    ];
    for Case { then, end } in cases {
        let mut sim = Simulation::new(1);
        sim.run_for(ms(100));
        let entry = sim.endpoints.get("plain-0").expect("the endpoint exists").entry.clone();
        ask(&mut sim, 0, "plain-0", 2_000);
        let start = sim.now;
        for (step, revision) in then.iter().zip(20..) {
            let listed = || sim.endpoints.values().map(|it| it.entry.clone()).collect();
            let id = "plain-0".to_owned();
            let event = match *step {
                Then::Nothing => continue,
                Then::Asks(pause) => {
                    ask(&mut sim, 0, "plain-0", pause);
                    continue;
                }
                Then::Entry(started) => {
                    let state = EndpointState::Live;
                    let endpoint = ferry_model::GatewayEndpoint { started, state, ..entry.clone() };
                    Event::Store(StoreUpdate::Changed { revision, endpoint })
                }
                Then::Unreadable => Event::Store(StoreUpdate::Unreadable { revision, id }),
                Then::Removed => Event::Store(StoreUpdate::Removed { revision, id }),
                Then::List => Event::Store(StoreUpdate::List { revision, endpoints: listed() }),
                Then::Peer => Event::Store(StoreUpdate::Peer(EndpointsDelta {
                    since: 0,
                    revision,
                    last_change: revision,
                    endpoints: listed(),
                    removed: Vec::new(),
                    missing: Vec::new(),
                    evacuated: None,
                })),
                Then::StoreAway => Event::Store(StoreUpdate::Unreachable),
                Then::StoreBack => Event::Store(StoreUpdate::Reachable),
                Then::Configuration => Event::Config(crate::simulation::config(2).into()),
            };
            sim.deliver(0, event);
        }
        let is_open = |sim: &Simulation| {
            let gateway = sim.instances[0].as_ref().expect("the instance is running");
            let view = gateway.context().endpoints.get("plain-0").expect("it is known");
            view.is_open(sim.now)
        };
        if 0 < end {
            sim.run_for((start + ms(end - 1)).saturating_sub(sim.now));
            assert!(!is_open(&sim), "{then:?}: before its end");
            sim.run_for(ms(1));
        }
        assert!(is_open(&sim), "{then:?}: at its end");
    }
}

/// Starts were told apart by comparing clocks, and the pause was dropped if one was off by ten seconds.
#[test]
fn pause_holds_whatever_the_clocks_of_endpoints_say() {
    struct Case {
        /// Seconds between the refusal and the entry.
        delay: u64,
        holds: bool,
    }
    let cases = [
        Case { delay: 0, holds: true },
        Case { delay: 5, holds: true },
        Case { delay: 100, holds: true },
        // Whatever has begun long after the refusal has not asked for the pause.
        Case { delay: 125, holds: false },
    ];
    let unix = 1_000_000;
    for Case { delay, holds } in cases {
        for started in [2, unix - 30_000, unix, unix + 12_000, unix + 30_000, unix + 86_400_000] {
            let mut sim = Simulation::new(1);
            sim.run_for(ms(100));
            ask(&mut sim, 0, "plain-0", 300_000);
            sim.run_for(ms(delay * 1_000));
            let entry = sim.endpoints.get("plain-0").expect("the endpoint exists").entry.clone();
            let endpoint = ferry_model::GatewayEndpoint { started, ..entry };
            sim.deliver(0, Event::Store(StoreUpdate::Changed { revision: 20, endpoint }));
            let gateway = sim.instances[0].as_ref().expect("the instance is running");
            let view = gateway.context().endpoints.get("plain-0").expect("it is known");
            assert_eq!(view.wants_pause(sim.now), holds, "start {started} after {delay} s");
        }
    }
}

#[test]
fn pauses_of_a_day_and_more_end_no_process() {
    struct Case {
        /// Beginnings of the names of the endpoints that pause.
        pausing: &'static [&'static str],
        /// Share of the requests that are served.
        served: f64,
    }
    let cases = [
        Case { pausing: &["plain-0", "first-0"], served: 1.0 },
        Case { pausing: &["plain"], served: 0.5 },
        Case { pausing: &["engine"], served: 0.5 },
        Case { pausing: &["first"], served: 0.5 },
        Case { pausing: &["first", "second"], served: 0.5 },
    ];
    let longest = Duration::from_secs_f64(2f64.powi(64) - 2_048.0);
    let seconds = [86_400, 31_536_000, 10_000_000_000_000_000_000].map(Duration::from_secs);
    for pause in seconds.into_iter().chain([longest]) {
        for Case { pausing, served } in &cases {
            let mut sim = Simulation::new(1);
            sim.run_for(ms(3_000_000));
            let mut load = Load::new(&["get", "stream"], 20);
            load.send(&mut sim, ms(1_000));
            let is_pausing = |id: &&String| pausing.iter().any(|it| id.starts_with(it));
            let ids: Vec<String> = sim.endpoints.keys().filter(is_pausing).cloned().collect();
            for endpoint in ids {
                let report = PauseReport::Asked(pause);
                sim.deliver(0, Event::Pause { endpoint, started: 1, report });
            }
            let attempts = load.send(&mut sim, ms(2_000));
            sim.run_for(ms(4_000));
            let endings = attempts.iter().map(|it| &sim.outcome(it).ending);
            let n_served = endings.filter(|it| matches!(it, Ending::Answer | Ending::Stream));
            let share = n_served.count() as f64 / attempts.len() as f64;
            assert_eq!(share, *served, "{pausing:?} {pause:?}");
        }
    }
}

#[test]
fn pause_is_logged_once_while_it_lasts() {
    let mut sim = Simulation::new(1);
    for _ in 0..50 {
        ask(&mut sim, 0, "plain-0", 2_000);
        sim.run_for(ms(10));
    }
    sim.run_for(ms(3_000));
    ask(&mut sim, 0, "plain-0", 500);
    ask(&mut sim, 0, "plain-0", 0);
    for _ in 0..100 {
        let (endpoint, report) = ("plain-1".to_owned(), PauseReport::Invalid("soon".to_owned()));
        sim.deliver(0, Event::Pause { endpoint, started: 1, report });
    }
    let lines = sim.decisions.iter().filter(|it| it.kind == DecisionKind::Endpoint);
    let lines: Vec<&str> =
        lines.map(|it| it.reason.as_str()).filter(|it| it.contains("pause")).collect();
    let expected = [
        "asks for a pause of 2s",
        "asks for a pause of 500ms",
        "ignored \"soon\", which is not a pause in seconds",
    ];
    assert_eq!(lines, expected);
}
