//! Clusters on loopback addresses of their own, and callers that write raw bytes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use ferry_soak::cluster::Cluster;
use ferry_soak::config::{API_KEY, HOST};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Generous: only a hang reaches it.
pub const PATIENCE: Duration = Duration::from_secs(20);

static LAST_NET: AtomicU8 = AtomicU8::new(0);

pub fn gateway() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_ferry-gateway"))
}

/// Returns a loopback network that no other test of this or another process uses.
pub fn net() -> (u8, u8) {
    let number = LAST_NET.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    (1 + ((process >> 4) % 99) as u8, ((process << 4) as u8).wrapping_add(number))
}

pub fn directory(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Runs a test with a cluster of which every gateway is ready.
pub fn with_cluster<F: AsyncFnOnce(Cluster)>(name: &str, n_nodes: usize, test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let cluster = Cluster::start(&gateway(), &directory(name), net(), n_nodes).await;
        let cluster = cluster.expect("the cluster starts");
        for node in &cluster.nodes {
            wait_ready(node.ready()).await;
        }
        test(cluster).await;
    });
}

pub async fn wait_ready(address: SocketAddr) {
    let ready = async {
        loop {
            let answer = exchange(address, b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n").await;
            if answer.starts_with("HTTP/1.1 200") {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(PATIENCE, ready).await.expect("the gateway gets ready");
}

/// Writes bytes and returns what comes until the connection is quiet or ends.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else { return String::new() };
    if stream.write_all(bytes).await.is_err() {
        return String::new();
    }
    read_quiet(&mut stream).await
}

/// Reads until the connection ends, or nothing has come for a while.
pub async fn read_quiet(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    let mut buffer = [0; 4096];
    let quiet = Duration::from_millis(800);
    while let Ok(Ok(len @ 1..)) = timeout(quiet, stream.read(&mut buffer)).await {
        all.extend_from_slice(&buffer[..len]);
    }
    String::from_utf8_lossy(&all).into_owned()
}

/// Returns the head of a proper request, without the empty line that ends it.
pub fn head(method: &str, path: &str, attempt: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nTarragonferry-Attempt-Id: {attempt}\r\n\
         Tarragonferry-Deadline-Remaining: 4000\r\nApi-Key: {API_KEY}\r\n"
    )
}
