//! Second runs beside silent endpoints that turn out to bring nothing.

use std::time::Duration;

use ferry_serve::{CallEvent, CallId, Event, ItemFailure, NotRunReason};

use super::{STAGES, failures, pool, silence_first};
use crate::simulation::{Behaviour, ENGINE, Ending, FIRST, PLAIN, SECOND, Simulation, head, ms};

/// Longer than any request.
const DARK: Duration = ms(60_000);

struct Case {
    name: &'static str,
    /// Time from the arrival until the engine falls silent, in milliseconds.
    at: u64,
    /// Time from the head of the other engine until that resets the stream.
    reset_after: Duration,
}

#[test]
fn head_of_a_second_run_that_brings_no_event_ends_no_answer() {
    let cases = [
        Case { name: "reset before the first event", at: STAGES + 10, reset_after: ms(50) },
        Case { name: "reset between events", at: STAGES + 110, reset_after: ms(50) },
        Case { name: "silent before the first event", at: STAGES + 10, reset_after: DARK },
        Case { name: "silent between events", at: STAGES + 110, reset_after: DARK },
    ];
    let mut all = Vec::new();
    for case in cases {
        for silence in [1_500, 2_000, 2_500] {
            let mut sim = Simulation::with_time_limit(1, ms(8_000));
            let mut head = head("stream", "stream");
            head.time_left = Some(ms(8_000));
            sim.arrive(0, "stream", head);
            sim.run_for(ms(case.at));
            let first = silence_first(&mut sim, "stream", ms(silence));
            for id in pool(&sim, ENGINE).iter().filter(|it| **it != first) {
                sim.set_behaviour(id, Behaviour::HeadOnly(case.reset_after));
            }
            sim.run_for(ms(9_000));
            let name = format!("{}, {silence} ms", case.name);
            all.extend(failures(&sim, &["stream".to_owned()], &name));
        }
    }
    assert!(all.is_empty(), "{} failures: {all:#?}", all.len());
}

#[test]
fn late_head_of_a_silent_engine_that_then_fails_ends_no_second_run() {
    let mut all = Vec::new();
    for silence in (1_200..2_600).step_by(200) {
        let mut sim = Simulation::with_time_limit(1, ms(8_000));
        let mut head = head("stream", "stream");
        head.time_left = Some(ms(8_000));
        let engines = pool(&sim, ENGINE);
        engines.iter().for_each(|it| sim.set_behaviour(it, Behaviour::HeadOnly(ms(100))));
        sim.arrive(0, "stream", head);
        sim.run_for(ms(STAGES + 10));
        let first = silence_first(&mut sim, "stream", ms(silence));
        for id in engines.iter().filter(|it| **it != first) {
            // The first event takes 0.96 s.
            sim.set_behaviour(id, Behaviour::Slow(8));
        }
        sim.run_for(ms(9_000));
        all.extend(failures(&sim, &["stream".to_owned()], &format!("{silence} ms")));
    }
    assert!(all.is_empty(), "{} failures: {all:#?}", all.len());
}

#[test]
fn head_of_a_run_after_an_error_does_not_rule_the_error_out() {
    let mut all = Vec::new();
    for reset_after in [ms(50), ms(500), DARK] {
        // Whether the error comes while a second run is in progress.
        for is_beside in [false, true] {
            let mut sim = Simulation::new(1);
            let engines = pool(&sim, ENGINE);
            let first = if is_beside { Behaviour::Silent } else { Behaviour::Failing };
            engines.iter().for_each(|it| sim.set_behaviour(it, first));
            sim.arrive(0, "stream", head("stream", "stream"));
            assert!(sim.run_until(|it| it.runs.get("stream").is_some()));
            let first = sim.runs.get("stream").expect("it runs by now")[0].clone();
            let first_call = sim.last_call("stream").expect("it is called");
            for id in engines.iter().filter(|it| **it != first) {
                sim.set_behaviour(id, Behaviour::HeadOnly(reset_after));
            }
            if is_beside {
                assert!(sim.run_until(|it| it.runs.get("stream").is_some_and(|it| it.len() == 2)));
                sim.fail(0, first_call);
            }
            sim.run_for(ms(5_000));
            let ending = &sim.outcome("stream").ending;
            if *ending != Ending::Error {
                all.push(format!("{reset_after:?}, beside {is_beside}: {ending:?}"));
            }
            all.extend(sim.violations.clone());
            assert_eq!(sim.n_open_calls(), 0);
        }
    }
    assert!(all.is_empty(), "{} failures: {all:#?}", all.len());
}

/// How a run ends that brings no answer.
fn ends() -> [Option<CallEvent>; 4] {
    [
        Some(CallEvent::NotRun { reason: NotRunReason::Full, load: None }),
        Some(CallEvent::Unsent { error: "connection refused".to_owned() }),
        Some(CallEvent::Broken { error: "reset".to_owned() }),
        // It lasts until the deadline.
        None,
    ]
}

struct Failed {
    route: &'static str,
    pool: &'static str,
    at: u64,
}

const FAILED: [Failed; 2] = [
    Failed { route: "get", pool: PLAIN, at: 20 },
    Failed { route: "stream", pool: ENGINE, at: STAGES + 10 },
];

