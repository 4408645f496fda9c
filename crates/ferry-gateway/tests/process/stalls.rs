//! A gateway that stands still for a while, and goes on.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_soak::checker::Checker;
use ferry_soak::cluster::Signal;
use ferry_soak::config::Route;
use ferry_soak::endpoint::{Behaviour, N_EVENTS, Pool, event_text, response_body};
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::harness::{TIMEOUT, head, with_cluster};

/// Time for which the gateway stands still; its endpoints go on.
const STALL: Duration = Duration::from_secs(2);

/// Sends a request, and returns everything up to the end of its response.
async fn send(front: SocketAddr, checker: &Checker, route: Route, attempt: &str) -> String {
    checker.record_sent(attempt, route, b"body");
    let method = if route == Route::Get { "GET" } else { "POST" };
    let head = head(method, &route.path(), attempt);
    let pieces = match route.is_stream() {
        true => "Tarragonferry-Pieces: 1,1\r\nTarragonferry-Piece-Key: k\r\n",
        false => "",
    };
    let request = format!("{head}{pieces}Connection: close\r\nContent-Length: 4\r\n\r\nbody");
    let mut stream = TcpStream::connect(front).await.expect("the gateway listens");
    stream.write_all(request.as_bytes()).await.expect("the request is written");
    let mut bytes = Vec::new();
    let read = timeout(TIMEOUT, stream.read_to_end(&mut bytes)).await;
    if let Err(error) = read.expect("the connection ends") {
        bytes.extend_from_slice(error.to_string().as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn is_whole(response: &str, route: Route, attempt: &str) -> bool {
    let has_event = |it| response.contains(&event_text(attempt, it, "v1"));
    response.starts_with("HTTP/1.1 200")
        && match route.is_stream() {
            true => (1..=N_EVENTS).all(has_event) && response.ends_with("\r\n0\r\n\r\n"),
            false => response.ends_with(&response_body(attempt, b"body")),
        }
}

#[test]
fn stall_of_the_process_ends_no_answer_of_a_sound_endpoint() {
    /// Requests of each kind, which are in different phases when the process stops.
    const AGES_MS: [u64; 8] = [20, 60, 120, 200, 300, 500, 700, 1_000];
    with_cluster("stall", 1, async |mut cluster| {
        for endpoint in &cluster.endpoints {
            let factor = match endpoint.pool {
                Pool::Plain => 12,
                Pool::Engine => 8,
                Pool::First | Pool::Second => 1,
            };
            endpoint.behaviour.set(Behaviour::Slow(factor));
        }
        // Without a budget for repeats, a call that is given up ends its answer.
        let settings = cluster.nodes[0].settings().to_owned();
        let text = std::fs::read_to_string(&settings).expect("the settings are readable");
        let text = text.replace("BudgetRatio=0.2", "BudgetRatio=0");
        let text = text.replace("BudgetExtra=52", "BudgetExtra=0");
        std::fs::write(&settings, text).expect("the settings are written");
        cluster.nodes[0].signal(Signal::HangUp);
        // Enough for the gateway to know all endpoints.
        sleep(Duration::from_millis(500)).await;
        let routes = [Route::Get, Route::Post, Route::Stream, Route::Once];
        let requests: Vec<(u64, Route, String)> = AGES_MS
            .iter()
            .flat_map(|age| routes.map(|it| (*age, it, format!("{it:?}-{age}"))))
            .collect();
        let last = AGES_MS.iter().max().copied().unwrap_or_default();
        let (front, checker) = (cluster.nodes[0].front(), cluster.checker.clone());
        let responses = join_all(requests.iter().map(async |(age, route, attempt)| {
            sleep(Duration::from_millis(last - age)).await;
            send(front, &checker, *route, attempt).await
        }));
        let (responses, ()) = tokio::join!(responses, async {
            sleep(Duration::from_millis(last)).await;
            cluster.nodes[0].signal(Signal::Stop);
            sleep(STALL).await;
            cluster.nodes[0].signal(Signal::Continue);
        });
        let broken: Vec<String> = requests
            .iter()
            .zip(&responses)
            .filter(|((_, route, attempt), it)| !is_whole(it, *route, attempt))
            .map(|((_, _, attempt), it)| format!("{attempt}: {it}"))
            .collect();
        let n_runs: usize = requests.iter().map(|it| cluster.checker.runs(&it.2).len()).sum();
        assert!(broken.is_empty(), "{} answers are not whole: {broken:#?}", broken.len());
        assert_eq!(n_runs, requests.len(), "runs");
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}
