//! One request through every stage, without and with a fault.

use std::time::Duration;

use ferry_core::Tuning;
use ferry_fakes::{Deployment, DeploymentName, FakeEndpoint, Request, World};
use ferry_model::Outcome;

struct Case {
    name: &'static str,
    pipeline: &'static str,
    fault: fn(&mut FakeEndpoint),
    outcome: Outcome,
    output: Option<&'static str>,
}

const DRAFT: &str = "generate(rerank(retrieve(encode(licence of bar 7))))";

const CASES: &[Case] = &[
    Case {
        name: "healthy",
        pipeline: "draft",
        fault: |_| (),
        outcome: Outcome::Complete,
        output: Some(DRAFT),
    },
    Case {
        name: "final answers sent twice",
        pipeline: "draft",
        fault: |it| it.faults.duplicate = true,
        outcome: Outcome::Complete,
        output: Some(DRAFT),
    },
    Case {
        name: "connection of a non-repeatable run breaks",
        pipeline: "file",
        fault: |it| it.faults.crash_after_run = it.endpoint.pool == "filing",
        outcome: Outcome::InDoubt,
        output: None,
    },
    Case {
        name: "answers of another request",
        pipeline: "file",
        fault: |it| it.faults.wrong_echo = it.endpoint.pool == "filing",
        outcome: Outcome::InDoubt,
        output: None,
    },
];

#[test]
fn outcome_matches_what_ran() {
    for case in CASES {
        let deployment = Deployment::new(DeploymentName::Ikenna);
        let mut world = World::with_deployment(&deployment, 3, &Tuning::default(), 7)
            .expect("the configuration is valid");
        world.endpoints.values_mut().for_each(case.fault);
        world.run_for(Duration::from_secs(1));
        let request = Request::new("bars", case.pipeline, "licence of bar 7");
        let ticket = world.submit(0, request);
        world.run_for(Duration::from_secs(20));
        let record = world.requests.get(&ticket).expect("the request is recorded");
        assert_eq!(record.answers.len(), 1, "{}: one answer", case.name);
        let answer = record.answer().expect("an answer");
        assert_eq!(answer.outcome, case.outcome, "{}", case.name);
        assert_eq!(answer.output.as_deref(), case.output, "{}", case.name);
    }
}
