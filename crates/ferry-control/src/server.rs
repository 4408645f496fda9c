//! Starts a control process: its node and its HTTP server.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use dropshot::{ConfigDropshot, HttpServer, ServerBuilder};
use ferry_core::{Identity, Node, Tuning};
use ferry_edge::peers::PeerError;
use ferry_edge::{
    Callers, Driver, EndpointClient, FleetClient, Handle, PeerOptions, Peers, Ports, StoreClient,
};
use ferry_model::Incarnation;
use slog::{Logger, warn};
use thiserror::Error;

use crate::{ControlSettings, Operator, api};

/// This machine, on a port that the system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

#[derive(Debug, Error)]
pub enum StartError {
    #[error("could not describe the administration interface: {0}")]
    Describe(String),
    #[error(transparent)]
    Peers(#[from] PeerError),
    #[error("could not listen on {address}: {error}")]
    Listen { address: SocketAddr, error: String },
}

#[derive(Debug, Clone)]
pub struct ControlOptions {
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
    /// Largest body of an operator's request, in bytes.
    pub body: usize,
    pub close_time: Duration,
    pub operators: Vec<Operator>,
}

impl ControlOptions {
    pub fn from_settings(
        settings: ControlSettings,
        identity: Identity,
        incarnation: Incarnation,
    ) -> ControlOptions {
        let platform = settings.platform;
        ControlOptions {
            identity,
            tuning: settings.tuning,
            seed: incarnation,
            listen: settings.instance.listen.unwrap_or(ANY_PORT),
            store: platform.store.first().copied().unwrap_or(ANY_PORT),
            fleet: platform.fleet.unwrap_or(ANY_PORT),
            store_timeout: platform.timeout,
            fleet_interval: platform.interval,
            peers: settings.peers,
            body: settings.body,
            close_time: settings.close_time,
            operators: settings.operators,
        }
    }
}

/// What the handlers of the administration interface share.
#[derive(Debug)]
pub struct ControlContext {
    pub handle: Handle,
    pub operators: Vec<Operator>,
}

pub struct ControlServer {
    server: HttpServer<Arc<ControlContext>>,
    handle: Handle,
    peers: Option<Peers>,
    instance: String,
    close_time: Duration,
}

impl ControlServer {
    pub fn start(options: ControlOptions, log: &Logger) -> Result<ControlServer, StartError> {
        let instance = options.identity.instance.clone();
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
            default_request_body_max_bytes: options.body,
            ..ConfigDropshot::default()
        };
        let context = ControlContext { handle: handle.clone(), operators: options.operators };
        let api = api::describe().map_err(StartError::Describe)?;
        let server = ServerBuilder::new(api, Arc::new(context), log.clone())
            .config(config)
            .start()
            .map_err(|it| StartError::Listen { address: options.listen, error: it.to_string() })?;
        let close_time = options.close_time;
        Ok(ControlServer { server, handle, peers, instance, close_time })
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

    pub fn handle(&self) -> &Handle {
        &self.handle
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
}
