//! The clients, metrics and logger that a process executes effects with.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use ferry_model::InstanceId;
use slog::Logger;
use thiserror::Error;

use crate::metrics::{Metrics, MetricsError};
use crate::peers::{PeerError, PeerOptions, Peers};
use crate::{Callers, EndpointClient, FleetClient, StoreClient, StoreOptions};

#[derive(Debug, Error)]
pub enum OpenError {
    #[error(transparent)]
    Peers(#[from] PeerError),
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Addresses and options of the external services that entry and control both use.
#[derive(Debug, Clone)]
pub struct ClientOptions {
    pub instance: InstanceId,
    pub store: StoreOptions,
    /// Address of the instance list.
    pub fleet: SocketAddr,
    /// Time between two reads of the instance list.
    pub fleet_interval: Duration,
    /// `None` disables communication with peers.
    pub peers: Option<PeerOptions>,
    /// Address of a statsd server; without one no metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// File that every event is written to.
    pub record: Option<PathBuf>,
}

impl ClientOptions {
    /// Uses one address for all platform services, without peers or metrics.
    pub fn new(instance: &str, platform: SocketAddr) -> ClientOptions {
        ClientOptions {
            instance: instance.to_owned(),
            store: StoreOptions::new(platform),
            fleet: platform,
            fleet_interval: Duration::from_secs(1),
            peers: None,
            statsd: None,
            record: None,
        }
    }

    pub fn with_peers(mut self, peers: PeerOptions) -> ClientOptions {
        self.peers = Some(peers);
        self
    }

    pub fn with_record(mut self, record: Option<PathBuf>) -> ClientOptions {
        self.record = record;
        self
    }

    pub fn with_fleet_interval(mut self, interval: Duration) -> ClientOptions {
        self.fleet_interval = interval;
        self
    }
}

/// The clients, metrics and logger, each used by one kind of effect.
#[derive(Debug, Clone)]
pub struct Clients {
    pub callers: Arc<Callers>,
    pub endpoints: EndpointClient,
    pub store: StoreClient,
    pub fleet: FleetClient,
    /// If absent, messages to peers are dropped.
    pub peers: Option<Peers>,
    pub metrics: Metrics,
    pub log: Logger,
    /// File that every event is written to.
    pub record: Option<PathBuf>,
}

impl Clients {
    pub fn open(options: ClientOptions, log: &Logger) -> Result<Clients, OpenError> {
        let metrics = match options.statsd {
            Some(address) => Metrics::statsd(address, &options.instance)?,
            None => Metrics::silent(),
        };
        let peers = match options.peers {
            Some(peers) => Some(Peers::bind(peers, metrics.clone(), log.clone())?),
            None => None,
        };
        Ok(Clients {
            callers: Arc::new(Callers::new()),
            endpoints: EndpointClient::new(),
            store: StoreClient::new(options.store, metrics.clone()),
            fleet: FleetClient::new(options.fleet, options.fleet_interval, log.clone()),
            peers,
            metrics,
            log: log.clone(),
            record: options.record,
        })
    }
}
