//! Datagrams between instances, and reads of a peer's state.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ferry_model::ConfigVersion;
use ferry_serve::{Event, PeerMessage, Snapshot, StoreUpdate};
use tokio::task::spawn_local;

use crate::client::{CallError, InternalCall};
use crate::driver::Driver;

/// Path at which an instance serves its state to peers.
pub const SNAPSHOT_PATH: &str = "/snapshot";
/// Time limit for reading a peer's state.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM: usize = 64 * 1024;

pub fn send(driver: &Rc<Driver>, to: SocketAddr, message: &PeerMessage) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) => bytes,
        Err(error) => return driver.warn("could not serialize a message to a peer", &error),
    };
    // A datagram that cannot be sent now is lost like any other; the reducer repeats those that
    // matter.
    if let Err(error) = driver.socket().try_send_to(&bytes, to) {
        slog::debug!(driver.log, "could not send to a peer";
            "peer" => to.to_string(), "error" => error.to_string());
    }
}

/// Receives datagrams until the process exits.
pub async fn receive(driver: Rc<Driver>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let (len, from) = match driver.socket().recv_from(&mut buffer).await {
            Ok(received) => received,
            // A closed port on a peer results in an error here, which concerns only that peer.
            Err(_) => continue,
        };
        match postcard::from_bytes(&buffer[..len]) {
            Ok(message) => driver.dispatch(Event::Peer { from, message }),
            Err(error) => driver.warn("could not parse a message from a peer", &error),
        }
    }
}

/// Reads a peer's newer configuration and changes to endpoints, given the version of the configuration
/// and the revision of the store that are known here.
pub fn pull(driver: &Rc<Driver>, from: SocketAddr, version: ConfigVersion, since: u64) {
    let driver = driver.clone();
    spawn_local(async move {
        match read(&driver, from, version, since).await {
            Ok(snapshot) => {
                if let Some(config) = snapshot.config {
                    driver.dispatch(Event::Config(config));
                }
                if !snapshot.builds.is_empty() {
                    driver.dispatch(Event::PoolBuilds(snapshot.builds));
                }
                driver.dispatch(Event::Store(StoreUpdate::Peer(snapshot.endpoints)));
            }
            Err(error) => driver.warn("could not read the state from a peer", &error),
        }
    });
}

async fn read(
    driver: &Rc<Driver>,
    from: SocketAddr,
    version: ConfigVersion,
    since: u64,
) -> Result<Snapshot, CallError> {
    let call = InternalCall::get(format!("{SNAPSHOT_PATH}?version={version}&since={since}"));
    let response = driver.connections.call(from, &call, PULL_TIMEOUT).await?;
    serde_json::from_slice(&response.body).map_err(|it| CallError::Body(it.to_string()))
}
