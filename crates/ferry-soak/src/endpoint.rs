//! Simulated endpoints: plain services, batch services and engines.

mod behaviour;
mod cache;
mod calls;
mod entry;
mod pause;
mod responses;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ferry_platform::headers;
use futures_util::stream;
use http::header::CONTENT_TYPE;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::checker::Checker;
use crate::config::WORKSPACE;
use crate::crash::{Crashes, PendingCrash};
use crate::rate_limit::RateLimit;
use crate::server::{Body, Disconnect, ListenerHandle, full_response, serve, without_framing};

use calls::CallGuard;
use responses::{crash_response, large_event, not_run};

pub use behaviour::Behaviour;
pub use pause::Pause;
pub use responses::{event_text, response_body};

/// Time to run a plain request.
const PLAIN_TIME: Duration = Duration::from_millis(15);
/// Time to run a batch.
const BATCH_TIME: Duration = Duration::from_millis(40);
/// Time to the first event of a stream.
const FIRST_EVENT: Duration = Duration::from_millis(40);
/// Time between the events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(15);
/// Path of the health check.
pub const HEALTH_PATH: &str = "/health";
/// Header by which an endpoint announces that it leaves.
pub const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Number of events in a stream.
pub const N_EVENTS: u64 = 8;
/// Number of events in a stream of large ones: more than a gateway and its sockets buffer.
pub const N_LARGE_EVENTS: u64 = 200;
/// Time between large events.
const LARGE_GAP: Duration = Duration::from_millis(2);

/// Pools of endpoints; the name is that of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Pool {
    Plain,
    Engine,
    First,
    Second,
}

#[derive(Debug)]
pub struct Endpoint {
    pub id: String,
    pub pool: Pool,
    pub behaviour: Cell<Behaviour>,
    /// Version of the endpoint's software, which its events contain.
    pub build: Cell<&'static str>,
    pub rate_limit: RateLimit,
    pub pause: Pause,
    /// Whether it announces in its responses that it leaves.
    pub is_leaving: Cell<bool>,
    /// Start of its process in Unix milliseconds, by its own clock.
    pub started: Cell<u64>,
    /// Number of its starts, counted from its number so that clocks differ.
    n_starts: Cell<usize>,
    pub crashes: Crashes,
    address: SocketAddr,
    pub checker: Rc<Checker>,
    n_results: Cell<u64>,
    n_calls: Cell<u32>,
    results: RefCell<Vec<String>>,
    /// Prompt parts that an engine has read, as callers name them.
    pub parts: RefCell<Vec<String>>,
}

impl Endpoint {
    pub fn new(
        pool: Pool,
        number: usize,
        address: SocketAddr,
        checker: &Rc<Checker>,
    ) -> Rc<Endpoint> {
        let name: &str = pool.into();
        Rc::new(Endpoint {
            id: format!("{name}-{number}"),
            build: Cell::new("v1"),
            rate_limit: RateLimit::default(),
            pause: Pause::default(),
            is_leaving: Cell::new(false),
            started: Cell::new(entry::start_time(number)),
            n_starts: Cell::new(number),
            crashes: Crashes::default(),
            pool,
            behaviour: Cell::new(Behaviour::Healthy),
            address,
            checker: checker.clone(),
            n_results: Cell::new(0),
            n_calls: Cell::new(0),
            results: RefCell::default(),
            parts: RefCell::default(),
        })
    }

    /// Listens at `listen`; gateways connect to the endpoint's address, where a proxy listens.
    pub async fn listen(
        self: &Rc<Endpoint>,
        listen: SocketAddr,
    ) -> std::io::Result<ListenerHandle> {
        let endpoint = self.clone();
        serve(listen, move |request| {
            let endpoint = endpoint.clone();
            async move { endpoint.respond(request).await }
        })
        .await
    }

    /// Discards all stage results, as a restart would.
    pub fn drop_results(&self) {
        for handle in self.results.borrow_mut().drain(..) {
            self.checker.remove_result(&handle);
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let expected = parts.headers.get("tarragonferry-expect-instance");
        if expected.is_some_and(|it| it.as_bytes() != self.id.as_bytes()) {
            return Some(full_response(StatusCode::MISDIRECTED_REQUEST, ""));
        }
        match self.rate_limit.record() {
            None => (),
            Some(Ok(())) => self.checker.count_limited(),
            Some(Err(text)) => self.checker.add_violation(format!("{} {text}", self.id)),
        }
        let attempt = parts.headers.get(headers::ATTEMPT_ID).and_then(|it| it.to_str().ok());
        let mut response = match self.apply_pause(attempt) {
            Some(refusal) => refusal,
            None => self.run(&parts, &body).await?,
        };
        self.rate_limit.add_header(response.headers_mut());
        if self.is_leaving.get() {
            response.headers_mut().insert(LEAVING, HeaderValue::from_static("1"));
        }
        Some(response)
    }

    async fn run(&self, parts: &http::request::Parts, body: &Bytes) -> Option<Response<Body>> {
        match parts.uri.path() {
            ferry_platform::items::RUN_PATH => self.run_items(body).await,
            ferry_platform::items::FREE_PATH => {
                let freed: Value = serde_json::from_slice(body).ok()?;
                let handles = freed["Handles"].as_array()?;
                handles
                    .iter()
                    .filter_map(Value::as_str)
                    .for_each(|it| self.checker.remove_result(it));
                Some(full_response(StatusCode::OK, ""))
            }
            ferry_platform::cache::LIST_PATH => self.list_cache().await,
            HEALTH_PATH => Some(self.health()),
            _ => self.run_request(parts, body).await,
        }
    }

    fn health(&self) -> Response<Body> {
        let status = match self.is_leaving.get() {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::OK,
        };
        let mut response = full_response(status, "");
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            response.headers_mut().insert("tarragonferry-instance-id", id);
        }
        response
    }

