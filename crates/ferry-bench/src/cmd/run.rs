//! Runs an experiment from its file.

use std::fs;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use ferry_bench::experiment::{Plan, Results, report};
use ferry_bench::experiments::policies::simulate;

use super::compare;

/// Run an experiment on virtual time: every policy with the same arrivals and seeds.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "run",
    example = "ferry-bench run experiments/straggler-ikenna.ini --out results"
)]
pub struct RunArgs {
    /// experiment file
    #[argh(positional)]
    file: PathBuf,
    /// folder for the CSV files and the report (default results)
    #[argh(option, default = "PathBuf::from(\"results\")")]
    out: PathBuf,
}

impl RunArgs {
    pub fn run(&self) -> Result<(), String> {
        let plan = Plan::load(&self.file).map_err(|it| it.to_string())?;
        let runs = plan.runs();
        let mut results = Results::default();
        for (idx, run) in runs.iter().enumerate() {
            let (policy, seed, n_runs) = (run.policy, run.seed, runs.len());
            eprintln!("{} of {n_runs}: {policy}, seed {seed}", idx + 1);
            results.add(*run, &simulate(*run).map_err(|it| it.to_string())?);
        }
        results.save(&self.out, &plan.name)?;
        write_report(&self.out, &plan.name, &results)?;
        println!("{}: {}", plan.name, plan.about);
        compare::print(&plan.name, &results)
    }
}

/// Writes `NAME.html` beside the CSV files.
pub fn write_report(folder: &Path, name: &str, results: &Results) -> Result<(), String> {
    let path = folder.join(format!("{name}.html"));
    fs::write(&path, report::page(name, results)?)
        .map_err(|it| format!("could not write {}: {it}", path.display()))
}
