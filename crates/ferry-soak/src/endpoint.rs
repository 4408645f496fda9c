//! Stands in for runners: plain services, batch services and engines.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ferry_platform::headers;
use futures_util::stream;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::config::WORKSPACE;
use crate::server::{Body, Cut, Served, serve, whole};
use crate::witness::Witness;

/// Time of a plain request, of a batch call, to the first event and between events.
const PLAIN_TIME: Duration = Duration::from_millis(15);
const CALL_TIME: Duration = Duration::from_millis(40);
const FIRST_EVENT: Duration = Duration::from_millis(40);
const EVENT_GAP: Duration = Duration::from_millis(15);
pub const N_EVENTS: u64 = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Pool {
    Plain,
    Engine,
    First,
    Second,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    Sound,
    /// Runs the request and never answers.
    Mute,
    /// Runs the request and closes the connection.
    Broken,
    Full,
    Failing,
    /// Breaks its answers off half-way.
    Torn,
    /// Puts the id of another attempt on its answers.
    Mixed,
    Slow(u32),
}

#[derive(Debug)]
pub struct Endpoint {
    pub id: String,
    pub pool: Pool,
    pub mood: Cell<Mood>,
    address: SocketAddr,
    witness: Rc<Witness>,
    n_results: Cell<u64>,
    n_calls: Cell<u32>,
    results: RefCell<Vec<String>>,
}

impl Endpoint {
    pub fn new(id: &str, pool: Pool, address: SocketAddr, witness: &Rc<Witness>) -> Rc<Endpoint> {
        Rc::new(Endpoint {
            id: id.to_owned(),
            pool,
            mood: Cell::new(Mood::Sound),
            address,
            witness: witness.clone(),
            n_results: Cell::new(0),
            n_calls: Cell::new(0),
            results: RefCell::default(),
        })
    }

    /// Serves at `listen`; callers reach it at its own address, through a proxy.
    pub async fn listen(self: &Rc<Endpoint>, listen: SocketAddr) -> std::io::Result<Served> {
        let endpoint = self.clone();
        serve(listen, move |request| {
            let endpoint = endpoint.clone();
            async move { endpoint.answer(request).await }
        })
        .await
    }

    /// What it writes of itself into the store.
    pub fn entry(&self, zone: &str, state: &str) -> Value {
        let pool: &str = self.pool.into();
        json!({
            "Service": pool, "Address": self.address.to_string(), "Zone": zone, "Version": "v1",
            "Slots": 8, "State": state, "ColdLeftMs": 0, "Sequence": 1, "born": 1,
        })
    }

