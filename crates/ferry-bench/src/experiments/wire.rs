//! Peer traffic of real instances, which reach each other through relays that count it.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ferry_edge::logs;
use ferry_model::{EndpointState, Instance, SortedMap};
use tokio::net::UdpSocket;

use crate::{Cluster, Deployment};

/// Bytes of the IP and UDP headers of a datagram.
const HEADERS: u64 = 28;
const MAX_DATAGRAM: usize = 64 * 1024;
/// Time for connections to open before counting starts.
const WARM_UP: Duration = Duration::from_secs(10);

/// Datagrams and bytes that peers exchange, in both directions.
#[derive(Debug, Default)]
struct Counts {
    datagrams: AtomicU64,
    bytes: AtomicU64,
}

impl Counts {
    fn add(&self, length: usize) {
        self.datagrams.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(length as u64 + HEADERS, Ordering::Relaxed);
    }

    fn read(&self) -> (u64, u64) {
        (self.datagrams.load(Ordering::Relaxed), self.bytes.load(Ordering::Relaxed))
    }
}

/// Peer traffic of one instance.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Datagrams a second that one instance sends and receives.
    pub datagrams: f64,
    /// Bytes a second that one instance sends and receives, with IP and UDP headers.
    pub bytes: f64,
}

/// Measures an idle deployment of `n_entries` entries for `seconds`.
pub async fn measure(
    deployment: &Deployment,
    n_entries: usize,
    seconds: u64,
) -> Result<Traffic, String> {
    let log = logs::silent_logger();
    let cluster = Cluster::start(deployment, n_entries, 1, &log).await?;
    let counts = Arc::new(Counts::default());
    let mut instances = Vec::new();
    for (idx, entry) in cluster.entries.iter().enumerate() {
        let target = entry.peer_address().ok_or("an entry has no peer address")?;
        instances.push(Instance {
            id: entry.instance().to_owned(),
            zone: deployment.zones[idx % deployment.zones.len()].to_owned(),
            region: deployment.region.to_owned(),
            address: entry.address(),
            peer: relay(target, counts.clone()).await.map_err(|it| it.to_string())?,
            state: EndpointState::Live,
            is_entry: true,
        });
    }
    cluster.standins.platform.state.set_instances(instances);
    tokio::time::sleep(WARM_UP).await;
    let before = counts.read();
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = counts.read();
    // Each datagram is sent by one instance and received by another.
    let per_second =
        |before: u64, after: u64| 2.0 * (after - before) as f64 / seconds as f64 / n_entries as f64;
    Ok(Traffic { datagrams: per_second(before.0, after.0), bytes: per_second(before.1, after.1) })
}

/// Relays datagrams to `target` and its replies to their clients, and returns the address of the
/// relay.
async fn relay(target: SocketAddr, counts: Arc<Counts>) -> Result<SocketAddr, std::io::Error> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let front = Arc::new(UdpSocket::bind(any).await?);
    let address = front.local_addr()?;
    tokio::spawn(async move {
        let mut sockets: SortedMap<SocketAddr, Arc<UdpSocket>> = SortedMap::new();
        let mut buffer = vec![0; MAX_DATAGRAM];
        while let Ok((length, from)) = front.recv_from(&mut buffer).await {
            counts.add(length);
            let socket = match sockets.get(&from) {
                Some(socket) => socket.clone(),
                None => {
                    let Ok(socket) = UdpSocket::bind(any).await else { continue };
                    let socket = Arc::new(socket);
                    tokio::spawn(relay_replies(
                        socket.clone(),
                        front.clone(),
                        from,
                        counts.clone(),
                    ));
                    sockets.insert(from, socket.clone());
                    socket
                }
            };
            let _ = socket.send_to(&buffer[..length], target).await;
        }
    });
    Ok(address)
}

async fn relay_replies(
    socket: Arc<UdpSocket>,
    front: Arc<UdpSocket>,
    to: SocketAddr,
    counts: Arc<Counts>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
        counts.add(length);
        let _ = front.send_to(&buffer[..length], to).await;
    }
}
