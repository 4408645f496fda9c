//! Starts a control process: its node and its HTTP server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dropshot::{ConfigDropshot, HttpServer, ServerBuilder};
use ferry_core::{Identity, Tuning};
use ferry_edge::{BearerTokens, ClientOptions, Clients, Driver, Handle, OpenError, Peers, process};
use ferry_model::Incarnation;
use slog::{Logger, warn};
use thiserror::Error;

use crate::{ControlSettings, Operator, api};

#[derive(Debug, Error)]
pub enum StartError {
    #[error("could not describe the administration interface: {0}")]
    Describe(String),
    #[error(transparent)]
    Open(#[from] OpenError),
    #[error("could not create the event log: {0}")]
    Record(std::io::Error),
    #[error("could not listen on {address}: {error}")]
    Listen { address: SocketAddr, error: String },
}

#[derive(Debug, Clone)]
pub struct ControlOptions {
    pub identity: Identity,
    pub tuning: Tuning,
    pub seed: u64,
    pub listen: SocketAddr,
    pub ports: ClientOptions,
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
        let ports =
            settings.platform.client_options(&identity.instance, settings.peers, settings.metrics);
        ControlOptions {
            identity,
            tuning: settings.tuning,
            seed: incarnation,
            listen: settings.instance.listen(),
            ports,
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
    /// Operators by their bearer tokens.
    pub operators: BearerTokens<Arc<Operator>>,
}

pub struct ControlServer {
    server: HttpServer<Arc<ControlContext>>,
    handle: Handle,
    peers: Option<Peers>,
    instance: String,
    close_time: Duration,
}

impl ControlServer {
    pub fn start(mut options: ControlOptions, log: &Logger) -> Result<ControlServer, StartError> {
        let instance = options.identity.instance.clone();
        let ports = Clients::open(options.ports, log)?;
        let peers = ports.peers.clone();
        options.tuning.place.started_at = process::unix_millis();
        let handle = Driver::spawn(options.identity, options.tuning, options.seed, ports)
            .map_err(StartError::Record)?;
        let config = ConfigDropshot {
            bind_address: options.listen,
            default_request_body_max_bytes: options.body,
            ..ConfigDropshot::default()
        };
        let operators = BearerTokens::new(token_owners(&options.operators));
        let context = ControlContext { handle: handle.clone(), operators };
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

/// Pairs each hash of a token with its operator.
fn token_owners(operators: &[Operator]) -> impl Iterator<Item = (&str, Arc<Operator>)> {
    operators.iter().flat_map(|it| {
        let operator = Arc::new(it.clone());
        it.tokens.iter().map(move |token| (token.as_str(), operator.clone()))
    })
}
