//! Streams that endpoints end in unusual ways.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_soak::cluster::Signal;
use ferry_soak::config::Route;
use ferry_soak::endpoint::{Behaviour, N_EVENTS, N_LARGE_EVENTS, Pool, event_text};

use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::harness::{TIMEOUT, exchange, head, with_cluster};

/// Last chunk of a complete body.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";

struct Case {
    attempt: &'static str,
    route: Route,
    /// What the first engine that gets the stream does, and what the others do.
    behaviours: [Behaviour; 2],
    /// Whether the caller gets all events.
    is_complete: bool,
}

fn stream(route: Route, attempt: &str) -> String {
    let head = head("POST", &route.path(), attempt);
    format!(
        "{head}Tarragonferry-Pieces: 1,1\r\nTarragonferry-Piece-Key: k\r\nContent-Length: 4\r\n\r\n\
         body"
    )
}

fn has_event(response: &str, attempt: &str, number: u64) -> bool {
    ["v1", "v2"].iter().any(|it| response.contains(&event_text(attempt, number, it)))
}

#[test]
fn stream_that_ends_inside_an_event_does_not_look_complete() {
    let chunked = Behaviour::EndsInEvent { is_chunked: true };
    let unframed = Behaviour::EndsInEvent { is_chunked: false };
    let cases = [
        Case {
            attempt: "whole",
            route: Route::Once,
            behaviours: [Behaviour::Unframed; 2],
            is_complete: true,
        },
        Case {
            attempt: "once-unframed",
            route: Route::Once,
            behaviours: [unframed; 2],
            is_complete: false,
        },
        Case {
            attempt: "once-chunked",
            route: Route::Once,
            behaviours: [chunked; 2],
            is_complete: false,
        },
        Case {
            attempt: "twice-unframed",
            route: Route::Stream,
            behaviours: [unframed; 2],
            is_complete: false,
        },
        Case {
            attempt: "resumed-unframed",
            route: Route::Stream,
            behaviours: [unframed, Behaviour::Unframed],
            is_complete: true,
        },
        Case {
            attempt: "resumed-chunked",
            route: Route::Stream,
            behaviours: [chunked, Behaviour::Healthy],
            is_complete: true,
        },
    ];
    for case in cases {
        with_cluster(&format!("ends-{}", case.attempt), 1, async |cluster| {
            let engines = || cluster.endpoints.iter().filter(|it| it.pool == Pool::Engine);
            engines().for_each(|it| it.behaviour.set(case.behaviours[0]));
            cluster.checker.record_sent(case.attempt, case.route, b"body");
            let request = stream(case.route, case.attempt);
            let (response, ()) =
                tokio::join!(exchange(cluster.nodes[0].front(), request.as_bytes()), async {
                    while cluster.checker.runs(case.attempt).is_empty() {
                        tokio::task::yield_now().await;
                    }
                    let first = cluster.checker.runs(case.attempt)[0].clone();
                    let others = engines().filter(|it| it.id != first);
                    others.for_each(|it| it.behaviour.set(case.behaviours[1]));
                });
            assert!(response.starts_with("HTTP/1.1 200"), "{}: {response}", case.attempt);
            let is_complete = response.ends_with(LAST_CHUNK);
            assert_eq!(is_complete, case.is_complete, "{}: {response}", case.attempt);
            let n_events =
                (1..=N_EVENTS).filter(|it| has_event(&response, case.attempt, *it)).count();
            let has_all = n_events as u64 == N_EVENTS;
            assert_eq!(has_all, case.is_complete, "{}: {response}", case.attempt);
            assert_eq!(cluster.checker.violations(), Vec::<String>::new(), "{}", case.attempt);
        });
    }
}

#[test]
fn stream_without_a_content_type_is_forwarded_whole() {
    with_cluster("untyped", 1, async |cluster| {
        cluster.endpoints.iter().for_each(|it| it.behaviour.set(Behaviour::Untyped));
        cluster.checker.record_sent("untyped", Route::Once, b"body");
        let request = stream(Route::Once, "untyped");
        let response = exchange(cluster.nodes[0].front(), request.as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with(LAST_CHUNK), "{response}");
        assert!((1..=N_EVENTS).all(|it| has_event(&response, "untyped", it)), "{response}");
    });
}

/// Reads a stream until it has some of its events, and not all of them.
async fn read_two_events(connection: &mut TcpStream, attempt: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !has_event(&text, attempt, 2) {
        let read = timeout(TIMEOUT, connection.read(&mut buffer)).await.expect("events arrive");
        let len = read.expect("the connection is open");
        assert!(0 < len, "{text}");
        text.push_str(&String::from_utf8_lossy(&buffer[..len]));
    }
    assert!(!has_event(&text, attempt, N_EVENTS), "{text}");
    text
}

