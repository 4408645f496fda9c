//! Start, shutdown, reloads and failures of the store, as seen by callers and the platform.

use std::process::Command;
use std::time::Duration;

use ferry_soak::cluster::Signal;
use ferry_soak::config::{Route, desired_state};
use ferry_soak::endpoint::{Behaviour, Pool};
use ferry_soak::store::StoreBehaviour;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use crate::harness::{
    TIMEOUT, directory, exchange, gateway, head, read_until_idle, wait_ready, with_cluster,
};

fn post(attempt: &str) -> Vec<u8> {
    let head = head("POST", "/post/x?y=1", attempt);
    format!("{head}Content-Length: 4\r\n\r\nbody").into_bytes()
}

#[test]
fn invalid_settings_are_reported() {
    struct Case {
        name: &'static str,
        text: &'static str,
        finding: &'static str,
    }
    let cases = [
        Case { name: "empty", text: "", finding: "Node: is missing" },
        Case {
            name: "invalid address",
            text: "Listen.Front=here",
            finding: "Listen.Front: could not read the value: \"here\"",
        },
        Case {
            name: "negative number",
            text: "Bounds.GraceS=-1",
            finding: "Bounds.GraceS: is not a finite number of zero or more: \"-1\"",
        },
    ];
    for case in cases {
        let path = directory(&format!("settings-{}.conf", case.name.replace(' ', "-")));
        std::fs::write(&path, case.text).expect("the file is written");
        let output = Command::new(gateway())
            .args(["--check", "--settings"])
            .arg(&path)
            .output()
            .expect("the gateway starts");
        assert_eq!(output.status.code(), Some(2), "{}", case.name);
        let findings = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(findings.lines().any(|it| it == case.finding), "{}: {findings}", case.name);
    }
}

