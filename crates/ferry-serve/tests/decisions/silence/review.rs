//! Silence together with other trouble: what a second run takes back, leaves or spends.

use std::sync::Arc;

use ferry_model::{GatewayConfig, RouteStage};
use ferry_serve::{AnswerKind, CallEvent, Event, NotRunReason, PeerMessage, PermitAnswer, Status};
use proptest::prelude::*;

use super::{Budget, failures, is_whole, n_silences, pool, silence_first, start, tuning};
use crate::simulation::{
    Behaviour, ENGINE, Ending, FIRST, PLAIN, SECOND, Simulation, config, head, ms, peer,
};

const STREAM: &str = "stream";
/// Id of the first permit that a process asks for after its first start.
const FIRST_PERMIT: u64 = (1 << 24) + 1;

/// Returns why an attempt ended, and where it ran.
fn describe(sim: &Simulation, attempt: &str) -> String {
    let mut own = sim.decisions.iter().filter(|it| it.attempt.as_deref() == Some(attempt));
    let last = own.next_back().map(|it| it.reason.clone());
    format!("{:?} {last:?} {:?}", sim.outcomes.get(attempt), sim.runs.get(attempt))
}

/// Returns a simulation with a stream whose engine has brought its first event, and the engine.
fn begun_stream(config: GatewayConfig) -> (Simulation, String) {
    let mut sim = Simulation::new(1);
    let mut head = head(STREAM, STREAM);
    let route = config.routes.iter().find(|it| it.name == STREAM).expect("there is a route");
    head.items = vec![4; route.stages.len()];
    head.time_left = Some(ms(20_000));
    sim.spread(&Arc::new(long_config(config)));
    sim.arrive(0, STREAM, head);
    assert!(sim.run_until(|it| it.events.get(STREAM).is_some()), "it has begun");
    let engine = sim.runs.get(STREAM).expect("it runs")[0].clone();
    (sim, engine)
}

fn long_config(mut config: GatewayConfig) -> GatewayConfig {
    config.routes.iter_mut().for_each(|it| it.time_limit = ms(20_000));
    config
}

#[test]
fn stages_of_a_third_run_read_no_results_that_the_second_one_has_freed() {
    for back_after in (0..500).step_by(20) {
        let (mut sim, engine) = begun_stream(config(2));
        sim.silence(&engine, ms(900 + back_after));
        let has_two = |it: &Simulation| it.events.get(STREAM).is_some_and(|it| it.len() == 2);
        assert!(sim.run_until(has_two), "after {back_after} ms");
        sim.reset_calls(&engine);
        sim.run_for(ms(6_000));
        assert_eq!(sim.reads_of_freed, Vec::<String>::new(), "after {back_after} ms");
    }
}

#[test]
fn silence_uses_up_no_engines_that_are_sound() {
    let mut config = config(2);
    config.routes.iter_mut().for_each(|it| it.max_tries = 6);
    let (mut sim, engine) = begun_stream(config);
    for n_events in 2..=4 {
        sim.silence(&engine, ms(1_300));
        let is_heard =
            |it: &Simulation| it.events.get(STREAM).is_some_and(|it| it.len() == n_events);
        assert!(sim.run_until(is_heard), "event {n_events}");
    }
    sim.reset_calls(&engine);
    sim.run_for(ms(6_000));
    assert!(is_whole(&sim, STREAM), "{}", describe(&sim, STREAM));
}

#[test]
fn stream_with_many_stages_runs_again_after_a_break() {
    let mut config = config(2);
    for route in config.routes.iter_mut().filter(|it| it.name == STREAM) {
        let stage = |idx: usize| RouteStage {
            pool: if idx.is_multiple_of(2) { FIRST } else { SECOND }.to_owned(),
            after: idx.checked_sub(1).into_iter().collect(),
            result_bytes: 1_000,
        };
        route.stages = (0..6).map(stage).collect();
    }
    let (mut sim, engine) = begun_stream(config);
    sim.reset_calls(&engine);
    sim.run_for(ms(6_000));
    assert!(is_whole(&sim, STREAM), "{}", describe(&sim, STREAM));
}

#[test]
fn answer_that_cannot_go_on_with_a_stream_is_not_better_than_its_silent_engine() {
    let kinds = [
        AnswerKind::Result,
        AnswerKind::Error,
        AnswerKind::UnconfirmedRefusal { status: 429 },
        AnswerKind::UnconfirmedRefusal { status: 503 },
    ];
    for kind in kinds {
        let (mut sim, engine) = begun_stream(config(2));
        sim.silence(&engine, ms(2_000));
        for id in pool(&sim, ENGINE).iter().filter(|it| **it != engine) {
            sim.set_behaviour(id, Behaviour::Silent);
        }
        assert!(sim.run_until(|it| it.runs.get(STREAM).is_some_and(|it| it.len() == 2)));
        let call = sim.last_call(STREAM).expect("it is called");
        let answer = CallEvent::Answer { kind, load: None };
        sim.deliver(0, Event::Call { call, event: answer });
        sim.run_for(ms(6_000));
        assert!(is_whole(&sim, STREAM), "{kind:?}: {}", describe(&sim, STREAM));
    }
}

