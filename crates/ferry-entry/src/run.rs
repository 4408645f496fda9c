//! The life of an entry process: start, serve, drain, close.

use std::net::SocketAddr;
use std::path::PathBuf;

use ferry_core::InstanceRole;
use ferry_edge::process::{self, ProcessError, StopSignals};
use ferry_model::Incarnation;
use serde::Serialize;
use slog::o;
use thiserror::Error;

use crate::server::StartError;
use crate::{EntryOptions, EntryServer, EntrySettings};

#[derive(Debug, Error)]
pub enum RunError {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Process(#[from] ProcessError),
}

/// The line on standard output once the process listens.
#[derive(Debug, Serialize)]
struct Started<'a> {
    instance: &'a str,
    incarnation: Incarnation,
    callers: SocketAddr,
    peers: Option<SocketAddr>,
}

/// Runs an entry until a signal asks it to stop and every request has ended; each event goes to `record`.
pub async fn run(settings: EntrySettings, record: Option<PathBuf>) -> Result<(), RunError> {
    let incarnation = process::new_incarnation();
    let log = settings.log.logger().new(o!("instance" => settings.instance.id.clone()));
    let mut signals = StopSignals::new()?;
    let identity = settings.instance.identity(incarnation, InstanceRole::Entry);
    let mut options = EntryOptions::from_settings(settings, identity, incarnation);
    options.ports = options.ports.with_record(record);
    let server = EntryServer::start(options, &log)?;
    process::print_started(&Started {
        instance: server.instance(),
        incarnation,
        callers: server.address(),
        peers: server.peer_address(),
    })?;
    process::run_until_exit(server.handle(), &mut signals, &log).await;
    server.close(&log).await;
    Ok(())
}
