//! Endpoints that announce in their responses that they leave.

mod peers;

use std::time::Duration;

use ferry_model::EndpointState;
use ferry_serve::{
    AnswerKind, CallEvent, DecisionKind, EndpointsDelta, Event, HealthReport, LeavingReport,
    Status, StoreUpdate,
};

use crate::rate_limits::load::Load;
use crate::simulation::{Ending, Simulation, head, ms};
use crate::ways::{Way, n_received};

fn announce(sim: &mut Simulation, instance: usize, endpoint: &str, started: u64) {
    sim.endpoints.get_mut(endpoint).expect("the endpoint exists").health = HealthReport::Leaving;
    let endpoint = endpoint.to_owned();
    let report = LeavingReport::Leaving;
    sim.deliver(instance, Event::Leaving { endpoint, started, report });
}

#[test]
fn nothing_reaches_an_endpoint_after_its_announcement_on_any_way() {
    for way in Way::all() {
        for n_instances in [1, 6] {
            for delay in [0, 37, 110, 400] {
                let mut sim = way.simulation(n_instances);
                let mut load = Load::new(way.routes, 60);
                load.send(&mut sim, ms(3_000 + delay));
                assert!(0 < n_received(&sim, way.endpoint), "{}: was never asked", way.name);
                for instance in 0..n_instances {
                    announce(&mut sim, instance, way.endpoint, 1);
                }
                let before = n_received(&sim, way.endpoint);
                load.send(&mut sim, ms(3_000));
                // A scheduler that takes over reads the caches of engines.
                if 1 < n_instances {
                    sim.kill(0);
                }
                load.send(&mut sim, ms(3_000));
                sim.run_for(ms(5_000));
                let n_late = n_received(&sim, way.endpoint) - before;
                assert_eq!(n_late, 0, "{}, {n_instances} instances, {delay} ms", way.name);
                assert_eq!(sim.violations, Vec::<String>::new(), "{}", way.name);
            }
        }
    }
}

#[test]
fn request_at_an_endpoint_that_announces_its_leaving_goes_on_to_its_end() {
    for (route, ending) in [("get", Ending::Answer), ("stream", Ending::Stream)] {
        let mut sim = Simulation::new(1);
        let attempts: Vec<String> = (0..10).map(|it| format!("{route}-{it}")).collect();
        for attempt in &attempts {
            sim.arrive(0, attempt, head(route, attempt));
        }
        assert!(sim.run_until(|it| it.runs.len() == attempts.len()), "{route}: all of them run");
        for id in ["plain-0", "plain-1", "engine-0", "engine-1", "engine-2"] {
            announce(&mut sim, 0, id, 1);
        }
        sim.run_for(ms(3_000));
        for attempt in &attempts {
            assert_eq!(sim.outcome(attempt).ending, ending);
        }
    }
}

#[test]
fn requests_are_refused_at_once_if_all_endpoints_of_a_pool_leave() {
    for (route, ids) in [
        ("get", ["plain-0", "plain-1", "plain-1"]),
        ("stream", ["engine-0", "engine-1", "engine-2"]),
        ("stream", ["second-0", "second-1", "second-2"]),
    ] {
        let mut sim = Simulation::new(1);
        sim.run_for(ms(100));
        for id in ids {
            announce(&mut sim, 0, id, 1);
        }
        sim.arrive(0, "late", head(route, "late"));
        let outcome = sim.outcome("late");
        assert_eq!(outcome.took, Duration::ZERO, "{route} {ids:?}");
        let Ending::Refused(refusal) = &outcome.ending else {
            panic!("{route} {ids:?}: {outcome:?}");
        };
        assert_eq!(refusal.status, Status::NotRun);
        assert!(refusal.retry_after.is_some_and(|it| ms(0) < it && it < ms(4_000)), "{refusal:?}");
    }
}

/// What happens to the endpoint `plain-0` behind its announcement.
#[derive(Debug, Clone, Copy)]
enum Then {
    Nothing,
    /// Its entry is written again, with this start.
    Entry(u64, EndpointState),
    Removed,
    List,
    Peer,
    StoreAway,
    Configuration,
    /// An announcement of this start arrives.
    Announcement(u64),
    /// Some milliseconds pass.
    Wait(u64),
}

