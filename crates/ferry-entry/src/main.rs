//! The caller-facing process.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use ferry_edge::process::{self, LaunchOptions};
use ferry_entry::{EntrySettings, run};

const NAME: &str = "ferry-entry";

/// Serves callers: takes their requests through the stages of a pipeline.
#[derive(Debug, FromArgs)]
#[argh(
    example = "ferry-entry --settings etc/ferry-entry.ini",
    note = "docs/SETTINGS.md lists every setting, docs/OPERATING.md signals and logs.",
    error_code(1, "The process could not start or failed."),
    error_code(2, "The settings have findings; each is on a line of its own.")
)]
struct Args {
    /// settings file
    #[argh(option)]
    settings: Option<String>,
    /// write every event to this file, for ferryctl replay; it holds callers' inputs
    #[argh(option)]
    record: Option<PathBuf>,
    /// print every finding in the settings and exit
    #[argh(switch)]
    check: bool,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let launch = LaunchOptions {
        name: NAME,
        settings: args.settings,
        record: args.record,
        check: args.check,
        version: args.version,
    };
    process::launch(launch, EntrySettings::load, run).await
}
