//! Lists the experiments.

use std::fs;
use std::path::PathBuf;

use argh::FromArgs;
use ferry_bench::experiment::Plan;

/// Experiments with their own commands.
const COMMANDS: [(&str, &str); 8] = [
    ("claims", "object API calls for requests that may not be repeated"),
    ("day", "placement strategies over compressed days"),
    ("decide", "time of a routing decision as the fleet grows"),
    ("matrix", "every fault at every step"),
    ("overhead", "an entry compared with calling the stand-in directly"),
    ("policies", "routing policies in every case"),
    ("slopes", "growth of each cost"),
    ("spread", "time until a change is applied everywhere"),
];

/// List the experiments: files for `run`, then those with their own commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list", example = "ferry-bench list --folder experiments")]
pub struct ListArgs {
    /// folder of experiment files (default experiments)
    #[argh(option, default = "PathBuf::from(\"experiments\")")]
    folder: PathBuf,
}

impl ListArgs {
    pub fn run(&self) -> Result<(), String> {
        let shown = self.folder.display();
        let fail = |it: std::io::Error| format!("could not read {shown}: {it}");
        let mut paths = Vec::new();
        for entry in fs::read_dir(&self.folder).map_err(fail)? {
            paths.push(entry.map_err(fail)?.path());
        }
        paths.retain(|it| it.extension().is_some_and(|it| it == "ini"));
        paths.sort();
        for path in paths {
            let about = Plan::load(&path).map_or_else(|it| it.to_string(), |it| it.about);
            println!("{:<40} {about}", path.display().to_string());
        }
        COMMANDS.iter().for_each(|(name, about)| println!("{name:<40} {about}"));
        Ok(())
    }
}
