//! Compares the routing policies.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use argh::FromArgs;
use ferry_bench::experiments::policies::{CaseName, Run, RunStats, measure, runs};
use ferry_fakes::DeploymentName;

/// Compare the routing policies on virtual time, with the same arrivals and seeds.
///
/// Example: ferry-bench policies --case straggler --seed 3
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "policies")]
pub struct PoliciesArgs {
    /// only this case
    #[argh(option)]
    case: Option<CaseName>,
    /// only this deployment
    #[argh(option)]
    deployment: Option<DeploymentName>,
    /// seed of the arrivals and of the endpoints
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds of arrivals
    #[argh(option, default = "30")]
    seconds: u64,
    /// number of concurrent runs
    #[argh(option, default = "4")]
    threads: usize,
    /// print JSON lines instead of a table
    #[argh(switch)]
    json: bool,
}

impl PoliciesArgs {
    pub fn run(self) -> Result<(), String> {
        let mut chosen = runs(self.seed, Duration::from_secs(self.seconds));
        chosen.retain(|it| self.case.is_none_or(|case| it.case == case));
        chosen.retain(|it| self.deployment.is_none_or(|name| it.deployment == name));
        let stats = measure_all(&chosen, self.threads.max(1))?;
        for it in &stats {
            self.print(it)?;
        }
        let n_broken: usize = stats.iter().map(|it| it.broken.len()).sum();
        match n_broken {
            0 => Ok(()),
            _ => Err(format!("{n_broken} invariants were violated")),
        }
    }

    fn print(&self, it: &RunStats) -> Result<(), String> {
        if self.json {
            let line = serde_json::to_string(it).map_err(|it| it.to_string())?;
            println!("{line}");
            return Ok(());
        }
        let pipelines: Vec<String> = it
            .pipelines
            .iter()
            .map(|it| format!("{} {:.4} p99 {:.0}", it.pipeline, it.attainment, it.p99_ms))
            .collect();
        let busy: Vec<String> =
            it.runner_seconds.iter().map(|(pool, busy)| format!("{pool} {busy:.1}")).collect();
        println!(
            "{:<7} {:<15} {:<17} attainment {:.4} goodput {:.3} \
             calls {} hedges {} retries {} | {} | {} | {:?}",
            it.deployment,
            it.case,
            it.policy,
            it.attainment,
            it.goodput,
            it.calls,
            it.hedges,
            it.retries,
            pipelines.join(", "),
            busy.join(", "),
            it.missed,
        );
        Ok(())
    }
}

/// Measures the runs on `n_threads` threads and returns their statistics in order.
fn measure_all(runs: &[Run], n_threads: usize) -> Result<Vec<RunStats>, String> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..n_threads {
            scope.spawn(|| {
                loop {
                    let idx = next.fetch_add(1, Ordering::Relaxed);
                    let Some(run) = runs.get(idx) else { return };
                    let result = measure(*run).map_err(|it| it.to_string());
                    if let Ok(mut results) = results.lock() {
                        results.push((idx, result));
                    }
                }
            });
        }
    });
    let mut results = results.into_inner().map_err(|it| it.to_string())?;
    results.sort_by_key(|(idx, _)| *idx);
    results.into_iter().map(|(_, result)| result).collect()
}
