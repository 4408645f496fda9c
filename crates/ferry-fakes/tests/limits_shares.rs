//! A workspace's limit holds over all instances together.

use std::time::Duration;

use ferry_core::Tuning;
use ferry_fakes::{Deployment, DeploymentName, Request, World, invariant_violations};
use ferry_model::{Outcome, RefusalReason};

const N_ENTRIES: usize = 6;
const LIMIT: u32 = 30;

struct Case {
    name: &'static str,
    /// Returns the entry that gets a request.
    node: fn(usize) -> usize,
    /// Number of requests in flight that must be reached.
    least: usize,
}

const CASES: &[Case] = &[
    Case { name: "a burst at every instance", node: |n| n % N_ENTRIES, least: 24 },
    Case { name: "all demand at one instance", node: |_| 2, least: 20 },
    Case {
        name: "demand that moves to another instance",
        node: |n| if n < 600 { 0 } else { 5 },
        least: 20,
    },
];

#[test]
fn sum_over_instances_stays_within_the_limit_and_follows_demand() {
    for case in CASES {
        let mut deployment = Deployment::new(DeploymentName::Ikenna);
        for it in deployment.workspaces.iter_mut().filter(|it| it.name == "bars") {
            it.concurrent = LIMIT;
        }
        let mut world = World::with_deployment(&deployment, N_ENTRIES, &Tuning::default(), 3)
            .expect("the configuration is valid");
        world.run_for(Duration::from_secs(4));
        let engines = world.endpoints.values_mut().filter(|it| it.endpoint.pool == "drafting");
        engines.for_each(|it| it.speed.token_time *= 5);
        let mut most = 0;
        for n in 0..1_200 {
            world.submit((case.node)(n), Request::new("bars", "draft", format!("licence {n}")));
            world.run_for(Duration::from_millis(10));
            let in_flight = (0..N_ENTRIES).map(|it| world.node(it).n_requests()).sum();
            most = most.max(in_flight);
        }
        // Each instance may run one request beyond its share, so that an idle one can start.
        let allowed = LIMIT as usize + N_ENTRIES;
        assert!(most <= allowed, "{}: {most} in flight", case.name);
        assert!(case.least <= most, "{}: only {most} in flight", case.name);
        world.run_for(Duration::from_secs(10));
        for answer in world.requests.values().filter_map(|it| it.answer()) {
            let is_limited = answer.refusal == Some(RefusalReason::WorkspaceLimit);
            let is_expected = answer.outcome == Outcome::Complete || is_limited;
            assert!(is_expected, "{}: {answer:?}", case.name);
        }
        assert_eq!(invariant_violations(&world), Vec::<String>::new(), "{}", case.name);
    }
}
