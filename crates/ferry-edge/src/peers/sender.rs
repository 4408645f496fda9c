//! Sends messages to one peer over a connection that is opened on demand.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use quinn::{Connection, Endpoint};
use slog::{Logger, debug};
use tokio::sync::mpsc;

/// Maximum number of queued messages to one peer; further ones are dropped.
pub const QUEUE_CAPACITY: usize = 64;
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for handing one message to the transport.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// A sender that gets no message for this long stops.
const SENDER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Close code for idle and stalled connections.
const CLOSE_IDLE: u32 = 0;

/// An encoded message and how it may be sent.
#[derive(Debug)]
pub struct OutgoingMessage {
    pub bytes: Bytes,
    /// The message is small and soon outdated: it is sent as a datagram if it fits.
    pub is_datagram: bool,
}

#[derive(Debug)]
pub struct Sender {
    pub endpoint: Endpoint,
    pub instance: String,
    pub address: SocketAddr,
    pub log: Logger,
}

impl Sender {
    /// Sends messages until the queue is closed or has been empty for a while.
    pub async fn run(self, mut messages: mpsc::Receiver<OutgoingMessage>) {
        let mut connection = None;
        while let Ok(Some(message)) =
            tokio::time::timeout(SENDER_IDLE_TIMEOUT, messages.recv()).await
        {
            connection = self.send(connection, message).await;
        }
        if let Some(connection) = connection {
            connection.close(CLOSE_IDLE.into(), b"idle");
        }
    }

    /// Sends one message and returns the connection if it is still usable.
    async fn send(&self, open: Option<Connection>, message: OutgoingMessage) -> Option<Connection> {
        let open = open.filter(|it| it.close_reason().is_none());
        let connection = match open {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        match tokio::time::timeout(WRITE_TIMEOUT, write(&connection, message)).await {
            Ok(Ok(())) => Some(connection),
            Ok(Err(error)) => {
                debug!(self.log, "could not send to a peer";
                    "peer" => &self.instance, "error" => error);
                None
            }
            Err(_) => {
                debug!(self.log, "sending to a peer timed out"; "peer" => &self.instance);
                connection.close(CLOSE_IDLE.into(), b"stalled");
                None
            }
        }
    }

    async fn connect(&self) -> Option<Connection> {
        let connecting = match self.endpoint.connect(self.address, &self.instance) {
            Ok(connecting) => connecting,
            Err(error) => {
                debug!(self.log, "could not connect to a peer";
                    "peer" => &self.instance, "error" => error.to_string());
                return None;
            }
        };
        match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => Some(connection),
            Ok(Err(error)) => {
                debug!(self.log, "could not connect to a peer";
                    "peer" => &self.instance, "error" => error.to_string());
                None
            }
            Err(_) => {
                debug!(self.log, "connecting to a peer timed out"; "peer" => &self.instance);
                None
            }
        }
    }
}

async fn write(connection: &Connection, message: OutgoingMessage) -> Result<(), String> {
    let fits = connection.max_datagram_size().is_some_and(|it| message.bytes.len() <= it);
    if message.is_datagram && fits {
        return connection.send_datagram(message.bytes).map_err(|it| it.to_string());
    }
    let mut stream = connection.open_uni().await.map_err(|it| it.to_string())?;
    stream.write_all(&message.bytes).await.map_err(|it| it.to_string())?;
    stream.finish().map_err(|it| it.to_string())
}
