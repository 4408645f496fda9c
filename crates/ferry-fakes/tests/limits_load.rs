//! Retries, hedges, queues and limits under load and faults.

use std::time::Duration;

use ferry_core::admit::{Budget, Histogram, Queue, QueuedRequest};
use ferry_core::{Metric, Tuning};
use ferry_fakes::{
    Deployment, DeploymentName, EndpointFaults, Request, World, invariant_violations,
};
use ferry_model::{Moment, Outcome, RefusalReason};
use proptest::{prop_assert, prop_assert_eq, proptest};

const N_ENTRIES: usize = 3;

struct FaultCase {
    name: &'static str,
    fault: fn(&mut EndpointFaults),
}

const FAILING: &[FaultCase] = &[
    FaultCase { name: "refused connections", fault: |it| it.down = true },
    FaultCase { name: "failed runs", fault: |it| it.fail = true },
    FaultCase { name: "broken streams", fault: |it| it.break_after = Some(1) },
    FaultCase { name: "answers to other requests", fault: |it| it.wrong_echo = true },
    FaultCase { name: "stalled streams", fault: |it| it.stall_after = Some(0) },
];

#[test]
fn failing_pool_gets_less_than_a_fifth_more_calls_than_requests() {
    for case in FAILING {
        let mut world = world(&Tuning::default(), 3);
        world.endpoints.values_mut().filter(|it| it.endpoint.pool == "drafting").for_each(|it| {
            (case.fault)(&mut it.faults);
        });
        let n_requests = 1_200;
        for n in 0..n_requests {
            world.submit(n % N_ENTRIES, Request::new("bars", "draft", format!("licence {n}")));
            world.run_for(Duration::from_millis(10));
        }
        world.run_for(Duration::from_secs(20));
        let calls = routed(&world, "generate");
        assert!(
            calls < n_requests * 12 / 10,
            "{}: {calls} calls for {n_requests} requests",
            case.name
        );
        assert_eq!(invariant_violations(&world), Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn highest_priority_meets_its_deadlines_while_others_overload_a_shared_pool() {
    let mut deployment = Deployment::new(DeploymentName::Kancil);
    for pool in deployment.pools.iter_mut().filter(|it| it.name == "encode") {
        // One call of 40 ms at a time on each of four endpoints: 100 requests a second.
        pool.slots = 1;
        pool.service_time = Duration::from_millis(40);
    }
    let mut world = World::with_deployment(&deployment, N_ENTRIES, &Tuning::default(), 3)
        .expect("the configuration is valid");
    world.run_for(Duration::from_secs(2));
    let mut reports = Vec::new();
    for n in 0..4_000 {
        let pipeline = if n % 4 == 0 { "report" } else { "tag" };
        let ticket =
            world.submit(n % N_ENTRIES, Request::new("stores", pipeline, format!("n {n}")));
        if pipeline == "report" {
            reports.push(ticket);
        }
        world.run_for(Duration::from_millis(5));
    }
    world.run_for(Duration::from_secs(10));
    let in_time = reports.iter().filter(|it| is_complete(&world, **it)).count();
    assert!(reports.len() * 99 / 100 <= in_time, "{in_time} of {} in time", reports.len());
    assert_eq!(invariant_violations(&world), Vec::<String>::new());
}

#[test]
fn queues_and_requests_are_bounded_and_refusals_name_the_limit() {
    let tuning = Tuning { max_requests: 100, max_queue: 10, ..Tuning::default() };
    let mut world = world(&tuning, 3);
    world.endpoints.values_mut().for_each(|it| it.faults.straggle = Some(50.0));
    for n in 0..2_000 {
        world.submit(0, Request::new("bars", "calendar", format!("board {n}")));
        assert!(world.node(0).n_requests() <= 100, "requests in flight are bounded");
    }
    world.run_for(Duration::from_secs(10));
    let refused = world
        .requests
        .values()
        .filter_map(|it| it.answer())
        .filter(|it| it.refusal == Some(RefusalReason::QueueFull))
        .count();
    assert!(1_800 < refused, "{refused} requests were refused because of a full queue");
    assert_eq!(invariant_violations(&world), Vec::<String>::new());
}

#[test]
fn retry_budget_allows_its_share_and_no_more() {
    let mut budget = Budget::new();
    let mut n_spent = 0;
    for _ in 0..1_000 {
        budget.earn(0.1);
        n_spent += u32::from(budget.spend());
    }
    assert!((100..=110).contains(&n_spent), "{n_spent} of 1,000 with a burst of 10");
}

struct QueueCase {
    name: &'static str,
    waiting: &'static [(u8, &'static str, u32, u64)],
    order: &'static [u128],
}

/// Waiting requests are priority, workspace, weight and deadline; the order is by position.
const QUEUE_CASES: &[QueueCase] = &[
    QueueCase {
        name: "highest priority first",
        waiting: &[(2, "a", 1, 1), (0, "a", 1, 9), (1, "a", 1, 5)],
        order: &[1, 2, 0],
    },
    QueueCase {
        name: "earliest deadline first within a workspace",
        waiting: &[(0, "a", 1, 9), (0, "a", 1, 1), (0, "a", 1, 5)],
        order: &[1, 2, 0],
    },
    QueueCase {
        name: "workspaces are served alternately however many requests one has",
        waiting: &[(0, "a", 1, 1), (0, "a", 1, 2), (0, "a", 1, 3), (0, "b", 1, 8)],
        order: &[0, 3, 1, 2],
    },
    QueueCase {
        name: "a workspace of twice the weight is served twice as often",
        waiting: &[(0, "a", 2, 1), (0, "a", 2, 2), (0, "a", 2, 3), (0, "b", 1, 4), (0, "b", 1, 5)],
        order: &[0, 3, 1, 2, 4],
    },
];

#[test]
fn queues_serve_by_priority_share_and_deadline() {
    for case in QUEUE_CASES {
        let mut queue = Queue::new();
        for (request, it) in (0..).zip(case.waiting) {
            queue.push(QueuedRequest {
                request,
                priority: it.0,
                workspace: it.1.to_owned(),
                weight: it.2,
                deadline: Moment::from_secs(it.3),
            });
        }
        let mut order = Vec::new();
        while let Some(first) = queue.first().map(|it| it.request) {
            queue.start(first);
            order.push(first);
        }
        assert_eq!(order, case.order, "{}", case.name);
    }
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..Default::default()
    })]

    #[test]
    fn quantiles_are_close_and_ordered(
        micros in proptest::collection::vec(8..10_000_000_u64, 8..400)
    ) {
        let mut histogram = Histogram::new();
        for it in &micros {
            histogram.record(Duration::from_micros(*it));
        }
        let mut sorted = micros.clone();
        sorted.sort_unstable();
        let mut before = Duration::ZERO;
        for quantile in [0.1, 0.5, 0.9, 0.99] {
            let found = histogram.quantile(quantile).expect("there are samples");
            let rank = (sorted.len() as f64 * quantile).ceil() as usize;
            let exact = Duration::from_micros(sorted[rank - 1]);
            prop_assert!(exact <= found && found <= exact.mul_f64(1.126), "{exact:?} {found:?}");
            prop_assert!(before <= found);
            before = found;
        }
        prop_assert_eq!(Histogram::new().quantile(0.5), None);
    }
}

fn world(tuning: &Tuning, seed: u64) -> World {
    let deployment = Deployment::new(DeploymentName::Ikenna);
    let mut world = World::with_deployment(&deployment, N_ENTRIES, tuning, seed)
        .expect("the configuration is valid");
    world.run_for(Duration::from_secs(2));
    world
}

fn is_complete(world: &World, ticket: u64) -> bool {
    let answer = world.requests.get(&ticket).and_then(|it| it.answer());
    answer.is_some_and(|it| it.outcome == Outcome::Complete)
}

/// Counts the calls that were sent for a stage, whether or not an endpoint saw them.
fn routed(world: &World, stage: &str) -> usize {
    let n_sent: u64 = (0..N_ENTRIES).map(|it| world.count(it, Metric::CallsSent)).sum();
    assert!(0 < n_sent, "calls are counted");
    let of_stage = |it: &ferry_core::Decision| it.stage.as_deref() == Some(stage);
    let is_route = |it: &ferry_core::Decision| it.kind == ferry_core::DecisionKind::Route;
    world.decisions.iter().filter(|(_, _, it)| is_route(it) && of_stage(it)).count()
}
