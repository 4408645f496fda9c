//! Early responses, large bodies, suspended processes and changes during a list.

use std::time::Duration;

use ferry_soak::cluster::{Cluster, Signal};
use ferry_soak::config::Route;
use ferry_soak::endpoint::{Behaviour, Pool};
use futures_util::future::join_all;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::harness::{TIMEOUT, exchange, head, read_until_idle, wait_ready, with_cluster};

const END_OF_HEAD: &[u8] = b"\r\n\r\n";

fn post(attempt: &str, body: &str) -> Vec<u8> {
    let head = head("POST", "/post/x?y=1", attempt);
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Makes `listener` the only endpoint of the plain pool.
async fn replace_plain_pool(cluster: &Cluster, listener: &TcpListener) {
    let address = listener.local_addr().expect("the listener has an address");
    for number in 0..3 {
        cluster.store.remove("servers", &format!("plain-{number}"));
    }
    let entry = json!({
        "Service": "plain", "Address": address.to_string(), "Zone": "zone-0", "Version": "v1",
        "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Sequence": 1, "born": 1,
    });
    cluster.store.put("servers", "raw", entry);
    sleep(Duration::from_millis(1_500)).await;
}

/// Responds once the head is received, then sends the bytes that follow the head to `done`.
async fn respond_early(listener: TcpListener, done: oneshot::Sender<Vec<u8>>) {
    let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
    let mut all = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    let end = loop {
        let len = stream.read(&mut buffer).await.expect("the head is readable");
        all.extend_from_slice(&buffer[..len]);
        if let Some(at) = all.windows(END_OF_HEAD.len()).position(|it| it == END_OF_HEAD) {
            break at + END_OF_HEAD.len();
        }
    };
    let response = "HTTP/1.1 200 OK\r\nTarragonferry-Attempt-Id: early\r\n\
                    Tarragonferry-Response-Seal: sealed\r\nContent-Length: 2\r\n\r\nok";
    stream.write_all(response.as_bytes()).await.expect("the response is written");
    let mut body = all.split_off(end);
    while let Ok(Ok(len @ 1..)) = timeout(TIMEOUT, stream.read(&mut buffer)).await {
        body.extend_from_slice(&buffer[..len]);
        sleep(Duration::from_millis(5)).await;
    }
    done.send(body).expect("the test is waiting");
}

#[test]
fn endpoint_that_responds_early_receives_only_the_body() {
    with_cluster("early", 1, async |cluster| {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        replace_plain_pool(&cluster, &listener).await;
        let (done, read) = oneshot::channel();
        spawn_local(respond_early(listener, done));
        let body: String = (0..120_000).map(|it| format!("{it:06} ")).collect();
        let front = cluster.nodes[0].front();
        let response = exchange(front, &post("early", &body)).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with("\r\n\r\nok"), "{response}");
        let read =
            timeout(TIMEOUT, read).await.expect("the call ends").expect("the body is received");
        assert!(body.as_bytes().starts_with(&read), "unexpected bytes among {}", read.len());
    });
}

#[test]
fn large_bodies_do_not_exceed_the_memory_limit() {
    const LIMIT: u64 = 64_000_000;
    with_cluster("memory", 1, async |mut cluster| {
        let settings = cluster.nodes[0].settings().to_owned();
        let text = std::fs::read_to_string(&settings).expect("the settings are readable");
        std::fs::write(&settings, text.replace("MemoryMb=260", "MemoryMb=64"))
            .expect("the settings are written");
        cluster.nodes[0].signal(Signal::Kill);
        while cluster.nodes[0].exit_status().is_none() {
            sleep(Duration::from_millis(10)).await;
        }
        cluster.nodes[0].start().expect("the gateway starts");
        wait_ready(cluster.nodes[0].ready()).await;
        for endpoint in &cluster.endpoints {
            endpoint.behaviour.set(Behaviour::NeverResponds);
        }
        let body = "x".repeat(900_000);
        let mut callers = Vec::new();
        for number in 0..100 {
            cluster.checker.record_sent(&format!("large-{number}"), Route::Post, body.as_bytes());
            let stream = TcpStream::connect(cluster.nodes[0].front()).await;
            let mut stream = stream.expect("the gateway listens");
            // A refused request's connection may be closed before the body is written.
            let _ = stream.write_all(&post(&format!("large-{number}"), &body)).await;
            callers.push(stream);
        }
        let mut n_refused = 0;
        for mut stream in callers.drain(..) {
            let response = read_until_idle(&mut stream).await;
            if !response.starts_with("HTTP/1.1 503") {
                continue;
            }
            assert!(response.to_lowercase().contains("retry-after: "), "{response}");
            n_refused += 1;
            if 10 < n_refused {
                break;
            }
        }
        assert!(10 < n_refused, "{n_refused} callers were refused");
        let peak = cluster.nodes[0].memory_peak().expect("the process is running");
        assert!(peak < LIMIT, "{peak} bytes at the peak");

        for endpoint in &cluster.endpoints {
            endpoint.behaviour.set(Behaviour::Healthy);
        }
        let served = async {
            for number in 0.. {
                let attempt = format!("small-{number}");
                cluster.checker.record_sent(&attempt, Route::Post, b"body");
                let response = exchange(cluster.nodes[0].front(), &post(&attempt, "body")).await;
                if response.starts_with("HTTP/1.1 200") {
                    return;
                }
                sleep(Duration::from_millis(100)).await;
            }
        };
        timeout(TIMEOUT, served).await.expect("memory is released");
    });
}