/// Lets the endpoint of a request fall silent until another one runs it as well, and returns both calls.
fn run_twice(sim: &mut Simulation, case: &Failed, silence: Duration) -> [CallId; 2] {
    sim.arrive(0, "probe", head(case.route, "probe"));
    sim.run_for(ms(case.at));
    let first = sim.last_call("probe").expect("it is called");
    for id in pool(sim, case.pool) {
        sim.silence(&id, silence);
    }
    assert!(sim.run_until(|it| it.runs.get("probe").is_some_and(|it| it.len() == 2)));
    [first, sim.last_call("probe").expect("it is called again")]
}

#[test]
fn error_beside_a_run_that_brings_nothing_is_forwarded() {
    let mut all = Vec::new();
    for case in FAILED {
        // Which of the two answers with the error.
        for nth in [0, 1] {
            for end in ends() {
                let mut sim = Simulation::new(1);
                let calls = run_twice(&mut sim, &case, DARK);
                sim.fail(0, calls[nth]);
                if let Some(event) = end.clone() {
                    sim.deliver(0, Event::Call { call: calls[1 - nth], event });
                }
                sim.run_for(ms(5_000));
                let ending = &sim.outcome("probe").ending;
                if *ending != Ending::Error {
                    all.push(format!("{} run {nth}, other {end:?}: {ending:?}", case.route));
                }
                all.extend(sim.violations.clone());
                assert_eq!(sim.n_open_calls(), 0);
            }
        }
    }
    assert!(all.is_empty(), "{} failures: {all:#?}", all.len());
}

#[test]
fn error_is_forwarded_if_the_run_after_it_brings_nothing() {
    let mut all = Vec::new();
    for case in FAILED {
        for behaviour in [Behaviour::Full, Behaviour::Reset, Behaviour::Silent] {
            let mut sim = Simulation::new(1);
            pool(&sim, case.pool).iter().for_each(|it| sim.set_behaviour(it, Behaviour::Failing));
            sim.arrive(0, "probe", head(case.route, "probe"));
            assert!(sim.run_until(|it| it.runs.get("probe").is_some()));
            let first = sim.runs.get("probe").expect("it runs by now")[0].clone();
            for id in pool(&sim, case.pool).iter().filter(|it| **it != first) {
                sim.set_behaviour(id, behaviour);
            }
            sim.run_for(ms(5_000));
            let ending = &sim.outcome("probe").ending;
            if *ending != Ending::Error {
                all.push(format!("{} others {behaviour:?}: {ending:?}", case.route));
            }
            all.extend(sim.violations.clone());
            assert_eq!(sim.n_open_calls(), 0);
        }
    }
    assert!(all.is_empty(), "{} failures: {all:#?}", all.len());
}

#[test]
fn error_that_is_held_back_gives_way_to_a_better_answer() {
    for case in FAILED {
        for nth in [0, 1] {
            let mut sim = Simulation::new(1);
            let calls = run_twice(&mut sim, &case, ms(2_500));
            sim.fail(0, calls[nth]);
            sim.run_for(ms(5_000));
            let ending = &sim.outcome("probe").ending;
            assert!(
                matches!(ending, Ending::Answer | Ending::Stream),
                "{}: {ending:?}",
                case.route
            );
            assert_eq!(sim.violations, Vec::<String>::new());
            assert_eq!(sim.n_open_calls(), 0);
        }
    }
}

#[test]
fn error_that_is_held_back_is_dropped_with_its_caller() {
    for case in FAILED {
        for nth in [0, 1] {
            let mut sim = Simulation::new(1);
            let calls = run_twice(&mut sim, &case, DARK);
            sim.fail(0, calls[nth]);
            assert_eq!(sim.n_open_calls(), 2);
            sim.deliver(0, Event::CallerGone { ticket: 1 });
            assert_eq!(sim.n_open_calls(), 0);
        }
    }
}

#[test]
fn failures_of_items_end_no_call_that_goes_on_with_them() {
    let others = [
        Behaviour::FailItems(ItemFailure::Late),
        Behaviour::FailItems(ItemFailure::Error),
        Behaviour::Reset,
    ];
    let stages = [(FIRST, 30), (SECOND, 250)];
    let cases = others.iter().flat_map(|other| stages.map(|stage| (other, stage)));
    let mut all = Vec::new();
    for (other, (pool_name, at)) in cases {
        for silence in [300, 500, 700] {
            let mut sim = Simulation::with_time_limit(1, ms(8_000));
            let mut head = head("stream", "probe");
            head.time_left = Some(ms(8_000));
            sim.arrive(0, "probe", head);
            sim.run_for(ms(at));
            let members = pool(&sim, pool_name);
            let first = sim.decisions.iter().rev().find_map(|it| it.endpoint.clone());
            let first = first.expect("its items are in a call");
            assert!(members.contains(&first), "{pool_name}: {first}");
            sim.silence(&first, ms(silence));
            for id in members.iter().filter(|it| **it != first) {
                sim.set_behaviour(id, *other);
            }
            sim.run_for(ms(6_000));
            let ending = &sim.outcome("probe").ending;
            if *ending != Ending::Stream {
                all.push(format!("{pool_name} {other:?}, {silence} ms: {ending:?}"));
            }
        }
    }
    assert!(all.is_empty(), "{} failures: {all:#?}", all.len());
}