#[test]
fn engine_whose_inputs_are_gone_is_asked_again_after_others_refused() {
    let mut sim = Simulation::with_time_limit(1, ms(20_000));
    let mut head = head(STREAM, STREAM);
    head.time_left = Some(ms(20_000));
    sim.arrive(0, STREAM, head);
    assert!(sim.run_until(|it| it.runs.get(STREAM).is_some()));
    let first = silence_first(&mut sim, STREAM, ms(60_000));
    let call = sim.last_call(STREAM).expect("it is called");
    for id in pool(&sim, ENGINE).iter().filter(|it| **it != first) {
        sim.set_behaviour(id, Behaviour::Full);
    }
    sim.run_for(ms(2_500));
    sim.end_silence(&first);
    let event = CallEvent::NotRun { reason: NotRunReason::InputsGone, load: None };
    sim.deliver(0, Event::Call { call, event });
    sim.run_for(ms(6_000));
    assert!(is_whole(&sim, STREAM), "{}", describe(&sim, STREAM));
}

#[test]
fn process_that_stood_still_after_a_look_at_the_silence_does_not_look_at_once() {
    let mut sim = start(Budget::Spent);
    sim.arrive(0, "get", head("get", "get"));
    sim.run_for(ms(20));
    for id in pool(&sim, PLAIN) {
        sim.silence(&id, ms(2_500));
    }
    sim.run_for(ms(500));
    assert_eq!(n_silences(&sim), 1);
    sim.freeze(0);
    sim.run_for(ms(1_000));
    sim.thaw(0);
    sim.run_for(ms(150));
    assert_eq!(n_silences(&sim), 1, "the endpoint could not be heard meanwhile");
}

