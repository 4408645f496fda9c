//! Subcommands, one file each.

pub mod claims;
pub mod compare;
pub mod day;
pub mod decide;
pub mod demo;
pub mod list;
pub mod losses;
pub mod matrix;
pub mod overhead;
pub mod policies;
pub mod report;
pub mod run;
pub mod slopes;
pub mod spread;

use argh::FromArgs;

/// Measures tarragonferry on loopback.
#[derive(Debug, FromArgs)]
#[argh(
    example = "ferry-bench demo --deployment kancil --seconds 5",
    error_code(1, "A measurement failed, or something was lost, doubled or misaddressed.")
)]
pub struct Args {
    /// print the version and exit
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Claims(claims::ClaimsArgs),
    Compare(compare::CompareArgs),
    Day(day::DayArgs),
    Decide(decide::DecideArgs),
    Demo(demo::DemoArgs),
    List(list::ListArgs),
    Losses(losses::LossesArgs),
    Matrix(matrix::MatrixArgs),
    Overhead(overhead::OverheadArgs),
    Policies(policies::PoliciesArgs),
    Report(report::ReportArgs),
    Run(run::RunArgs),
    Slopes(slopes::SlopesArgs),
    Spread(spread::SpreadArgs),
}

impl Args {
    pub async fn run(self) -> Result<(), String> {
        if self.version {
            println!("ferry-bench {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        match self.command.ok_or("no command was given; see ferry-bench --help")? {
            Command::Claims(args) => args.run(),
            Command::Compare(args) => args.run(),
            Command::Day(args) => args.run(),
            Command::Decide(args) => args.run(),
            Command::Demo(args) => args.run().await,
            Command::List(args) => args.run(),
            Command::Losses(args) => args.run(),
            Command::Matrix(args) => args.run(),
            Command::Overhead(args) => args.run().await,
            Command::Policies(args) => args.run(),
            Command::Report(args) => args.run(),
            Command::Run(args) => args.run(),
            Command::Slopes(args) => args.run(),
            Command::Spread(args) => args.run().await,
        }
    }
}
