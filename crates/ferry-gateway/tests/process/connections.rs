//! Limits of callers' connections, also of those that were accepted under another configuration.

use std::time::Duration;

use ferry_soak::cluster::Cluster;
use ferry_soak::config::{Route, desired_state};
use ferry_soak::endpoint::{Behaviour, Pool};
use futures_util::future::join_all;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::harness::{TIMEOUT, exchange, head, read_until_idle, with_cluster};

/// An idle time, in milliseconds, that is over when the connections are checked, also with the time
/// that the gateway adds to it.
const SHORT: u64 = 200;
const LONG: u64 = 15_000;
/// Last chunk of a complete body.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";
/// Time after which the connections are checked.
const CHECK: Duration = Duration::from_millis(3_500);
/// Time in which a configuration is applied.
const APPLIED: Duration = Duration::from_millis(400);

fn with_limit(version: u64, name: &str, limit: u64) -> Value {
    let mut state = desired_state(version, true);
    state["Limits"][name] = limit.into();
    state
}

async fn connect(cluster: &Cluster, bytes: &[u8]) -> TcpStream {
    let stream = TcpStream::connect(cluster.nodes[0].front()).await;
    let mut stream = stream.expect("the gateway listens");
    stream.write_all(bytes).await.expect("the bytes are written");
    stream
}

/// Returns whether the gateway has closed a connection.
async fn is_closed(stream: &mut TcpStream) -> bool {
    match timeout(Duration::from_millis(50), stream.read(&mut [0; 64])).await {
        Ok(Ok(0) | Err(_)) => true,
        Ok(Ok(_)) => panic!("a response without a request"),
        Err(_) => false,
    }
}

