//! Endpoints that answer with the status of a refusal, whether or not they have run the request.

use std::rc::Rc;
use std::time::Duration;

use ferry_soak::config::Route;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::harness::{exchange, head, replace_pool, with_cluster};

const STATUSES: [u16; 5] = [408, 421, 429, 500, 503];
/// An interim head before an answer changes nothing.
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const SEAL: &str = "tarragonferry-response-seal";
const RETRY_AFTER: &str = "retry-after";
/// Time after which the endpoint of a case is used again.
const PAUSE: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy)]
struct Case {
    status: u16,
    is_confirmed: bool,
    has_interim: bool,
}

impl Case {
    fn all() -> impl Iterator<Item = Case> {
        let confirmed = |status| [true, false].map(|is_confirmed| (status, is_confirmed));
        let all = STATUSES.into_iter().flat_map(confirmed);
        all.map(|(status, is_confirmed)| Case { status, is_confirmed, has_interim: status != 429 })
    }

    fn answer(&self, attempt: &str) -> String {
        let Case { status, is_confirmed, has_interim } = *self;
        let interim = if has_interim { INTERIM } else { "" };
        let confirmed = if is_confirmed { "Tarragonferry-Not-Executed: 1\r\n" } else { "" };
        format!(
            "{interim}HTTP/1.1 {status} X\r\nTarragonferry-Attempt-Id: {attempt}\r\n{SEAL}: s\r\n\
             {confirmed}{RETRY_AFTER}: 0.1\r\nContent-Length: 4\r\n\r\nbody"
        )
    }

    /// Returns the status that the caller gets.
    fn expected(&self, route: Route) -> u16 {
        match self.status {
            _ if self.is_confirmed => 503,
            // Another endpoint has the address, and the one that was called gets nothing.
            421 => 503,
            500 => 500,
            status if 1 < route.max_runs() => status,
            _ => 502,
        }
    }
}

async fn serve(listener: Rc<TcpListener>, case: Case) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
        spawn_local(async move {
            let mut buffer = [0; 4096];
            while let Ok(len @ 1..) = stream.read(&mut buffer).await {
                let text = String::from_utf8_lossy(&buffer[..len]).to_lowercase();
                let name = "tarragonferry-attempt-id: ";
                let attempt = text.split(name).nth(1).and_then(|it| it.lines().next());
                let answer = case.answer(attempt.unwrap_or_default());
                // Fails if the gateway has closed the connection.
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        });
    }
}

/// Guards against callers that send a request again which has run, because the status of its endpoint
/// promises that it has not.
#[test]
fn status_of_an_endpoint_that_has_run_a_request_is_no_promise() {
    for route in [Route::Post, Route::Once, Route::Get, Route::Stream] {
        let service = if route.is_stream() { "engine" } else { "plain" };
        let name: &'static str = route.into();
        with_cluster(&format!("refusals-{name}"), 1, async |cluster| {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            replace_pool(&cluster, service, &listener).await;
            // Another process might take the port if it were bound for each case.
            let listener = Rc::new(listener);
            let mut failed = Vec::new();
            for (number, case) in Case::all().enumerate() {
                let endpoint = spawn_local(serve(listener.clone(), case));
                let attempt = format!("{name}-{number}");
                cluster.checker.record_sent(&attempt, route, b"body");
                let head = head("POST", &route.path(), &attempt);
                let request = format!(
                    "{head}Tarragonferry-Pieces: 1,1\r\nTarragonferry-Piece-Key: k\r\n\
                     Connection: close\r\nContent-Length: 4\r\n\r\nbody"
                );
                let response = exchange(cluster.nodes[0].front(), request.as_bytes()).await;
                let expected = case.expected(route);
                let text = response.to_lowercase();
                let is_forwarded = expected == case.status && !case.is_confirmed;
                let is_right = response.starts_with(&format!("HTTP/1.1 {expected}"))
                    && text.contains(SEAL) == is_forwarded
                    // A refusal has a time of its own; what is in doubt has none.
                    && (expected != 502 || !text.contains(RETRY_AFTER));
                if !is_right {
                    failed.push(format!("{case:?}, {expected} expected: {response}"));
                }
                endpoint.abort();
                sleep(PAUSE).await;
            }
            assert!(failed.is_empty(), "{name}: {failed:#?}");
            let metrics = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
            let metrics = exchange(cluster.nodes[0].ready(), metrics).await;
            let n_doubtful = Case::all().filter(|it| it.expected(route) == 502).count();
            let line = format!("ferry_refusals_unconfirmed_total {n_doubtful}");
            assert!(metrics.lines().any(|it| it.trim() == line), "{name}: {line} is missing");
        });
    }
}
