//! Messages between instances over QUIC with mutual TLS; docs/design/edge.md describes it.
//!
//! Each message travels one way, on a stream of its own or as a datagram, and may
//! get lost: what must arrive is asked for again by the reducer.

pub mod codec;
mod sender;
mod tls;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use ferry_core::Event;
use ferry_model::{InstanceId, PeerMessage, SortedMap};
use quinn::{Connection, Endpoint, Incoming};
use slog::{Logger, debug, warn};
use thiserror::Error;
use tokio::sync::{Semaphore, mpsc};

use crate::certs::CertPair;
use crate::metrics::{Counter, Metrics};
use codec::{Envelope, MAX_MESSAGE_BYTES};
use sender::{Parcel, QUEUE, Sender};

/// Most connections of peers at once.
const MAX_CONNECTIONS: usize = 1024;
/// Time for a peer's handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the rest of a message after its first byte.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Code with which a connection is closed whose messages make no sense.
const CLOSE_BAD_MESSAGE: u32 = 1;

#[derive(Debug, Error)]
pub enum PeerError {
    #[error("could not read the peers' {what}: {error}")]
    KeyMaterial { what: &'static str, error: String },
    #[error("could not set up TLS between peers: {0}")]
    Tls(String),
    #[error("could not listen for peers on {address}: {error}")]
    Listen { address: SocketAddr, error: std::io::Error },
}

impl PeerError {
    /// Returns the settings key that holds what is wrong.
    pub fn settings_key(&self) -> &'static str {
        match self {
            PeerError::KeyMaterial { what, .. } => what,
            PeerError::Tls(_) => "certificate",
            PeerError::Listen { .. } => "listen",
        }
    }
}

/// What an instance shows its peers and how it knows them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Certificate of the deployment's authority, in PEM.
    pub authority: String,
    /// The instance's own certificate; it is valid for the instance's id.
    pub pair: CertPair,
}

impl PeerIdentity {
    /// Whether the certificates and the key can be used together.
    pub fn check(&self) -> Result<(), PeerError> {
        tls::server_config(self).and(tls::client_config(self)).map(|_| ())
    }
}

#[derive(Debug, Clone)]
pub struct PeerOptions {
    pub listen: SocketAddr,
    pub instance: InstanceId,
    pub identity: PeerIdentity,
}

/// The peer transport of one process.
#[derive(Debug, Clone)]
pub struct Peers {
    endpoint: Endpoint,
    instance: InstanceId,
    senders: Arc<Mutex<SortedMap<InstanceId, Route>>>,
    metrics: Metrics,
    log: Logger,
}

/// The open way to one peer.
#[derive(Debug)]
struct Route {
    address: SocketAddr,
    parcels: mpsc::Sender<Parcel>,
}

impl Peers {
    /// Listens for peers; messages come once [`Peers::spawn`] was called.
    pub fn bind(options: PeerOptions, metrics: Metrics, log: Logger) -> Result<Peers, PeerError> {
        let server = tls::server_config(&options.identity)?;
        let client = tls::client_config(&options.identity)?;
        let address = options.listen;
        let mut endpoint = Endpoint::server(server, address)
            .map_err(|error| PeerError::Listen { address, error })?;
        endpoint.set_default_client_config(client);
        let senders = Arc::new(Mutex::new(SortedMap::new()));
        Ok(Peers { endpoint, instance: options.instance, senders, metrics, log })
    }

    /// Returns where peers connect.
    pub fn address(&self) -> Result<SocketAddr, std::io::Error> {
        self.endpoint.local_addr()
    }

    /// Takes messages of peers until the transport is closed.
    pub fn spawn(&self, events: mpsc::UnboundedSender<Event>) {
        let receiver = Receiver {
            events,
            metrics: self.metrics.clone(),
            log: self.log.clone(),
            slots: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
        };
        tokio::spawn(receiver.accept(self.endpoint.clone()));
    }