/// Starts in Unix milliseconds, before and after the announcement.
const EARLIER: u64 = 1_000_500;
const LATER: u64 = 5_000_000;

#[test]
fn announcement_holds_for_the_start_of_the_endpoint_that_made_it() {
    use EndpointState::{Leaving, Live};
    struct Case {
        /// The start that has announced.
        author: u64,
        then: &'static [Then],
        accepts_work: bool,
    }
    let cases = [
        Case { author: 1, then: &[Then::Nothing], accepts_work: false },
        Case { author: 1, then: &[Then::Entry(1, Live)], accepts_work: false },
        Case {
            author: 1,
            then: &[Then::Entry(1, Leaving), Then::Entry(1, Live)],
            accepts_work: false,
        },
        Case { author: 1, then: &[Then::Removed, Then::Entry(1, Live)], accepts_work: false },
        Case { author: 1, then: &[Then::List], accepts_work: false },
        Case { author: 1, then: &[Then::Peer], accepts_work: false },
        Case { author: 1, then: &[Then::StoreAway, Then::List], accepts_work: false },
        Case {
            author: 1,
            then: &[Then::StoreAway, Then::Removed, Then::Peer],
            accepts_work: false,
        },
        Case { author: 1, then: &[Then::Configuration], accepts_work: false },
        Case { author: 1, then: &[Then::Entry(LATER, Live)], accepts_work: true },
        Case { author: 1, then: &[Then::Removed, Then::Entry(LATER, Live)], accepts_work: true },
        Case {
            author: 1,
            then: &[Then::Entry(LATER, Live), Then::Announcement(1)],
            accepts_work: true,
        },
        Case { author: 1, then: &[Then::Entry(EARLIER, Live)], accepts_work: true },
        // Its entry is late: it had started when the announcement was made, whatever its clock says.
        Case { author: EARLIER, then: &[Then::Entry(EARLIER, Live)], accepts_work: false },
        Case { author: LATER, then: &[Then::Entry(LATER, Live)], accepts_work: false },
        Case {
            author: LATER,
            then: &[Then::Removed, Then::Entry(LATER, Live)],
            accepts_work: false,
        },
        Case {
            author: EARLIER,
            then: &[Then::Entry(EARLIER, Live), Then::Wait(9_000)],
            accepts_work: false,
        },
        Case {
            author: EARLIER,
            then: &[Then::Entry(EARLIER, Live), Then::Wait(120_000)],
            accepts_work: false,
        },
        Case {
            author: EARLIER,
            then: &[Then::Entry(EARLIER, Live), Then::Announcement(EARLIER), Then::Wait(11_000)],
            accepts_work: false,
        },
        Case {
            author: LATER,
            then: &[Then::Entry(LATER, Live), Then::Announcement(LATER)],
            accepts_work: false,
        },
        Case {
            author: 1,
            then: &[Then::Entry(LATER, Live), Then::Entry(1, Live)],
            accepts_work: false,
        },
    ];
    for Case { author, then, accepts_work } in cases {
        let mut sim = Simulation::new(1);
        let entry = sim.endpoints.get("plain-0").expect("the endpoint exists").entry.clone();
        announce(&mut sim, 0, "plain-0", 1);
        for (step, revision) in then.iter().zip(20..) {
            let listed = || sim.endpoints.values().map(|it| it.entry.clone()).collect();
            let event = match *step {
                Then::Nothing => continue,
                Then::Wait(time) => {
                    sim.run_for(ms(time));
                    continue;
                }
                Then::Entry(started, state) => {
                    let health = match started == author {
                        true => HealthReport::Leaving,
                        false => HealthReport::Sound,
                    };
                    sim.endpoints.get_mut("plain-0").expect("the endpoint exists").health = health;
                    let endpoint = ferry_model::GatewayEndpoint { started, state, ..entry.clone() };
                    Event::Store(StoreUpdate::Changed { revision, endpoint })
                }
                Then::Removed => {
                    Event::Store(StoreUpdate::Removed { revision, id: "plain-0".to_owned() })
                }
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
                Then::Configuration => Event::Config(crate::simulation::config(2).into()),
                Then::Announcement(started) => {
                    let endpoint = "plain-0".to_owned();
                    Event::Leaving { endpoint, started, report: LeavingReport::Leaving }
                }
            };
            sim.deliver(0, event);
            sim.run_for(ms(100));
        }
        let gateway = sim.instances[0].as_ref().expect("the instance is running");
        let view = gateway.context().endpoints.get("plain-0").expect("it is known");
        assert_eq!(view.accepts_work(), accepts_work, "{then:?}, announced by {author}");
    }
}

