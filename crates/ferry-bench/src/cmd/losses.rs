//! Shows where the worth of a day was lost.

use std::fs::File;
use std::io::{BufReader, stdout};
use std::path::PathBuf;

use argh::FromArgs;
use ferry_bench::losses;

/// Show for each route which requests were late, refused or failed, and why, from gateways' logs.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "losses",
    example = "ferry-bench losses day.log --csv losses.csv --plot losses.svg"
)]
pub struct LossesArgs {
    /// log of one or more gateways of one day
    #[argh(positional)]
    log: PathBuf,
    /// file to write as CSV
    #[argh(option)]
    csv: Option<PathBuf>,
    /// file to write as an SVG plot over the day
    #[argh(option)]
    plot: Option<PathBuf>,
}

impl LossesArgs {
    pub fn run(&self) -> Result<(), String> {
        let name = self.log.display();
        let file = File::open(&self.log).map_err(|it| format!("could not open {name}: {it}"))?;
        let losses = losses::read(BufReader::new(file))
            .map_err(|it| format!("could not account for {name}: {it}"))?;
        losses::print(&losses, stdout().lock())
            .map_err(|it| format!("could not print the losses: {it}"))?;
        if let Some(path) = &self.csv {
            let failed =
                |it: &dyn std::fmt::Display| format!("could not write {}: {it}", path.display());
            let file = File::create(path).map_err(|it| failed(&it))?;
            losses::write_csv(&losses, file).map_err(|it| failed(&it))?;
        }
        if let Some(path) = &self.plot {
            losses::write_plot(&losses, path)
                .map_err(|it| format!("could not write {}: {it}", path.display()))?;
        }
        Ok(())
    }
}
