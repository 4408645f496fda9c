//! Schedules in which all gateways are killed at once, or replaced one after the other.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{Plan, Step};
use crate::cluster::{N_ENDPOINTS, Signal};
use crate::endpoint::{Behaviour, Pool};

/// Time between the replacements of two gateways.
const UPGRADE_INTERVAL: Duration = Duration::from_millis(4_000);

/// Replaces the gateways one after the other by the other release, and back again, until the end. They
/// begin with the usual one.
pub fn generate_upgrades(duration: Duration, n_nodes: usize) -> Plan {
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(1_000);
    for number in 0.. {
        if duration <= at {
            break;
        }
        let (node, is_other) = (number % n_nodes, (number / n_nodes).is_multiple_of(2));
        plan.push((at, Step::Release { node, is_other }));
        plan.push((at, Step::Signal { node, signal: Signal::Terminate }));
        // It ends sooner if its requests do.
        for after in [3_500, 5_000, 7_000, 9_000] {
            plan.push((at + Duration::from_millis(after), Step::Start { node }));
        }
        at += UPGRADE_INTERVAL;
    }
    plan.sort_by_key(|it| it.0);
    plan
}

/// Generates moments at which all gateways are killed, and start again one after the other.
pub fn generate_herds(rng: &mut Pcg64Mcg, duration: Duration, n_nodes: usize) -> Plan {
    // Streams last about a second, so that many of them are in progress.
    let engines = Pool::Engine as usize * N_ENDPOINTS..(Pool::Engine as usize + 1) * N_ENDPOINTS;
    let slow = |endpoint| Step::Behaviour { endpoint, behaviour: Behaviour::Slow(8) };
    let mut plan: Plan = engines.map(|it| (Duration::ZERO, slow(it))).collect();
    let millis = |rng: &mut Pcg64Mcg, range| Duration::from_millis(rng.random_range(range));
    let mut at = millis(rng, 1_000..3_000);
    while at < duration {
        let down = millis(rng, 100..1_500);
        for node in 0..n_nodes {
            plan.push((at, Step::Signal { node, signal: Signal::Kill }));
            plan.push((at + down + millis(rng, 0..300), Step::Start { node }));
        }
        at += down + millis(rng, 1_000..4_000);
    }
    plan.sort_by_key(|it| it.0);
    plan
}
