//! Compares fixed, reactive and forecast capacity over a compressed day.

use std::thread;

use argh::FromArgs;
use ferry_bench::DeploymentName;
use ferry_bench::experiments::day::{self, DayStats, Strategy};
use strum::IntoEnumIterator;

/// Compare forecast capacity with fixed and reactive capacity, on virtual time.
///
/// Example: ferry-bench day --deployment kancil --seed 3
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "day")]
pub struct DayArgs {
    /// only this deployment: ikenna or kancil
    #[argh(option)]
    deployment: Option<DeploymentName>,
    /// seed of the arrivals and of the endpoints (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// print JSON lines instead of a table
    #[argh(switch)]
    json: bool,
}

impl DayArgs {
    pub fn run(self) -> Result<(), String> {
        let names: Vec<DeploymentName> =
            DeploymentName::iter().filter(|it| self.deployment.is_none_or(|x| x == *it)).collect();
        for name in names {
            let seed = self.seed;
            let runs: Vec<_> = Strategy::iter()
                .map(|strategy| thread::spawn(move || day::run(name, strategy, seed)))
                .collect();
            for run in runs {
                let stats = run.join().map_err(|_| "a run panicked".to_owned())??;
                stats.iter().try_for_each(|it| self.print(it))?;
            }
        }
        Ok(())
    }

    fn print(&self, it: &DayStats) -> Result<(), String> {
        if self.json {
            let line = serde_json::to_string(it).map_err(|it| it.to_string())?;
            println!("{line}");
            return Ok(());
        }
        let stages: Vec<String> =
            it.stages.iter().map(|it| format!("{} {:.0}", it.pool, it.held)).collect();
        println!(
            "{:<7} {:<9} {:<9} sent {} complete {} not_run {} failed {} in_doubt {} cut {} \
             attainment {:.4} runner-seconds {:.0} ({})",
            it.deployment,
            it.strategy,
            it.day,
            it.sent,
            it.complete,
            it.not_run,
            it.failed,
            it.in_doubt,
            it.cut,
            it.attainment,
            it.total_held(),
            stages.join(", "),
        );
        Ok(())
    }
}
