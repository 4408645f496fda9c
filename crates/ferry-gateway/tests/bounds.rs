//! Answers without an end to calls that the gateway makes itself.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_gateway::client::{CallError, ConnectionCache, InternalCall, call_once};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};

/// Time limit of a call, and much less than it.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const SOON: Duration = Duration::from_secs(2);
/// More bytes than a connection may read without a result.
const N_PARTS: usize = 100_000;
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Answers each connection with a start and then a part again and again, and then an end.
async fn serve(start: &'static str, part: &'static str, end: Option<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
            spawn_local(async move {
                let mut buffer = [0; 4096];
                // The call is in the first bytes.
                let _ = stream.read(&mut buffer).await;
                let mut sent = stream.write_all(start.as_bytes()).await;
                let parts = part.repeat(1_000);
                let mut n_sent = 0;
                while sent.is_ok() && (end.is_none() || n_sent < N_PARTS) {
                    sent = stream.write_all(parts.as_bytes()).await;
                    n_sent += 1_000;
                }
                // Fails if the caller has closed the connection.
                let _ = stream.write_all(end.unwrap_or_default().as_bytes()).await;
                let _ = stream.read(&mut buffer).await;
            });
        }
    });
    address
}

/// Guards against control calls that read bytes which are neither a head nor a body, until their time is
/// over: to the store, to peers, for stages and health.
#[test]
fn answer_without_end_is_no_answer_to_any_call() {
    struct Case {
        name: &'static str,
        start: &'static str,
        part: &'static str,
    }
    let cases = [
        Case { name: "chunk size", start: CHUNKED, part: "0" },
        Case {
            name: "second chunk size",
            start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
            part: "0",
        },
        Case { name: "chunk extension", start: CHUNKED, part: "8;xxxxxxxx" },
        Case {
            name: "trailers",
            start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            part: "A: x\r\n",
        },
        Case { name: "interim responses", start: "", part: "HTTP/1.1 102 Processing\r\n\r\n" },
        Case { name: "headers", start: "HTTP/1.1 200 OK\r\n", part: "A: x\r\n" },
    ];
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime starts"), async {
        for Case { name, start, part } in cases {
            let address = serve(start, part, None).await;
            let call = InternalCall::get("/v1/report".to_owned());
            let began = Instant::now();
            let answer = timeout(CALL_TIMEOUT, call_once(address, &call)).await;
            let answer = answer.unwrap_or_else(|_| panic!("{name}: it goes on"));
            assert!(answer.is_err(), "{name}: {answer:?}");
            let cache = ConnectionCache::new();
            let answer = cache.call(address, &call, CALL_TIMEOUT).await;
            assert!(matches!(answer, Err(CallError::Answer(_) | CallError::Body(_))), "{name}");
            assert!(began.elapsed() < SOON, "{name}: {:?}", began.elapsed());
        }
    });
}

/// Guards against a bound on bytes that a body has: one of many small parts is as long as it likes.
#[test]
fn answer_in_many_small_parts_is_read_whole() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime starts"), async {
        for (part, len) in [("1\r\nx\r\n", 1), ("0000000000000008\r\nxxxxxxxx\r\n", 8)] {
            let address = serve(CHUNKED, part, Some("0\r\n\r\n")).await;
            let call = InternalCall::get("/v1/report".to_owned());
            let answer = timeout(CALL_TIMEOUT, call_once(address, &call)).await.expect("in time");
            assert_eq!(answer.expect("it is whole").body.len(), N_PARTS * len, "{part:?}");
        }
    });
}