#[test]
fn stream_of_a_killed_instance_goes_on_at_its_build() {
    const N_STREAMS: usize = 8;
    with_cluster("builds", 3, async |mut cluster| {
        cluster.mix_builds();
        sleep(Duration::from_millis(1_500)).await;
        let engines = cluster.endpoints.iter().filter(|it| it.pool == Pool::Engine);
        engines.for_each(|it| it.behaviour.set(Behaviour::Slow(8)));
        let front = cluster.nodes[0].front();
        let streams = (0..N_STREAMS).map(async |number| {
            let attempt = format!("first-{number}");
            cluster.checker.record_sent(&attempt, Route::Stream, b"body");
            let mut connection = TcpStream::connect(front).await.expect("the gateway listens");
            let request = stream(Route::Stream, &attempt);
            connection.write_all(request.as_bytes()).await.expect("the request is written");
            let text = read_two_events(&mut connection, &attempt).await;
            (attempt, text, connection)
        });
        let streams = join_all(streams).await;
        cluster.nodes[0].signal(Signal::Kill);
        let fronts = [cluster.nodes[1].front(), cluster.nodes[2].front()];
        let continued = streams.iter().enumerate().map(async |(number, (first, text, _))| {
            let attempt = format!("second-{number}");
            cluster.checker.record_sent(&attempt, Route::Stream, b"body");
            let n_events = (1..=N_EVENTS).filter(|it| has_event(text, first, *it)).count();
            let added = format!("Last-Event-Id: {n_events}\r\nResumes: {first}\r\nContent-Length");
            let request = stream(Route::Stream, &attempt).replace("Content-Length", &added);
            let response = exchange(fronts[number % 2], request.as_bytes()).await;
            assert!(response.ends_with(LAST_CHUNK), "{attempt}: {response}");
            let build = if text.contains("v2\n\n") { "v2" } else { "v1" };
            for number in n_events as u64 + 1..=N_EVENTS {
                let event = event_text(&attempt, number, build);
                assert!(response.contains(&event), "{event} is missing: {response}");
            }
        });
        join_all(continued).await;
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}

#[test]
fn caller_that_reads_nothing_for_a_while_does_not_make_its_endpoint_silent() {
    /// Small, so that the gateway soon has nowhere to write.
    const RECEIVE_BUFFER: u32 = 16 * 1024;
    const PAUSE: Duration = Duration::from_secs(2);
    with_cluster("slow-caller", 1, async |cluster| {
        let engines = cluster.endpoints.iter().filter(|it| it.pool == Pool::Engine);
        engines.for_each(|it| it.behaviour.set(Behaviour::Large));
        cluster.checker.record_sent("large", Route::Stream, b"body");
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(RECEIVE_BUFFER).expect("the size is set");
        let mut connection =
            socket.connect(cluster.nodes[0].front()).await.expect("the gateway listens");
        let request =
            stream(Route::Stream, "large").replace("Content-L", "Connection: close\r\nContent-L");
        connection.write_all(request.as_bytes()).await.expect("the request is written");
        sleep(PAUSE).await;
        let mut bytes = Vec::new();
        let read = timeout(TIMEOUT, connection.read_to_end(&mut bytes)).await;
        let is_read = read.expect("the connection ends").is_ok();
        let text = String::from_utf8_lossy(&bytes);
        let events: Vec<&str> = text.lines().filter(|it| it.starts_with("data: ")).collect();
        let sent = (1..=N_LARGE_EVENTS).map(|it| format!("data: large {it} v1"));
        assert!(is_read && text.ends_with(LAST_CHUNK), "{} events", events.len());
        assert_eq!(events, sent.collect::<Vec<String>>());
        assert_eq!(cluster.checker.runs("large").len(), 1);
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}

/// Sends a stream's request, and returns everything up to the end of the connection.
async fn read_whole(front: SocketAddr, attempt: &str) -> String {
    let mut connection = TcpStream::connect(front).await.expect("the gateway listens");
    let request =
        stream(Route::Stream, attempt).replace("Content-L", "Connection: close\r\nContent-L");
    connection.write_all(request.as_bytes()).await.expect("the request is written");
    let mut bytes = Vec::new();
    let read = timeout(TIMEOUT, connection.read_to_end(&mut bytes)).await;
    if let Err(error) = read.expect("the connection ends") {
        bytes.extend_from_slice(error.to_string().as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn head_of_a_second_run_that_is_cut_off_ends_no_stream_of_a_silent_engine() {
    const ATTEMPT: &str = "head-only";
    with_cluster("head-only", 1, async |cluster| {
        let engines = || cluster.endpoints.iter().filter(|it| it.pool == Pool::Engine);
        // The head takes 2 s.
        engines().for_each(|it| it.behaviour.set(Behaviour::Slow(50)));
        cluster.checker.record_sent(ATTEMPT, Route::Stream, b"body");
        let change_engines = async {
            while cluster.checker.runs(ATTEMPT).is_empty() {
                sleep(Duration::from_millis(5)).await;
            }
            let runs = cluster.checker.runs(ATTEMPT);
            engines().for_each(|it| {
                let is_first = runs.contains(&it.id);
                let behaviour = if is_first { Behaviour::Healthy } else { Behaviour::HeadOnly };
                it.behaviour.set(behaviour);
            });
        };
        let response = read_whole(cluster.nodes[0].front(), ATTEMPT);
        let (response, ()) = tokio::join!(response, change_engines);
        assert_eq!(cluster.checker.runs(ATTEMPT).len(), 2, "{response}");
        assert!(response.ends_with(LAST_CHUNK), "{response}");
        assert!((1..=N_EVENTS).all(|it| has_event(&response, ATTEMPT, it)), "{response}");
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}