    async fn run_items(&self, body: &[u8]) -> Option<Response<Body>> {
        if self.behaviour.get() == Behaviour::Full || 2 < self.n_calls.get() {
            return Some(not_run(StatusCode::SERVICE_UNAVAILABLE));
        }
        let _guard = CallGuard::new(&self.n_calls);
        self.make_items(body).await
    }

    async fn make_items(&self, body: &[u8]) -> Option<Response<Body>> {
        tokio::time::sleep(self.time(BATCH_TIME)).await;
        let call: Value = serde_json::from_slice(body).ok()?;
        let made: Vec<Value> =
            call["Items"].as_array()?.iter().map(|it| self.make_item(it)).collect();
        self.apply_fault().await?;
        if let Some(status) = self.behaviour.get().error_status() {
            return Some(full_response(status, ""));
        }
        Some(full_response(StatusCode::OK, json!({ "Items": made }).to_string()))
    }

    fn make_item(&self, item: &Value) -> Value {
        let attempt = item["Id"].as_str().unwrap_or_default();
        let inputs = item["Inputs"].as_array();
        if inputs.is_some_and(Vec::is_empty) || (inputs.is_none() && item["Key"].is_null()) {
            self.checker.add_violation(format!("{}: an item of {attempt} has no input", self.id));
        }
        let n_inputs = inputs.map_or(0, Vec::len);
        self.checker.check_inputs(attempt, item["Stage"].as_u64(), n_inputs);
        let mut inputs = inputs.into_iter().flatten().filter_map(Value::as_str);
        if !inputs.all(|it| self.checker.has_result(it, attempt)) {
            return json!({ "Reason": "gone" });
        }
        self.checker.record_item(attempt, &self.id);
        self.checker.check_leaving_items(attempt, &self.id, self.started.get());
        self.n_results.set(self.n_results.get() + 1);
        let handle = format!("{}/{:x}", self.address, self.n_results.get());
        self.checker.add_result(&handle, attempt);
        self.results.borrow_mut().push(handle.clone());
        json!({ "Handle": handle })
    }

    async fn run_request(
        &self,
        parts: &http::request::Parts,
        body: &Bytes,
    ) -> Option<Response<Body>> {
        let header = |name: &str| parts.headers.get(name).and_then(|it| it.to_str().ok());
        let Some(attempt) = header(headers::ATTEMPT_ID.as_str()) else {
            return Some(not_run(StatusCode::BAD_REQUEST));
        };
        self.checker.record_reached(attempt, self.pool.into());
        let prompt = header("tarragonferry-prompt-prefix").unwrap_or_default();
        let cause = self.checker.cause(attempt, prompt, body);
        if let Some(cause) = cause {
            self.checker.record_arrival(attempt, cause);
        }
        let crash = cause.map(|it| self.crashes.pending(it));
        if self.behaviour.get() == Behaviour::Full {
            return Some(not_run(StatusCode::SERVICE_UNAVAILABLE));
        }
        if header("tarragonferry-tenant") != Some(WORKSPACE) || header("api-key").is_some() {
            self.checker.add_violation(format!(
                "{attempt} has the wrong workspace or its API key was forwarded"
            ));
        }
        if self.pool == Pool::Engine {
            let inputs = header("tarragonferry-inputs").unwrap_or_default();
            if inputs.is_empty() {
                self.checker.add_violation(format!("{attempt} has no stage results as inputs"));
            }
            self.checker.check_inputs(attempt, None, inputs.split(',').count());
            if !inputs.split(',').all(|it| self.checker.has_result(it, attempt)) {
                return Some(not_run(StatusCode::CONFLICT));
            }
            let mut read = self.parts.borrow_mut();
            for (id, _) in prompt.split(',').filter_map(|it| it.split_once(':')) {
                if read.iter().all(|it| it != id) {
                    read.push(id.to_owned());
                }
            }
        }
        let path = parts.uri.path_and_query().map_or("", |it| it.as_str());
        self.checker.record_run(attempt, &self.id, path, body);
        self.checker.check_leaving(attempt, &self.id, self.started.get());
        let from = header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        match self.pool {
            Pool::Engine => self.stream(attempt, from, crash).await,
            Pool::Plain | Pool::First | Pool::Second => self.plain(attempt, body, crash).await,
        }
    }

