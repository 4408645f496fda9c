//! Starts an entry: its node and its HTTP server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dropshot::{ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use ferry_core::{Identity, Tuning};
use ferry_edge::{ClientOptions, Clients, Driver, Handle, Metrics, OpenError, Peers, process};
use ferry_model::{Incarnation, Workspace};
use slog::{Logger, warn};
use thiserror::Error;

use crate::api::RequestLimiter;
use crate::tokens::WorkspaceTokens;
use crate::{CallerLimits, EntrySettings, api};

/// Added to the body limit of dropshot, so that our own limit, whose error names the field, applies
/// first.
const BODY_SLACK: usize = 1024 * 1024;

#[derive(Debug, Error)]
pub enum StartError {
    #[error("could not build the description of the caller interface: {0}")]
    Describe(String),
    #[error(transparent)]
    Open(#[from] OpenError),
    #[error("could not create the event log: {0}")]
    Record(std::io::Error),
    #[error("could not listen on {address}: {error}")]
    Listen { address: SocketAddr, error: String },
}

#[derive(Debug, Clone)]
pub struct EntryOptions {
    pub identity: Identity,
    pub tuning: Tuning,
    pub seed: u64,
    pub listen: SocketAddr,
    pub clients: ClientOptions,
    pub limits: CallerLimits,
    pub workspaces: Vec<Workspace>,
}

impl EntryOptions {
    pub fn from_settings(
        settings: EntrySettings,
        identity: Identity,
        incarnation: Incarnation,
    ) -> EntryOptions {
        let clients =
            settings.platform.client_options(&identity.instance, settings.peers, settings.metrics);
        EntryOptions {
            identity,
            tuning: settings.tuning,
            seed: incarnation,
            listen: settings.instance.listen(),
            clients,
            limits: settings.limits,
            workspaces: settings.workspaces,
        }
    }
}

/// State that the HTTP handlers share.
#[derive(Debug)]
pub struct EntryContext {
    pub handle: Handle,
    pub tokens: Arc<WorkspaceTokens>,
    pub limits: CallerLimits,
    pub limiter: Arc<RequestLimiter>,
    pub metrics: Metrics,
    /// Bounds of the deadline that a caller may set.
    pub min_deadline: Duration,
    pub max_deadline: Duration,
}

pub struct EntryServer {
    server: HttpServer<Arc<EntryContext>>,
    handle: Handle,
    peers: Option<Peers>,
    instance: String,
    close_timeout: Duration,
}

impl EntryServer {
    pub fn start(mut options: EntryOptions, log: &Logger) -> Result<EntryServer, StartError> {
        let instance = options.identity.instance.clone();
        let close_timeout = options.limits.close_timeout;
        let clients = Clients::open(options.clients, log)?;
        let (peers, metrics) = (clients.peers.clone(), clients.metrics.clone());
        let (min_deadline, max_deadline) =
            (options.tuning.min_deadline, options.tuning.max_deadline);
        options.tuning.place.started_at = process::unix_millis();
        let handle = Driver::spawn(options.identity, options.tuning, options.seed, clients)
            .map_err(StartError::Record)?;
        let config = ConfigDropshot {
            bind_address: options.listen,
            default_request_body_max_bytes: options.limits.body_bytes + BODY_SLACK,
            default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
            ..ConfigDropshot::default()
        };
        let tokens = Arc::new(WorkspaceTokens::new(options.workspaces));
        tokens.watch(&handle);
        let context = EntryContext {
            handle: handle.clone(),
            tokens,
            limits: options.limits,
            limiter: Arc::new(RequestLimiter::new()),
            metrics,
            min_deadline,
            max_deadline,
        };
        let api = api::api_description().map_err(StartError::Describe)?;
        let server = ServerBuilder::new(api, Arc::new(context), log.clone())
            .config(config)
            .start()
            .map_err(|it| StartError::Listen { address: options.listen, error: it.to_string() })?;
        Ok(EntryServer { server, handle, peers, instance, close_timeout })
    }

    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Returns the address that peers connect to, if this instance listens for peers.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peers.as_ref()?.address().ok()
    }

    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// Stops listening and closes the connections that are still open after `close_timeout`.
    pub async fn close(self, log: &Logger) {
        if tokio::time::timeout(self.close_timeout, self.server.close()).await.is_err() {
            warn!(log, "dropped connections that were still open at shutdown");
        }
        if let Some(peers) = self.peers {
            peers.close();
        }
    }

    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}