    /// Forgets every result, as after a restart.
    pub fn forget(&self) {
        for handle in self.results.borrow_mut().drain(..) {
            self.witness.free(&handle);
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let expected = parts.headers.get("tarragonferry-expect-instance");
        if expected.is_some_and(|it| it.as_bytes() != self.id.as_bytes()) {
            return Some(whole(StatusCode::MISDIRECTED_REQUEST, ""));
        }
        match parts.uri.path() {
            ferry_platform::items::RUN_PATH => self.run_items(&body).await,
            ferry_platform::items::FREE_PATH => {
                let freed: Value = serde_json::from_slice(&body).ok()?;
                let handles = freed["Handles"].as_array()?;
                handles.iter().filter_map(Value::as_str).for_each(|it| self.witness.free(it));
                Some(whole(StatusCode::OK, ""))
            }
            _ => self.run_request(&parts, &body).await,
        }
    }

    async fn run_items(&self, body: &[u8]) -> Option<Response<Body>> {
        if self.mood.get() == Mood::Full || 2 < self.n_calls.get() {
            return Some(not_run(StatusCode::SERVICE_UNAVAILABLE));
        }
        self.n_calls.set(self.n_calls.get() + 1);
        let answer = self.make_items(body).await;
        self.n_calls.set(self.n_calls.get() - 1);
        answer
    }

    async fn make_items(&self, body: &[u8]) -> Option<Response<Body>> {
        tokio::time::sleep(self.time(CALL_TIME)).await;
        let call: Value = serde_json::from_slice(body).ok()?;
        let made: Vec<Value> =
            call["Items"].as_array()?.iter().map(|it| self.make_item(it)).collect();
        self.spoil().await?;
        if self.mood.get() == Mood::Failing {
            return Some(whole(StatusCode::INTERNAL_SERVER_ERROR, ""));
        }
        Some(whole(StatusCode::OK, json!({ "Items": made }).to_string()))
    }

    fn make_item(&self, item: &Value) -> Value {
        let attempt = item["Id"].as_str().unwrap_or_default();
        let inputs = item["Inputs"].as_array();
        if inputs.is_some_and(Vec::is_empty) || (inputs.is_none() && item["Key"].is_null()) {
            self.witness.wrong(format!("{}: an item of {attempt} has no input", self.id));
        }
        let mut inputs = inputs.into_iter().flatten().filter_map(Value::as_str);
        if !inputs.all(|it| self.witness.has_result(it, attempt)) {
            return json!({ "Reason": "gone" });
        }
        self.n_results.set(self.n_results.get() + 1);
        let handle = format!("{}/{:x}", self.address, self.n_results.get());
        self.witness.made(&handle, attempt);
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
        if self.mood.get() == Mood::Full {
            return Some(not_run(StatusCode::SERVICE_UNAVAILABLE));
        }
        if header("tarragonferry-tenant") != Some(WORKSPACE) || header("api-key").is_some() {
            self.witness.wrong(format!("{attempt} came with another workspace or its key"));
        }
        if self.pool == Pool::Engine {
            let inputs = header("tarragonferry-inputs").unwrap_or_default();
            if inputs.is_empty() {
                self.witness.wrong(format!("{attempt} came without its results"));
            }
            if !inputs.split(',').all(|it| self.witness.has_result(it, attempt)) {
                return Some(not_run(StatusCode::CONFLICT));
            }
        }
        let path = parts.uri.path_and_query().map_or("", |it| it.as_str());
        self.witness.ran(attempt, &self.id, path, body);
        let from = header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        match self.pool {
            Pool::Engine => self.stream(attempt, from).await,
            Pool::Plain | Pool::First | Pool::Second => self.plain(attempt, body).await,
        }
    }

    async fn plain(&self, attempt: &str, body: &[u8]) -> Option<Response<Body>> {
        tokio::time::sleep(self.time(PLAIN_TIME)).await;
        self.spoil().await?;
        let mut response = match self.mood.get() {
            Mood::Failing => whole(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
            _ => whole(StatusCode::OK, answer_body(attempt, body)),
        };
        self.sign(&mut response, attempt);
        Some(response)
    }

    async fn stream(&self, attempt: &str, from: u64) -> Option<Response<Body>> {
        tokio::time::sleep(self.time(FIRST_EVENT)).await;
        if self.mood.get() != Mood::Torn {
            self.spoil().await?;
        }
        let gap = self.time(EVENT_GAP);
        let is_torn = self.mood.get() == Mood::Torn;
        let attempt_id = attempt.to_owned();
        let events = stream::unfold(from + 1, move |number| {
            let attempt = attempt_id.clone();
            async move {
                if N_EVENTS < number {
                    return None;
                }
                tokio::time::sleep(gap).await;
                let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
                let is_half = is_torn && from + 3 < number;
                let part = match is_half {
                    true if number == from + 4 => Ok(Bytes::from(event[..8].to_owned())),
                    true => Err(Cut),
                    false => Ok(Bytes::from(event)),
                };
                Some((part, number + 1))
            }
        });
        let mut response = crate::server::stream(events);
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
        self.sign(&mut response, attempt);
        Some(response)
    }

    /// Does what a bad mood does to an answer; none closes the connection.
    async fn spoil(&self) -> Option<()> {
        match self.mood.get() {
            Mood::Mute => std::future::pending().await,
            Mood::Broken | Mood::Torn => None,
            Mood::Sound | Mood::Full | Mood::Failing | Mood::Mixed | Mood::Slow(_) => Some(()),
        }
    }

    fn sign(&self, response: &mut Response<Body>, attempt: &str) {
        let echo = if self.mood.get() == Mood::Mixed { "0123456789abcdef" } else { attempt };
        let headers = response.headers_mut();
        if let Ok(echo) = HeaderValue::from_str(echo) {
            headers.insert(headers::ATTEMPT_ID, echo);
        }
        let seal = HeaderValue::from_static("sealed");
        headers.insert("tarragonferry-response-seal", seal);
    }

    fn time(&self, usual: Duration) -> Duration {
        match self.mood.get() {
            Mood::Slow(factor) => usual * factor,
            _ => usual,
        }
    }
}

/// The one right answer to a request.
pub fn answer_body(attempt: &str, body: &[u8]) -> String {
    format!("{attempt}:{}", String::from_utf8_lossy(body))
}

fn not_run(status: StatusCode) -> Response<Body> {
    let mut response = whole(status, "");
    let one = HeaderValue::from_static("1");
    response.headers_mut().insert("tarragonferry-not-executed", one);
    response
}
