//! Runs the stand-ins of a deployment as a process of their own.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use ferry_edge::logs;
use ferry_edge::process::StopSignals;
use ferry_fakes::{Deployment, DeploymentName};
use ferry_standin::DeploymentStandins;
use serde::Serialize;

/// Runs stand-ins for the platform and every endpoint of a deployment on loopback.
///
/// The first line on standard output is a JSON object with their addresses.
#[derive(Debug, FromArgs)]
#[argh(
    example = "ferry-standin --deployment kancil",
    note = "docs/ENDPOINTS.md describes the interfaces and the control endpoint.",
    error_code(1, "A stand-in could not start.")
)]
struct Args {
    /// ikenna or kancil (default ikenna)
    #[argh(option, default = "DeploymentName::Ikenna")]
    deployment: DeploymentName,
    /// address of the platform (default 127.0.0.1:0, a port that the system chooses)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

#[derive(Debug, Serialize)]
struct Started {
    platform: SocketAddr,
    endpoints: Vec<StartedEndpoint>,
}

#[derive(Debug, Serialize)]
struct StartedEndpoint {
    id: String,
    pool: String,
    address: SocketAddr,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if args.version {
        println!("ferry-standin {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ferry-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<(), String> {
    let mut signals =
        StopSignals::new().map_err(|it| format!("could not listen for signals: {it}"))?;
    let deployment = Deployment::new(args.deployment);
    let standins = DeploymentStandins::start(&deployment, args.listen, &logs::silent_logger())?;
    println!("{}", started(&standins)?);
    signals.next().await;
    Ok(())
}

fn started(standins: &DeploymentStandins) -> Result<String, String> {
    let endpoints = standins.listed.iter().map(|it| StartedEndpoint {
        id: it.id.clone(),
        pool: it.pool.clone(),
        address: it.address,
    });
    let started = Started { platform: standins.platform.address(), endpoints: endpoints.collect() };
    serde_json::to_string(&started).map_err(|it| format!("could not print the addresses: {it}"))
}
