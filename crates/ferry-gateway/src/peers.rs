//! Datagrams between instances, and reads of a peer's state.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ferry_model::{ConfigVersion, store_era};
use ferry_serve::{Event, Metric, PeerMessage, PoolBuilds, StoreUpdate};
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::task::spawn_local;

use crate::client::{BufferedResponse, CallError, InternalCall};
use crate::driver::Driver;
use crate::wire::{self, Received, WireFormat};

/// Path at which an instance serves its state to peers.
pub const SNAPSHOT_PATH: &str = "/snapshot";
/// Time limit for reading a peer's state.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM: usize = 64 * 1024;

/// Sends a message to a peer in the format that it reads.
pub fn send(driver: &Rc<Driver>, to: SocketAddr, message: &PeerMessage) {
    let readers = driver.formats.borrow().of(to, driver.highest_format);
    for reader in readers {
        let bytes = match wire::encode(message, reader) {
            Ok(Some(bytes)) => bytes,
            // Its release has no such message.
            Ok(None) => continue,
            Err(error) => return driver.warn("could not serialize a message to a peer", &error),
        };
        // A datagram that cannot be sent now is lost like any other; the reducer repeats those that
        // matter.
        if let Err(error) = driver.socket().try_send_to(&bytes, to) {
            slog::debug!(driver.log, "could not send to a peer";
                "peer" => to.to_string(), "error" => error.to_string());
        }
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
        match wire::decode(&buffer[..len]) {
            Ok((format, received)) => {
                if let Some(message) = accept(&driver, from, format, received) {
                    driver.dispatch(Event::Peer { from, message });
                }
            }
            Err(error) => {
                driver.metrics.count(Metric::MessagesDamaged);
                let text = format!("{from}: {error}");
                driver.warn_seldom("could not read a message from a peer", &text);
            }
        }
    }
}

/// Returns the message of a datagram, if it has one for this release, and records the format of its sender.
fn accept(
    driver: &Rc<Driver>,
    from: SocketAddr,
    format: Option<WireFormat>,
    received: Received,
) -> Option<PeerMessage> {
    let highest = driver.highest_format;
    if format.is_some_and(|it| highest < it) {
        driver.metrics.count(Metric::MessagesSkipped);
        return None;
    }
    let now = driver.now();
    let is_overtaken =
        |it: u64| driver.query(|gateway| gateway.context().peers.is_overtaken(now, from, it));
    if let (Some(format), Received::Message(PeerMessage::Heartbeat(it))) = (format, &received)
        && !is_overtaken(it.incarnation)
        && driver.formats.borrow_mut().record(
            from,
            it.incarnation,
            format,
            0 < store_era(it.last_change),
        )
    {
        slog::info!(driver.log, "a peer uses another format than before";
            "peer" => from.to_string(), "format" => format.to_string());
    }
    match received {
        Received::Message(message) => Some(message),
        Received::Partial(message, n_unreadable) => {
            let text = format!("{from}: {n_unreadable}");
            driver.note_unreadable("could not read what a peer says of endpoints", &text);
            Some(message)
        }
        Received::UnknownKind(kind) => {
            driver.metrics.count(Metric::MessagesSkipped);
            slog::debug!(driver.log, "skipped a message of an unknown kind"; "kind" => kind);
            None
        }
        Received::LaterFormat(format) => {
            driver.metrics.count(Metric::MessagesSkipped);
            slog::debug!(driver.log, "skipped a message of a later format"; "format" => format);
            None
        }
    }
}

/// Reads a peer's newer configuration and changes to endpoints, given the version of the configuration
/// and the revision of the store that are known here.
pub fn pull(driver: &Rc<Driver>, from: SocketAddr, version: ConfigVersion, since: u64) {
    let driver = driver.clone();
    spawn_local(async move {
        match read(&driver, from, version, since).await {
            Ok(response) => apply(&driver, &response.body),
            Err(error) => driver.warn("could not read the state from a peer", &error),
        }
    });
}

async fn read(
    driver: &Rc<Driver>,
    from: SocketAddr,
    version: ConfigVersion,
    since: u64,
) -> Result<BufferedResponse, CallError> {
    let format = driver.highest_format as u8;
    let path = format!("{SNAPSHOT_PATH}?version={version}&since={since}&format={format}");
    let call = InternalCall::get(path);
    driver.connections.call(from, &call, PULL_TIMEOUT).await
}

/// A [`ferry_serve::Snapshot`] whose parts are not parsed yet: the peer may be of a later release.
#[derive(Deserialize)]
struct ReceivedSnapshot<'a> {
    #[serde(borrow)]
    config: Option<&'a RawValue>,
    #[serde(borrow)]
    endpoints: &'a RawValue,
    #[serde(borrow, default)]
    builds: Vec<&'a RawValue>,
}

/// Applies the parts of a peer's state that can be read.
fn apply(driver: &Rc<Driver>, body: &[u8]) {
    let snapshot: ReceivedSnapshot<'_> = match serde_json::from_slice(body) {
        Ok(snapshot) => snapshot,
        Err(error) => return driver.note_unreadable("could not read the state of a peer", &error),
    };
    if let Some(config) = snapshot.config.and_then(|it| part(driver, it)) {
        driver.dispatch(Event::Config(Arc::new(config)));
    }
    let builds: Vec<PoolBuilds> =
        snapshot.builds.into_iter().filter_map(|it| part(driver, it)).collect();
    if !builds.is_empty() {
        driver.dispatch(Event::PoolBuilds(builds));
    }
    if let Some(endpoints) = part(driver, snapshot.endpoints) {
        driver.dispatch(Event::Store(StoreUpdate::Peer(endpoints)));
    }
}

fn part<'a, T: Deserialize<'a>>(driver: &Rc<Driver>, text: &'a RawValue) -> Option<T> {
    let note =
        |error| driver.note_unreadable("could not read a part of the state of a peer", &error);
    serde_json::from_str(text.get()).map_err(note).ok()
}