#[test]
fn announcement_counts_though_the_entry_of_its_start_came_before_it() {
    struct Case {
        started: u64,
        health: HealthReport,
        accepts_work: bool,
    }
    let cases = [
        Case { started: EARLIER, health: HealthReport::Leaving, accepts_work: false },
        Case { started: LATER, health: HealthReport::Leaving, accepts_work: false },
        Case { started: EARLIER, health: HealthReport::Unknown, accepts_work: false },
        Case { started: LATER, health: HealthReport::Unknown, accepts_work: false },
        Case { started: EARLIER, health: HealthReport::Sound, accepts_work: true },
        Case { started: LATER, health: HealthReport::Sound, accepts_work: true },
    ];
    for Case { started, health, accepts_work } in cases {
        let mut sim = Simulation::new(1);
        sim.run_for(ms(1_000));
        let entry = sim.endpoints.get("plain-0").expect("the endpoint exists").entry.clone();
        let endpoint = ferry_model::GatewayEndpoint { started, ..entry };
        sim.deliver(0, Event::Store(StoreUpdate::Changed { revision: 20, endpoint }));
        // The call was sent when only the former start was known.
        announce(&mut sim, 0, "plain-0", 1);
        sim.endpoints.get_mut("plain-0").expect("the endpoint exists").health = health;
        let gateway = sim.instances[0].as_ref().expect("the instance is running");
        let view = gateway.context().endpoints.get("plain-0").expect("it is known");
        assert!(!view.accepts_work(), "start {started}, before it has answered");
        sim.run_for(ms(60_000));
        let gateway = sim.instances[0].as_ref().expect("the instance is running");
        let view = gateway.context().endpoints.get("plain-0").expect("it is known");
        assert_eq!(view.accepts_work(), accepts_work, "start {started}, {health:?}");
        let n_checks = if health == HealthReport::Unknown { 55..=62 } else { 1..=1 };
        assert!(n_checks.contains(&sim.n_checks), "{health:?}: asked {} times", sim.n_checks);
        sim.run_for(ms(65_000));
        let gateway = sim.instances[0].as_ref().expect("the instance is running");
        let view = gateway.context().endpoints.get("plain-0").expect("it is known");
        // One that never answers is not lost for good.
        let accepts_work = health != HealthReport::Leaving;
        assert_eq!(view.accepts_work(), accepts_work, "start {started}, {health:?}");
    }
}

#[test]
fn announcement_counts_though_the_entry_was_missing_when_it_came() {
    for (started, accepts_work) in [(1, false), (LATER, true)] {
        let mut sim = Simulation::new(1);
        let entry = sim.endpoints.get("plain-0").expect("the endpoint exists").entry.clone();
        let removal = StoreUpdate::Removed { revision: 20, id: "plain-0".to_owned() };
        sim.deliver(0, Event::Store(removal));
        announce(&mut sim, 0, "plain-0", 1);
        if accepts_work {
            let endpoint = sim.endpoints.get_mut("plain-0").expect("the endpoint exists");
            endpoint.health = HealthReport::Sound;
        }
        let endpoint = ferry_model::GatewayEndpoint { started, ..entry };
        sim.deliver(0, Event::Store(StoreUpdate::Changed { revision: 21, endpoint }));
        sim.run_for(ms(100));
        let gateway = sim.instances[0].as_ref().expect("the instance is running");
        let view = gateway.context().endpoints.get("plain-0").expect("it is known");
        assert_eq!(view.accepts_work(), accepts_work, "start {started}");
    }
}