#[test]
fn late_permit_of_a_run_that_was_withdrawn_is_not_used() {
    let (mut sim, engine) = begun_stream(config(2));
    sim.limit_pool(ENGINE, 0.3);
    let reason = "its endpoint limits its requests";
    let n_waits = |it: &Simulation| {
        let waits = it.decisions.iter().filter(|it| it.reason == reason);
        waits.filter(|it| it.attempt.as_deref() == Some(STREAM)).count()
    };
    sim.silence(&engine, ms(1_500));
    assert!(sim.run_until(|it| n_waits(it) == 1), "the second run waits");
    let has_two = |it: &Simulation| it.events.get(STREAM).is_some_and(|it| it.len() == 2);
    assert!(sim.run_until(has_two), "its engine goes on");
    for number in 0..8 {
        let attempt = format!("once-{number}");
        let mut head = head("once", &attempt);
        head.time_left = Some(ms(20_000));
        sim.arrive(0, &attempt, head);
    }
    sim.run_for(ms(5));
    sim.silence(&engine, ms(4_000));
    assert!(sim.run_until(|it| n_waits(it) == 2), "the third run waits");
    let n_runs = sim.runs.get(STREAM).map(Vec::len);
    for id in FIRST_PERMIT..FIRST_PERMIT + 4 {
        let answer = PermitAnswer::Granted { waited: ms(0) };
        let message = PeerMessage::Permit { id, n_asks: 1, answer };
        sim.deliver(0, Event::Peer { from: peer(1), message });
    }
    assert_eq!(sim.runs.get(STREAM).map(Vec::len), n_runs);
    let failures = failures(&sim, &[], "late permit");
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Trouble beside silence, drawn.
#[derive(Debug, Clone)]
enum Trouble {
    Arrive { route: &'static str, instance: usize },
    Silence { endpoint: usize, time: u64 },
    Behave { endpoint: usize, behaviour: Behaviour },
    Break(usize),
    Limit(f64),
    Freeze { instance: usize, time: u64 },
    Cut(usize),
    Leave(usize),
    Wait(u64),
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let route =
        prop_oneof![Just("get"), Just("post"), Just("stream"), Just("stream"), Just("once")];
    let behaviour = prop_oneof![
        3 => Just(Behaviour::Healthy),
        1 => Just(Behaviour::Silent),
        1 => Just(Behaviour::Reset),
        1 => Just(Behaviour::Full),
        1 => Just(Behaviour::Failing),
        1 => Just(Behaviour::Slow(10)),
    ];
    prop_oneof![
        8 => (route, 0..3_usize).prop_map(|(route, instance)| Trouble::Arrive { route, instance }),
        5 => (0..11_usize, 100..2_500_u64)
            .prop_map(|(endpoint, time)| Trouble::Silence { endpoint, time }),
        3 => (0..11_usize, behaviour)
            .prop_map(|(endpoint, behaviour)| Trouble::Behave { endpoint, behaviour }),
        2 => (0..11_usize).prop_map(Trouble::Break),
        1 => prop_oneof![Just(0.4), Just(3.0)].prop_map(Trouble::Limit),
        1 => (0..3_usize, 100..1_500_u64)
            .prop_map(|(instance, time)| Trouble::Freeze { instance, time }),
        1 => (0..4_usize).prop_map(Trouble::Cut),
        1 => (0..8_usize).prop_map(Trouble::Leave),
        12 => (1..500_u64).prop_map(Trouble::Wait),
    ]
}

/// A drawn run: its requests, and those whose callers have left.
struct Run {
    sim: Simulation,
    attempts: Vec<String>,
    left: Vec<String>,
}

impl Run {
    fn new(n_instances: usize, max_tries: u32, budget: Budget) -> Run {
        let mut sim = Simulation::with_tuning(n_instances, tuning(budget));
        let mut config = long_config(config(2));
        let repeatable = config.routes.iter_mut().filter(|it| 1 < it.max_tries);
        repeatable.for_each(|it| it.max_tries = max_tries);
        sim.spread(&Arc::new(config));
        sim.run_for(ms(500));
        Run { sim, attempts: Vec::new(), left: Vec::new() }
    }

    fn step(&mut self, number: usize, trouble: &Trouble, tickets: &mut Vec<(usize, u64, String)>) {
        let sim = &mut self.sim;
        let n_instances = sim.instances.len();
        let ids: Vec<String> = sim.endpoints.keys().cloned().collect();
        match *trouble {
            Trouble::Arrive { route, instance } => {
                let attempt = format!("{route}-{number}");
                let instance = instance % n_instances;
                let mut head = head(route, &attempt);
                head.time_left = Some(ms(20_000));
                let ticket = sim.arrive(instance, &attempt, head);
                tickets.push((instance, ticket, attempt.clone()));
                self.attempts.push(attempt);
            }
            Trouble::Silence { endpoint, time } => sim.silence(&ids[endpoint], ms(time)),
            Trouble::Behave { endpoint, behaviour } => sim.set_behaviour(&ids[endpoint], behaviour),
            Trouble::Break(endpoint) => {
                sim.reset_calls(&ids[endpoint]);
                sim.set_behaviour(&ids[endpoint], Behaviour::Healthy);
            }
            Trouble::Limit(rate) => sim.limit_pool(ENGINE, rate),
            Trouble::Freeze { instance, time } => {
                let instance = instance % n_instances;
                sim.freeze(instance);
                sim.run_for(ms(time));
                sim.thaw(instance);
            }
            Trouble::Cut(instance) => sim.isolated = vec![instance],
            Trouble::Leave(nth) if !tickets.is_empty() => {
                let (instance, ticket, attempt) = tickets.remove(nth % tickets.len());
                if sim.outcomes.get(&attempt).is_none() {
                    sim.deliver(instance, Event::CallerGone { ticket });
                    self.left.push(attempt);
                }
            }
            Trouble::Leave(_) => (),
            Trouble::Wait(time) => sim.run_for(ms(time)),
        }
    }

    /// Returns what broke a rule.
    fn failures(&self, max_tries: usize) -> Vec<String> {
        let sim = &self.sim;
        let mut failures = sim.violations.clone();
        if sim.n_open_calls() != 0 {
            failures.push(format!("{} calls are open", sim.n_open_calls()));
        }
        for attempt in &self.attempts {
            let is_once = attempt.starts_with("post") || attempt.starts_with("once");
            let limit = if is_once { 1 } else { max_tries };
            let n_runs = sim.runs.get(attempt).map_or(0, Vec::len);
            if limit < n_runs {
                failures.push(format!("{attempt} ran {n_runs} times"));
            }
            if self.left.contains(attempt) {
                continue;
            }
            let is_broken = sim.broken.contains(attempt);
            match sim.outcomes.get(attempt).map(|it| (&it.ending, it.took)) {
                None => failures.push(format!("{attempt} has not ended")),
                Some((Ending::Stream, _)) if !is_whole(sim, attempt) => {
                    failures.push(format!("{attempt}: {:?}", sim.events.get(attempt)));
                }
                Some((Ending::Stream | Ending::Answer | Ending::Error, _)) => (),
                Some((Ending::Refused(it), _)) if it.status == Status::NotRun => (),
                Some((Ending::Refused(_) | Ending::Aborted, took)) => {
                    if !is_broken && took < ms(20_000) {
                        failures.push(describe(sim, attempt));
                    }
                }
            }
        }
        failures
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// An answer ends for a break, an error, the deadline or its caller, whatever is silent beside.
    #[test]
    fn silence_beside_other_trouble_ends_no_answer(
        steps in proptest::collection::vec(trouble(), 1..60),
        is_single in any::<bool>(),
        max_tries in 2..5_u32,
        is_spent in any::<bool>(),
    ) {
        let budget = if is_spent { Budget::Spent } else { Budget::Full };
        let mut run = Run::new(if is_single { 1 } else { 3 }, max_tries, budget);
        let mut tickets = Vec::new();
        for (number, step) in steps.iter().enumerate() {
            run.step(number, step, &mut tickets);
        }
        run.sim.run_for(ms(40_000));
        let failures = run.failures(max_tries as usize);
        prop_assert!(failures.is_empty(), "{:#?}", failures);
    }
}
