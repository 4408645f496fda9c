//! Starts an entry: its node and its HTTP server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dropshot::{ConfigDropshot, HttpServer, ServerBuilder};
use ferry_core::{Identity, Node, Tuning};
use ferry_edge::{Callers, Driver, EndpointClient, FleetClient, Handle, Ports, StoreClient};
use ferry_model::Workspace;
use slog::Logger;
use thiserror::Error;

use crate::api;

/// Largest body a caller may send.
const MAX_BODY: usize = 1024 * 1024;

#[derive(Debug, Error)]
pub enum StartError {
    #[error("could not describe the caller interface: {0}")]
    Describe(String),
    #[error("could not listen on {address}: {error}")]
    Listen { address: SocketAddr, error: String },
}

#[derive(Debug, Clone)]
pub struct EntryOptions {
    pub identity: Identity,
    pub tuning: Tuning,
    pub seed: u64,
    pub listen: SocketAddr,
    pub store: SocketAddr,
    pub fleet: SocketAddr,
    pub store_timeout: Duration,
    pub fleet_interval: Duration,
    pub workspaces: Vec<Workspace>,
}

/// What the handlers of the caller interface share.
#[derive(Debug)]
pub struct EntryContext {
    pub handle: Handle,
    pub workspaces: Vec<Workspace>,
}

pub struct EntryServer {
    server: HttpServer<Arc<EntryContext>>,
    handle: Handle,
}

impl EntryServer {
    pub fn start(options: EntryOptions, log: &Logger) -> Result<EntryServer, StartError> {
        let node = Node::new(options.identity, options.tuning, options.seed);
        let ports = Ports {
            callers: Arc::new(Callers::new()),
            endpoints: EndpointClient::new(),
            store: StoreClient::new(options.store, options.store_timeout),
            fleet: FleetClient::new(options.fleet, options.fleet_interval, log.clone()),
            log: log.clone(),
        };
        let handle = Driver::spawn(node, ports);
        let context = EntryContext { handle: handle.clone(), workspaces: options.workspaces };
        let config = ConfigDropshot {
            bind_address: options.listen,
            default_request_body_max_bytes: MAX_BODY,
            ..ConfigDropshot::default()
        };
        let api = api::describe().map_err(StartError::Describe)?;
        let server = ServerBuilder::new(api, Arc::new(context), log.clone())
            .config(config)
            .start()
            .map_err(|it| StartError::Listen { address: options.listen, error: it.to_string() })?;
        Ok(EntryServer { server, handle })
    }

    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}
