//! The digest of a request in the log, by which operators find its other attempts.

use std::time::Duration;

use ferry_soak::cluster::Cluster;
use ferry_soak::config::{API_KEY, HOST, WORKSPACE, desired_state};
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::harness::{TIMEOUT, exchange, logged_digest, with_cluster};

const OTHER_KEY: &str = "other-key-of-soak";
const STRANGER_KEY: &str = "key-of-stranger";

#[derive(Clone, Copy)]
struct Case {
    /// Also the id of the attempt.
    name: &'static str,
    node: usize,
    method: &'static str,
    path: &'static str,
    key: &'static str,
    headers: &'static str,
    body: &'static str,
}

const BASE: Case = Case {
    name: "base",
    node: 0,
    method: "POST",
    path: "/post/x?y=1",
    key: API_KEY,
    headers: "Tarragonferry-Deadline-Remaining: 4000\r\n",
    body: "body",
};

/// Requests that are the same as the first one.
const SAME: [Case; 4] = [
    Case { name: "another-attempt", ..BASE },
    Case { name: "another-key", key: OTHER_KEY, ..BASE },
    Case { name: "another-instance", node: 1, ..BASE },
    Case {
        name: "other-headers",
        headers: "Tarragonferry-Deadline-Remaining: 3000\r\nTraceparent: 00-1-2-01\r\n",
        ..BASE
    },
];

/// Requests that are neither the same as the first one nor as each other.
const OTHER: [Case; 7] = [
    Case { name: "another-workspace", key: STRANGER_KEY, ..BASE },
    Case { name: "another-query", path: "/post/x?y=2", ..BASE },
    Case { name: "no-query", path: "/post/x", ..BASE },
    Case { name: "another-route", path: "/get/x?y=1", ..BASE },
    Case { name: "another-method", method: "PUT", ..BASE },
    Case { name: "another-body", body: "bodY", ..BASE },
    Case { name: "empty-body", body: "", ..BASE },
];

async fn send(cluster: &Cluster, case: &Case) -> String {
    let Case { name, method, path, key, headers, body, .. } = case;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nTarragonferry-Attempt-Id: {name}\r\n\
         Api-Key: {key}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(cluster.nodes[case.node].front(), request.as_bytes()).await
}

#[test]
fn digest_in_the_log_is_that_of_the_request_and_not_of_its_attempt() {
    with_cluster("digests", 2, async |cluster| {
        let mut state = desired_state(2, false);
        state["Tenants"] = json!([
            { "Name": WORKSPACE, "ApiKeys": [API_KEY, OTHER_KEY] },
            { "Name": "stranger", "ApiKeys": [STRANGER_KEY] },
        ]);
        cluster.store.put("config", "main", state);
        let is_known = async {
            for node in 0..cluster.nodes.len() {
                let probe = Case { name: "probe", node, key: STRANGER_KEY, body: "probe", ..BASE };
                while !send(&cluster, &probe).await.starts_with("HTTP/1.1 200") {
                    sleep(Duration::from_millis(20)).await;
                }
            }
        };
        timeout(TIMEOUT, is_known).await.expect("the keys are known");

        let mut digests = Vec::new();
        for case in [BASE].iter().chain(&SAME).chain(&OTHER) {
            let response = send(&cluster, case).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{}: {response}", case.name);
            digests.push(logged_digest(&cluster.nodes[case.node], case.name).await);
        }
        let base = digests[0].clone();
        assert!(base.len() == 32 && base.bytes().all(|it| it.is_ascii_hexdigit()), "{base}");
        for (case, digest) in SAME.iter().zip(&digests[1..]) {
            assert_eq!(*digest, base, "{}", case.name);
        }
        // The last of those that are the same stands for the first one.
        let mut other = digests.split_off(SAME.len());
        other.sort();
        other.dedup();
        assert_eq!(other.len(), 1 + OTHER.len(), "{other:?}");
    });
}
