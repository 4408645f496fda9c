//! Non-repeatable stages run at most once, under one fault at a time.

use std::time::Duration;

use ferry_core::Tuning;
use ferry_fakes::{Deployment, DeploymentName, Request, World, invariant_violations};
use ferry_model::{Outcome, Ticket};

struct Case {
    name: &'static str,
    /// Returns the tickets whose outcomes are checked, in order.
    act: fn(&mut World) -> Vec<Ticket>,
    outcomes: &'static [Outcome],
    /// Runs of the filing stage.
    runs: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "healthy",
        act: |world| vec![world.submit(0, file("a"))],
        outcomes: &[Outcome::Complete],
        runs: 1,
    },
    Case {
        name: "duplicates at one instance join",
        act: |world| {
            let first = world.submit(0, file("a"));
            world.run_for(Duration::from_millis(10));
            vec![first, world.submit(0, file("a"))]
        },
        outcomes: &[Outcome::Complete, Outcome::Complete],
        runs: 1,
    },
    Case {
        name: "duplicates at two instances share one run",
        act: |world| vec![world.submit(0, file("a")), world.submit(1, file("a"))],
        outcomes: &[Outcome::Complete, Outcome::Complete],
        runs: 1,
    },
    Case {
        name: "a retry after the answer gets the same answer",
        act: |world| {
            let first = world.submit(0, file("a"));
            world.run_for(Duration::from_secs(3));
            vec![first, world.submit(0, file("a")), world.submit(2, file("a"))]
        },
        outcomes: &[Outcome::Complete, Outcome::Complete, Outcome::Complete],
        runs: 1,
    },
    Case {
        name: "a key with another body is refused at the same and at another instance",
        act: |world| {
            let first = world.submit(0, file("a"));
            world.run_for(Duration::from_secs(3));
            let other = Request::new("bars", "file", "another body").with_key("a");
            vec![first, world.submit(0, other.clone()), world.submit(1, other)]
        },
        outcomes: &[Outcome::Complete, Outcome::NotRun, Outcome::NotRun],
        runs: 1,
    },
    Case {
        name: "store down",
        act: |world| {
            world.store.faults.down = true;
            vec![world.submit(0, file("a"))]
        },
        outcomes: &[Outcome::NotRun],
        runs: 0,
    },
    Case {
        name: "store down, then a retry of the key",
        act: |world| {
            world.store.faults.down = true;
            let first = world.submit(0, file("a"));
            world.run_for(Duration::from_secs(5));
            world.store.faults.down = false;
            world.run_for(Duration::from_secs(5));
            vec![first, world.submit(0, file("a"))]
        },
        outcomes: &[Outcome::NotRun, Outcome::Complete],
        runs: 1,
    },
    Case {
        name: "answers of the store are lost",
        act: |world| {
            world.store.faults.lost_answers = 2;
            vec![world.submit(0, file("a")), world.submit(1, file("b"))]
        },
        outcomes: &[Outcome::Complete, Outcome::Complete],
        runs: 2,
    },
    Case {
        name: "the claim is written but unread, and the key is retried elsewhere at once",
        act: |world| {
            let first = leave_unread_claim(world);
            world.store.faults.down = false;
            vec![first, world.submit(1, file("a"))]
        },
        outcomes: &[Outcome::NotRun, Outcome::Complete],
        runs: 1,
    },
    Case {
        name: "the unread claim is released, its holder dies, and the key is retried",
        act: |world| {
            let first = leave_unread_claim(world);
            world.store.faults.down = false;
            world.run_for(Duration::from_secs(5));
            world.kill(0);
            vec![first, world.submit(1, file("a"))]
        },
        outcomes: &[Outcome::NotRun, Outcome::Complete],
        runs: 1,
    },
    Case {
        name: "the holder dies after it sent the call",
        act: |world| {
            world.submit(0, file("a"));
            world.run_for(Duration::from_millis(60));
            world.kill(0);
            vec![world.submit(1, file("a"))]
        },
        outcomes: &[Outcome::InDoubt],
        runs: 1,
    },
    Case {
        name: "the holder is replaced under the same name",
        act: |world| {
            world.submit(0, file("a"));
            world.run_for(Duration::from_millis(60));
            world.kill(0);
            let deployment = Deployment::new(DeploymentName::Ikenna);
            world.replace(0, deployment.entry(0, 99), Tuning::default(), 99);
            world.run_for(Duration::from_secs(2));
            vec![world.submit(1, file("a")), world.submit(0, file("a"))]
        },
        outcomes: &[Outcome::InDoubt, Outcome::InDoubt],
        runs: 1,
    },
    Case {
        name: "the connection breaks after the run",
        act: |world| {
            each_filing(world, |it| it.crash_after_run = true);
            let first = world.submit(0, file("a"));
            world.run_for(Duration::from_secs(2));
            each_filing(world, |it| it.crash_after_run = false);
            vec![first, world.submit(0, file("a")), world.submit(1, file("a"))]
        },
        outcomes: &[Outcome::InDoubt, Outcome::InDoubt, Outcome::InDoubt],
        runs: 1,
    },
    Case {
        name: "a call goes to the one endpoint that accepts connections",
        act: |world| {
            each_filing(world, |it| it.down = true);
            let up = world.endpoints.get_mut("filing-2").expect("the pool has it");
            up.faults.down = false;
            vec![world.submit(0, file("a"))]
        },
        outcomes: &[Outcome::Complete],
        runs: 1,
    },
    Case {
        name: "a refusal after the request was sent leaves the outcome in doubt",
        act: |world| {
            each_filing(world, |it| it.leaving = true);
            vec![world.submit(0, file("a"))]
        },
        outcomes: &[Outcome::InDoubt],
        runs: 0,
    },
    Case {
        name: "the caller disconnects, and a retry gets the answer of the run",
        act: |world| {
            let first = world.submit(0, file("a"));
            world.run_for(Duration::from_millis(50));
            world.deliver(0, ferry_core::Event::CallerGone { ticket: first });
            world.requests.remove(&first);
            vec![world.submit(0, file("a"))]
        },
        outcomes: &[Outcome::Complete],
        runs: 1,
    },
];

