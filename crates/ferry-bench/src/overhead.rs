//! Overhead of one entry compared with calling an endpoint directly.
//!
//! The entry runs in a separate process, so that its memory and processor time can be read; the
//! stand-ins answer at once and run in this process with the load generator.

mod child;
mod target;

use std::time::Duration;

use ferry_edge::logs;
use ferry_fakes::deployment::PoolShape;
use ferry_fakes::{Deployment, DeploymentName};
use ferry_model::{Pipeline, Pool, Stage, StageKind};
use ferry_standin::DeploymentStandins;
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::Instant;

pub use child::EntryProcess;
pub use target::Target;

/// Name of the only pipeline, stage and pool.
pub const ECHO: &str = "echo";
const N_ENDPOINTS: usize = 8;
const SLOTS: usize = 1024;
const DEADLINE: Duration = Duration::from_secs(8);
/// Significant digits of the latencies.
const DIGITS: u8 = 3;

/// Parameters of a measurement.
#[derive(Debug, Clone)]
pub struct OverheadPlan {
    /// Length of each run.
    pub length: Duration,
    /// Requests a second of the runs that measure latency.
    pub rate: f64,
    /// Concurrent callers of the runs that measure throughput.
    pub callers: usize,
    /// Runs of each kind; medians are reported.
    pub runs: usize,
    /// Log level of the entry.
    pub level: String,
}

/// Medians over all runs, for both paths.
#[derive(Debug, Clone, Serialize)]
pub struct OverheadReport {
    pub level: String,
    pub direct: PathStats,
    pub entry: PathStats,
    pub added_p50_us: f64,
    pub added_p99_us: f64,
    /// Processor time of the entry for one request under load, in microseconds.
    pub cpu_us: f64,
    pub startup_ms: f64,
    /// Resident memory of the entry before any load, in KiB.
    pub rest_kib: u64,
    /// Highest resident memory of the entry after a run, in KiB.
    pub load_kib: u64,
}

/// Throughput and latency of calls to an endpoint or through the entry.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PathStats {
    pub per_second: f64,
    pub p50_us: f64,
    pub p99_us: f64,
}

/// Measures direct calls and calls through the entry in turn.
pub async fn measure(plan: &OverheadPlan) -> Result<OverheadReport, String> {
    let bind = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let deployment = deployment();
    let standins = DeploymentStandins::start(&deployment, bind, &logs::silent_logger())?;
    let entry = EntryProcess::start(&standins, &deployment, &plan.level).await?;
    let rest_kib = entry.memory_kib()?;
    let direct = Target::endpoints(standins.listed.iter().map(|it| it.address).collect());
    let through = Target::entry(entry.address);
    let (mut direct_runs, mut entry_runs) = (Vec::new(), Vec::new());
    let mut cpu = Vec::new();
    let mut load_kib = 0;
    for _ in 0..plan.runs {
        direct_runs.push(run(&direct, plan).await?);
        let before = entry.cpu_time()?;
        let stats = run(&through, plan).await?;
        let spent = entry.cpu_time()?.saturating_sub(before);
        cpu.push(spent.as_secs_f64() * 1e6 / stats.n_requests as f64);
        entry_runs.push(stats);
        load_kib = load_kib.max(entry.memory_kib()?);
    }
    let (direct, entry_median) = (medians(&direct_runs), medians(&entry_runs));
    Ok(OverheadReport {
        level: plan.level.clone(),
        added_p50_us: entry_median.p50_us - direct.p50_us,
        added_p99_us: entry_median.p99_us - direct.p99_us,
        direct,
        entry: entry_median,
        cpu_us: median(cpu),
        startup_ms: entry.startup.as_secs_f64() * 1e3,
        rest_kib,
        load_kib,
    })
}

struct Run {
    n_requests: u64,
    stats: PathStats,
}

/// Measures throughput with all callers busy, then latency at a fixed rate.
async fn run(target: &Target, plan: &OverheadPlan) -> Result<Run, String> {
    let n_closed = closed_loop(target, plan).await?;
    let latencies = open_loop(target, plan).await?;
    let stats = PathStats {
        per_second: n_closed as f64 / plan.length.as_secs_f64(),
        p50_us: latencies.value_at_quantile(0.5) as f64,
        p99_us: latencies.value_at_quantile(0.99) as f64,
    };
    Ok(Run { n_requests: n_closed + latencies.len(), stats })
}

async fn closed_loop(target: &Target, plan: &OverheadPlan) -> Result<u64, String> {
    let end = Instant::now() + plan.length;
    let mut callers = JoinSet::new();
    for idx in 0..plan.callers {
        let target = target.clone();
        callers.spawn(async move {
            let mut n_done = 0;
            while Instant::now() < end {
                target.call(idx + n_done).await?;
                n_done += 1;
            }
            Ok::<_, String>(n_done as u64)
        });
    }
    let mut total = 0;
    for n_done in callers.join_all().await {
        total += n_done?;
    }
    Ok(total)
}

/// Sends requests at fixed times and measures each latency from the intended start.
async fn open_loop(target: &Target, plan: &OverheadPlan) -> Result<Histogram<u64>, String> {
    let started = Instant::now();
    let n_requests = (plan.length.as_secs_f64() * plan.rate) as usize;
    let mut calls = JoinSet::new();
    for idx in 0..n_requests {
        let intended = started + Duration::from_secs_f64(idx as f64 / plan.rate);
        tokio::time::sleep_until(intended).await;
        let target = target.clone();
        calls.spawn(async move {
            target.call(idx).await?;
            Ok::<_, String>(intended.elapsed())
        });
    }
    let mut latencies = Histogram::new(DIGITS).map_err(|it| it.to_string())?;
    for latency in calls.join_all().await {
        let micros = u64::try_from(latency?.as_micros()).unwrap_or(u64::MAX);
        latencies.record(micros.max(1)).map_err(|it| it.to_string())?;
    }
    Ok(latencies)
}

fn medians(runs: &[Run]) -> PathStats {
    let of = |get: fn(&PathStats) -> f64| median(runs.iter().map(|it| get(&it.stats)).collect());
    PathStats {
        per_second: of(|it| it.per_second),
        p50_us: of(|it| it.p50_us),
        p99_us: of(|it| it.p99_us),
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// Returns a deployment of one pipeline whose only stage answers at once.
fn deployment() -> Deployment {
    let mut deployment = Deployment::new(DeploymentName::Ikenna);
    let stage = Stage {
        name: ECHO.to_owned(),
        kind: StageKind::Service,
        pool: ECHO.to_owned(),
        repeatable: true,
        model: None,
        max_tokens: 0,
    };
    let pipeline =
        Pipeline { name: ECHO.to_owned(), priority: 0, deadline: DEADLINE, stages: vec![stage] };
    deployment.config.pipelines = vec![pipeline];
    deployment.config.pools =
        vec![Pool { name: ECHO.to_owned(), kind: StageKind::Service, checks_fence: true }];
    deployment.config.presets = Default::default();
    deployment.pools = vec![PoolShape {
        name: ECHO,
        kind: StageKind::Service,
        endpoints: N_ENDPOINTS,
        slots: SLOTS,
        service_time: Duration::ZERO,
        token_time: Duration::ZERO,
        model: None,
    }];
    deployment
}
