//! Schedules of what endpoints say of themselves, and of entries beside theirs.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{Plan, Step};
use crate::cluster::N_ENDPOINTS;

/// Malformed entries that are in the store at a time, at most.
const N_MALFORMED: usize = 6;

/// Generates rate limits of endpoints, or of whole pools, at random times.
pub fn generate_limits(rng: &mut Pcg64Mcg, duration: Duration, n_pools: usize) -> Plan {
    let rates = [0.5, 1.2, 2.0, 5.0, 10.0, 0.0, -1.0, f64::NAN, f64::INFINITY];
    let mut plan = Vec::new();
    for pool in 0..n_pools {
        let mut at = Duration::from_millis(rng.random_range(0..800));
        while at < duration {
            let endpoints = pool * N_ENDPOINTS..(pool + 1) * N_ENDPOINTS;
            let is_whole = rng.random_range(0..4) == 0;
            let only = rng.random_range(endpoints.clone());
            let end = at + Duration::from_millis(rng.random_range(4_500..9_000));
            for endpoint in endpoints.filter(|it| is_whole || *it == only) {
                let per_second = Some(rates[rng.random_range(0..rates.len())]);
                plan.push((at, Step::RateLimit { endpoint, per_second }));
                plan.push((end, Step::RateLimit { endpoint, per_second: None }));
            }
            at = end + Duration::from_millis(rng.random_range(0..2_000));
        }
    }
    plan.sort_by_key(|it| it.0);
    plan
}

/// Generates endpoints, or whole pools, that announce that they leave, at random times.
pub fn generate_leaving(rng: &mut Pcg64Mcg, duration: Duration, n_pools: usize) -> Plan {
    let mut plan = Vec::new();
    for pool in 0..n_pools {
        let mut at = Duration::from_millis(rng.random_range(0..2_000));
        while at < duration {
            let endpoints = pool * N_ENDPOINTS..(pool + 1) * N_ENDPOINTS;
            let is_whole = rng.random_range(0..6) == 0;
            let only = rng.random_range(endpoints.clone());
            let time = if is_whole { 500..3_000 } else { 2_500..7_000 };
            let end = at + Duration::from_millis(rng.random_range(time));
            for endpoint in endpoints.filter(|it| is_whole || *it == only) {
                plan.push((at, Step::Leave { endpoint }));
                plan.push((end, Step::Return { endpoint }));
            }
            at = end + Duration::from_millis(rng.random_range(0..2_000));
        }
    }
    plan.sort_by_key(|it| it.0);
    plan
}

/// Generates endpoints, or whole pools, that refuse requests and ask for pauses, in series.
pub fn generate_pause_requests(rng: &mut Pcg64Mcg, duration: Duration, n_pools: usize) -> Plan {
    let seconds = [0.2, 0.8, 1.5, 3.0, 5.0, 0.0, -1.0, f64::NAN];
    let mut plan = Vec::new();
    for pool in 0..n_pools {
        let mut at = Duration::from_millis(rng.random_range(0..4_000));
        while at < duration {
            let endpoints = pool * N_ENDPOINTS..(pool + 1) * N_ENDPOINTS;
            let is_whole = rng.random_range(0..4) == 0;
            let only = rng.random_range(endpoints.clone());
            let end = at + Duration::from_millis(rng.random_range(100..2_500));
            for endpoint in endpoints.filter(|it| is_whole || *it == only) {
                let seconds = Some(seconds[rng.random_range(0..seconds.len())]);
                plan.push((at, Step::AskPause { endpoint, seconds }));
                plan.push((end, Step::AskPause { endpoint, seconds: None }));
            }
            at = end + Duration::from_millis(rng.random_range(0..5_000));
        }
    }
    plan.sort_by_key(|it| it.0);
    plan
}

/// Generates malformed entries that come, change and go in series, entries of endpoints that become
/// malformed, and endpoints that leave and return meanwhile.
pub fn generate_malformed_entries(
    rng: &mut Pcg64Mcg,
    duration: Duration,
    n_endpoints: usize,
) -> Plan {
    let millis = |rng: &mut Pcg64Mcg, range| Duration::from_millis(rng.random_range(range));
    let mut plan = Vec::new();
    for number in 0..N_MALFORMED {
        let mut at = millis(rng, 0..3_000);
        while at < duration {
            let end = at + millis(rng, 200..6_000);
            while at < end {
                let kind = rng.random_range(0..usize::MAX);
                plan.push((at, Step::MalformedEntry { number, kind: Some(kind) }));
                at += millis(rng, 20..2_000);
            }
            plan.push((at, Step::MalformedEntry { number, kind: None }));
            at += millis(rng, 0..4_000);
        }
    }
    // One endpoint of each pool stays.
    for endpoint in (0..n_endpoints).filter(|it| !it.is_multiple_of(N_ENDPOINTS)) {
        let mut at = millis(rng, 0..4_000);
        while at < duration {
            let end = at + millis(rng, 500..6_000);
            let step = match rng.random_range(0..3) {
                0 => Step::MalformEntry { endpoint, kind: rng.random_range(0..usize::MAX) },
                1 => Step::Unregister { endpoint },
                _ => Step::Drain { endpoint },
            };
            plan.push((at, step));
            plan.push((end, Step::Undrain { endpoint }));
            at = end + millis(rng, 500..4_000);
        }
    }
    plan.sort_by_key(|it| it.0);
    plan
}
