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
use tokio::time::{Instant, sleep};

use crate::checker::{Checker, Outcome};
use crate::config::{API_KEY, DEADLINE_MS, HOST, Route};
use crate::crash::{Cause, Prompts};
use crate::endpoint::{LEAVING, N_EVENTS, event_text, response_body};

/// Time limit for opening a connection, and for a lookup in the directory.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after the deadline for which a caller still waits.
const GRACE: Duration = Duration::from_millis(600);

/// Time for which a caller looks for a gateway to take up its stream, and the pause between two tries.
const GATEWAY_TIMEOUT: Duration = Duration::from_secs(3);
const GATEWAY_INTERVAL: Duration = Duration::from_millis(50);

/// How often a refused caller comes again, and the pause before that.
const N_RETRIES: usize = 2;
const RETRY_PAUSE: Duration = Duration::from_millis(400);

type Sender = SendRequest<Full<Bytes>>;

/// Numbers of items that requests ask for in turn; some omit a stage.
const ITEMS: [[usize; 2]; 5] = [[3, 5], [3, 5], [0, 5], [3, 5], [3, 0]];

/// A caller that sends one request at a time.
pub struct Caller {
    rng: Pcg64Mcg,
    name: String,
    directories: Vec<SocketAddr>,
    checker: Rc<Checker>,
    /// Open connection to reuse for the next request.
    connection: Option<(SocketAddr, Sender)>,
    prompts: Prompts,
    n_sent: u64,
}

impl Caller {
    pub fn new(
        name: String,
        directories: Vec<SocketAddr>,
        checker: Rc<Checker>,
        rng: Pcg64Mcg,
        prompts: Prompts,
    ) -> Caller {
        Caller { rng, name, directories, checker, connection: None, prompts, n_sent: 0 }
    }

    /// Sends a request of its own.
    pub async fn send(&mut self, route: Route) {
        let body = format!("body of {}-{}", self.name, self.n_sent + 1);
        let prompt = self.prompts.draw();
        self.send_body(route, &body, prompt).await;
    }

    /// Sends a request over a new connection, which may lead to another gateway.
    pub async fn send_elsewhere(&mut self, route: Route, body: &str, prompt: &str) {
        self.connection = None;
        self.send_body(route, body, prompt.to_owned()).await;
    }

    /// Sends a request and records its outcome; a resumable stream that breaks off is taken up.
    async fn send_body(&mut self, route: Route, body: &str, prompt: String) {
        self.n_sent += 1;
        let attempt = format!("{}-{}", self.name, self.n_sent);
        let items = ITEMS[self.n_sent as usize % ITEMS.len()];
        let mut stream = Stream { prompt, items, ..Stream::default() };
        self.try_send(route, &attempt, body, &mut stream).await;
        if route == Route::Stream && stream.is_broken() {
            self.checker.count_take_up();
            stream.first_attempt = Some(attempt.clone());
            if self.take_up(route, &attempt, body, &mut stream).await == Outcome::Success {
                self.checker.count_continued();
            }
        }
    }

    /// Takes a stream up, and again if that was refused or its gateway was killed as well.
    async fn take_up(
        &mut self,
        route: Route,
        first: &str,
        body: &str,
        stream: &mut Stream,
    ) -> Outcome {
        let mut outcome = Outcome::Disconnected;
        for number in 0..=N_RETRIES {
            if 0 < number {
                sleep(RETRY_PAUSE).await;
            }
            self.wait_for_gateway().await;
            outcome = self.try_send(route, &format!("{first}-again-{number}"), body, stream).await;
            match outcome {
                Outcome::Success | Outcome::Failed(_) => break,
                Outcome::Refused(_) | Outcome::Disconnected => (),
            }
        }
        outcome
    }

    /// Waits until a gateway accepts a connection, as all of them may have been killed.
    async fn wait_for_gateway(&mut self) {
        let until = Instant::now() + GATEWAY_TIMEOUT;
        while self.connection.is_none() && Instant::now() < until {
            self.connection = self.connection().await;
            if self.connection.is_none() {
                sleep(GATEWAY_INTERVAL).await;
            }
        }
    }

    async fn try_send(
        &mut self,
        route: Route,
        attempt: &str,
        body: &str,
        stream: &mut Stream,
    ) -> Outcome {
        self.checker.record_sent(attempt, route, body.as_bytes());
        self.checker.record_items(attempt, stream.items);
        let limit = Duration::from_millis(DEADLINE_MS) + GRACE;
        let exchange = self.exchange(route, attempt, body, stream);
        let outcome = match tokio::time::timeout(limit, exchange).await {
            Ok(Some(outcome)) => outcome,
            Ok(None) => Outcome::Disconnected,
            Err(_) => {
                self.connection = None;
                Outcome::Disconnected
            }
        };
        self.checker.record_outcome(attempt, outcome.clone());
        outcome
    }

