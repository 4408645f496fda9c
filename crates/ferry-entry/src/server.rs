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

use crate::api::Gate;
use crate::tokens::WorkspaceTokens;
use crate::{CallerLimits, EntrySettings, api};

/// Added to the server's own body limit, so that ours is met first and names the field.
const BODY_SLACK: usize = 1024 * 1024;

#[derive(Debug, Error)]
pub enum StartError {
    #[error("could not describe the caller interface: {0}")]
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
    pub ports: ClientOptions,
    pub limits: CallerLimits,
    pub workspaces: Vec<Workspace>,
}

impl EntryOptions {
    pub fn from_settings(
        settings: EntrySettings,
        identity: Identity,
        incarnation: Incarnation,
    ) -> EntryOptions {
        let ports =
            settings.platform.client_options(&identity.instance, settings.peers, settings.metrics);
        EntryOptions {
            identity,
            tuning: settings.tuning,
            seed: incarnation,
            listen: settings.instance.listen(),
            ports,
            limits: settings.limits,
            workspaces: settings.workspaces,
        }
    }
}

/// What the handlers of the caller interface share.
#[derive(Debug)]
pub struct EntryContext {
    pub handle: Handle,
    pub tokens: Arc<WorkspaceTokens>,
    pub limits: CallerLimits,
    pub gate: Arc<Gate>,
    pub metrics: Metrics,
    /// Bounds of the deadline that a caller may name.
    pub min_deadline: Duration,
    pub max_deadline: Duration,
}

pub struct EntryServer {
    server: HttpServer<Arc<EntryContext>>,
    handle: Handle,
    peers: Option<Peers>,
    instance: String,
    close_time: Duration,
}

impl EntryServer {
    pub fn start(mut options: EntryOptions, log: &Logger) -> Result<EntryServer, StartError> {
        let instance = options.identity.instance.clone();
        let close_time = options.limits.close_time;
        let ports = Clients::open(options.ports, log)?;
        let (peers, metrics) = (ports.peers.clone(), ports.metrics.clone());
        let (min_deadline, max_deadline) =
            (options.tuning.min_deadline, options.tuning.max_deadline);
        options.tuning.place.started_at = process::unix_millis();
        let handle = Driver::spawn(options.identity, options.tuning, options.seed, ports)
            .map_err(StartError::Record)?;
        let config = ConfigDropshot {
            bind_address: options.listen,
            default_request_body_max_bytes: options.limits.body + BODY_SLACK,
            default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
            ..ConfigDropshot::default()
        };
        let tokens = Arc::new(WorkspaceTokens::new(options.workspaces));
        tokens.follow(&handle);
        let context = EntryContext {
            handle: handle.clone(),
            tokens,
            limits: options.limits,
            gate: Arc::new(Gate::new()),
            metrics,
            min_deadline,
            max_deadline,
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
