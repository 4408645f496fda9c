//! The subcommands, each in a module of its own.

mod cert;
mod explain;
mod history;
mod pipeline;
mod pool;
mod preset;
mod replay;
mod resource;
mod status;
mod token;
mod use_preset;
mod workspace;

use std::net::SocketAddr;

use argh::FromArgs;
use thiserror::Error;

use crate::client::{Client, ClientError};
use crate::output::Format;

/// Environment variable with the addresses of control instances.
const CONTROL_ENV: &str = "FERRY_CONTROL";
/// Environment variable with the operator's bearer token.
const TOKEN_ENV: &str = "FERRY_TOKEN";

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    #[error("no command was given; see ferryctl --help")]
    NoCommand,
    #[error(transparent)]
    Cert(#[from] cert::CertCommandError),
    #[error("no control instance is given; set --control or {CONTROL_ENV}")]
    NoControl,
    #[error("{text:?} is not an IP address and port")]
    Address { text: String },
    #[error("{text:?} is not a header of the form Name: value")]
    Header { text: String },
    #[error("could not ask the gateway at {gateway}: {error}")]
    Gateway { gateway: SocketAddr, error: String },
    #[error("{TOKEN_ENV} is not set")]
    NoToken,
    #[error("could not read {path}: {error}")]
    File { path: String, error: String },
    #[error("set --revision to the revision that was read, or set --latest to use the current one")]
    NoRevision,
    #[error("revision {revision} is not in force at these instances: {lagging}")]
    Lagging { revision: u64, lagging: String },
    #[error(
        "revision {revision} is accepted, but no instance is known that could have it in force"
    )]
    NoInstances { revision: u64 },
    #[error("the replay of {path} does not end in the recorded state")]
    Diverged { path: String },
    #[error(transparent)]
    Client(#[from] ClientError),
    #[error("could not format the output: {0}")]
    Format(#[from] serde_json::Error),
}

/// Administers a tarragonferry deployment.
#[derive(Debug, FromArgs)]
#[argh(
    example = "FERRY_TOKEN=... ferryctl --control 10.0.0.7:8443 use peak --latest --wait",
    note = "docs/OPERATING.md and docs/CONFIGURATION.md describe each command.",
    error_code(1, "The command is invalid or failed.")
)]
pub struct Args {
    /// print the version and exit
    #[argh(switch)]
    version: bool,
    /// addresses of control instances, separated by commas and tried in turn
    #[argh(option)]
    control: Option<String>,
    /// print JSON instead of tables
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Cert(cert::CertArgs),
    Explain(explain::ExplainArgs),
    Token(token::TokenArgs),
    Pipeline(pipeline::PipelineArgs),
    Pool(pool::PoolArgs),
    Preset(preset::PresetArgs),
    Workspace(workspace::WorkspaceArgs),
    Use(use_preset::UseArgs),
    Status(status::StatusArgs),
    History(history::HistoryArgs),
    Replay(replay::ReplayArgs),
}

impl Args {
    pub async fn run(self) -> Result<(), CommandError> {
        if self.version {
            println!("ferryctl {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        let (format, control) = (Format::new(self.json), self.control);
        match self.command.ok_or(CommandError::NoCommand)? {
            Command::Cert(args) => Ok(args.run()?),
            Command::Explain(args) => args.run(format).await,
            Command::Token(args) => {
                args.run();
                Ok(())
            }
            Command::Pipeline(args) => args.run(&connect(control)?, format).await,
            Command::Pool(args) => args.run(&connect(control)?, format).await,
            Command::Preset(args) => args.run(&connect(control)?, format).await,
            Command::Workspace(args) => args.run(&connect(control)?, format).await,
            Command::Replay(args) => args.run(),
            Command::Use(args) => args.run(&connect(control)?, format).await,
            Command::Status(args) => args.run(&connect(control)?, format).await,
            Command::History(args) => args.run(&connect(control)?, format).await,
        }
    }
}

/// Creates a client from the option or the environment variables.
fn connect(control: Option<String>) -> Result<Client, CommandError> {
    let text =
        control.or_else(|| std::env::var(CONTROL_ENV).ok()).ok_or(CommandError::NoControl)?;
    let parse =
        |it: &str| it.trim().parse().map_err(|_| CommandError::Address { text: it.to_owned() });
    let addresses = text.split(',').map(parse).collect::<Result<Vec<SocketAddr>, _>>()?;
    let token = std::env::var(TOKEN_ENV).map_err(|_| CommandError::NoToken)?;
    Ok(Client::new(addresses, token))
}
