//! Schedules in which all gateways are killed at once, or replaced one after the other, or the store
//! comes back from older copies.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{Plan, Step};
use crate::cluster::{N_ENDPOINTS, N_ZONES, Signal};
use crate::endpoint::{Behaviour, Pool};
use crate::store::StoreBehaviour;

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

/// Generates stores that are away and come back from a copy, at times twice in a row, while
/// configurations change and gateways start again.
pub fn generate_copies(rng: &mut Pcg64Mcg, duration: Duration, n_nodes: usize) -> Plan {
    let millis = |rng: &mut Pcg64Mcg, range| Duration::from_millis(rng.random_range(range));
    let mut plan: Plan = Vec::new();
    let mut at = millis(rng, 0..1_500);
    while at < duration {
        plan.push((at, Step::CopyStore));
        for _ in 0..rng.random_range(0..4) {
            let (has_extra, changed) = (rng.random_range(0..2) == 0, at + millis(rng, 0..1_500));
            plan.push((changed, Step::Configure { has_extra, variation: None }));
        }
        if rng.random_range(0..3) == 0 {
            let (node, killed) = (rng.random_range(0..n_nodes), at + millis(rng, 0..1_000));
            plan.push((killed, Step::Signal { node, signal: Signal::Kill }));
            plan.push((killed + millis(rng, 100..800), Step::Start { node }));
        }
        at += millis(rng, 100..4_000);
        for _ in 0..rng.random_range(1..3) {
            plan.push((at, Step::Store(StoreBehaviour::Disconnects)));
            at += millis(rng, 100..1_500);
            plan.push((at, Step::RestoreStore));
            plan.push((at, Step::Store(StoreBehaviour::Healthy)));
            at += millis(rng, 100..2_000);
        }
        at += millis(rng, 500..3_000);
    }
    plan.sort_by_key(|it| it.0);
    plan
}

/// Generates zones that are evacuated one after the other or together, while gateways are killed and
/// the store is away or slow. The store answers for some time behind each change.
pub fn generate_evacuations(rng: &mut Pcg64Mcg, duration: Duration, n_nodes: usize) -> Plan {
    /// Time in which gateways that are in touch with the store read a change.
    const READ_TIME: Duration = Duration::from_millis(3_000);
    let millis = |rng: &mut Pcg64Mcg, range| Duration::from_millis(rng.random_range(range));
    let mut plan: Plan = Vec::new();
    let mut at = millis(rng, 500..2_000);
    while at < duration {
        let zone = rng.random_range(0..N_ZONES);
        plan.push((at, Step::Evacuate { zone, is_evacuated: true }));
        if rng.random_range(0..3) == 0 {
            // In quick succession.
            plan.push((at + millis(rng, 1..200), Step::Evacuate { zone, is_evacuated: false }));
            plan.push((at + millis(rng, 200..400), Step::Evacuate { zone, is_evacuated: true }));
        }
        for _ in 0..rng.random_range(0..3) {
            let (node, killed) = (rng.random_range(0..n_nodes), at + millis(rng, 0..5_000));
            plan.push((killed, Step::Signal { node, signal: Signal::Kill }));
            plan.push((killed + millis(rng, 100..800), Step::Start { node }));
        }
        if rng.random_range(0..2) == 0 {
            let behaviour = match rng.random_range(0..3) {
                0 => StoreBehaviour::Unavailable,
                1 => StoreBehaviour::Disconnects,
                _ => StoreBehaviour::Slow(millis(rng, 100..700)),
            };
            let away = at + READ_TIME + millis(rng, 0..1_000);
            plan.push((away, Step::Store(behaviour)));
            plan.push((away + millis(rng, 500..2_000), Step::Store(StoreBehaviour::Healthy)));
        }
        at += millis(rng, 7_000..9_000);
        plan.push((at, Step::Evacuate { zone, is_evacuated: false }));
        at += millis(rng, 500..3_000);
    }
    plan.sort_by_key(|it| it.0);
    plan
}
