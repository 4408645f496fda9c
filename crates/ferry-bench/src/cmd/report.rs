//! Writes the report of an experiment from its CSV files.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use ferry_bench::experiment::Results;

use super::run::write_report;

/// Write the HTML report of an experiment's CSV files beside them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report", example = "ferry-bench report results/steady-ikenna.csv")]
pub struct ReportArgs {
    /// CSV file that `run` wrote
    #[argh(positional)]
    file: PathBuf,
}

impl ReportArgs {
    pub fn run(&self) -> Result<(), String> {
        let results = Results::load(&self.file)?;
        let name = self.file.file_stem().unwrap_or_default().to_string_lossy();
        let folder = self.file.parent().unwrap_or(Path::new("."));
        write_report(folder, &name, &results)
    }
}
