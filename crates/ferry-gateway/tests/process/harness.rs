//! Clusters on separate loopback addresses, and helpers that send raw requests.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use ferry_soak::cluster::{Cluster, N_ENDPOINTS, Node};
use ferry_soak::config::{API_KEY, HOST};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Time limit of waits; long enough that only a hang exceeds it.
pub const TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_NET: AtomicU8 = AtomicU8::new(0);

/// Returns the path of the gateway binary.
pub fn gateway() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_ferry-gateway"))
}

/// Returns a loopback network that is unlikely to be used by other tests, also of other processes.
pub fn net() -> (u8, u8) {
    let number = NEXT_NET.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    (1 + ((process >> 4) % 99) as u8, ((process << 4) as u8).wrapping_add(number))
}

/// Returns a directory for the files of a test.
pub fn directory(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Runs a test with a cluster whose gateways are all ready.
pub fn with_cluster<F: AsyncFnOnce(Cluster)>(name: &str, n_nodes: usize, test: F) {
    with_engines(name, n_nodes, N_ENDPOINTS, test);
}

/// Runs a test with a cluster that has this number of engines.
pub fn with_engines<F: AsyncFnOnce(Cluster)>(
    name: &str,
    n_nodes: usize,
    n_engines: usize,
    test: F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let cluster = Cluster::start(&gateway(), &directory(name), net(), n_nodes, n_engines).await;
        let cluster = cluster.expect("the cluster starts");
        for node in &cluster.nodes {
            wait_ready(node.ready()).await;
        }
        test(cluster).await;
    });
}

/// Makes `listener` the only endpoint of a pool of three.
pub async fn replace_pool(cluster: &Cluster, service: &str, listener: &TcpListener) {
    let address = listener.local_addr().expect("the listener has an address");
    for number in 0..3 {
        cluster.store.remove("servers", &format!("{service}-{number}"));
    }
    let entry = json!({
        "Service": service, "Address": address.to_string(), "Zone": "zone-0", "Version": "v1",
        "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Sequence": 1, "born": 1,
    });
    cluster.store.put("servers", "raw", entry);
    sleep(Duration::from_millis(1_500)).await;
}

/// Waits until the gateway with this readiness address is ready.
pub async fn wait_ready(address: SocketAddr) {
    let ready = async {
        loop {
            let response =
                exchange(address, b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n").await;
            if response.starts_with("HTTP/1.1 200") {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, ready).await.expect("the gateway becomes ready");
}

/// Sends bytes and returns what is received until the connection is idle or closed.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else { return String::new() };
    if stream.write_all(bytes).await.is_err() {
        return String::new();
    }
    read_until_idle(&mut stream).await
}

/// Reads until the connection is closed, or idle for a while.
pub async fn read_until_idle(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    let idle = Duration::from_millis(800);
    while let Ok(Ok(len @ 1..)) = timeout(idle, stream.read(&mut buffer)).await {
        bytes.extend_from_slice(&buffer[..len]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the head of a valid request, without the empty line that ends it.
pub fn head(method: &str, path: &str, attempt: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nTarragonferry-Attempt-Id: {attempt}\r\n\
         Tarragonferry-Deadline-Remaining: 4000\r\nApi-Key: {API_KEY}\r\n"
    )
}

/// Returns the digest in the admit line of an attempt, once it is in a gateway's log.
pub async fn logged_digest(node: &Node, attempt: &str) -> String {
    let find = async {
        loop {
            let log = fs::read_to_string(node.log()).expect("there is a log");
            let lines = log.lines().filter_map(|it| serde_json::from_str::<Value>(it).ok());
            let mut lines = lines.filter(|it| it["decision"] == "admit");
            if let Some(line) = lines.find(|it| it["request"] == attempt) {
                return line["digest"].as_str().expect("the line has a digest").to_owned();
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, find).await.expect("the request is admitted")
}
