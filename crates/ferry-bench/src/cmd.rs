//! Subcommands, one file each.

pub mod claims;
pub mod day;
pub mod decide;
pub mod demo;
pub mod overhead;
pub mod policies;
pub mod spread;

use argh::FromArgs;

/// Measures tarragonferry on loopback.
///
/// Example: ferry-bench demo --deployment kancil --seconds 5
#[derive(Debug, FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Claims(claims::ClaimsArgs),
    Day(day::DayArgs),
    Decide(decide::DecideArgs),
    Demo(demo::DemoArgs),
    Overhead(overhead::OverheadArgs),
    Policies(policies::PoliciesArgs),
    Spread(spread::SpreadArgs),
}

impl Args {
    pub async fn run(self) -> Result<(), String> {
        match self.command {
            Command::Claims(args) => args.run(),
            Command::Day(args) => args.run(),
            Command::Decide(args) => args.run(),
            Command::Demo(args) => args.run().await,
            Command::Overhead(args) => args.run().await,
            Command::Policies(args) => args.run(),
            Command::Spread(args) => args.run(),
        }
    }
}
