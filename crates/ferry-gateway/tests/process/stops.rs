//! A planned stop while callers go on sending requests.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_soak::checker::Checker;
use ferry_soak::cluster::Signal;
use ferry_soak::config::Route;
use ferry_soak::endpoint::{Behaviour, response_body};
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::harness::{TIMEOUT, head, with_cluster};

/// Time in which a request and the end of its connection may cross.
const CROSSING: Duration = Duration::from_millis(20);

/// What a caller has sent until the gateway was gone.
#[derive(Debug, Default)]
struct Sent {
    n_sent: usize,
    lost: Vec<String>,
}

/// Sends requests, each some time after its connection is open, until none can be opened.
async fn send_until_gone(front: SocketAddr, checker: &Checker, name: &str, gap: Duration) -> Sent {
    let mut sent = Sent::default();
    let mut open: Option<TcpStream> = None;
    loop {
        let mut stream = match open.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(front).await {
                Ok(stream) => stream,
                Err(_) => return sent,
            },
        };
        sleep(gap).await;
        let is_closed = timeout(Duration::ZERO, stream.read(&mut [0; 64])).await.is_ok();
        if is_closed {
            continue;
        }
        let attempt = format!("{name}-{}", sent.n_sent);
        checker.record_sent(&attempt, Route::Post, b"body");
        sent.n_sent += 1;
        let start = Instant::now();
        let response = exchange(&mut stream, &attempt).await;
        let is_whole = response.ends_with(&response_body(&attempt, b"body"));
        let is_crossing = response.is_empty() && start.elapsed() < CROSSING;
        if !is_whole && !response.starts_with("HTTP/1.1 503") && !is_crossing {
            sent.lost.push(format!("{attempt} after {:?}: {response}", start.elapsed()));
        }
        let is_kept = is_whole && !response.to_lowercase().contains("connection: close");
        open = is_kept.then_some(stream);
    }
}

/// Sends a request, and reads until its response is complete or the connection ends.
async fn exchange(stream: &mut TcpStream, attempt: &str) -> String {
    let head = head("POST", &Route::Post.path(), attempt);
    let request = format!("{head}Content-Length: 4\r\n\r\nbody");
    // A connection that ends meanwhile is seen by the read.
    let _ = stream.write_all(request.as_bytes()).await;
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !text.ends_with(&response_body(attempt, b"body")) {
        match timeout(TIMEOUT, stream.read(&mut buffer)).await.expect("the request ends") {
            Ok(len @ 1..) => text.push_str(&String::from_utf8_lossy(&buffer[..len])),
            Ok(0) | Err(_) => break,
        }
    }
    text
}

#[test]
fn planned_stop_under_load_cuts_no_request_that_was_just_accepted() {
    const N_CALLERS: usize = 60;
    /// Times between the opening of a connection, or its last response, and the request.
    const GAPS_MS: [u64; 6] = [0, 1, 5, 40, 300, 1_500];
    with_cluster("stop-load", 1, async |mut cluster| {
        cluster.endpoints.iter().for_each(|it| it.behaviour.set(Behaviour::Slow(4)));
        let (front, checker) = (cluster.nodes[0].front(), cluster.checker.clone());
        let callers = (0..N_CALLERS).map(async |number| {
            let gap = Duration::from_millis(GAPS_MS[number % GAPS_MS.len()]);
            send_until_gone(front, &checker, &format!("caller{number}"), gap).await
        });
        let (sent, ()) = tokio::join!(join_all(callers), async {
            sleep(Duration::from_millis(700)).await;
            cluster.nodes[0].signal(Signal::Terminate);
        });
        let n_sent: usize = sent.iter().map(|it| it.n_sent).sum();
        let lost: Vec<&String> = sent.iter().flat_map(|it| &it.lost).collect();
        assert!(lost.is_empty(), "{} of {n_sent} were lost: {lost:#?}", lost.len());
        assert!(10 * N_CALLERS < n_sent, "only {n_sent} were sent");
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}
