//! Streamed answers are complete despite faults of endpoints and connections.

use std::time::Duration;

use ferry_core::{Metric, Tuning};
use ferry_fakes::{
    Deployment, DeploymentName, EndpointFaults, Request, World, invariant_violations,
};
use ferry_model::Outcome;

struct Case {
    name: &'static str,
    /// Sets the faults of one engine, given its position in the pool.
    fault: fn(usize, &mut EndpointFaults),
    outcome: Outcome,
    /// Whether more than one call contributed to the answer.
    is_resumed: bool,
}

const CASES: &[Case] = &[
    Case { name: "healthy", fault: |_, _| (), outcome: Outcome::Complete, is_resumed: false },
    Case {
        name: "two engines break each stream after three tokens",
        fault: |idx, it| it.break_after = (idx < 2).then_some(3),
        outcome: Outcome::Complete,
        is_resumed: true,
    },
    Case {
        name: "two engines stall with their connections open",
        fault: |idx, it| it.stall_after = (idx < 2).then_some(7),
        outcome: Outcome::Complete,
        is_resumed: true,
    },
    Case {
        name: "pooled connections never answer, new ones work",
        fault: |_, it| it.stale_connections = true,
        outcome: Outcome::Complete,
        is_resumed: true,
    },
    Case {
        name: "every terminal event is sent twice",
        fault: |_, it| it.duplicate = true,
        outcome: Outcome::Complete,
        is_resumed: false,
    },
    Case {
        name: "every stream echoes another request",
        fault: |_, it| it.wrong_echo = true,
        outcome: Outcome::Failed,
        is_resumed: true,
    },
];

#[test]
fn stream_is_complete_or_its_caller_gets_an_error() {
    for case in CASES {
        let mut world = world(&Tuning::default());
        let engines = world.endpoints.values_mut().filter(|it| it.endpoint.pool == "drafting");
        for (idx, engine) in engines.enumerate() {
            (case.fault)(idx, &mut engine.faults);
        }
        let mut tickets = Vec::new();
        for n in 0..6 {
            let request = Request::new("bars", "draft", format!("licence {n}")).with_stream();
            tickets.push(world.submit(n % 3, request));
            world.run_for(Duration::from_millis(40));
        }
        world.run_for(Duration::from_secs(20));
        for ticket in &tickets {
            let record = &world.requests.get(ticket).expect("the request is recorded");
            let outcome = record.answer().map(|it| it.outcome);
            assert_eq!(outcome, Some(case.outcome), "{}", case.name);
            if case.outcome == Outcome::Complete {
                assert!(!record.tokens.is_empty(), "{}: tokens were streamed", case.name);
            }
        }
        let generated = world.runs.iter().filter(|it| it.stage == "generate").count();
        let n_retried: u64 = (0..3).map(|it| world.count(it, Metric::CallsRetried)).sum();
        assert_eq!(0 < n_retried, case.is_resumed, "{}: {generated} runs", case.name);
        assert_eq!(invariant_violations(&world), Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn disconnected_caller_stops_the_work() {
    let mut world = world(&Tuning::default());
    let ticket = world.submit(0, Request::new("bars", "draft", "licence").with_stream());
    world.run_for(Duration::from_millis(150));
    assert!(0 < busy_engines(&world), "an engine is busy");
    world.hang_up(ticket);
    world.run_for(Duration::from_millis(20));
    assert_eq!(busy_engines(&world), 0);
}

#[test]
fn passed_deadline_stops_the_work_and_is_answered_at_once() {
    let mut world = world(&Tuning::default());
    for engine in world.endpoints.values_mut().filter(|it| it.endpoint.pool == "drafting") {
        engine.faults.straggle = Some(20.0);
    }
    let deadline = Duration::from_millis(900);
    let request = Request::new("bars", "draft", "licence").with_deadline(deadline);
    let ticket = world.submit(0, request);
    world.run_for(deadline + Duration::from_millis(20));
    let record = world.requests.get(&ticket).expect("the request is recorded");
    let answer = record.answer().expect("an answer at the deadline");
    assert_eq!(answer.outcome, Outcome::Failed);
    assert!(answer.retry_after.is_some(), "the answer states when to retry");
    assert_eq!(busy_engines(&world), 0);
}

fn world(tuning: &Tuning) -> World {
    let deployment = Deployment::new(DeploymentName::Ikenna);
    let mut world =
        World::with_deployment(&deployment, 3, tuning, 5).expect("the configuration is valid");
    world.run_for(Duration::from_secs(2));
    world
}

fn busy_engines(world: &World) -> usize {
    let engines = world.endpoints.values().filter(|it| it.endpoint.pool == "drafting");
    engines.filter(|it| !it.is_idle()).count()
}
