//! Compares the results of experiments.

use std::path::PathBuf;

use argh::FromArgs;
use ferry_bench::experiment::Results;

/// Compare policies over the results of one or more experiments.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "compare",
    example = "ferry-bench compare results/steady-ikenna.csv results/steady-kancil.csv"
)]
pub struct CompareArgs {
    /// CSV files that `run` wrote
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl CompareArgs {
    pub fn run(&self) -> Result<(), String> {
        if self.files.is_empty() {
            return Err("no file was given; see ferry-bench compare --help".to_owned());
        }
        for file in &self.files {
            let name = file.file_stem().unwrap_or_default().to_string_lossy();
            print(&name, &Results::load(file)?)?;
        }
        Ok(())
    }
}

/// Prints one line for each policy.
pub fn print(name: &str, results: &Results) -> Result<(), String> {
    for policy in results.policies() {
        let summary = results.summary(policy)?;
        let ms = |quantile| summary.latencies.value_at_quantile(quantile) as f64 / 1e3;
        let cost: f64 = results.pool_costs(policy).iter().map(|(_, cost)| cost).sum();
        println!(
            "{name:<20} {policy:<18} sent {:>6} attainment {:.4} p50 {:>8.1} ms p99 {:>8.1} ms \
             runner-seconds {cost:.1} per 1,000",
            summary.sent,
            summary.attainment,
            ms(0.5),
            ms(0.99),
        );
    }
    Ok(())
}
