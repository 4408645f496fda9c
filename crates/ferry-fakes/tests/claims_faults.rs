//! Runs that may not be repeated, with one thing wrong at a time.

use std::time::Duration;

use ferry_core::Tuning;
use ferry_fakes::{Deployment, DeploymentName, Request, World, invariant_violations};
use ferry_model::{Outcome, Ticket};

struct Case {
    name: &'static str,
    /// Returns the tickets whose outcomes are checked, in order.
    play: fn(&mut World) -> Vec<Ticket>,
    outcomes: &'static [Outcome],
    /// Runs of the filing stage.
    runs: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "healthy",
        play: |world| vec![world.submit(0, file("a"))],
        outcomes: &[Outcome::Complete],
        runs: 1,
    },
    Case {
        name: "duplicates at one instance join",
        play: |world| {
            let first = world.submit(0, file("a"));
            world.run_for(Duration::from_millis(10));
            vec![first, world.submit(0, file("a"))]
        },
        outcomes: &[Outcome::Complete, Outcome::Complete],
        runs: 1,
    },
    Case {
        name: "duplicates at two instances share one run",
        play: |world| vec![world.submit(0, file("a")), world.submit(1, file("a"))],
        outcomes: &[Outcome::Complete, Outcome::Complete],
        runs: 1,
    },
    Case {
        name: "a repeat after the answer gets it again",
        play: |world| {
            let first = world.submit(0, file("a"));
            world.run_for(Duration::from_secs(3));
            vec![first, world.submit(0, file("a")), world.submit(2, file("a"))]
        },
        outcomes: &[Outcome::Complete, Outcome::Complete, Outcome::Complete],
        runs: 1,
    },
    Case {
        name: "a key with another body is refused here and elsewhere",
        play: |world| {
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
        play: |world| {
            world.store.faults.down = true;
            vec![world.submit(0, file("a"))]
        },
        outcomes: &[Outcome::NotRun],
        runs: 0,
    },
    Case {
        name: "store down, then a retry of the key",
        play: |world| {
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
        name: "answers of the store lost",
        play: |world| {
            world.store.faults.lost_answers = 2;
            vec![world.submit(0, file("a")), world.submit(1, file("b"))]
        },
        outcomes: &[Outcome::Complete, Outcome::Complete],
        runs: 2,
    },
    Case {
        name: "the claim stands unread, and the key is retried elsewhere at once",
        play: |world| {
            let first = claim_unread(world);
            world.store.faults.down = false;
            vec![first, world.submit(1, file("a"))]
        },
        outcomes: &[Outcome::NotRun, Outcome::Complete],
        runs: 1,
    },
    Case {
        name: "the claim stands unread, is released, its holder dies, and the key is retried",
        play: |world| {
            let first = claim_unread(world);
            world.store.faults.down = false;
            world.run_for(Duration::from_secs(5));
            world.kill(0);
            vec![first, world.submit(1, file("a"))]
        },
        outcomes: &[Outcome::NotRun, Outcome::Complete],
        runs: 1,
    },
    Case {
        name: "the holder dies after it dispatched",
        play: |world| {
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
        play: |world| {
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
        play: |world| {
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
        name: "connections refused by all but one endpoint go elsewhere",
        play: |world| {
            each_filing(world, |it| it.down = true);
            let up = world.endpoints.get_mut("filing-2").expect("the pool has it");
            up.faults.down = false;
            vec![world.submit(0, file("a"))]
        },
        outcomes: &[Outcome::Complete],
        runs: 1,
    },
    Case {
        name: "a refusal after the bytes were written is in doubt",
        play: |world| {
            each_filing(world, |it| it.leaving = true);
            vec![world.submit(0, file("a"))]
        },
        outcomes: &[Outcome::InDoubt],
        runs: 0,
    },
    Case {
        name: "the caller leaves, and a retry gets the answer of the run",
        play: |world| {
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
fn runs_at_most_once_and_tells_the_truth() {
    for case in CASES {
        let deployment = Deployment::new(DeploymentName::Ikenna);
        let mut world = World::with_deployment(&deployment, 3, &tuning(), 7)
            .expect("the configuration is valid");
        world.run_for(Duration::from_secs(2));
        let tickets = (case.play)(&mut world);
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
fn segments_stay_small_and_old_ones_go() {
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
        assert!(sizes.iter().all(|it| *it < 256 * 1024), "no segment of 256 KiB");
        most_objects = sizes.len().max(most_objects);
    }
    world.run_for(Duration::from_secs(10));
    assert_eq!(invariant_violations(&world), Vec::<String>::new());
    // Four journals of at most six seconds in segments of two, their open ends and indexes.
    assert!(most_objects <= 4 * 6, "old segments are dropped, {most_objects} objects seen");
}

/// Leaves a claim in the store whose answer was lost and which nobody could read back in time.
fn claim_unread(world: &mut World) -> Ticket {
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
