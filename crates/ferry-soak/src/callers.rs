//! Simulated callers, which look up gateways, reuse connections and check the responses.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ferry_platform::{directory, headers};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::checker::{Checker, Outcome};
use crate::config::{API_KEY, DEADLINE_MS, HOST, Route};
use crate::endpoint::{N_EVENTS, response_body};

/// Time limit for opening a connection, and for a lookup in the directory.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after the deadline for which a caller still waits.
const GRACE: Duration = Duration::from_millis(600);

type Sender = SendRequest<Full<Bytes>>;

/// A caller that sends one request at a time.
pub struct Caller {
    rng: Pcg64Mcg,
    name: String,
    directories: Vec<SocketAddr>,
    checker: Rc<Checker>,
    /// Open connection to reuse for the next request.
    connection: Option<(SocketAddr, Sender)>,
    n_sent: u64,
}

impl Caller {
    pub fn new(
        name: String,
        directories: Vec<SocketAddr>,
        checker: Rc<Checker>,
        rng: Pcg64Mcg,
    ) -> Caller {
        Caller { rng, name, directories, checker, connection: None, n_sent: 0 }
    }

    /// Sends a request and records its outcome.
    pub async fn send(&mut self, route: Route) {
        self.n_sent += 1;
        let attempt = format!("{}-{}", self.name, self.n_sent);
        let body = format!("body of {attempt}");
        self.checker.record_sent(&attempt, route, body.as_bytes());
        let limit = Duration::from_millis(DEADLINE_MS) + GRACE;
        let outcome = match tokio::time::timeout(limit, self.exchange(route, &attempt, &body)).await
        {
            Ok(Some(outcome)) => outcome,
            Ok(None) => Outcome::Disconnected,
            Err(_) => {
                self.connection = None;
                Outcome::Disconnected
            }
        };
        self.checker.record_outcome(&attempt, outcome);
    }

    async fn exchange(&mut self, route: Route, attempt: &str, body: &str) -> Option<Outcome> {
        let (address, mut sender) = self.connection().await?;
        let request = request(route, attempt, body)?;
        let response = sender.send_request(request).await.ok()?;
        let is_closing = response.headers().get(http::header::CONNECTION).is_some();
        let outcome = self.check(route, attempt, body, response).await;
        if !is_closing && outcome.is_some() {
            self.connection = Some((address, sender));
        }
        outcome
    }

    /// Returns the open connection, or opens one to an address from a directory.
    async fn connection(&mut self) -> Option<(SocketAddr, Sender)> {
        if let Some((address, mut sender)) = self.connection.take()
            && sender.ready().await.is_ok()
        {
            return Some((address, sender));
        }
        let first = self.rng.random_range(0..self.directories.len());
        for step in 0..self.directories.len() {
            let directory = self.directories[(first + step) % self.directories.len()];
            let Some(addresses) = resolve(directory).await else { continue };
            if addresses.is_empty() {
                self.checker
                    .add_violation(format!("the directory at {directory} returned no address"));
                continue;
            }
            let address = addresses[self.rng.random_range(0..addresses.len())];
            if let Some(sender) = connect(address).await {
                return Some((address, sender));
            }
        }
        None
    }

    /// Reads a response and checks that it belongs to the attempt.
    async fn check(
        &self,
        route: Route,
        attempt: &str,
        body: &str,
        response: Response<Incoming>,
    ) -> Option<Outcome> {
        let status = response.status();
        let is_sealed = response.headers().contains_key("tarragonferry-response-seal");
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        if !status.is_success() {
            let code = status.as_u16();
            return Some(if is_sealed { Outcome::Failed(code) } else { Outcome::Refused(code) });
        }
        let expected = match route.is_stream() {
            true => events(attempt),
            false => response_body(attempt, body.as_bytes()),
        };
        if !is_sealed || bytes != expected.as_bytes() {
            let text = String::from_utf8_lossy(&bytes);
            self.checker
                .add_violation(format!("{attempt} got a response that is not its own: {text:?}"));
        }
        Some(Outcome::Success)
    }
}

fn events(attempt: &str) -> String {
    (1..=N_EVENTS).map(|it| format!("id: {it}\ndata: {attempt} {it}\n\n")).collect()
}

fn request(route: Route, attempt: &str, body: &str) -> Option<Request<Full<Bytes>>> {
    Request::builder()
        .method(Method::POST)
        .uri(route.path())
        .header(http::header::HOST, HOST)
        .header(headers::ATTEMPT_ID, attempt)
        .header("tarragonferry-deadline-remaining", DEADLINE_MS)
        .header("tarragonferry-pieces", "3,5")
        .header("tarragonferry-piece-key", "input")
        .header("tarragonferry-prompt-prefix", "a1:100,b2:50,c3:10")
        // Only the gateway may set this header; it must drop a caller's value.
        .header("tarragonferry-tenant", "forged")
        .header("api-key", API_KEY)
        .body(Full::new(Bytes::from(body.to_owned())))
        .ok()
}

/// Looks up the addresses of gateways in a directory.
async fn resolve(address: SocketAddr) -> Option<Vec<SocketAddr>> {
    let lookup = async {
        let mut sender = connect(address).await?;
        let request = Request::builder()
            .uri(format!("{}?Name={HOST}&Zone=zone-0", directory::RESOLVE_PATH))
            .header(http::header::HOST, HOST)
            .body(Full::default())
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let reply: Value = serde_json::from_slice(&body).ok()?;
        let addresses = reply["Addresses"].as_array()?;
        Some(addresses.iter().filter_map(|it| it.as_str()?.parse().ok()).collect())
    };
    tokio::time::timeout(CONNECT_TIMEOUT, lookup).await.ok()?
}

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream =
        tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // The request in progress returns errors of the connection.
    spawn_local(async move {
        let _ = connection.await;
    });
    Some(sender)
}