/// Reads until a stream is complete, or its connection is closed.
async fn read_stream(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !bytes.ends_with(LAST_CHUNK.as_bytes()) {
        match timeout(TIMEOUT, stream.read(&mut buffer)).await.expect("the stream goes on") {
            Ok(len @ 1..) => bytes.extend_from_slice(&buffer[..len]),
            Ok(0) | Err(_) => break,
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn get(attempt: &str) -> String {
    head("GET", &Route::Get.path(), attempt) + "\r\n"
}

fn stream(attempt: &str) -> String {
    let head = head("POST", &Route::Once.path(), attempt);
    format!(
        "{head}Tarragonferry-Pieces: 1,1\r\nTarragonferry-Piece-Key: k\r\nContent-Length: 0\r\n\r\n"
    )
}

#[test]
fn idle_time_in_force_decides_about_connections_accepted_before() {
    struct Case {
        name: &'static str,
        /// Idle times when the connections are accepted, and from then on.
        idle: [u64; 2],
        /// Whether connections without a whole request are closed at the check.
        is_closed: bool,
    }
    let cases = [
        Case { name: "longer", idle: [SHORT, LONG], is_closed: false },
        Case { name: "shorter", idle: [LONG, SHORT], is_closed: true },
        Case { name: "short", idle: [SHORT, SHORT], is_closed: true },
        Case { name: "long", idle: [LONG, LONG], is_closed: false },
    ];
    for case in cases {
        with_cluster(&format!("idle-{}", case.name), 1, async |cluster| {
            let engines = cluster.endpoints.iter().filter(|it| it.pool == Pool::Engine);
            engines.for_each(|it| it.behaviour.set(Behaviour::Slow(20)));
            cluster.store.put("config", "main", with_limit(2, "IdleTimeoutMs", case.idle[0]));
            sleep(APPLIED).await;
            for (attempt, route) in [
                ("stream", Route::Once),
                ("first", Route::Get),
                ("idle", Route::Get),
                ("half", Route::Get),
            ] {
                cluster.checker.record_sent(attempt, route, b"");
            }
            // A connection that has served a request.
            let mut used = connect(&cluster, get("first").as_bytes()).await;
            let mut buffer = [0; 4096];
            let len = used.read(&mut buffer).await.expect("a response");
            assert!(buffer[..len].starts_with(b"HTTP/1.1 200"), "{}", case.name);
            let mut idle = connect(&cluster, b"").await;
            let half_head = get("half");
            let (sent, rest) = half_head.split_at(30);
            let mut half = connect(&cluster, sent.as_bytes()).await;
            let mut busy = connect(&cluster, stream("stream").as_bytes()).await;
            sleep(Duration::from_millis(100)).await;
            cluster.store.put("config", "main", with_limit(3, "IdleTimeoutMs", case.idle[1]));

            let (text, ()) = tokio::join!(read_stream(&mut busy), async {
                // More of a head, which must not prolong its time.
                sleep(CHECK / 2).await;
                half.write_all(&rest.as_bytes()[..8]).await.expect("the bytes are written");
                sleep(CHECK / 2).await;
            });
            assert!(text.ends_with(LAST_CHUNK), "{}: {text}", case.name);
            assert_eq!(is_closed(&mut used).await, case.is_closed, "{}: used", case.name);
            assert_eq!(is_closed(&mut idle).await, case.is_closed, "{}: idle", case.name);
            assert_eq!(is_closed(&mut half).await, case.is_closed, "{}: half", case.name);
            let metrics = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
            let text = exchange(cluster.nodes[0].ready(), metrics).await;
            let n_closed = if case.is_closed { 3 } else { 0 };
            let line = format!("ferry_connections_timed_out_total {n_closed}\n");
            assert!(text.contains(&line), "{}: {text}", case.name);
            let log = std::fs::read_to_string(cluster.nodes[0].log()).expect("the log is readable");
            let n_lines =
                log.lines().filter(|it| it.contains("was closed inside a request")).count();
            assert_eq!(n_lines, usize::from(case.is_closed), "{}", case.name);
            if !case.is_closed {
                half.write_all(&rest.as_bytes()[8..]).await.expect("the bytes are written");
                idle.write_all(get("idle").as_bytes()).await.expect("the bytes are written");
                for stream in [&mut half, &mut idle] {
                    let text = read_until_idle(stream).await;
                    assert!(text.starts_with("HTTP/1.1 200"), "{}: {text}", case.name);
                }
            }
        });
    }
}

#[test]
fn head_limit_in_force_decides_about_connections_accepted_before() {
    struct Case {
        name: &'static str,
        /// Limits in bytes when the connection is accepted, and from then on.
        limit: [u64; 2],
        /// Whether half of the head is sent before the change.
        is_half: bool,
        status: &'static str,
    }
    const SMALL: u64 = 16_384;
    const LARGE: u64 = 49_152;
    const PADDING: usize = 30_000;
    let cases = [
        Case { name: "larger", limit: [SMALL, LARGE], is_half: false, status: "200" },
        Case { name: "larger-half", limit: [SMALL, LARGE], is_half: true, status: "200" },
        Case { name: "smaller", limit: [LARGE, SMALL], is_half: false, status: "431" },
        Case { name: "smaller-half", limit: [LARGE, SMALL], is_half: true, status: "200" },
        Case { name: "small", limit: [SMALL, SMALL], is_half: false, status: "431" },
        Case { name: "large", limit: [LARGE, LARGE], is_half: false, status: "200" },
    ];
    with_cluster("heads", 1, async |cluster| {
        for (number, case) in cases.iter().enumerate() {
            let version = 10 + 2 * number as u64;
            let put = async |version: u64, limit: u64| {
                cluster.store.put("config", "main", with_limit(version, "MaxHeaderBytes", limit));
                sleep(APPLIED).await;
            };
            put(version, case.limit[0]).await;
            cluster.checker.record_sent(case.name, Route::Get, b"");
            let head = head("GET", &Route::Get.path(), case.name);
            let bytes = format!("{head}Padding: {}\r\n\r\n", "x".repeat(PADDING));
            let (first, rest) = bytes.split_at(if case.is_half { 10_000 } else { 0 });
            let mut stream = connect(&cluster, first.as_bytes()).await;
            sleep(Duration::from_millis(50)).await;
            put(version + 1, case.limit[1]).await;
            // The gateway may respond and close before all is written.
            let _ = stream.write_all(rest.as_bytes()).await;
            let response = read_until_idle(&mut stream).await;
            let status = format!("HTTP/1.1 {}", case.status);
            assert!(response.starts_with(&status), "{}: {response}", case.name);
        }
        let metrics = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
        let text = exchange(cluster.nodes[0].ready(), metrics).await;
        assert!(text.contains("ferry_connections_timed_out_total 0"), "{text}");
    });
}

/// Sends a request, and returns whether it was lost: read or not, it has no answer, and its caller
/// could not know so when sending it.
async fn is_lost(mut stream: TcpStream, attempt: &str) -> bool {
    /// Time in which a request and the end of its connection may cross.
    const CROSSING: Duration = Duration::from_millis(20);
    let mut buffer = [0; 4096];
    match timeout(Duration::ZERO, stream.read(&mut buffer)).await {
        Ok(Ok(0) | Err(_)) => return false,
        Ok(Ok(_)) => panic!("a response without a request"),
        Err(_) => (),
    }
    let sent = Instant::now();
    let _ = stream.write_all(get(attempt).as_bytes()).await;
    match timeout(TIMEOUT, stream.read(&mut buffer)).await.expect("the connection goes on") {
        Ok(1..) => false,
        Ok(0) | Err(_) => CROSSING < sent.elapsed(),
    }
}

#[test]
fn request_that_arrives_while_a_shorter_idle_time_is_applied_is_answered() {
    const N_CALLERS: usize = 150;
    /// Time between the requests of two callers.
    const GAP: Duration = Duration::from_millis(4);
    const N_WORKSPACES: usize = 20_000;
    with_cluster("idle-requests", 1, async |cluster| {
        let mut callers = Vec::new();
        for number in 0..N_CALLERS {
            let attempt = format!("idle-{number}");
            cluster.checker.record_sent(&attempt, Route::Get, b"");
            callers.push((attempt, connect(&cluster, b"").await));
        }
        let mut unused = connect(&cluster, b"").await;
        sleep(CHECK).await;
        let mut state = with_limit(2, "IdleTimeoutMs", SHORT);
        let tenants = state["Tenants"].as_array_mut().expect("a list");
        tenants.extend((0..N_WORKSPACES).map(
            |it| json!({ "Name": format!("workspace-{it}"), "ApiKeys": [format!("key-{it}")] }),
        ));
        cluster.store.put("config", "main", state);
        let lost = callers.into_iter().enumerate().map(async |(number, (attempt, stream))| {
            sleep(GAP * number as u32).await;
            is_lost(stream, &attempt).await
        });
        let n_lost = join_all(lost).await.into_iter().filter(|it| *it).count();
        assert_eq!(n_lost, 0, "lost");
        let closed = timeout(TIMEOUT, unused.read(&mut [0; 16])).await;
        assert_eq!(closed.expect("it is closed for its idle time").unwrap_or_default(), 0);
        let metrics = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
        let text = exchange(cluster.nodes[0].ready(), metrics).await;
        let line = "ferry_connections_timed_out_total 0\n";
        assert!(!text.contains(line), "no connection was closed for its idle time");
    });
}