    async fn exchange(
        &mut self,
        route: Route,
        attempt: &str,
        body: &str,
        stream: &mut Stream,
    ) -> Option<Outcome> {
        let (address, mut sender) = self.connection().await?;
        let cause = Cause::of(route, &stream.prompt, body.as_bytes());
        self.checker.record_gateway(attempt, address, cause);
        let request = request(route, attempt, body, stream)?;
        self.checker.record_node(attempt, &address.ip().to_string());
        let response = sender.send_request(request).await.ok()?;
        if response.headers().contains_key(LEAVING) {
            self.checker.record_leaving(attempt);
        }
        let is_closing = response.headers().get(http::header::CONNECTION).is_some();
        let outcome = self.check(route, attempt, body, response, stream).await;
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

    /// Reads a response and checks that it belongs to the attempt, and continues the stream.
    async fn check(
        &self,
        route: Route,
        attempt: &str,
        body: &str,
        response: Response<Incoming>,
        stream: &mut Stream,
    ) -> Option<Outcome> {
        let status = response.status();
        let is_sealed = response.headers().contains_key("tarragonferry-response-seal");
        let (bytes, is_whole) = read(response.into_body()).await;
        let text = String::from_utf8_lossy(&bytes);
        if !status.is_success() {
            let code = status.as_u16();
            let outcome = if is_sealed { Outcome::Failed(code) } else { Outcome::Refused(code) };
            return is_whole.then_some(outcome);
        }
        let is_right = match route.is_stream() {
            true => stream.add(attempt, &text, is_whole && !self.checker.is_cut(attempt)),
            false => !is_whole || text == response_body(attempt, body.as_bytes()),
        };
        if !is_sealed || !is_right {
            self.checker.add_violation(format!(
                "{attempt} got a response that is not its own: {text:?} after {stream:?}"
            ));
        }
        let has_all = !route.is_stream() || stream.n_events == N_EVENTS;
        (is_whole && has_all).then_some(Outcome::Success)
    }
}

/// What a caller has received of a stream, in one attempt or several.
#[derive(Debug, Default)]
struct Stream {
    prompt: String,
    /// Numbers of items of its stages.
    items: [usize; 2],
    n_events: u64,
    /// Build of the engine that made the events.
    build: String,
    /// The attempt that brought the first event, once the stream is taken up.
    first_attempt: Option<String>,
}

impl Stream {
    /// Adds what an attempt received; returns whether it continues what the caller has.
    fn add(&mut self, attempt: &str, text: &str, is_whole: bool) -> bool {
        let mut rest = text;
        while let Some((event, next)) = rest.split_once("\n\n") {
            let build = event.rsplit(' ').next().unwrap_or_default();
            if self.n_events == 0 {
                build.clone_into(&mut self.build);
            }
            let expected = event_text(attempt, self.n_events + 1, &self.build);
            if format!("{event}\n\n") != expected {
                return false;
            }
            self.n_events += 1;
            rest = next;
        }
        !is_whole || (rest.is_empty() && self.n_events == N_EVENTS)
    }

    /// Whether only a part of its events arrived.
    fn is_broken(&self) -> bool {
        0 < self.n_events && self.n_events < N_EVENTS
    }
}

/// Reads a body as far as it arrives; returns whether it is whole.
async fn read(mut body: Incoming) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => bytes.extend_from_slice(&data),
            Ok(Err(_)) => (),
            Err(_) => return (bytes, false),
        }
    }
    (bytes, true)
}

fn request(
    route: Route,
    attempt: &str,
    body: &str,
    stream: &Stream,
) -> Option<Request<Full<Bytes>>> {
    let [first, second] = stream.items;
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(route.path())
        .header(http::header::HOST, HOST)
        .header(headers::ATTEMPT_ID, attempt)
        .header("tarragonferry-deadline-remaining", DEADLINE_MS)
        .header("tarragonferry-pieces", format!("{first},{second}"))
        .header("tarragonferry-piece-key", "input")
        .header("tarragonferry-prompt-prefix", &stream.prompt)
        // Only the gateway may set this header; it must drop a caller's value.
        .header("tarragonferry-tenant", "forged")
        .header("api-key", API_KEY);
    if let Some(first) = &stream.first_attempt {
        request = request.header("last-event-id", stream.n_events).header("resumes", first);
    }
    request.body(Full::new(Bytes::from(body.to_owned()))).ok()
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
