//! Silence alone ends no answer: endpoints that fall silent and go on.

mod held_items;
mod pauses;
mod review;
mod second_runs;

use std::time::Duration;

use ferry_serve::{DecisionKind, Event, StoreUpdate, Tuning};
use proptest::prelude::*;

use crate::simulation::{Behaviour, ENGINE, Ending, FIRST, PLAIN, SECOND, Simulation, head, ms};

/// Time from the arrival of a request with stages until its engine runs it, but for some.
const STAGES: u64 = 400;

/// How much of the retry budget is left.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Budget {
    Full,
    Spent,
}

struct Case {
    route: &'static str,
    pool: &'static str,
    /// Time from the arrivals until the endpoints fall silent, in milliseconds.
    at: u64,
    phase: &'static str,
}

const CASES: [Case; 8] = [
    Case { route: "get", pool: PLAIN, at: 20, phase: "before the answer" },
    Case { route: "post", pool: PLAIN, at: 20, phase: "before the answer" },
    Case { route: "stream", pool: ENGINE, at: STAGES + 10, phase: "before the first event" },
    Case { route: "stream", pool: ENGINE, at: STAGES + 110, phase: "between events" },
    Case { route: "stream", pool: ENGINE, at: STAGES + 180, phase: "before the last event" },
    Case { route: "once", pool: ENGINE, at: STAGES + 10, phase: "before the first event" },
    Case { route: "once", pool: ENGINE, at: STAGES + 110, phase: "between events" },
    Case { route: "once", pool: ENGINE, at: STAGES + 180, phase: "before the last event" },
];

fn tuning(budget: Budget) -> Tuning {
    match budget {
        Budget::Full => Tuning::default(),
        Budget::Spent => Tuning { retry_ratio: 0.0, retry_extra: 0.0, ..Tuning::default() },
    }
}

fn start(budget: Budget) -> Simulation {
    Simulation::with_tuning(1, tuning(budget))
}

fn pool(sim: &Simulation, name: &str) -> Vec<String> {
    let members = sim.endpoints.values().filter(|it| it.entry.pool == name);
    members.map(|it| it.entry.id.clone()).collect()
}

/// Whether an answer is whole: plain, or a stream with all its events.
fn is_whole(sim: &Simulation, attempt: &str) -> bool {
    match sim.outcomes.get(attempt).map(|it| &it.ending) {
        Some(Ending::Answer) => true,
        Some(Ending::Stream) => sim.events.get(attempt).is_some_and(|it| *it == [1, 2, 3, 4, 5]),
        _ => false,
    }
}

/// Returns what callers were not given, and what ran too often.
fn failures(sim: &Simulation, attempts: &[String], name: &str) -> Vec<String> {
    let mut failures = Vec::new();
    for attempt in attempts {
        let (outcome, runs) = (sim.outcomes.get(attempt), sim.runs.get(attempt));
        if !is_whole(sim, attempt) {
            failures.push(format!("{name}: {attempt} ended as {outcome:?} after {runs:?}"));
        }
        let limit = if attempt.starts_with("get") || attempt.starts_with("stream") { 2 } else { 1 };
        let n_runs = runs.map_or(0, Vec::len);
        if limit < n_runs {
            failures.push(format!("{name}: {attempt} ran {n_runs} times"));
        }
    }
    failures.extend(sim.violations.iter().map(|it| format!("{name}: {it}")));
    failures
}

#[test]
fn no_answer_ends_because_its_endpoint_is_silent_for_a_moment() {
    let mut all = Vec::new();
    for case in CASES {
        for silence in [500, 1_000, 2_000] {
            for budget in [Budget::Full, Budget::Spent] {
                for n_silent in [1, usize::MAX] {
                    let mut sim = start(budget);
                    let attempts: Vec<String> =
                        (0..8).map(|it| format!("{}-{it}", case.route)).collect();
                    for attempt in &attempts {
                        sim.arrive(0, attempt, head(case.route, attempt));
                    }
                    sim.run_for(ms(case.at));
                    for id in pool(&sim, case.pool).iter().take(n_silent) {
                        sim.silence(id, ms(silence));
                    }
                    sim.run_for(ms(6_000));
                    let Case { route, phase, .. } = case;
                    let name = format!(
                        "{route} {phase}, {silence} ms, budget {budget:?}, {n_silent} silent"
                    );
                    all.extend(failures(&sim, &attempts, &name));
                }
            }
        }
    }
    assert!(all.is_empty(), "{} failures: {all:#?}", all.len());
}

#[test]
fn slow_engines_that_are_sound_answer_whole() {
    let mut sim = Simulation::new(1);
    for id in pool(&sim, ENGINE) {
        // The first event takes 1.44 s, and events are 240 ms apart.
        sim.set_behaviour(&id, Behaviour::Slow(12));
    }
    let attempts: Vec<String> = (0..8).map(|it| format!("stream-{it}")).collect();
    for attempt in &attempts {
        sim.arrive(0, attempt, head("stream", attempt));
    }
    sim.run_for(Duration::from_secs(10));
    let failures = failures(&sim, &attempts, "slow engines");
    assert!(failures.is_empty(), "{failures:#?}");
}

