//! The life of a control process: start, serve, drain, close.

use std::net::SocketAddr;

use ferry_core::{Event, InstanceRole};
use ferry_edge::process::{self, StopSignals};
use ferry_model::Incarnation;
use serde::Serialize;
use slog::{Logger, info, o};
use thiserror::Error;

use crate::server::StartError;
use crate::{ControlOptions, ControlServer, ControlSettings};

#[derive(Debug, Error)]
pub enum RunError {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("could not listen for signals: {0}")]
    Signals(std::io::Error),
    #[error("could not print the addresses: {0}")]
    Print(serde_json::Error),
}

/// The line on standard output once the process listens.
#[derive(Debug, Serialize)]
struct Started<'a> {
    instance: &'a str,
    incarnation: Incarnation,
    operators: SocketAddr,
    peers: Option<SocketAddr>,
}

/// Runs a control process until a signal asks it to stop and every request has ended.
pub async fn run(settings: ControlSettings) -> Result<(), RunError> {
    let incarnation = process::incarnation();
    let log = settings.log.logger().new(o!("instance" => settings.instance.id.clone()));
    let mut signals = StopSignals::new().map_err(RunError::Signals)?;
    let identity = settings.instance.identity(incarnation, InstanceRole::Control);
    let options = ControlOptions::from_settings(settings, identity, incarnation);
    let server = ControlServer::start(options, &log)?;
    announce(&server, incarnation)?;
    wait(&server, &mut signals, &log).await;
    server.close(&log).await;
    Ok(())
}

fn announce(server: &ControlServer, incarnation: Incarnation) -> Result<(), RunError> {
    let started = Started {
        instance: server.instance(),
        incarnation,
        operators: server.address(),
        peers: server.peer_address(),
    };
    println!("{}", serde_json::to_string(&started).map_err(RunError::Print)?);
    Ok(())
}

/// Hands each signal to the node; only the node says when the process may exit.
async fn wait(server: &ControlServer, signals: &mut StopSignals, log: &Logger) {
    let mut status = server.handle().watch();
    loop {
        tokio::select! {
            name = signals.next() => {
                info!(log, "asked to stop; open requests go on"; "signal" => name);
                server.handle().send(Event::Shutdown);
            }
            ended = status.wait_for(|it| it.exited) => {
                info!(log, "every request has ended"; "driver_ended" => ended.is_err());
                return;
            }
        }
    }
}