#[test]
fn resumed_process_applies_missed_endpoint_changes() {
    with_cluster("suspended", 1, async |mut cluster| {
        let front = cluster.nodes[0].front();
        cluster.nodes[0].signal(Signal::Stop);
        cluster.store.remove("servers", "plain-0");
        cluster.store.remove("servers", "plain-1");
        cluster.store.put("servers", "plain-2", cluster.endpoints[2].entry("zone-0", "draining"));
        cluster.store.put("servers", "plain-0", cluster.endpoints[0].entry("zone-0", "ready"));
        sleep(Duration::from_secs(4)).await;
        cluster.nodes[0].signal(Signal::Continue);
        // Just below the time limit for applying a change.
        sleep(Duration::from_millis(1_900)).await;
        for number in 0..12 {
            let attempt = format!("after-{number}");
            cluster.checker.record_sent(&attempt, Route::Post, b"body");
            let response = exchange(front, &post(&attempt, "body")).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
            assert_eq!(cluster.checker.runs(&attempt), ["plain-0"], "{attempt}");
        }
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}

/// The list of endpoints has three pages; endpoints on the first pages change before the last page is
/// read.
#[test]
fn change_between_the_pages_of_a_list_is_not_missed() {
    with_cluster("pages", 1, async |mut cluster| {
        cluster.nodes[0].signal(Signal::Kill);
        while cluster.nodes[0].exit_status().is_none() {
            sleep(Duration::from_millis(10)).await;
        }
        cluster.store.set_page_delay(Duration::from_millis(600));
        cluster.nodes[0].start().expect("the gateway starts");
        sleep(Duration::from_millis(900)).await;
        let (zone, state) = ("zone-0", "draining");
        cluster.store.put("servers", "engine-0", cluster.endpoints[3].entry(zone, state));
        cluster.store.put("servers", "engine-1", cluster.endpoints[4].entry(zone, state));
        cluster.store.set_page_delay(Duration::ZERO);
        wait_ready(cluster.nodes[0].ready()).await;
        sleep(Duration::from_millis(1_500)).await;
        // Concurrently, so that all are sent before the list is read again.
        let requests = (0..12).map(async |number| {
            let attempt = format!("page-{number}");
            cluster.checker.record_sent(&attempt, Route::Once, b"body");
            let head = head("POST", "/once/x?y=1", &attempt);
            let items = "Tarragonferry-Pieces: 1,1\r\nTarragonferry-Piece-Key: k\r\n";
            let bytes = format!("{head}{items}Content-Length: 4\r\n\r\nbody");
            exchange(cluster.nodes[0].front(), bytes.as_bytes()).await;
            assert_eq!(cluster.checker.runs(&attempt), ["engine-2"], "{attempt}");
        });
        join_all(requests).await;
    });
}

/// Responds with neither a length nor chunks, and ends the connection with or without a reset.
async fn respond_unframed(listener: TcpListener, attempt: &str, is_reset: bool) {
    let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
    let mut buffer = vec![0; 64 * 1024];
    let _ = stream.read(&mut buffer).await.expect("the request is readable");
    let response = format!(
        "HTTP/1.1 200 OK\r\nTarragonferry-Attempt-Id: {attempt}\r\n\
         Tarragonferry-Response-Seal: sealed\r\nConnection: close\r\n\r\nhalf"
    );
    stream.write_all(response.as_bytes()).await.expect("the response is written");
    sleep(Duration::from_millis(100)).await;
    if is_reset {
        stream.set_zero_linger().expect("the option is set");
    }
}

#[test]
fn unframed_answer_that_is_reset_does_not_look_complete() {
    for (attempt, is_reset, status) in [("closed", false, 200), ("reset", true, 502)] {
        with_cluster(&format!("unframed-{attempt}"), 1, async |cluster| {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            replace_plain_pool(&cluster, &listener).await;
            spawn_local(respond_unframed(listener, attempt, is_reset));
            let response = exchange(cluster.nodes[0].front(), &post(attempt, "body")).await;
            assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{response}");
            assert_eq!(response.ends_with("half"), !is_reset, "{response}");
        });
    }
}

#[test]
fn error_of_an_endpoint_is_forwarded_if_all_others_refuse() {
    with_cluster("held-error", 1, async |cluster| {
        let plain = || cluster.endpoints.iter().filter(|it| it.pool == Pool::Plain);
        plain().for_each(|it| it.behaviour.set(Behaviour::Failing));
        cluster.checker.record_sent("held", Route::Get, b"");
        let request = format!("{}\r\n", head("GET", &Route::Get.path(), "held"));
        let fill_others = async {
            while cluster.checker.runs("held").is_empty() {
                sleep(Duration::from_millis(1)).await;
            }
            let runs = cluster.checker.runs("held");
            let others = plain().filter(|it| !runs.contains(&it.id));
            others.for_each(|it| it.behaviour.set(Behaviour::Full));
        };
        let response = exchange(cluster.nodes[0].front(), request.as_bytes());
        let (response, ()) = tokio::join!(response, fill_others);
        assert!(response.starts_with("HTTP/1.1 500"), "{response}");
        assert!(response.contains("tarragonferry-response-seal: sealed"), "{response}");
        assert!(response.ends_with("failed"), "{response}");
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}
