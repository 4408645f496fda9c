//! Endpoints that send bytes without end.

use std::time::Duration;

use ferry_soak::config::Route;
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::harness::{TIMEOUT, exchange, head, replace_pool, with_cluster};

/// Bytes of memory that the gateway may need in addition, for a request of each case.
const MAX_GROWTH: u64 = 48_000_000;
/// The time that callers give, and a second to spare.
const MAX_TIME: Duration = Duration::from_secs(5);
/// Bytes that an endpoint writes at once.
const PART: usize = 64 * 1024;

struct Case {
    name: &'static str,
    route: Route,
    /// What the endpoint sends once, and then again and again.
    start: &'static str,
    again: &'static str,
    /// Pause between writes.
    gap: Duration,
}

const fn case(name: &'static str, route: Route, start: &'static str, again: &'static str) -> Case {
    Case { name, route, start, again, gap: Duration::ZERO }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nTarragonferry-Attempt-Id: endless\r\n\
                    Tarragonferry-Response-Seal: sealed\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nTarragonferry-Attempt-Id: endless\r\n\
                        Tarragonferry-Response-Seal: sealed\r\nConnection: close\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTarragonferry-Attempt-Id: endless\r\n\
                       Tarragonferry-Response-Seal: sealed\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Sends bytes on each connection until the other side closes it.
async fn send_endlessly(listener: TcpListener, start: &'static str, part: String, gap: Duration) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
        let part = part.clone();
        spawn_local(async move {
            let mut buffer = [0; 4096];
            let Ok(len @ 1..) = stream.read(&mut buffer).await else { return };
            let request = String::from_utf8_lossy(&buffer[..len]).into_owned();
            let start = start.replace("endless", attempt(&request));
            let mut sent = stream.write_all(start.as_bytes()).await;
            while sent.is_ok() {
                sent = stream.write_all(part.as_bytes()).await;
                sleep(gap).await;
            }
        });
    }
}

/// Returns the attempt that a request names.
fn attempt(request: &str) -> &str {
    let headers = request.lines().filter_map(|it| it.split_once(": "));
    let mut named = headers.filter(|it| it.0.eq_ignore_ascii_case("tarragonferry-attempt-id"));
    named.next().map_or("none", |it| it.1)
}

