//! The operator's interface to requests and prompt parts in quarantine.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use ferry_soak::cluster::{Cluster, Node, Signal};
use ferry_soak::config::Route;
use ferry_soak::soak::{N_CALLERS, start_callers};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::harness::{exchange, head, logged_digest, wait_ready, with_cluster};

/// Time in which all instances know of a change.
const SPREAD_TIME: Duration = Duration::from_secs(1);
/// Port for other instances.
const PEER_PORT: u16 = 7_740;

async fn call(address: SocketAddr, method: &str, path: &str) -> String {
    let text = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    exchange(address, text.as_bytes()).await
}

async fn list(node: &Node) -> Value {
    let response = call(node.ready(), "GET", "/v1/quarantine").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let body = response.split_once("\r\n\r\n").expect("the response has a body").1;
    serde_json::from_str(body).expect("the body is JSON")
}

/// Sends a request whose prompt has these parts, and returns the response.
async fn send(cluster: &Cluster, node: usize, route: Route, attempt: &str, parts: &str) -> String {
    send_body(cluster, node, route, attempt, parts, "body").await
}

async fn send_body(
    cluster: &Cluster,
    node: usize,
    route: Route,
    attempt: &str,
    parts: &str,
    body: &str,
) -> String {
    cluster.checker.record_sent(attempt, route, body.as_bytes());
    let head = head("POST", &route.path(), attempt);
    let request = format!(
        "{head}Tarragonferry-Pieces: 1,1\r\nTarragonferry-Piece-Key: k\r\n\
         Tarragonferry-Prompt-Prefix: {parts}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(cluster.nodes[node].front(), request.as_bytes()).await
}

#[test]
fn part_set_or_lifted_at_one_instance_is_known_at_all() {
    struct Case {
        name: &'static str,
        route: Route,
        parts: &'static str,
        is_refused: bool,
    }
    let cases = [
        Case { name: "first", route: Route::Stream, parts: "beef:9,a1:9,c3:9", is_refused: true },
        Case { name: "middle", route: Route::Once, parts: "a1:9,beef:9,c3:9", is_refused: true },
        Case { name: "last", route: Route::Stream, parts: "a1:9,c3:9,beef:9", is_refused: false },
        Case { name: "none", route: Route::Once, parts: "a1:9,c3:9", is_refused: false },
        Case { name: "pool", route: Route::Post, parts: "beef:9,a1:9", is_refused: false },
    ];
    with_cluster("quarantine", 3, async |cluster| {
        let check = async |phase: &str, is_set: bool| {
            for (number, case) in cases.iter().enumerate() {
                let node = number % cluster.nodes.len();
                let attempt = format!("{phase}-{}", case.name);
                let response = send(&cluster, node, case.route, &attempt, case.parts).await;
                let is_refused = response.starts_with("HTTP/1.1 503");
                let is_served = response.starts_with("HTTP/1.1 200");
                assert_eq!(is_refused, is_set && case.is_refused, "{attempt}: {response}");
                assert_eq!(is_served, !is_refused, "{attempt}: {response}");
                let has_hint = response.to_lowercase().contains("retry-after");
                assert!(!is_refused || !has_hint, "{attempt}: {response}");
                assert_eq!(cluster.checker.runs(&attempt).is_empty(), is_refused, "{attempt}");
            }
        };
        check("before", false).await;
        let path = "/v1/quarantine/engine/beef";
        let response = call(cluster.nodes[0].ready(), "PUT", path).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        sleep(SPREAD_TIME).await;
        check("set", true).await;
        for node in &cluster.nodes {
            let listed = list(node).await;
            assert_eq!(listed[0]["pool"], json!("engine"), "{listed}");
            assert_eq!(listed[0]["part"], json!("beef"), "{listed}");
            assert_eq!(listed[0].get("request"), None, "{listed}");
            assert_eq!(listed[0]["state"], json!("quarantined"), "{listed}");
            assert_eq!(listed[0]["reason"], json!("operator"), "{listed}");
        }
        let response = call(cluster.nodes[2].ready(), "DELETE", path).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        sleep(SPREAD_TIME).await;
        check("lifted", false).await;
        for node in &cluster.nodes {
            assert_eq!(list(node).await[0]["state"], json!("lifted"));
        }
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}

/// Guards against a part that is in quarantine and whose requests go on, as its id is long or its
/// prompt comes on two lines.
#[test]
fn part_with_a_long_id_is_refused_and_shown_as_callers_write_it() {
    const ID: &str = "00A123456789abcdef0123456789abcdef0123456789";
    let key = "a123456789ABCDEF0123456789abcdef0123456789";
    with_cluster("long-part", 2, async |cluster| {
        let served = send(&cluster, 0, Route::Stream, "before", &format!("a1:9,{ID}:9,c3:9")).await;
        assert!(served.starts_with("HTTP/1.1 200"), "{served}");
        let path = format!("/v1/quarantine/engine/part:{key}");
        let set = call(cluster.nodes[0].ready(), "PUT", &path).await;
        assert!(set.starts_with("HTTP/1.1 200"), "{set}");
        assert!(set.contains(&format!("\"written\":\"{key}\"")), "{set}");
        sleep(SPREAD_TIME).await;
        let lines = "Tarragonferry-Prompt-Prefix: a1:9,b2:x\r\n\
                     Tarragonferry-Prompt-Prefix";
        for node in [0, 1] {
            for (name, parts, is_refused) in [
                ("one line", format!("a1:9,{ID}:9,c3:9"), true),
                ("odd before", format!("+1:9,{ID},c3:9"), true),
                ("last", format!("a1:9,c3:9,{ID}:9"), false),
                ("another", format!("a1:9,{ID}0:9,c3:9"), false),
                ("two lines", format!("a1:9\r\n{lines}: {ID}:9,c3:9"), true),
            ] {
                let attempt = format!("{name}, {node}");
                let response = send(&cluster, node, Route::Stream, &attempt, &parts).await;
                let status = if is_refused { "HTTP/1.1 503" } else { "HTTP/1.1 200" };
                assert!(response.starts_with(status), "{attempt}: {response}");
            }
            let listed = list(&cluster.nodes[node]).await;
            assert_eq!(listed.as_array().map(Vec::len), Some(1), "{listed}");
            assert_eq!(listed[0]["written"], json!(ID), "{listed}");
            let part = listed[0]["part"].as_str().expect("it has a key").to_owned();
            let log = fs::read_to_string(cluster.nodes[node].log()).expect("there is a log");
            assert!(log.contains(&format!("refused: part {part} ({ID})")), "{log}");
            let metrics = call(cluster.nodes[node].ready(), "GET", "/metrics").await;
            let line = "ferry_parts_unreadable_total 3";
            assert!(metrics.lines().any(|it| it == line), "{metrics}");
        }
        let lifted = call(cluster.nodes[1].ready(), "DELETE", &path).await;
        assert!(lifted.starts_with("HTTP/1.1 200"), "{lifted}");
        let response =
            send(&cluster, 1, Route::Stream, "after", &format!("a1:9,{ID}:9,c3:9")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}

#[test]
fn request_set_or_lifted_at_one_instance_is_known_at_all() {
    struct Case {
        name: &'static str,
        route: Route,
        body: &'static str,
        is_refused: bool,
    }
    let case = |name, route, body, is_refused| Case { name, route, body, is_refused };
    let cases = [
        case("same", Route::Post, "body", true),
        case("body", Route::Post, "bodY", false),
        case("path", Route::Get, "body", false),
        case("again", Route::Post, "body", true),
        case("stream", Route::Stream, "body", false),
    ];
    with_cluster("quarantine-request", 3, async |cluster| {
        let check = async |phase: &str, is_set: bool| {
            for (number, case) in cases.iter().enumerate() {
                let node = number % cluster.nodes.len();
                let attempt = format!("{phase}-{}", case.name);
                let response =
                    send_body(&cluster, node, case.route, &attempt, "a1:9,c3:9", case.body).await;
                let is_refused = is_set && case.is_refused;
                let status = if is_refused { "HTTP/1.1 503" } else { "HTTP/1.1 200" };
                assert!(response.starts_with(status), "{attempt}: {response}");
                let has_hint = response.to_lowercase().contains("retry-after");
                assert!(!is_refused || !has_hint, "{attempt}: {response}");
                assert_eq!(cluster.checker.runs(&attempt).is_empty(), is_refused, "{attempt}");
            }
        };
        check("before", false).await;
        let digest = logged_digest(&cluster.nodes[0], "before-same").await;
        let path = format!("/v1/quarantine/plain/{digest}");
        let response = call(cluster.nodes[1].ready(), "PUT", &path).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        sleep(SPREAD_TIME).await;
        check("set", true).await;
        for node in &cluster.nodes {
            let listed = list(node).await;
            assert_eq!(listed[0]["pool"], json!("plain"), "{listed}");
            assert_eq!(listed[0]["request"], json!(digest), "{listed}");
            assert_eq!(listed[0].get("part"), None, "{listed}");
            assert_eq!(listed[0]["state"], json!("quarantined"), "{listed}");
            assert_eq!(listed[0]["reason"], json!("operator"), "{listed}");
        }
        let response = call(cluster.nodes[2].ready(), "DELETE", &path).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        sleep(SPREAD_TIME).await;
        check("lifted", false).await;
        for node in &cluster.nodes {
            assert_eq!(list(node).await[0]["state"], json!("lifted"));
        }
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}

/// Kills all gateways, starts them again and waits until they are ready.
async fn kill_all(cluster: &mut Cluster) {
    cluster.nodes.iter_mut().for_each(|it| it.signal(Signal::Kill));
    for node in &mut cluster.nodes {
        while node.exit_status().is_none() {
            sleep(Duration::from_millis(5)).await;
        }
        node.start().expect("the gateway starts");
    }
    for node in &cluster.nodes {
        wait_ready(node.ready()).await;
    }
}

/// Guards against a quarantine, or its end, that is forgotten when all gateways are killed at once.
#[test]
fn quarantine_and_its_end_outlive_all_gateways() {
    const KIND: &str = "ferry-quarantine";
    /// Attempts at each gateway.
    const N_TRIES: usize = 3;
    with_cluster("quarantine-killed", 3, async |mut cluster| {
        // A later release may have written one, and anybody else another.
        cluster.store.put(KIND, "part-f00d.engine", json!({ "Format": 9 }));
        cluster.store.put_text(KIND, "nobody", "no JSON");
        let path = "/v1/quarantine/engine/beef";
        for (phase, method, status) in [("set", "PUT", 503), ("lifted", "DELETE", 200)] {
            let response = call(cluster.nodes[0].ready(), method, path).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
            sleep(SPREAD_TIME).await;
            kill_all(&mut cluster).await;
            sleep(SPREAD_TIME).await;
            for (node, number) in (0..3).flat_map(|node| (0..N_TRIES).map(move |it| (node, it))) {
                let attempt = format!("{phase}-{node}-{number}");
                let parts = "a1:9,beef:9,c3:9";
                let response = send(&cluster, node, Route::Stream, &attempt, parts).await;
                assert!(
                    response.starts_with(&format!("HTTP/1.1 {status}")),
                    "{attempt}: {response}"
                );
                let is_run = !cluster.checker.runs(&attempt).is_empty();
                assert_eq!(is_run, status == 200, "{attempt}");
                let response = send(&cluster, node, Route::Stream, "other", "f00d:9,c3:9").await;
                assert!(response.starts_with("HTTP/1.1 200"), "{attempt}: {response}");
            }
            let names = cluster.store.names(KIND);
            assert_eq!(names, ["nobody", "part-beef.engine", "part-f00d.engine"], "{phase}");
        }
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}

/// Paths of requests: a valid one, and others whose ids have a digit less, one more, or a sign.
const REQUEST: &str = "/v1/quarantine/plain/0123456789abcdef0123456789abcdef";
const REQUEST_31: &str = "/v1/quarantine/plain/0123456789abcdef0123456789abcde";
const REQUEST_33: &str = "/v1/quarantine/plain/0123456789abcdef0123456789abcdef0";
const REQUEST_SIGNED: &str = "/v1/quarantine/plain/+123456789abcdef0123456789abcdef";

#[test]
fn wrong_requests_of_operators_change_nothing() {
    struct Case {
        method: &'static str,
        path: &'static str,
        status: u16,
        reason: &'static str,
    }
    let wrong = |method, path, reason| Case { method, path, status: 400, reason };
    let cases = [
        wrong("PUT", "/v1/quarantine", "PUT and DELETE take /v1/quarantine/POOL/ID"),
        wrong("PUT", "/v1/quarantine/engine", "PUT and DELETE take /v1/quarantine/POOL/ID"),
        wrong("PUT", "/v1/quarantine//beef", "PUT and DELETE take /v1/quarantine/POOL/ID"),
        wrong("GET", "/v1/quarantine/engine/beef", "GET takes /v1/quarantine"),
        wrong("PUT", "/v1/quarantine/other/beef", "there is no pool \"other\""),
        wrong("PUT", "/v1/quarantine/%ff/beef", "is not valid percent-encoded UTF-8"),
        wrong("PUT", "/v1/quarantine/engine/", "the id \"\" is not a hexadecimal number"),
        wrong("PUT", "/v1/quarantine/engine/xyz", "the id \"xyz\" is not a hexadecimal number"),
        wrong("PUT", "/v1/quarantine/engine/+1", "the id \"+1\" is not a hexadecimal number"),
        wrong("PUT", "/v1/quarantine/engine/12345678901234567", "of up to 16 digits, for a part"),
        wrong("PUT", "/v1/quarantine/engine/part:", "of up to 16 digits, for a part"),
        wrong("PUT", "/v1/quarantine/engine/part:+1", "of up to 16 digits, for a part"),
        wrong("PUT", "/v1/quarantine/engine/part:section-7", "of up to 16 digits, for a part"),
        wrong("PUT", REQUEST_31, "or of 32, for a request"),
        wrong("PUT", REQUEST_33, "or of 32, for a request"),
        wrong("PUT", REQUEST_SIGNED, "is not a hexadecimal number"),
        wrong("DELETE", "/v1/quarantine/engine/beef", "part beef of pool \"engine\" is not in"),
        wrong(
            "DELETE",
            REQUEST,
            "request 0123456789abcdef0123456789abcdef of pool \"plain\" is not in",
        ),
        // A part with the digits of a request is none.
        wrong("DELETE", "/v1/quarantine/plain/0123456789abcdef", "part 123456789abcdef of pool"),
        Case { method: "POST", path: "/v1/quarantine", status: 405, reason: "DELETE lifts" },
        Case { method: "GET", path: "/v1/quarantines", status: 404, reason: "" },
    ];
    with_cluster("quarantine-wrong", 1, async |cluster| {
        for case in cases {
            let response = call(cluster.nodes[0].ready(), case.method, case.path).await;
            let name = format!("{} {}: {response}", case.method, case.path);
            assert!(response.starts_with(&format!("HTTP/1.1 {}", case.status)), "{name}");
            assert!(response.contains(case.reason), "{name}");
            assert_eq!(list(&cluster.nodes[0]).await, json!([]), "{name}");
        }
    });
}

#[test]
fn quarantine_cannot_be_set_from_other_listeners() {
    with_cluster("quarantine-listeners", 1, async |cluster| {
        let node = &cluster.nodes[0];
        let path = "/v1/quarantine/engine/beef";
        for (method, path) in [("GET", "/v1/quarantine"), ("PUT", path), ("DELETE", path)] {
            for address in [node.directory(), node.address(PEER_PORT)] {
                let response = call(address, method, path).await;
                assert!(response.starts_with("HTTP/1.1 404"), "{address} {method}: {response}");
            }
            let request = format!("{}Content-Length: 0\r\n\r\n", head(method, path, "front"));
            let response = exchange(node.front(), request.as_bytes()).await;
            assert!(response.starts_with("HTTP/1.1 404"), "front {method}: {response}");
        }
        assert_eq!(list(node).await, json!([]));
    });
}

/// Returns the attempts of a request, from the gateways' logs.
fn attempts(cluster: &Cluster, digest: &str) -> impl Iterator<Item = String> {
    let logs = cluster.nodes.iter().map(|it| fs::read_to_string(it.log()));
    let text: String = logs.map(|it| it.expect("there is a log")).collect();
    let lines = text.lines().filter_map(|it| serde_json::from_str::<Value>(it).ok());
    let lines = lines.filter(|it| it["decision"] == "admit" && it["digest"] == digest);
    let attempts: Vec<String> =
        lines.filter_map(|it| it["request"].as_str().map(str::to_owned)).collect();
    assert!(!attempts.is_empty(), "no attempt has the digest {digest}");
    attempts.into_iter()
}

#[test]
fn sound_parts_stay_out_of_quarantine_if_engines_crash_at_once() {
    // Long enough for the crashes of engines that have started again.
    const CRASH_TIME: Duration = Duration::from_millis(4_500);
    for seed in [2, 3] {
        with_cluster(&format!("quarantine-{seed}"), 2, async |cluster| {
            cluster.start_crashes(seed);
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let is_over = start_callers(&cluster, &mut rng, N_CALLERS);
            sleep(CRASH_TIME).await;
            is_over.replace(true);
            let listed = list(&cluster.nodes[0]).await;
            let entries = listed.as_array().expect("the list is an array");
            // A request with the part may have crashed three engines itself, and come into quarantine.
            let is_wrong = |it: &&Value| match it["request"].as_str() {
                Some(digest) => {
                    !attempts(&cluster, digest).all(|it| cluster.checker.has_cause(&it))
                }
                None => it["part"] != "dead",
            };
            let mut entries = entries.iter().filter(|it| it["state"] == "quarantined");
            assert_eq!(entries.find(is_wrong), None, "seed {seed}");
        });
    }
}
