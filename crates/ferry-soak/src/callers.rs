//! Callers: they ask the directory, keep connections, send requests and check the answers.

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
use crate::endpoint::{N_EVENTS, answer_body};

/// Time for a connection, and for an answer of the directory.
const CONNECT: Duration = Duration::from_millis(1_000);
/// Time after its deadline at which a caller gives up.
const PATIENCE: Duration = Duration::from_millis(600);

type Sender = SendRequest<Full<Bytes>>;

/// One caller that sends a request after the other.
pub struct Caller {
    rng: Pcg64Mcg,
    name: String,
    directories: Vec<SocketAddr>,
    checker: Rc<Checker>,
    kept: Option<(SocketAddr, Sender)>,
    n_sent: u64,
}

impl Caller {
    pub fn new(
        name: String,
        directories: Vec<SocketAddr>,
        checker: Rc<Checker>,
        rng: Pcg64Mcg,
    ) -> Caller {
        Caller { rng, name, directories, checker, kept: None, n_sent: 0 }
    }

    /// Sends one request and notes what came of it.
    pub async fn send(&mut self, route: Route) {
        self.n_sent += 1;
        let attempt = format!("{}-{}", self.name, self.n_sent);
        let body = format!("body of {attempt}");
        self.checker.record_sent(&attempt, route, body.as_bytes());
        let limit = Duration::from_millis(DEADLINE_MS) + PATIENCE;
        let seen = match tokio::time::timeout(limit, self.exchange(route, &attempt, &body)).await {
            Ok(Some(seen)) => seen,
            Ok(None) => Outcome::Disconnected,
            Err(_) => {
                self.kept = None;
                Outcome::Disconnected
            }
        };
        self.checker.record_outcome(&attempt, seen);
    }

    async fn exchange(&mut self, route: Route, attempt: &str, body: &str) -> Option<Outcome> {
        let (address, mut sender) = self.connection().await?;
        let request = request(route, attempt, body)?;
        let response = sender.send_request(request).await.ok()?;
        let closes = response.headers().get(http::header::CONNECTION).is_some();
        let seen = self.check(route, attempt, body, response).await;
        if !closes && seen.is_some() {
            self.kept = Some((address, sender));
        }
        seen
    }

    /// Returns a kept connection, or a new one to an address that the directory names.
    async fn connection(&mut self) -> Option<(SocketAddr, Sender)> {
        if let Some((address, mut sender)) = self.kept.take()
            && sender.ready().await.is_ok()
        {
            return Some((address, sender));
        }
        let first = self.rng.random_range(0..self.directories.len());
        for step in 0..self.directories.len() {
            let asked = self.directories[(first + step) % self.directories.len()];
            let Some(addresses) = ask(asked).await else { continue };
            if addresses.is_empty() {
                self.checker.add_violation(format!("the directory at {asked} named no address"));
                continue;
            }
            let address = addresses[self.rng.random_range(0..addresses.len())];
            if let Some(sender) = connect(address).await {
                return Some((address, sender));
            }
        }
        None
    }

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
            false => answer_body(attempt, body.as_bytes()),
        };
        if !is_sealed || bytes != expected.as_bytes() {
            let text = String::from_utf8_lossy(&bytes);
            self.checker
                .add_violation(format!("{attempt} got a success that is not its own: {text:?}"));
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
        // Only the system sets this; one that a caller sends is dropped.
        .header("tarragonferry-tenant", "forged")
        .header("api-key", API_KEY)
        .body(Full::new(Bytes::from(body.to_owned())))
        .ok()
}

async fn ask(address: SocketAddr) -> Option<Vec<SocketAddr>> {
    let answer = async {
        let mut sender = connect(address).await?;
        let request = Request::builder()
            .uri(format!("{}?Name={HOST}&Zone=zone-0", directory::RESOLVE_PATH))
            .header(http::header::HOST, HOST)
            .body(Full::default())
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let answer: Value = serde_json::from_slice(&body).ok()?;
        let addresses = answer["Addresses"].as_array()?;
        Some(addresses.iter().filter_map(|it| it.as_str()?.parse().ok()).collect())
    };
    tokio::time::timeout(CONNECT, answer).await.ok()?
}

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await.ok()?.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // Errors of the connection come back through the request in progress.
    spawn_local(async move {
        let _ = connection.await;
    });
    Some(sender)
}
