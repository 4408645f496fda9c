//! Object API calls for claims, by rate of requests that may not be repeated.

use std::time::Duration;

use ferry_core::Tuning;
use ferry_fakes::{Deployment, DeploymentName, Request, World, invariant_violations};
use ferry_model::{ObjectKind, Outcome};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

const N_ENTRIES: usize = 6;
const WARM_UP: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Serialize)]
pub struct ClaimStats {
    /// Requests a second.
    pub rate: f64,
    pub requests: usize,
    pub complete: usize,
    /// Object API calls for claims: reads and writes, answered or not.
    pub calls: u64,
    pub calls_per_thousand: f64,
    /// Median latency of completed requests, to compare with that of a run without claims.
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Largest stored claims object, in bytes.
    pub largest: usize,
    pub broken: Vec<String>,
}

/// Simulates lookups that may not be repeated, at `rate` requests a second.
pub fn measure(rate: f64, length: Duration, seed: u64) -> Result<ClaimStats, serde_json::Error> {
    let deployment = Deployment::new(DeploymentName::Kancil);
    let tuning = Tuning::default();
    let mut world = World::with_deployment(&deployment, N_ENTRIES, &tuning, seed)?;
    world.run_for(WARM_UP);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (start, mut at) = (world.now, Duration::ZERO);
    let mut largest = 0;
    loop {
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        if length <= at {
            break;
        }
        world.run_until(start + at);
        let number = world.requests.len();
        let input = format!("asset {number}");
        let request = Request::new("stores", "tag", input).with_key(format!("key-{number}"));
        world.submit(rng.random_range(0..N_ENTRIES), request);
        let sizes = world.store.sizes(ObjectKind::Claims);
        largest = sizes.into_iter().max().unwrap_or(0).max(largest);
    }
    world.run_for(Duration::from_secs(10));
    let mut latencies: Vec<Duration> = Vec::new();
    for record in world.requests.values() {
        if record.answer().is_some_and(|it| it.outcome == Outcome::Complete) {
            latencies.extend(record.latency());
        }
    }
    latencies.sort();
    let quantile = |share: f64| {
        let idx = (latencies.len().saturating_sub(1) as f64 * share).round() as usize;
        latencies.get(idx).map_or(0.0, |it| it.as_secs_f64() * 1e3)
    };
    let calls = world.store.calls(ObjectKind::Claims);
    Ok(ClaimStats {
        rate,
        requests: world.requests.len(),
        complete: latencies.len(),
        calls,
        calls_per_thousand: calls as f64 * 1e3 / world.requests.len() as f64,
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        largest,
        broken: invariant_violations(&world),
    })
}
