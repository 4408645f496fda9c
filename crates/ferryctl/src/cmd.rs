//! Subcommands, one file each.

mod cert;
mod token;

use argh::FromArgs;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    #[error("no command was given; see ferryctl --help")]
    Missing,
    #[error(transparent)]
    Cert(#[from] cert::CertCommandError),
}

/// Administers a tarragonferry deployment.
#[derive(Debug, FromArgs)]
#[argh(
    example = "ferryctl cert authority > authority.ini",
    note = "docs/OPERATING.md describes each command.",
    error_code(1, "The command failed or was not understood.")
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
    Cert(cert::CertArgs),
    Token(token::TokenArgs),
}

impl Args {
    pub async fn run(self) -> Result<(), CommandError> {
        if self.version {
            println!("ferryctl {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        match self.command.ok_or(CommandError::Missing)? {
            Command::Cert(args) => args.run()?,
            Command::Token(args) => args.run(),
        }
        Ok(())
    }
}