    /// Queues a message for a peer; it is dropped where the peer is too slow or gone.
    pub fn send(&self, to: &str, address: SocketAddr, message: PeerMessage) {
        let is_datagram = matches!(message, PeerMessage::Heartbeat(_));
        let envelope = Envelope { from: self.instance.clone(), message };
        let bytes = match codec::encode(&envelope) {
            Ok(bytes) => Bytes::from(bytes),
            Err(error) => {
                warn!(self.log, "dropped a message to a peer";
                    "peer" => to, "error" => error.to_string());
                return;
            }
        };
        let n_bytes = bytes.len() as u64;
        let parcel = Parcel { bytes, is_datagram };
        if self.route(to, address).try_send(parcel).is_err() {
            self.metrics.count(Counter::PeerMessagesDropped, 1);
            debug!(self.log, "dropped a message to a slow peer"; "peer" => to);
            return;
        }
        self.metrics.count(Counter::PeerMessagesSent, 1);
        self.metrics.count(Counter::PeerBytesSent, n_bytes);
    }

    /// Closes every connection.
    pub fn close(&self) {
        self.endpoint.close(0_u32.into(), b"shutdown");
    }

    fn route(&self, to: &str, address: SocketAddr) -> mpsc::Sender<Parcel> {
        let mut senders = self.lock();
        if let Some(route) = senders.get(to)
            && route.address == address
            && !route.parcels.is_closed()
        {
            return route.parcels.clone();
        }
        let (parcels, queue) = mpsc::channel(QUEUE);
        let sender = Sender {
            endpoint: self.endpoint.clone(),
            instance: to.to_owned(),
            address,
            log: self.log.clone(),
        };
        tokio::spawn(sender.run(queue));
        senders.retain(|_, it| !it.parcels.is_closed());
        senders.insert(to.to_owned(), Route { address, parcels: parcels.clone() });
        parcels
    }

    fn lock(&self) -> MutexGuard<'_, SortedMap<InstanceId, Route>> {
        self.senders.lock().unwrap_or_else(|it| it.into_inner())
    }
}

#[derive(Debug, Clone)]
struct Receiver {
    events: mpsc::UnboundedSender<Event>,
    metrics: Metrics,
    log: Logger,
    slots: Arc<Semaphore>,
}

impl Receiver {
    async fn accept(self, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            let Ok(slot) = self.slots.clone().try_acquire_owned() else {
                incoming.refuse();
                continue;
            };
            let receiver = self.clone();
            tokio::spawn(async move {
                receiver.serve(incoming).await;
                drop(slot);
            });
        }
    }

    async fn serve(&self, incoming: Incoming) {
        let remote = incoming.remote_address();
        let Ok(connecting) = incoming.accept() else { return };
        let connection = match tokio::time::timeout(HANDSHAKE_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => {
                warn!(self.log, "refused a peer";
                    "address" => remote.to_string(), "error" => error.to_string());
                return;
            }
            Err(_) => return,
        };
        tokio::join!(self.read_datagrams(&connection), self.read_streams(&connection));
    }

    async fn read_datagrams(&self, connection: &Connection) {
        while let Ok(bytes) = connection.read_datagram().await {
            self.take(connection, &bytes);
        }
    }

    async fn read_streams(&self, connection: &Connection) {
        while let Ok(mut stream) = connection.accept_uni().await {
            let read = stream.read_to_end(MAX_MESSAGE_BYTES);
            match tokio::time::timeout(READ_TIMEOUT, read).await {
                Ok(Ok(bytes)) => self.take(connection, &bytes),
                Ok(Err(_)) | Err(_) => self.reject(connection, "a message was cut off"),
            }
        }
    }

    /// Hands a message on if its sender is who its certificate says.
    fn take(&self, connection: &Connection, bytes: &[u8]) {
        self.metrics.count(Counter::PeerMessagesReceived, 1);
        self.metrics.count(Counter::PeerBytesReceived, bytes.len() as u64);
        let envelope = match codec::decode(bytes) {
            Ok(envelope) => envelope,
            Err(error) => return self.reject(connection, &error.to_string()),
        };
        if !tls::is_peer(connection, &envelope.from) {
            let error = format!("the certificate is not the one of {}", envelope.from);
            return self.reject(connection, &error);
        }
        let _ = self.events.send(Event::Peer { from: envelope.from, message: envelope.message });
    }

    fn reject(&self, connection: &Connection, error: &str) {
        self.metrics.count(Counter::PeerConnectionsRejected, 1);
        warn!(self.log, "dropped a peer's connection";
            "address" => connection.remote_address().to_string(), "error" => error);
        connection.close(CLOSE_BAD_MESSAGE.into(), b"bad message");
    }
}
