//! Entries of other writers that cannot be read, beside those of sound endpoints.

use std::time::Duration;

use ferry_soak::cluster::{Cluster, Signal};
use ferry_soak::config::Route;
use ferry_soak::malformed::MalformedObject;
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::harness::{TIMEOUT, exchange, head, wait_ready, with_cluster};

const DRAIN_TIME: Duration = Duration::from_secs(2);
const N_REQUESTS: usize = 10;
const NAME: &str = "malformed";

/// Sends requests to the plain pool; returns the endpoints that ran them, and how many were served.
async fn ask(cluster: &Cluster, name: &str) -> (Vec<String>, usize) {
    let (mut runs, mut n_served) = (Vec::new(), 0);
    for number in 0..N_REQUESTS {
        let attempt = format!("{name}-{number}");
        cluster.checker.record_sent(&attempt, Route::Get, b"");
        let request = format!("{}\r\n", head("GET", &Route::Get.path(), &attempt));
        let response = exchange_quickly(cluster, request.as_bytes()).await;
        n_served += usize::from(response.starts_with("HTTP/1.1 200"));
        runs.extend(cluster.checker.runs(&attempt));
    }
    runs.sort();
    runs.dedup();
    (runs, n_served)
}

/// Closes the connection behind the response, so that nothing waits for its idle time.
async fn exchange_quickly(cluster: &Cluster, request: &[u8]) -> String {
    let request = String::from_utf8_lossy(request).replacen("\r\n", "\r\nConnection: close\r\n", 1);
    exchange(cluster.nodes[0].front(), request.as_bytes()).await
}

fn register(cluster: &Cluster, numbers: &[usize], state: &str) {
    for number in numbers {
        let id = format!("plain-{number}");
        let endpoint = cluster.endpoints.iter().find(|it| it.id == id);
        let entry = endpoint.expect("the endpoint exists").entry("zone-0", state);
        cluster.store.put("servers", &id, entry);
    }
}

#[test]
fn endpoint_that_leaves_gets_no_requests_beside_an_unreadable_entry() {
    with_cluster("unreadable", 1, async |cluster| {
        let mut failures = Vec::new();
        for MalformedObject { what, text } in MalformedObject::all(NAME) {
            cluster.store.put_text("servers", NAME, text);
            register(&cluster, &[0], "draining");
            cluster.store.remove("servers", "plain-1");
            sleep(DRAIN_TIME).await;
            let (runs, n_served) = ask(&cluster, &what.replace(' ', "-")).await;
            if (&runs[..], n_served) != (&["plain-2".to_owned()][..], N_REQUESTS) {
                failures.push(format!("{what}: {n_served} served, at {runs:?}"));
            }
            cluster.store.remove("servers", NAME);
            register(&cluster, &[0, 1], "ready");
            sleep(Duration::from_millis(1_000)).await;
        }
        assert_eq!(failures, Vec::<String>::new());
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}

#[test]
fn gateway_starts_and_serves_beside_unreadable_entries() {
    with_cluster("unreadable-start", 1, async |mut cluster| {
        for number in 0..MalformedObject::all(NAME).len() {
            let name = format!("malformed-{number}");
            let odd = MalformedObject::all(&name).swap_remove(number);
            cluster.store.put_text("servers", &name, odd.text);
        }
        cluster.nodes[0].signal(Signal::Kill);
        while cluster.nodes[0].exit_status().is_none() {
            sleep(Duration::from_millis(10)).await;
        }
        cluster.nodes[0].start().expect("the gateway starts");
        let ready = timeout(TIMEOUT, wait_ready(cluster.nodes[0].ready())).await;
        assert!(ready.is_ok(), "the gateway is not ready");
        let (_, n_served) = ask(&cluster, "started").await;
        assert_eq!(n_served, N_REQUESTS);
    });
}

#[test]
fn entry_that_becomes_unreadable_names_no_endpoint() {
    with_cluster("malformed-later", 1, async |cluster| {
        let mut failures = Vec::new();
        for MalformedObject { what, text } in MalformedObject::all("plain-0") {
            cluster.store.put_text("servers", "plain-0", text);
            sleep(DRAIN_TIME).await;
            let (runs, n_served) = ask(&cluster, &what.replace(' ', "-")).await;
            if runs.iter().any(|it| it == "plain-0") || n_served < N_REQUESTS {
                failures.push(format!("{what}: {n_served} served, at {runs:?}"));
            }
            register(&cluster, &[0], "ready");
            sleep(Duration::from_millis(700)).await;
        }
        assert_eq!(failures, Vec::<String>::new());
    });
}

#[test]
fn names_of_entries_do_not_break_the_list() {
    with_cluster("names", 1, async |mut cluster| {
        cluster.nodes[0].signal(Signal::Kill);
        while cluster.nodes[0].exit_status().is_none() {
            sleep(Duration::from_millis(10)).await;
        }
        // Of so many, some are the last one of a page, behind which the next page starts.
        for odd in [" a&b", "#", "?\u{fc}", "%", "/\n"] {
            for number in 0..N_REQUESTS {
                let name = format!("engine-0{odd}{number}");
                let object = json!({ "Metadata": { "Name": name }, "Spec": 7 });
                cluster.store.put_text("servers", &name, object.to_string());
            }
        }
        cluster.nodes[0].start().expect("the gateway starts");
        let ready = timeout(TIMEOUT, wait_ready(cluster.nodes[0].ready())).await;
        assert!(ready.is_ok(), "the gateway is not ready");
        let (_, n_served) = ask(&cluster, "named").await;
        assert_eq!(n_served, N_REQUESTS);
    });
}