#[test]
fn stage_runs_at_most_once_and_outcomes_are_correct() {
    for case in CASES {
        let deployment = Deployment::new(DeploymentName::Ikenna);
        let mut world = World::with_deployment(&deployment, 3, &tuning(), 7)
            .expect("the configuration is valid");
        world.run_for(Duration::from_secs(2));
        let tickets = (case.act)(&mut world);
        world.run_for(Duration::from_secs(30));
        let outcomes: Vec<Outcome> = tickets
            .iter()
            .filter_map(|it| world.requests.get(it)?.answer().map(|it| it.outcome))
            .collect();
        assert_eq!(outcomes, case.outcomes, "{}", case.name);
        let runs = world.runs.iter().filter(|it| it.stage == "filing").count();
        assert_eq!(runs, case.runs, "{}: runs", case.name);
        assert_eq!(invariant_violations(&world), Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn segments_stay_small_and_old_ones_are_deleted() {
    let deployment = Deployment::new(DeploymentName::Ikenna);
    let tuning = Tuning {
        segment_age: Duration::from_secs(2),
        claim_retention: Duration::from_secs(6),
        ..tuning()
    };
    let mut world =
        World::with_deployment(&deployment, 3, &tuning, 7).expect("the configuration is valid");
    world.run_for(Duration::from_secs(2));
    let mut most_objects = 0;
    for n in 0..3_000 {
        world.submit(n % 3, file(&format!("key-{n}")));
        world.run_for(Duration::from_millis(10));
        let sizes = world.store.sizes(ferry_model::ObjectKind::Claims);
        assert!(sizes.iter().all(|it| *it < 256 * 1024), "every segment is smaller than 256 KiB");
        most_objects = sizes.len().max(most_objects);
    }
    world.run_for(Duration::from_secs(10));
    assert_eq!(invariant_violations(&world), Vec::<String>::new());
    // Four journals of at most six seconds in segments of two, their open segments and indexes.
    assert!(most_objects <= 4 * 6, "old segments are deleted: {most_objects} objects");
}

/// Leaves a claim in the store whose write got no answer and which the node couldn't read again in
/// time.
fn leave_unread_claim(world: &mut World) -> Ticket {
    for n in 0..20 {
        world.submit(n % 3, file(&format!("warm-{n}")));
    }
    world.run_for(Duration::from_secs(5));
    world.runs.clear();
    world.store.faults.lost_answers = 1;
    let first = world.submit(0, file("a").with_deadline(Duration::from_millis(800)));
    world.run_for(Duration::from_millis(10));
    assert_eq!(world.store.faults.lost_answers, 0, "the claim was written");
    world.store.faults.down = true;
    world.run_for(Duration::from_secs(5));
    first
}

fn tuning() -> Tuning {
    Tuning::default()
}

fn file(key: &str) -> Request {
    Request::new("bars", "file", format!("fee of {key}")).with_key(key)
}

fn each_filing(world: &mut World, set: fn(&mut ferry_fakes::EndpointFaults)) {
    let filing = world.endpoints.values_mut().filter(|it| it.endpoint.pool == "filing");
    filing.for_each(|it| set(&mut it.faults));
}