#[test]
fn shutdown_completes_open_requests_in_time() {
    with_cluster("stop", 2, async |mut cluster| {
        for endpoint in &cluster.endpoints {
            endpoint.behaviour.set(Behaviour::Slow(60));
        }
        cluster.checker.record_sent("slow", Route::Post, b"body");
        let front = cluster.nodes[0].front();
        let mut open = TcpStream::connect(front).await.expect("the gateway listens");
        open.write_all(&post("slow")).await.expect("the request is written");
        sleep(Duration::from_millis(100)).await;
        let start = Instant::now();
        cluster.nodes[0].signal(Signal::Terminate);
        sleep(Duration::from_millis(100)).await;
        let ready = b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
        assert!(exchange(cluster.nodes[0].ready(), ready).await.starts_with("HTTP/1.1 503"));
        let response = read_until_idle(&mut open).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.to_lowercase().contains("connection: close"), "{response}");
        let ended = async {
            loop {
                if let Some(status) = cluster.nodes[0].exit_status() {
                    return status;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        let status = timeout(TIMEOUT, ended).await.expect("the gateway ends");
        assert!(status.success());
        assert!(start.elapsed() < Duration::from_secs(8), "it took {:?}", start.elapsed());
    });
}

#[test]
fn shutdown_does_not_cut_an_answer_that_its_caller_reads_late() {
    /// Bytes read before the stop, so that the endpoint's stream has ended, and not all was sent.
    const FIRST: usize = 8_000_000;
    /// Longer than the gateway serves on, shorter than it may take to exit.
    const PAUSE: Duration = Duration::from_millis(3_500);
    with_cluster("late-reader", 1, async |mut cluster| {
        let engines = cluster.endpoints.iter().filter(|it| it.pool == Pool::Engine);
        engines.for_each(|it| it.behaviour.set(Behaviour::Large));
        cluster.checker.record_sent("late", Route::Stream, b"body");
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(16 * 1024).expect("the size is set");
        let mut open = socket.connect(cluster.nodes[0].front()).await.expect("the gateway listens");
        let head = head("POST", &Route::Stream.path(), "late");
        let request = format!(
            "{head}Tarragonferry-Pieces: 1,1\r\nTarragonferry-Piece-Key: k\r\n\
             Content-Length: 4\r\n\r\nbody"
        );
        open.write_all(request.as_bytes()).await.expect("the request is written");
        let mut first = vec![0; FIRST];
        open.read_exact(&mut first).await.expect("the stream is open");
        let start = Instant::now();
        cluster.nodes[0].signal(Signal::Terminate);
        sleep(PAUSE).await;
        let mut rest = Vec::new();
        let read = timeout(TIMEOUT, open.read_to_end(&mut rest)).await;
        let is_read = read.expect("the connection ends").is_ok();
        assert!(is_read && rest.ends_with(b"\r\n0\r\n\r\n"), "{} bytes of the rest", rest.len());
        let ended = async {
            while cluster.nodes[0].exit_status().is_none() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TIMEOUT, ended).await.expect("the gateway ends");
        assert!(start.elapsed() < Duration::from_secs(8), "it took {:?}", start.elapsed());
    });
}

#[test]
fn gateway_serves_requests_while_the_store_is_unreachable() {
    with_cluster("away", 2, async |mut cluster| {
        cluster.store.set_behaviour(StoreBehaviour::Disconnects);
        sleep(Duration::from_millis(500)).await;
        cluster.checker.record_sent("probe", Route::Post, b"body");
        let response = exchange(cluster.nodes[0].front(), &post("probe")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        // A gateway that starts meanwhile gets its state from its peer.
        cluster.nodes[1].signal(Signal::Kill);
        sleep(Duration::from_millis(200)).await;
        assert!(cluster.nodes[1].exit_status().is_some());
        cluster.nodes[1].start().expect("the gateway starts");
        wait_ready(cluster.nodes[1].ready()).await;
        cluster.checker.record_sent("other", Route::Post, b"body");
        let response = exchange(cluster.nodes[1].front(), &post("other")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}

#[test]
fn config_change_is_applied_promptly() {
    with_cluster("change", 1, async |cluster| {
        let request = async |attempt: &str| {
            cluster.checker.record_sent(attempt, Route::Extra, b"body");
            let head = head("POST", "/extra/x?y=1", attempt);
            let bytes = format!("{head}Content-Length: 4\r\n\r\nbody");
            exchange(cluster.nodes[0].front(), bytes.as_bytes()).await
        };
        assert!(request("before").await.starts_with("HTTP/1.1 200"));
        cluster.store.put("config", "main", desired_state(7, false));
        sleep(Duration::from_millis(300)).await;
        assert!(request("gone").await.starts_with("HTTP/1.1 404"));
        // An invalid configuration is ignored.
        cluster.store.put("config", "main", serde_json::json!({ "Version": "eight" }));
        cluster.store.put("config", "main", desired_state(9, true));
        sleep(Duration::from_millis(300)).await;
        assert!(request("back").await.starts_with("HTTP/1.1 200"));
    });
}

#[test]
fn config_change_missed_by_watches_is_applied() {
    with_cluster("deaf", 2, async |cluster| {
        cluster.store.set_behaviour(StoreBehaviour::MissesChanges);
        sleep(Duration::from_millis(100)).await;
        cluster.store.put("config", "main", desired_state(7, false));
        // Enough for the wait of a watch, a response of the store and a message between peers.
        sleep(Duration::from_millis(3_500)).await;
        // The invalid entry is in every list, but must be logged only once.
        let log = std::fs::read_to_string(cluster.nodes[0].log()).expect("the log is readable");
        let n_lines = log.lines().filter(|it| it.contains("stranger: could not read")).count();
        assert_eq!(n_lines, 1);
        for (number, node) in cluster.nodes.iter().enumerate() {
            let attempt = format!("probe-{number}");
            cluster.checker.record_sent(&attempt, Route::Extra, b"body");
            let head = head("POST", "/extra/x?y=1", &attempt);
            let bytes = format!("{head}Content-Length: 4\r\n\r\nbody");
            let response = exchange(node.front(), bytes.as_bytes()).await;
            assert!(response.starts_with("HTTP/1.1 404"), "node {number}: {response}");
        }
    });
}

#[test]
fn settings_are_reloaded_on_signal_and_on_change() {
    with_cluster("reload", 1, async |mut cluster| {
        let lines = |cluster: &ferry_soak::cluster::Cluster, text: &str| {
            let log = std::fs::read_to_string(cluster.nodes[0].log()).expect("the log is readable");
            log.lines().filter(|it| it.contains(text)).count()
        };
        let file = cluster.nodes[0].settings().to_owned();
        let text = std::fs::read_to_string(&file).expect("the settings are readable");
        std::fs::write(&file, text.replace("GraceS=8", "GraceS=6"))
            .expect("the settings are written");
        cluster.nodes[0].signal(Signal::HangUp);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(lines(&cluster, "settings were read again"), 1);
        std::fs::write(&file, "Node=other\n").expect("the settings are written");
        sleep(Duration::from_millis(2_500)).await;
        assert_eq!(lines(&cluster, "the settings have findings"), 1);
        std::fs::write(&file, &text).expect("the settings are written");
        sleep(Duration::from_millis(2_500)).await;
        assert_eq!(lines(&cluster, "settings were read again"), 2);
        cluster.checker.record_sent("probe", Route::Post, b"body");
        let response = exchange(cluster.nodes[0].front(), &post("probe")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}

#[test]
fn caller_disconnect_cancels_its_call() {
    with_cluster("leave", 1, async |cluster| {
        for endpoint in &cluster.endpoints {
            endpoint.behaviour.set(Behaviour::NeverResponds);
        }
        cluster.checker.record_sent("probe", Route::Post, b"body");
        let front = cluster.nodes[0].front();
        let mut open = TcpStream::connect(front).await.expect("the gateway listens");
        open.write_all(&post("probe")).await.expect("the request is written");
        sleep(Duration::from_millis(200)).await;
        drop(open);
        sleep(Duration::from_millis(300)).await;
        let metrics = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
        let text = exchange(cluster.nodes[0].ready(), metrics).await;
        assert!(text.contains("ferry_requests_dropped_total 1"), "{text}");
    });
}