    async fn plain(
        &self,
        attempt: &str,
        body: &[u8],
        crash: Option<PendingCrash>,
    ) -> Option<Response<Body>> {
        self.run_head(PLAIN_TIME, crash.as_ref()).await;
        self.apply_fault().await?;
        let text = response_body(attempt, body);
        let mut response = match (self.behaviour.get().error_status(), crash) {
            (Some(status), _) => full_response(status, "failed"),
            (None, Some(crash)) => crash_response(text, crash),
            (None, None) => full_response(StatusCode::OK, text),
        };
        self.add_headers(&mut response, attempt);
        match self.behaviour.get() {
            Behaviour::Unframed => Some(without_framing(response)),
            _ => Some(response),
        }
    }

    async fn stream(
        &self,
        attempt: &str,
        from: u64,
        crash: Option<PendingCrash>,
    ) -> Option<Response<Body>> {
        self.run_head(FIRST_EVENT, crash.as_ref()).await;
        if self.behaviour.get() != Behaviour::Truncates {
            self.apply_fault().await?;
        }
        let behaviour = self.behaviour.get();
        if let Some(status) = behaviour.error_status() {
            let mut response = full_response(status, "failed");
            self.add_headers(&mut response, attempt);
            return Some(response);
        }
        let (gap, n_events) = match behaviour {
            Behaviour::Large => (LARGE_GAP, N_LARGE_EVENTS),
            _ => (self.time(EVENT_GAP), N_EVENTS),
        };
        let gap = gap * crash.as_ref().map_or(1, |it| it.slowness);
        let (attempt_id, build) = (attempt.to_owned(), self.build.get());
        let events = stream::unfold(from + 1, move |number| {
            let (attempt, crash) = (attempt_id.clone(), crash.clone());
            async move {
                // A stream that was taken up has fewer events, and crashes the engine nevertheless.
                let is_due = |it: &PendingCrash| it.is_due(number - from - 1) || n_events < number;
                if let Some(crash) = crash.filter(is_due) {
                    crash.crash().await;
                }
                if n_events < number {
                    return None;
                }
                tokio::time::sleep(gap).await;
                let event = event_text(&attempt, number, build);
                let chunk = match behaviour {
                    Behaviour::Truncates | Behaviour::EndsInEvent { .. } if number == from + 4 => {
                        Ok(Bytes::from(event[..8].to_owned()))
                    }
                    Behaviour::HeadOnly => Err(Disconnect),
                    Behaviour::Truncates if from + 4 < number => Err(Disconnect),
                    Behaviour::EndsInEvent { .. } if from + 4 < number => return None,
                    Behaviour::Large => Ok(Bytes::from(large_event(&event))),
                    _ => Ok(Bytes::from(event)),
                };
                Some((chunk, number + 1))
            }
        });
        let mut response = crate::server::stream_response(events);
        if behaviour != Behaviour::Untyped {
            let kind = HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert(CONTENT_TYPE, kind);
        }
        self.add_headers(&mut response, attempt);
        match behaviour {
            Behaviour::Unframed | Behaviour::EndsInEvent { is_chunked: false } => {
                Some(without_framing(response))
            }
            Behaviour::Healthy if self.crashes.is_unframed.get() => Some(without_framing(response)),
            _ => Some(response),
        }
    }

    /// Takes the time until the head of a response, in which the endpoint may crash.
    async fn run_head(&self, time: Duration, crash: Option<&PendingCrash>) {
        match crash {
            Some(crash) => crash.run_head(self.time(time)).await,
            None => tokio::time::sleep(self.time(time)).await,
        }
    }

    /// Applies behaviours that prevent a response; none closes the connection.
    async fn apply_fault(&self) -> Option<()> {
        match self.behaviour.get() {
            Behaviour::NeverResponds => std::future::pending().await,
            Behaviour::Disconnects | Behaviour::Truncates => None,
            Behaviour::Healthy
            | Behaviour::Full
            | Behaviour::Failing
            | Behaviour::Unavailable
            | Behaviour::WrongAttempt
            | Behaviour::HeadOnly
            | Behaviour::EndsInEvent { .. }
            | Behaviour::Unframed
            | Behaviour::Untyped
            | Behaviour::Large
            | Behaviour::Slow(_) => Some(()),
        }
    }

    fn add_headers(&self, response: &mut Response<Body>, attempt: &str) {
        let echo = if self.behaviour.get() == Behaviour::WrongAttempt {
            "0123456789abcdef"
        } else {
            attempt
        };
        let headers = response.headers_mut();
        if let Ok(echo) = HeaderValue::from_str(echo) {
            headers.insert(headers::ATTEMPT_ID, echo);
        }
        let seal = HeaderValue::from_static("sealed");
        headers.insert("tarragonferry-response-seal", seal);
    }

    fn time(&self, normal: Duration) -> Duration {
        match self.behaviour.get() {
            Behaviour::Slow(factor) => normal * factor,
            _ => normal,
        }
    }
}
