//! Endpoints that announce in their responses that they leave.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_soak::callers::Caller;
use ferry_soak::checker::Checker;
use ferry_soak::config::{Route, desired_state};
use ferry_soak::crash::Prompts;
use ferry_soak::endpoint::Pool;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep, timeout};

use crate::harness::{TIMEOUT, exchange, head, with_cluster};

/// Time after an announcement from which on nothing may reach the endpoint.
const DRAIN_TIME: Duration = Duration::from_secs(2);

#[test]
fn endpoint_that_announces_its_leaving_gets_no_new_requests_nor_items() {
    struct Case {
        pool: Pool,
        route: Route,
    }
    let cases = [
        Case { pool: Pool::Plain, route: Route::Get },
        Case { pool: Pool::Engine, route: Route::Stream },
        Case { pool: Pool::First, route: Route::Stream },
        Case { pool: Pool::Second, route: Route::Stream },
    ];
    with_cluster("leaving", 1, async |cluster| {
        let checker = cluster.checker.clone();
        let prompts = Prompts::new(1, &cluster.has_crashes);
        let rng = Pcg64Mcg::seed_from_u64(1);
        let directories = cluster.directories();
        let mut caller = Caller::new("caller".to_owned(), directories, checker, rng, prompts);
        for Case { pool, route } in cases {
            let endpoint = cluster.endpoints.iter().find(|it| it.pool == pool);
            let endpoint = endpoint.expect("the pool has an endpoint");
            endpoint.is_leaving.set(true);
            let n_calls =
                || cluster.checker.n_items(&endpoint.id) + cluster.checker.n_runs(&endpoint.id);
            let start = Instant::now();
            let before = n_calls();
            while start.elapsed() < DRAIN_TIME {
                caller.send(route).await;
            }
            assert!(before < n_calls(), "{} was never asked", endpoint.id);
            let before = n_calls();
            let until = Instant::now() + DRAIN_TIME;
            while Instant::now() < until {
                caller.send(route).await;
                sleep(Duration::from_millis(5)).await;
            }
            let n_late = n_calls() - before;
            assert_eq!(
                n_late, 0,
                "{} got requests or items after it announced its leaving",
                endpoint.id
            );
        }
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}

/// Sends a request over a connection of its own, and returns the response.
async fn send(front: SocketAddr, checker: &Checker, route: Route, attempt: &str) -> String {
    checker.record_sent(attempt, route, b"body");
    let head = head("POST", &route.path(), attempt);
    let request = format!(
        "{head}Tarragonferry-Pieces: 1,1\r\nTarragonferry-Piece-Key: k\r\nConnection: close\r\n\
         Content-Length: 4\r\n\r\nbody"
    );
    exchange(front, request.as_bytes()).await
}

#[test]
fn announcement_to_one_gateway_binds_the_one_that_sends_its_items() {
    with_cluster("leaving_elsewhere", 2, async |mut cluster| {
        let checker = cluster.checker.clone();
        // An endpoint of a stage answers requests of a plain route too.
        cluster.version += 1;
        let mut state = desired_state(cluster.version, true);
        for route in state["Routes"].as_array_mut().expect("there are routes") {
            if route["Name"] == "get" {
                route["Service"] = "first".into();
            }
        }
        cluster.store.put("config", "main", state);
        sleep(Duration::from_millis(2_500)).await;
        let endpoints = cluster.endpoints.iter().filter(|it| it.pool == Pool::First);
        for (number, (node, endpoint)) in cluster.nodes.iter().zip(endpoints).enumerate() {
            endpoint.is_leaving.set(true);
            let mut n_sent = 0;
            let announced = async {
                loop {
                    n_sent += 1;
                    let attempt = format!("get-{number}-{n_sent}");
                    let response = send(node.front(), &checker, Route::Get, &attempt).await;
                    if response.to_lowercase().contains("server-leaving: 1") {
                        break;
                    }
                }
            };
            timeout(TIMEOUT, announced).await.expect("the endpoint announces that it leaves");
            sleep(DRAIN_TIME).await;
            let before = checker.n_items(&endpoint.id) + checker.n_runs(&endpoint.id);
            let (mut n_served, n_streams) = (0, 30);
            for stream in 0..n_streams {
                let attempt = format!("stream-{number}-{stream}");
                let response = send(node.front(), &checker, Route::Stream, &attempt).await;
                n_served += usize::from(response.starts_with("HTTP/1.1 200"));
            }
            let n_late = checker.n_items(&endpoint.id) + checker.n_runs(&endpoint.id) - before;
            assert_eq!(n_late, 0, "gateway {number}: {} got items", endpoint.id);
            assert_eq!(n_served, n_streams, "gateway {number}");
        }
        assert_eq!(checker.violations(), Vec::<String>::new());
    });
}
