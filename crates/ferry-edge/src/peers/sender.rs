//! Sends messages to one peer over a connection that is opened on demand.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use quinn::{Connection, Endpoint};
use slog::{Logger, debug};
use tokio::sync::mpsc;

/// Messages that may wait for one peer; further ones are dropped.
pub const QUEUE: usize = 64;
/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to hand one message to the transport.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// A sender without messages for this long ends.
const SENDER_LIFE: Duration = Duration::from_secs(60);
/// Code with which idle connections are closed.
const CLOSE_IDLE: u32 = 0;

/// One message and how it may travel.
#[derive(Debug)]
pub struct Parcel {
    pub bytes: Bytes,
    /// Small and soon outdated: sent as a datagram where it fits.
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
    /// Sends until no message comes for a while or the transport is gone.
    pub async fn run(self, mut parcels: mpsc::Receiver<Parcel>) {
        let mut connection = None;
        while let Ok(Some(parcel)) = tokio::time::timeout(SENDER_LIFE, parcels.recv()).await {
            connection = self.send(connection, parcel).await;
        }
        if let Some(connection) = connection {
            connection.close(CLOSE_IDLE.into(), b"idle");
        }
    }

    /// Sends one message and returns the connection if it still works.
    async fn send(&self, open: Option<Connection>, parcel: Parcel) -> Option<Connection> {
        let open = open.filter(|it| it.close_reason().is_none());
        let connection = match open {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        match tokio::time::timeout(WRITE_TIMEOUT, write(&connection, parcel)).await {
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

async fn write(connection: &Connection, parcel: Parcel) -> Result<(), String> {
    let fits = connection.max_datagram_size().is_some_and(|it| parcel.bytes.len() <= it);
    if parcel.is_datagram && fits {
        return connection.send_datagram(parcel.bytes).map_err(|it| it.to_string());
    }
    let mut stream = connection.open_uni().await.map_err(|it| it.to_string())?;
    stream.write_all(&parcel.bytes).await.map_err(|it| it.to_string())?;
    stream.finish().map_err(|it| it.to_string())
}
