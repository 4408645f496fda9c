//! Subcommands, one file each.

pub mod demo;
pub mod overhead;
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
    Demo(demo::DemoArgs),
    Spread(spread::SpreadArgs),
    Overhead(overhead::OverheadArgs),
}

impl Args {
    pub async fn run(self) -> Result<(), String> {
        match self.command {
            Command::Demo(args) => args.run().await,
            Command::Spread(args) => args.run(),
            Command::Overhead(args) => args.run().await,
        }
    }
}
