//! Starts an entry: its node and its HTTP server.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use dropshot::{ConfigDropshot, HttpServer, ServerBuilder};
use ferry_core::{Identity, Node, Tuning};
use ferry_edge::peers::PeerError;
use ferry_edge::{
    Callers, Driver, EndpointClient, FleetClient, Handle, PeerOptions, Peers, Ports, StoreClient,
};
use ferry_model::{Incarnation, Workspace};
use slog::{Logger, warn};
use thiserror::Error;

use crate::{CallerLimits, EntrySettings, api};

/// Any address of this machine, on a port that the system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

#[derive(Debug, Error)]
pub enum StartError {
    #[error("could not describe the caller interface: {0}")]
    Describe(String),
    #[error(transparent)]
    Peers(#[from] PeerError),
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
    /// None keeps the instance from talking to peers.
    pub peers: Option<PeerOptions>,
    pub limits: CallerLimits,
    pub workspaces: Vec<Workspace>,
}

impl EntryOptions {
    pub fn from_settings(
        settings: EntrySettings,
        identity: Identity,
        incarnation: Incarnation,
    ) -> EntryOptions {
        let platform = settings.platform;
        EntryOptions {
            identity,
            tuning: settings.tuning,
            seed: incarnation,
            listen: settings.instance.listen.unwrap_or(ANY_PORT),
            store: platform.store.first().copied().unwrap_or(ANY_PORT),
            fleet: platform.fleet.unwrap_or(ANY_PORT),
            store_timeout: platform.timeout,
            fleet_interval: platform.interval,
            peers: settings.peers,
            limits: settings.limits,
            workspaces: settings.workspaces,
        }
    }
}

/// What the handlers of the caller interface share.
#[derive(Debug)]
pub struct EntryContext {
    pub handle: Handle,
    pub workspaces: Vec<Workspace>,
    pub limits: CallerLimits,
}

pub struct EntryServer {
    server: HttpServer<Arc<EntryContext>>,
    handle: Handle,
    peers: Option<Peers>,
    instance: String,
    close_time: Duration,
}

impl EntryServer {
    pub fn start(options: EntryOptions, log: &Logger) -> Result<EntryServer, StartError> {
        let instance = options.identity.instance.clone();
        let close_time = options.limits.close_time;
        let peers = options.peers.map(|it| Peers::bind(it, log.clone())).transpose()?;
        let node = Node::new(options.identity, options.tuning, options.seed);
        let ports = Ports {
            callers: Arc::new(Callers::new()),
            endpoints: EndpointClient::new(),
            store: StoreClient::new(options.store, options.store_timeout),
            fleet: FleetClient::new(options.fleet, options.fleet_interval, log.clone()),
            peers: peers.clone(),
            log: log.clone(),
        };
        let handle = Driver::spawn(node, ports);
        let config = ConfigDropshot {
            bind_address: options.listen,
            default_request_body_max_bytes: options.limits.body,
            ..ConfigDropshot::default()
        };
        let context = EntryContext {
            handle: handle.clone(),
            workspaces: options.workspaces,
            limits: options.limits,
        };
        let api = api::describe().map_err(StartError::Describe)?;
        let server = ServerBuilder::new(api, Arc::new(context), log.clone())
            .config(config)
            .start()
            .map_err(|it| StartError::Listen { address: options.listen, error: it.to_string() })?;
        Ok(EntryServer { server, handle, peers, instance, close_time })
    }

    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Returns where peers connect, if they may.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peers.as_ref()?.address().ok()
    }

    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// Stops listening, gives open connections a while for their last bytes, then drops them.
    pub async fn close(self, log: &Logger) {
        if tokio::time::timeout(self.close_time, self.server.close()).await.is_err() {
            warn!(log, "some connections were still open at the end");
        }
        if let Some(peers) = self.peers {
            peers.close();
        }
    }

    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}