fn n_silences(sim: &Simulation) -> usize {
    let silences = sim.decisions.iter().filter(|it| it.kind == DecisionKind::Silence);
    silences.filter(|it| it.reason == "endpoint is silent").count()
}

/// Lets the endpoint that runs an attempt fall silent, and returns it.
fn silence_first(sim: &mut Simulation, attempt: &str, time: Duration) -> String {
    let endpoint = sim.runs.get(attempt).expect("it runs by now")[0].clone();
    sim.silence(&endpoint, time);
    endpoint
}

struct OtherRun {
    name: &'static str,
    route: &'static str,
    at: u64,
    /// How long the endpoint is silent, in milliseconds.
    silence: u64,
    /// What the other endpoints of the pool do.
    others: Behaviour,
    /// Whether the endpoint that fell silent brings the end of the answer.
    goes_on: bool,
    n_runs: usize,
    /// Longest time from the start of the silence until the answer, in milliseconds.
    within: u64,
}

#[test]
fn answer_that_comes_first_is_forwarded() {
    let dark = 60_000;
    let cases = [
        OtherRun {
            name: "a stream leaves an engine that is dark for good",
            route: "stream",
            at: STAGES + 110,
            silence: dark,
            others: Behaviour::Healthy,
            goes_on: false,
            n_runs: 2,
            within: 1_700,
        },
        OtherRun {
            name: "a request leaves an endpoint that is dark for good",
            route: "get",
            at: 20,
            silence: dark,
            others: Behaviour::Healthy,
            goes_on: false,
            n_runs: 2,
            within: 550,
        },
        OtherRun {
            name: "a stream goes on before another engine begins it",
            route: "stream",
            at: STAGES + 110,
            silence: 1_600,
            others: Behaviour::Slow(20),
            goes_on: true,
            n_runs: 2,
            within: 2_000,
        },
        OtherRun {
            name: "an answer comes before that of another endpoint",
            route: "get",
            at: 20,
            silence: 600,
            others: Behaviour::Slow(20),
            goes_on: true,
            n_runs: 2,
            within: 700,
        },
        OtherRun {
            name: "the other engines are full",
            route: "stream",
            at: STAGES + 110,
            silence: 2_000,
            others: Behaviour::Full,
            goes_on: true,
            n_runs: 1,
            within: 2_200,
        },
        OtherRun {
            name: "the other engines reset the stream",
            route: "stream",
            at: STAGES + 110,
            silence: 2_000,
            others: Behaviour::Reset,
            goes_on: true,
            n_runs: 2,
            within: 2_200,
        },
        OtherRun {
            name: "the other endpoint answers with an error",
            route: "get",
            at: 20,
            silence: 2_000,
            others: Behaviour::Failing,
            goes_on: true,
            n_runs: 2,
            within: 2_100,
        },
        OtherRun {
            name: "the other endpoint is silent as well",
            route: "get",
            at: 20,
            silence: 2_000,
            others: Behaviour::Silent,
            goes_on: true,
            n_runs: 2,
            within: 2_100,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(1);
        sim.arrive(0, "probe", head(case.route, "probe"));
        sim.run_for(ms(case.at));
        let first = silence_first(&mut sim, "probe", ms(case.silence));
        let entry = sim.endpoints.get(&first).expect("the endpoint exists").entry.clone();
        for id in pool(&sim, &entry.pool).iter().filter(|it| **it != first) {
            sim.set_behaviour(id, case.others);
        }
        sim.run_for(ms(5_000));
        let (name, took) = (case.name, sim.outcome("probe").took);
        assert!(is_whole(&sim, "probe"), "{name}: {:?}", sim.outcome("probe"));
        assert!(took <= ms(case.at + case.within), "{name}: {took:?}");
        assert_eq!(sim.runs.get("probe").map(Vec::len), Some(case.n_runs), "{name}");
        let last = sim.decisions.iter().rfind(|it| it.kind == DecisionKind::Complete);
        let last = last.and_then(|it| it.endpoint.clone()).expect("it is complete");
        assert_eq!(last == first, case.goes_on, "{name}: {last} brought the end");
        assert_eq!(sim.violations, Vec::<String>::new(), "{name}");
    }
}

#[test]
fn stream_goes_on_at_its_silent_engine_if_no_other_has_its_build() {
    let mut sim = Simulation::new(1);
    sim.arrive(0, "stream", head("stream", "stream"));
    sim.run_for(ms(STAGES + 130));
    let first = silence_first(&mut sim, "stream", ms(2_000));
    for id in pool(&sim, ENGINE).iter().filter(|it| **it != first) {
        sim.set_build(id, "v2");
        let endpoint = sim.endpoints.get(id).expect("the engine exists").entry.clone();
        sim.deliver(0, Event::Store(StoreUpdate::Changed { revision: 11, endpoint }));
    }
    sim.run_for(ms(5_000));
    let failures = failures(&sim, &["stream".to_owned()], "no other engine has its build");
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn caller_that_leaves_ends_the_calls_to_silent_endpoints_too() {
    for (route, at) in [("get", 20), ("stream", STAGES + 110)] {
        let mut sim = Simulation::new(1);
        let ticket = sim.arrive(0, "probe", head(route, "probe"));
        sim.run_for(ms(at));
        for id in [pool(&sim, PLAIN), pool(&sim, ENGINE)].concat() {
            sim.silence(&id, ms(60_000));
        }
        sim.run_for(ms(2_000));
        assert_eq!(sim.runs.get("probe").map(Vec::len), Some(2), "{route}");
        sim.deliver(0, Event::CallerGone { ticket });
        assert_eq!(sim.n_open_calls(), 0, "{route}");
    }
}

#[test]
fn process_that_stood_still_takes_no_endpoint_for_silent() {
    for stop in [1_000, 2_000] {
        for case in CASES {
            let mut sim = Simulation::new(1);
            let attempts: Vec<String> = (0..8).map(|it| format!("{}-{it}", case.route)).collect();
            for attempt in &attempts {
                sim.arrive(0, attempt, head(case.route, attempt));
            }
            sim.run_for(ms(case.at));
            sim.freeze(0);
            sim.run_for(ms(stop));
            sim.thaw(0);
            sim.run_for(ms(5_000));
            let name = format!("{} {}, stopped for {stop} ms", case.route, case.phase);
            let failures = failures(&sim, &attempts, &name);
            assert!(failures.is_empty(), "{failures:#?}");
            assert_eq!(n_silences(&sim), 0, "{name}");
        }
    }
}

#[test]
fn answers_are_whole_while_endpoints_of_stages_are_silent_for_a_moment() {
    for stage in [FIRST, SECOND] {
        for silence in [500, 1_000, 2_000] {
            let mut sim = Simulation::with_time_limit(1, ms(6_000));
            let attempts: Vec<String> = (0..4).map(|it| format!("stream-{it}")).collect();
            for attempt in &attempts {
                let mut head = head("stream", attempt);
                head.time_left = Some(ms(6_000));
                sim.arrive(0, attempt, head);
            }
            sim.run_for(ms(if stage == FIRST { 20 } else { 220 }));
            for id in pool(&sim, stage) {
                sim.silence(&id, ms(silence));
            }
            sim.run_for(ms(8_000));
            let failures = failures(&sim, &attempts, &format!("{stage} silent for {silence} ms"));
            assert!(failures.is_empty(), "{failures:#?}");
        }
    }
}

#[derive(Debug, Clone)]
enum Step {
    Arrive(&'static str),
    Silence { endpoint: usize, time: u64 },
    Freeze(u64),
    Shutdown,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let route = prop_oneof![Just("get"), Just("post"), Just("stream"), Just("once")];
    prop_oneof![
        6 => route.prop_map(Step::Arrive),
        4 => (0..5_usize, 100..2_000_u64)
            .prop_map(|(endpoint, time)| Step::Silence { endpoint, time }),
        1 => (100..1_000_u64).prop_map(Step::Freeze),
        1 => Just(Step::Shutdown),
        8 => (1..400_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// Endpoints are silent in series, for up to two seconds each time; 12 s are left for answers.
    #[test]
    fn answers_are_whole_whatever_is_silent_when(
        steps in proptest::collection::vec(step(), 1..40),
    ) {
        let mut sim = Simulation::with_time_limit(1, ms(60_000));
        let ids = [pool(&sim, PLAIN), pool(&sim, ENGINE)].concat();
        let mut attempts = Vec::new();
        let mut is_leaving = false;
        for (number, step) in steps.iter().enumerate() {
            match *step {
                Step::Arrive(route) if !is_leaving => {
                    let attempt = format!("{route}-{number}");
                    let mut head = head(route, &attempt);
                    head.time_left = Some(ms(60_000));
                    sim.arrive(0, &attempt, head);
                    attempts.push(attempt);
                }
                Step::Arrive(_) => (),
                Step::Silence { endpoint, time } => sim.silence(&ids[endpoint], ms(time)),
                Step::Freeze(time) => {
                    sim.freeze(0);
                    sim.run_for(ms(time));
                    sim.thaw(0);
                }
                Step::Shutdown => {
                    is_leaving = true;
                    sim.deliver(0, Event::Shutdown);
                }
                Step::Wait(time) => sim.run_for(ms(time)),
            }
        }
        sim.run_for(ms(60_000));
        let failures = failures(&sim, &attempts, "drawn");
        prop_assert!(failures.is_empty(), "{:#?}", failures);
    }
}