#[test]
fn endless_bytes_of_an_endpoint_neither_fill_the_memory_nor_hold_the_caller() {
    let cases = [
        case("status", Route::Post, "", "HTTP/1.1 200 "),
        case("no protocol", Route::Post, "", "xxxxxxxx"),
        case("empty lines", Route::Post, "", "\r\n"),
        case("header", Route::Post, "HTTP/1.1 200 OK\r\nA: ", "xxxxxxxx"),
        case("headers", Route::Post, "HTTP/1.1 200 OK\r\n", "A: x\r\n"),
        case("interim responses", Route::Post, "", "HTTP/1.1 102 Processing\r\n\r\n"),
        case("unframed body", Route::Post, UNFRAMED, "xxxxxxxx"),
        case("chunks", Route::Post, CHUNKED, "8\r\nxxxxxxxx\r\n"),
        case("chunk size", Route::Post, CHUNKED, "0"),
        case("chunk extension", Route::Post, CHUNKED, "8;xxxxxxxx"),
        Case {
            gap: Duration::from_millis(100),
            ..case("slow chunks", Route::Post, CHUNKED, "8\r\nxxxxxxxx\r\n")
        },
        case("headers of a stream", Route::Once, HEAD, "A: x\r\n"),
        case("event without end", Route::Once, UNFRAMED, "xxxxxxxx"),
        case("chunked event without end", Route::Once, CHUNKED, "8\r\nxxxxxxxx\r\n"),
        case("empty events", Route::Once, UNFRAMED, "\n\n"),
        case("comments", Route::Once, UNFRAMED, ":xxxxxx\n"),
        case("comment events", Route::Once, UNFRAMED, ":xxxxx\n\n"),
    ];
    let mut failed = Vec::new();
    for (number, case) in cases.into_iter().enumerate() {
        with_cluster(&format!("endless-{number}"), 1, async |cluster| {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let service = if case.route.is_stream() { "engine" } else { "plain" };
            replace_pool(&cluster, service, &listener).await;
            let n_again = if case.gap.is_zero() { PART / case.again.len() } else { 1 };
            let part = case.again.repeat(n_again);
            let endpoint = spawn_local(send_endlessly(listener, case.start, part, case.gap));
            cluster.checker.record_sent("endless", case.route, b"body");
            let before = cluster.nodes[0].memory_peak().expect("the process is running");
            let pieces = match case.route.is_stream() {
                true => "Tarragonferry-Pieces: 1,1\r\nTarragonferry-Piece-Key: k\r\n",
                false => "",
            };
            let head = head("POST", &case.route.path(), "endless");
            let request = format!("{head}{pieces}Content-Length: 4\r\n\r\nbody");
            let front = cluster.nodes[0].front();
            let mut stream = TcpStream::connect(front).await.expect("the gateway listens");
            let sent = Instant::now();
            stream.write_all(request.as_bytes()).await.expect("the request is written");
            let (first, n_read) = read_response(&mut stream).await;
            let took = sent.elapsed();
            let after = cluster.nodes[0].memory_peak().expect("the process is running");
            let growth = after.saturating_sub(before);
            println!("{}: {first:?} and {n_read} bytes in {took:?}, {growth} more", case.name);
            if MAX_TIME < took || MAX_GROWTH < growth {
                failed.push(format!("{}: {took:?}, {growth} bytes more", case.name));
            }
            endpoint.abort();
        });
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against chunk sizes without end that use the processor and the memory until the time of each
/// request is over.
#[test]
fn many_chunk_sizes_without_end_are_no_answers() {
    const N_REQUESTS: u32 = 80;
    const GAP: Duration = Duration::from_millis(50);
    /// Much less than the time that callers give.
    const SOON: Duration = Duration::from_secs(2);
    with_cluster("endless-many", 1, async |cluster| {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        replace_pool(&cluster, "plain", &listener).await;
        let endpoint =
            spawn_local(send_endlessly(listener, CHUNKED, "0".repeat(PART), Duration::ZERO));
        let before = cluster.nodes[0].memory_peak().expect("the process is running");
        let front = cluster.nodes[0].front();
        let ask = async |number: u32| {
            sleep(GAP * number).await;
            let head = head("POST", &Route::Post.path(), &format!("endless-{number}"));
            let request = format!("{head}Content-Length: 4\r\n\r\nbody");
            let mut stream = TcpStream::connect(front).await.expect("the gateway listens");
            let sent = Instant::now();
            stream.write_all(request.as_bytes()).await.expect("the request is written");
            (read_response(&mut stream).await.0, sent.elapsed())
        };
        cluster.checker.record_sent("sound", Route::Once, b"body");
        let sound = async {
            sleep(GAP * (N_REQUESTS / 2)).await;
            let head = head("POST", &Route::Once.path(), "sound");
            let pieces = "Tarragonferry-Pieces: 1,1\r\nTarragonferry-Piece-Key: k\r\n";
            let request = format!("{head}{pieces}Content-Length: 4\r\n\r\nbody");
            exchange(front, request.as_bytes()).await
        };
        let (answers, sound) = tokio::join!(join_all((0..N_REQUESTS).map(ask)), sound);
        let after = cluster.nodes[0].memory_peak().expect("the process is running");
        let late = answers.iter().filter(|it| SOON < it.1 || !it.0.starts_with("HTTP/1.1 50"));
        let late: Vec<_> = late.collect();
        assert!(late.is_empty(), "{} of {N_REQUESTS}: {late:#?}", late.len());
        assert!(sound.starts_with("HTTP/1.1 200"), "{sound}");
        let growth = after.saturating_sub(before);
        assert!(growth <= MAX_GROWTH, "{growth} bytes more");
        endpoint.abort();
    });
}

/// Guards against callers whose bodies have no end, and use the memory and the processor of all.
#[test]
fn endless_bytes_of_callers_end_their_connections() {
    const N_CALLERS: usize = 20;
    /// Much less than callers may take for a request.
    const SOON: Duration = Duration::from_secs(3);
    let cases = [("chunk size", "0"), ("extension", "8;xxxxxxxx"), ("trailers", "0\r\nA: x\r\n")];
    with_cluster("endless-callers", 1, async |cluster| {
        let before = cluster.nodes[0].memory_peak().expect("the process is running");
        let front = cluster.nodes[0].front();
        for (name, part) in cases {
            let send = async |number: usize| {
                let head = head("POST", &Route::Post.path(), &format!("{name}-{number}"));
                let mut stream = TcpStream::connect(front).await.expect("the gateway listens");
                let start = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
                let mut sent = stream.write_all(start.as_bytes()).await;
                let part = part.repeat(PART / part.len());
                let began = Instant::now();
                // Fails once the gateway has closed the connection.
                while sent.is_ok() && began.elapsed() < SOON {
                    sent = stream.write_all(part.as_bytes()).await;
                }
                began.elapsed()
            };
            let callers = join_all((0..N_CALLERS).map(send));
            let sound = async {
                sleep(Duration::from_millis(100)).await;
                let attempt = format!("sound-{}", name.replace(' ', "-"));
                cluster.checker.record_sent(&attempt, Route::Post, b"body");
                let head = head("POST", &Route::Post.path(), &attempt);
                let request = format!("{head}Content-Length: 4\r\n\r\nbody");
                exchange(front, request.as_bytes()).await
            };
            let (times, sound) = tokio::join!(callers, sound);
            let longest = times.into_iter().max().unwrap_or_default();
            assert!(longest < SOON, "{name}: {longest:?}");
            assert!(sound.starts_with("HTTP/1.1 200"), "{name}: {sound}");
        }
        let after = cluster.nodes[0].memory_peak().expect("the process is running");
        let growth = after.saturating_sub(before);
        assert!(growth <= MAX_GROWTH, "{growth} bytes more");
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}

/// Reads until the response has ended or stands still; returns its first line and its size.
async fn read_response(stream: &mut TcpStream) -> (String, usize) {
    /// Bytes kept of a response.
    const MAX_START: usize = 200;
    let mut start = Vec::new();
    let mut n_read = 0;
    let mut buffer = vec![0; PART];
    let read = async |buffer: &mut [u8], stream: &mut TcpStream| {
        timeout(TIMEOUT, stream.read(buffer)).await.expect("the request ends")
    };
    while let Ok(len @ 1..) = read(&mut buffer, stream).await {
        n_read += len;
        start.extend_from_slice(&buffer[..len.min(MAX_START - start.len())]);
        let text = String::from_utf8_lossy(&start);
        let is_error = text.starts_with("HTTP/1.1 5") || text.starts_with("HTTP/1.1 4");
        if is_error && text.contains("\r\n\r\n") {
            break;
        }
    }
    let text = String::from_utf8_lossy(&start);
    (text.lines().next().unwrap_or_default().to_owned(), n_read)
}
