//! Answers of endpoints that are none, or are broken off.

use std::rc::Rc;
use std::time::Duration;

use ferry_soak::config::Route;
use ferry_soak::endpoint::{Behaviour, Pool};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::harness::{TIMEOUT, exchange, head, replace_pool, with_cluster};

/// The start of a successful answer, whose body ends with its connection.
const SEALED: &str = "Tarragonferry-Attempt-Id: ATTEMPT\r\nTarragonferry-Response-Seal: sealed\r\n";
const PIECES: &str = "Tarragonferry-Pieces: 1,1\r\nTarragonferry-Piece-Key: k\r\n";

/// Answers each request at once with a text, and closes the connection after a pause, with the rest of
/// the request unread.
async fn answer(listener: Rc<TcpListener>, text: String, gap: Duration) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
        let text = text.clone();
        spawn_local(async move {
            let mut buffer = [0; 4096];
            if matches!(stream.read(&mut buffer).await, Ok(1..)) {
                // Fails if the gateway has closed the connection.
                let _ = stream.write_all(text.as_bytes()).await;
                sleep(gap).await;
            }
        });
    }
}

/// Guards against an answer to a caller with a status that none has.
#[test]
fn status_that_is_none_is_no_answer() {
    const STATUSES: [&str; 12] = [
        "000",
        "001",
        "099",
        "101 Switching Protocols",
        "199",
        "600 <none>",
        "999",
        "1000",
        "20",
        "+200",
        "0200",
        "2x0",
    ];
    for route in [Route::Post, Route::Get, Route::Once] {
        let service = if route.is_stream() { "engine" } else { "plain" };
        let name: &'static str = route.into();
        with_cluster(&format!("status-{name}"), 1, async |cluster| {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            replace_pool(&cluster, service, &listener).await;
            // Another process might take the port if it were bound for each case.
            let listener = Rc::new(listener);
            let mut failed = Vec::new();
            for (number, status) in STATUSES.into_iter().enumerate() {
                let attempt = format!("{name}-{number}");
                let text = format!("HTTP/1.1 {status}\r\n{SEALED}Content-Length: 4\r\n\r\nbody");
                let text = text.replace("ATTEMPT", &attempt);
                let endpoint =
                    spawn_local(answer(listener.clone(), text, Duration::from_millis(20)));
                cluster.checker.record_sent(&attempt, route, b"body");
                let method = if route == Route::Get { "GET" } else { "POST" };
                let head = head(method, &route.path(), &attempt);
                let pieces = if route.is_stream() { PIECES } else { "" };
                let request = format!("{head}{pieces}Content-Length: 4\r\n\r\nbody");
                let front = cluster.nodes[0].front();
                let response = exchange(front, request.as_bytes()).await;
                if !response.starts_with("HTTP/1.1 502") {
                    failed.push(format!("{status}: {response}"));
                }
                endpoint.abort();
                // The endpoint looks broken for a while after each of them.
                sleep(Duration::from_millis(500)).await;
            }
            assert!(failed.is_empty(), "{name}: {failed:#?}");
        });
    }
}

/// Guards against a stream that looks whole to a caller without chunks, though it was broken off.
#[test]
fn stream_that_breaks_off_is_reset_for_callers_without_chunks() {
    for (behaviour, is_whole) in [(Behaviour::Healthy, true), (Behaviour::Truncates, false)] {
        with_cluster(&format!("bare-{is_whole}"), 1, async |cluster| {
            let engines = cluster.endpoints.iter().filter(|it| it.pool == Pool::Engine);
            engines.for_each(|it| it.behaviour.set(behaviour));
            cluster.checker.record_sent("bare", Route::Once, b"body");
            let head = head("POST", &Route::Once.path(), "bare").replace("HTTP/1.1", "HTTP/1.0");
            let request = format!("{head}{PIECES}Content-Length: 4\r\n\r\nbody");
            let front = cluster.nodes[0].front();
            let mut stream = TcpStream::connect(front).await.expect("the gateway listens");
            stream.write_all(request.as_bytes()).await.expect("the request is written");
            let mut text = Vec::new();
            let read = timeout(TIMEOUT, stream.read_to_end(&mut text)).await.expect("it ends");
            let text = String::from_utf8_lossy(&text);
            assert!(text.starts_with("HTTP/1.0 200") || !is_whole, "{behaviour:?}: {text}");
            assert_eq!(read.is_ok(), is_whole, "{behaviour:?}: {text}");
        });
    }
}

/// Guards against a part of an answer that is passed on as the whole one: it has no length, and its
/// connection ends while the request is still being written.
#[test]
fn answer_that_is_broken_off_during_an_upload_is_none() {
    const UPLOAD: usize = 900_000;
    struct Case {
        method: &'static str,
        is_sealed: bool,
        gap: Duration,
    }
    let cases = ["POST", "PUT"].into_iter().flat_map(|method| {
        [(true, 0), (true, 300), (false, 0), (false, 300)].map(|(is_sealed, gap)| Case {
            method,
            is_sealed,
            gap: Duration::from_millis(gap),
        })
    });
    with_cluster("upload", 1, async |cluster| {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        replace_pool(&cluster, "plain", &listener).await;
        // Another process might take the port if it were bound for each case.
        let listener = Rc::new(listener);
        let mut failed = Vec::new();
        for (number, Case { method, is_sealed, gap }) in cases.enumerate() {
            let attempt = format!("upload-{number}");
            let sealed = if is_sealed { SEALED } else { "Tarragonferry-Attempt-Id: ATTEMPT\r\n" };
            let text = format!("HTTP/1.1 200 OK\r\n{sealed}\r\na part of the answer");
            let endpoint =
                spawn_local(answer(listener.clone(), text.replace("ATTEMPT", &attempt), gap));
            let body = "x".repeat(UPLOAD);
            cluster.checker.record_sent(&attempt, Route::Post, body.as_bytes());
            let head = head(method, &Route::Post.path(), &attempt);
            let request = format!("{head}Content-Length: {UPLOAD}\r\n\r\n{body}");
            let response = exchange(cluster.nodes[0].front(), request.as_bytes()).await;
            if !response.starts_with("HTTP/1.1 502") {
                failed.push(format!("{method}, sealed {is_sealed}, {gap:?}: {response}"));
            }
            endpoint.abort();
            sleep(Duration::from_millis(500)).await;
        }
        assert!(failed.is_empty(), "{failed:#?}");
    });
}
