//! A store that comes back from an older copy.

use std::time::Duration;

use ferry_soak::checker::Checker;
use ferry_soak::cluster::Cluster;
use ferry_soak::config::{Route, desired_state};
use ferry_soak::endpoint::Pool;
use ferry_soak::store::StoreBehaviour;
use tokio::time::sleep;

use crate::harness::{exchange, head, with_cluster};

/// Time from which on what the store says must be followed.
const DRAIN_TIME: Duration = Duration::from_secs(2);
const INSTANCES: &str = "ferry-instances";

/// Sends requests to each gateway; returns how many were served.
async fn n_served(cluster: &Cluster, checker: &Checker, name: &str, n_requests: usize) -> usize {
    let mut n_served = 0;
    for (number, node) in cluster.nodes.iter().enumerate() {
        for request in 0..n_requests {
            let attempt = format!("{name}-{number}-{request}");
            checker.record_sent(&attempt, Route::Get, b"body");
            let head = head("POST", &Route::Get.path(), &attempt);
            let text = format!("{head}Connection: close\r\nContent-Length: 4\r\n\r\nbody");
            let response = exchange(node.front(), text.as_bytes()).await;
            n_served += usize::from(response.starts_with("HTTP/1.1 200"));
        }
    }
    n_served
}

fn set_state(cluster: &Cluster, id: &str, state: &str) {
    let endpoint = cluster.endpoints.iter().find(|it| it.id == id).expect("it exists");
    cluster.store.put("servers", id, endpoint.entry("zone-0", state));
}

#[test]
fn entries_count_after_the_store_came_back_from_an_older_copy() {
    with_cluster("store_copy", 2, async |mut cluster| {
        let checker = cluster.checker.clone();
        let plain = cluster.endpoints.iter().filter(|it| it.pool == Pool::Plain);
        let plain: Vec<String> = plain.map(|it| it.id.clone()).collect();
        let registered = cluster.store.names(INSTANCES);
        assert_eq!(registered.len(), 2);
        // The copy is older than the registration of one of them.
        cluster.store.remove(INSTANCES, &registered[1]);
        cluster.store.take_copy();
        for _ in 0..40 {
            cluster.version += 1;
            let state = desired_state(cluster.version, true);
            cluster.store.put("config", "main", state);
        }
        sleep(DRAIN_TIME).await;
        cluster.store.set_behaviour(StoreBehaviour::Disconnects);
        sleep(Duration::from_secs(1)).await;
        cluster.store.restore();
        cluster.store.set_behaviour(StoreBehaviour::Healthy);
        sleep(DRAIN_TIME * 2).await;
        assert_eq!(cluster.store.names(INSTANCES), registered, "instances register again");
        set_state(&cluster, &plain[0], "draining");
        sleep(DRAIN_TIME).await;
        let before = checker.n_runs(&plain[0]);
        assert_eq!(n_served(&cluster, &checker, "draining", 20).await, 40);
        assert_eq!(checker.n_runs(&plain[0]), before, "{} got requests", plain[0]);
        set_state(&cluster, &plain[0], "ready");
        plain[1..].iter().for_each(|it| set_state(&cluster, it, "draining"));
        sleep(DRAIN_TIME).await;
        assert_eq!(n_served(&cluster, &checker, "ready again", 20).await, 40);
        assert_eq!(checker.n_runs(&plain[0]), before + 40);
        assert_eq!(checker.violations(), Vec::<String>::new());
    });
}
