//! Short soak runs with fixed seeds.

use std::time::Duration;

use ferry_soak::SoakOptions;
use tokio::task::LocalSet;

use crate::harness::{directory, gateway, net};

/// A seed, and the reason for testing it.
struct Case {
    seed: u64,
    reason: &'static str,
}

const CASES: [Case; 4] = [
    Case { seed: 1, reason: "random seed" },
    Case { seed: 2, reason: "random seed" },
    Case { seed: 9004, reason: "streams that ended inside an event looked complete" },
    Case { seed: 9104, reason: "streams went on at another build" },
];

#[test]
fn guarantees_hold_under_random_faults() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    let mut n_limited = 0;
    for case in CASES {
        let options = SoakOptions {
            seed: case.seed,
            duration: Duration::from_secs(6),
            n_nodes: 3,
            gateway: gateway(),
            directory: directory(&format!("soak-{}", case.seed)),
            net: net(),
        };
        let report = LocalSet::new().block_on(&runtime, ferry_soak::run(&options));
        let report = report.expect("the soak runs");
        assert!(report.is_ok(), "seed {} ({}): {report:#?}", case.seed, case.reason);
        assert!(100 <= report.under_faults.served, "seed {}: {report:#?}", case.seed);
        n_limited += report.n_limited;
    }
    assert!(0 < n_limited, "no endpoint with a rate limit got a request");
}
