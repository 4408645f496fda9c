//! The experiments on the spread of changes are driven as they claim.

use std::time::Duration;

use ferry_bench::experiments::announce::{self, Fleet, PeerFault, Protocol, Setup};
use ferry_bench::experiments::spread::{self, Condition};
use strum::IntoEnumIterator;

struct Replication {
    n_instances: usize,
    losses: f64,
    copies: usize,
}

/// Worked out by hand from the formula.
const REPLICATIONS: &[Replication] = &[
    Replication { n_instances: 470, losses: 0.0, copies: 1 },
    Replication { n_instances: 470, losses: 0.05, copies: 3 },
    Replication { n_instances: 470, losses: 0.2, copies: 6 },
    Replication { n_instances: 8, losses: 0.2, copies: 5 },
];

#[test]
fn delegates_follow_the_formula() {
    for case in REPLICATIONS {
        let copies = announce::replication(case.n_instances, case.losses);
        assert_eq!(copies, case.copies, "{} at {}", case.n_instances, case.losses);
    }
}

#[test]
fn healthy_instances_are_all_reached_and_the_dead_are_not_counted() {
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
fn changes_are_in_force_in_each_condition() {
    for condition in Condition::iter() {
        let times = spread::measure(condition, 3, 9).expect("each change is in force");
        assert_eq!(times.len(), 3);
        let limit = Duration::from_secs(2);
        assert!(times.iter().all(|it| *it <= limit), "{condition}: {times:?}");
    }
}
