//! Subcommands, one file each.

pub mod demo;
pub mod overhead;

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
    Demo(demo::DemoArgs),
    Overhead(overhead::OverheadArgs),
}

impl Args {
    pub async fn run(self) -> Result<(), String> {
        if self.version {
            println!("ferry-bench {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        match self.command.ok_or("no command was given; see ferry-bench --help")? {
            Command::Demo(args) => args.run().await,
            Command::Overhead(args) => args.run().await,
        }
    }
}
