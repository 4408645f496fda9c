//! Messages between instances over QUIC with mutual TLS; see docs/design/edge.md.
//!
//! Each message is sent one way, on its own stream or as a datagram, and may be lost:
//! the reducer requests again what it needs.

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
use sender::{OutgoingMessage, QUEUE_CAPACITY, Sender};

/// Maximum number of concurrent incoming connections.
const MAX_CONNECTIONS: usize = 1024;
/// Time limit for the handshake of an incoming connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for reading a message after its stream was opened.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Close code for a connection that sent an invalid message.
const CLOSE_BAD_MESSAGE: u32 = 1;

#[derive(Debug, Error)]
pub enum PeerError {
    #[error("could not read the {setting} for peer connections: {error}")]
    KeyMaterial { setting: &'static str, error: String },
    #[error("could not set up TLS between peers: {0}")]
    Tls(String),
    #[error("could not listen for peers on {address}: {error}")]
    Listen { address: SocketAddr, error: std::io::Error },
}

impl PeerError {
    /// Returns the settings key that caused the error.
    pub fn settings_key(&self) -> &'static str {
        match self {
            PeerError::KeyMaterial { setting, .. } => setting,
            PeerError::Tls(_) => "certificate",
            PeerError::Listen { .. } => "listen",
        }
    }
}

/// The certificate that an instance presents, and the authority that it trusts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Certificate of the deployment's authority, in PEM.
    pub authority: String,
    /// The instance's own certificate, valid for the instance id, and its key.
    pub pair: CertPair,
}

impl PeerIdentity {
    /// Checks that the certificates and the key can be used together.
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
    queues: Arc<Mutex<SortedMap<InstanceId, PeerQueue>>>,
    metrics: Metrics,
    log: Logger,
}

/// The queue of messages to one peer.
#[derive(Debug)]
struct PeerQueue {
    address: SocketAddr,
    messages: mpsc::Sender<OutgoingMessage>,
}

impl Peers {
    /// Listens for peers; messages are received only after [`Peers::spawn`].
    pub fn bind(options: PeerOptions, metrics: Metrics, log: Logger) -> Result<Peers, PeerError> {
        let server = tls::server_config(&options.identity)?;
        let client = tls::client_config(&options.identity)?;
        let address = options.listen;
        let mut endpoint = Endpoint::server(server, address)
            .map_err(|error| PeerError::Listen { address, error })?;
        endpoint.set_default_client_config(client);
        let queues = Arc::new(Mutex::new(SortedMap::new()));
        Ok(Peers { endpoint, instance: options.instance, queues, metrics, log })
    }

    /// Returns the address that peers connect to.
    pub fn address(&self) -> Result<SocketAddr, std::io::Error> {
        self.endpoint.local_addr()
    }

    /// Receives messages from peers until the transport is closed.
    pub fn spawn(&self, events: mpsc::UnboundedSender<Event>) {
        let receiver = Receiver {
            events,
            metrics: self.metrics.clone(),
            log: self.log.clone(),
            permits: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
        };
        tokio::spawn(receiver.accept(self.endpoint.clone()));
    }

    /// Queues a message for a peer; it is dropped if the queue is full or closed.
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
        let outgoing = OutgoingMessage { bytes, is_datagram };
        if self.queue(to, address).try_send(outgoing).is_err() {
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

    /// Returns the queue of a peer, starting a sender if there is none for the address.
    fn queue(&self, to: &str, address: SocketAddr) -> mpsc::Sender<OutgoingMessage> {
        let mut queues = self.lock();
        if let Some(queue) = queues.get(to)
            && queue.address == address
            && !queue.messages.is_closed()
        {
            return queue.messages.clone();
        }
        let (messages, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let sender = Sender {
            endpoint: self.endpoint.clone(),
            instance: to.to_owned(),
            address,
            log: self.log.clone(),
        };
        tokio::spawn(sender.run(receiver));
        queues.retain(|_, it| !it.messages.is_closed());
        queues.insert(to.to_owned(), PeerQueue { address, messages: messages.clone() });
        messages
    }

    fn lock(&self) -> MutexGuard<'_, SortedMap<InstanceId, PeerQueue>> {
        self.queues.lock().unwrap_or_else(|it| it.into_inner())
    }
}

#[derive(Debug, Clone)]
struct Receiver {
    events: mpsc::UnboundedSender<Event>,
    metrics: Metrics,
    log: Logger,
    permits: Arc<Semaphore>,
}

impl Receiver {
    async fn accept(self, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            let Ok(permit) = self.permits.clone().try_acquire_owned() else {
                incoming.refuse();
                continue;
            };
            let receiver = self.clone();
            tokio::spawn(async move {
                receiver.serve(incoming).await;
                drop(permit);
            });
        }
    }

    async fn serve(&self, incoming: Incoming) {
        let remote = incoming.remote_address();
        let Ok(connecting) = incoming.accept() else { return };
        let connection = match tokio::time::timeout(HANDSHAKE_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => {
                warn!(self.log, "handshake with a peer failed";
                    "address" => remote.to_string(), "error" => error.to_string());
                return;
            }
            Err(_) => return,
        };
        tokio::join!(self.read_datagrams(&connection), self.read_streams(&connection));
    }

    async fn read_datagrams(&self, connection: &Connection) {
        while let Ok(bytes) = connection.read_datagram().await {
            self.receive(connection, &bytes);
        }
    }

    async fn read_streams(&self, connection: &Connection) {
        while let Ok(mut stream) = connection.accept_uni().await {
            let read = stream.read_to_end(MAX_MESSAGE_BYTES);
            match tokio::time::timeout(READ_TIMEOUT, read).await {
                Ok(Ok(bytes)) => self.receive(connection, &bytes),
                Ok(Err(_)) | Err(_) => self.reject(connection, "could not read a whole message"),
            }
        }
    }

    /// Forwards a message if the connection's certificate is valid for its sender.
    fn receive(&self, connection: &Connection, bytes: &[u8]) {
        self.metrics.count(Counter::PeerMessagesReceived, 1);
        self.metrics.count(Counter::PeerBytesReceived, bytes.len() as u64);
        let envelope = match codec::decode(bytes) {
            Ok(envelope) => envelope,
            Err(error) => return self.reject(connection, &error.to_string()),
        };
        if !tls::has_cert_for(connection, &envelope.from) {
            let error = format!("the certificate is not valid for {}", envelope.from);
            return self.reject(connection, &error);
        }
        let _ = self.events.send(Event::Peer { from: envelope.from, message: envelope.message });
    }

    fn reject(&self, connection: &Connection, error: &str) {
        self.metrics.count(Counter::PeerConnectionsRejected, 1);
        warn!(self.log, "closed the connection of a peer";
            "address" => connection.remote_address().to_string(), "error" => error);
        connection.close(CLOSE_BAD_MESSAGE.into(), b"bad message");
    }
}
