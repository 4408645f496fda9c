//! Experiments on the propagation of changes: replication, coverage and time.

use std::time::Duration;

use ferry_bench::experiments::announce::{self, Fleet, PeerFault, Protocol, Setup};
use ferry_bench::experiments::spread::{self, Condition};
use strum::IntoEnumIterator;

struct Replication {
    n_instances: usize,
    loss: f64,
    replicas: usize,
}

/// Calculated by hand from the formula of `announce::replication`.
const REPLICATIONS: &[Replication] = &[
    Replication { n_instances: 470, loss: 0.0, replicas: 1 },
    Replication { n_instances: 470, loss: 0.05, replicas: 3 },
    Replication { n_instances: 470, loss: 0.2, replicas: 6 },
    Replication { n_instances: 8, loss: 0.2, replicas: 5 },
];

#[test]
fn replication_follows_its_formula() {
    for case in REPLICATIONS {
        let replicas = announce::replication(case.n_instances, case.loss);
        assert_eq!(replicas, case.replicas, "{} at {}", case.n_instances, case.loss);
    }
}

#[test]
fn each_protocol_reaches_all_healthy_instances_and_is_later_with_slow_ones() {
    let fleet = Fleet::new(spread::fleet(64, 8));
    for protocol in Protocol::iter() {
        let healthy = Setup { protocol, n_instances: 64, fault: PeerFault::Dead, fault_share: 0.0 };
        let outcome = announce::run(healthy, &fleet, 5);
        assert!((outcome.coverage - 1.0).abs() < f64::EPSILON, "{protocol}: {outcome:?}");
        assert!(63 <= outcome.messages, "{protocol}: {outcome:?}");
        let slow = Setup { fault: PeerFault::Slow, fault_share: 0.2, ..healthy };
        let late = announce::run(slow, &fleet, 5);
        assert!(outcome.last < late.last, "{protocol}: {late:?}");
    }
    let gossip = Setup {
        protocol: Protocol::Gossip,
        n_instances: 64,
        fault: PeerFault::Dead,
        fault_share: 0.2,
    };
    let outcome = announce::run(gossip, &fleet, 5);
    assert!(outcome.most_sent <= 8, "{outcome:?}");
}

#[test]
fn changes_are_applied_everywhere_in_each_condition() {
    for condition in Condition::iter() {
        let times = spread::measure(condition, 3, 9).expect("each change is applied");
        assert_eq!(times.len(), 3);
        let limit = Duration::from_secs(2);
        assert!(times.iter().all(|it| *it <= limit), "{condition}: {times:?}");
    }
}