#[test]
fn answer_of_a_call_that_was_cancelled_announces_too() {
    let mut sim = Simulation::new(1);
    let ticket = sim.arrive(0, "gone", head("get", "gone"));
    sim.run_for(ms(10));
    sim.deliver(0, Event::CallerGone { ticket });
    announce(&mut sim, 0, "plain-0", 1);
    sim.deliver(
        0,
        Event::Call { call: 1, event: CallEvent::Answer { kind: AnswerKind::Result, load: None } },
    );
    let gateway = sim.instances[0].as_ref().expect("the instance is running");
    let view = gateway.context().endpoints.get("plain-0").expect("it is known");
    assert!(!view.accepts_work());
}

#[test]
fn other_values_of_the_header_are_logged_once_and_change_nothing() {
    let mut sim = Simulation::new(1);
    for _ in 0..100 {
        let (endpoint, report) = ("plain-0".to_owned(), LeavingReport::Invalid("soon".to_owned()));
        sim.deliver(0, Event::Leaving { endpoint, started: 1, report });
    }
    let lines = sim.decisions.iter().filter(|it| it.kind == DecisionKind::Endpoint);
    let lines: Vec<&str> =
        lines.map(|it| it.reason.as_str()).filter(|it| it.contains("soon")).collect();
    assert_eq!(lines, ["ignored \"soon\", which does not say whether it leaves"]);
    let gateway = sim.instances[0].as_ref().expect("the instance is running");
    let view = gateway.context().endpoints.get("plain-0").expect("it is known");
    assert!(view.accepts_work());
}

/// An announcement of which it was not certain whether it held ended after ten seconds where the
/// endpoint could not be asked, and the next request was the question.
#[test]
fn doubt_lasts_as_long_as_other_endpoints_are_free() {
    struct Case {
        endpoint: &'static str,
        routes: &'static [&'static str],
    }
    let cases = [
        Case { endpoint: "plain-0", routes: &["get", "post"] },
        Case { endpoint: "engine-0", routes: &["stream", "once"] },
        Case { endpoint: "first-0", routes: &["stream"] },
    ];
    for Case { endpoint, routes } in cases {
        for (is_asked, leaves, has_others) in [
            (false, true, true),
            (false, false, true),
            (true, true, true),
            (true, false, true),
            (false, true, false),
            (false, false, false),
            (true, true, false),
            (true, false, false),
        ] {
            let mut config = crate::simulation::config(1);
            let pool = endpoint.split('-').next().unwrap_or_default();
            let health = is_asked.then(|| "/health".to_owned());
            config.pools.get_mut(pool).expect("there is such a pool").health = health;
            let mut sim = Simulation::with_config(2, config, ferry_serve::Tuning::default());
            for id in sim.ids(pool).iter().filter(|it| !has_others && **it != endpoint) {
                let id = id.clone();
                let revision = 12;
                for instance in 0..2 {
                    let update = StoreUpdate::Removed { revision, id: id.clone() };
                    sim.deliver(instance, Event::Store(update));
                }
            }
            // The next start's entry comes while requests are under way, which it answers with the
            // announcement.
            sim.endpoints.get_mut(endpoint).expect("it exists").entry.started = LATER;
            sim.register_at(endpoint, 20);
            announce(&mut sim, 0, endpoint, 1);
            let health = if leaves { HealthReport::Leaving } else { HealthReport::Sound };
            sim.endpoints.get_mut(endpoint).expect("it exists").health = health;
            sim.run_for(ms(12_000));
            let before = n_received(&sim, endpoint);
            let mut load = Load::new(routes, 20);
            load.send(&mut sim, ms(3_000));
            sim.run_for(ms(3_000));
            let is_used = before < n_received(&sim, endpoint);
            let may_be_used = if is_asked { !leaves } else { !has_others };
            let name =
                format!("{endpoint}, asked: {is_asked}, leaves: {leaves}, others: {has_others}");
            assert_eq!(is_used, may_be_used, "{name}");
        }
    }
}
