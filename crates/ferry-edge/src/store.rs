//! Client of the platform's object API; docs/design/edge.md weighs its rules.
//!
//! Reads are repeated here within bounds. A write is sent once: an answer that got
//! lost is [`StoreError::Unknown`], and the node settles it by reading back.

mod budget;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ferry_model::{ObjectKey, ObjectKind, StoreError, StoreOp, StoreReply, StoredObject, Version};
use http::header::RETRY_AFTER;
use http::{Method, StatusCode};
use rand::RngExt;
use serde::Serialize;
use tokio::time::Instant;

use crate::http::{BufferedResponse, json_request, read_response};
use crate::metrics::{Counter, Metrics, Timer};
use crate::wire::{ObjectBody, ObjectList, ObjectMeta, StatusBody, kind_path, object_path};
use crate::{HttpClient, HttpError};
use budget::Budget;
use watch::{OpenWatch, OpenWatches};

/// First wait before a read is repeated; it doubles with each try.
const BACKOFF: Duration = Duration::from_millis(20);
/// Longest wait before a read is repeated.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// How the object API is called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreOptions {
    /// Tried in turn where a connection cannot be opened.
    pub addresses: Vec<SocketAddr>,
    /// Longest wait for an answer.
    pub timeout: Duration,
    /// Reads a second; opening a watch is one.
    pub read_rate: u32,
    /// Writes a second.
    pub write_rate: u32,
    /// Further tries of a read.
    pub retries: u32,
}

impl StoreOptions {
    /// Calls one address, with a generous budget.
    pub fn new(address: SocketAddr) -> StoreOptions {
        StoreOptions {
            addresses: vec![address],
            timeout: Duration::from_secs(1),
            read_rate: 2000,
            write_rate: 500,
            retries: 2,
        }
    }
}

#[derive(Debug, Clone)]
pub struct StoreClient {
    http: HttpClient,
    options: Arc<StoreOptions>,
    reads: Budget,
    writes: Budget,
    watches: OpenWatches,
    /// Index of the address that answered last.
    preferred: Arc<AtomicUsize>,
    metrics: Metrics,
}

impl StoreClient {
    pub fn new(options: StoreOptions, metrics: Metrics) -> StoreClient {
        StoreClient {
            http: HttpClient::new(),
            reads: Budget::new(options.read_rate),
            writes: Budget::new(options.write_rate),
            options: Arc::new(options),
            watches: OpenWatches::default(),
            preferred: Arc::default(),
            metrics,
        }
    }

    /// Makes one call and counts how it went.
    pub async fn run(&self, op: StoreOp) -> Result<StoreReply, StoreError> {
        let started = Instant::now();
        let (counter, verb) = verb_of(&op);
        let result = self.call(op, counter).await;
        if verb != "watch" {
            self.metrics.time_with_tag(Timer::StoreTime, started.elapsed(), "verb", verb);
        }
        match &result {
            Err(StoreError::Unknown(_)) => self.metrics.count(Counter::StoreAnswersLost, 1),
            Err(StoreError::Unavailable(_)) => self.metrics.count(Counter::StoreUnavailable, 1),
            Err(StoreError::Conflict(_)) => self.metrics.count(Counter::StoreConflicts, 1),
            Err(StoreError::Gone | StoreError::Refused(_)) | Ok(_) => (),
        }
        result
    }

    async fn call(&self, op: StoreOp, counter: Counter) -> Result<StoreReply, StoreError> {
        match op {
            StoreOp::Get { key } => {
                let answer = self.read(&object_path(&key), counter).await?;
                if answer.status == StatusCode::NOT_FOUND {
                    return Ok(StoreReply::Object(None));
                }
                Ok(StoreReply::Object(Some(stored(parse(&answer)?)?)))
            }
            StoreOp::List { kind } => {
                let answer = self.read(&kind_path(kind), counter).await?;
                let list: ObjectList = parse(&answer)?;
                let version = parse_version(&list.metadata.resource_version)?;
                let objects = list.items.into_iter().map(stored).collect::<Result<_, _>>()?;
                Ok(StoreReply::List { objects, version })
            }
            StoreOp::Put { key, expect, value } => self.put(&key, expect, &value).await,
            StoreOp::Delete { key, expect } => {
                let path = format!("{}?resourceVersion={expect}", object_path(&key));
                self.write::<()>(Method::DELETE, &path, None, counter).await?;
                Ok(StoreReply::Deleted)
            }
            StoreOp::Watch { kind, since } => self.watch(kind, since).await,
        }
    }

    async fn put(
        &self,
        key: &ObjectKey,
        expect: Version,
        value: &str,
    ) -> Result<StoreReply, StoreError> {
        let spec = serde_json::from_str(value)
            .map_err(|it| StoreError::Refused(format!("the value is not JSON: {it}")))?;
        let metadata = ObjectMeta { name: key.name.clone(), resource_version: expect.to_string() };
        let body = ObjectBody { metadata, spec };
        let path = object_path(key);
        let answer = self.write(Method::PUT, &path, Some(&body), Counter::StorePuts).await?;
        let written: ObjectBody =
            answer.json().map_err(|it| StoreError::Unknown(it.to_string()))?;
        let version = parse_version(&written.metadata.resource_version);
        Ok(StoreReply::Written(version.map_err(|it| StoreError::Unknown(it.to_string()))?))
    }

    /// Goes on with an open watch or opens one, and waits for its next lines.
    async fn watch(&self, kind: ObjectKind, since: Version) -> Result<StoreReply, StoreError> {
        let mut open = match self.watches.take(kind, since) {
            Some(open) => open,
            None => self.open_watch(kind, since).await?,
        };
        let reply = open.next(since).await?;
        self.watches.keep(kind, open);
        Ok(reply)
    }

    async fn open_watch(&self, kind: ObjectKind, since: Version) -> Result<OpenWatch, StoreError> {
        self.take(&self.reads, Counter::StoreWatches).await?;
        let path = format!("{}?watch=true&resourceVersion={since}", kind_path(kind));
        let address = self.address(0);
        let opening = async {
            let request = json_request::<()>(Method::GET, address, &path, None)?;
            self.http.send_fresh(address, request).await
        };
        let response = match tokio::time::timeout(self.options.timeout, opening).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                self.next_address(address);
                return Err(StoreError::Unavailable(error.to_string()));
            }
            Err(_) => {
                self.next_address(address);
                return Err(StoreError::Unavailable("the watch was not opened in time".to_owned()));
            }
        };
        match response.status() {
            StatusCode::OK => Ok(OpenWatch::new(since, response.into_body())),
            StatusCode::GONE => Err(StoreError::Gone),
            status => Err(StoreError::Unavailable(format!("status {status}"))),
        }
    }

    /// Reads, repeating what failed after a jittered, growing wait.
    async fn read(&self, path: &str, counter: Counter) -> Result<BufferedResponse, StoreError> {
        let mut n_tries = 0;
        loop {
            self.take(&self.reads, counter).await?;
            let error = match self.try_read(path, n_tries).await {
                Ok(answer) => return Ok(answer),
                Err(StoreError::Unavailable(error)) => error,
                Err(error) => return Err(error),
            };
            if self.options.retries <= n_tries {
                return Err(StoreError::Unavailable(error));
            }
            self.metrics.count(Counter::StoreRetries, 1);
            tokio::time::sleep(backoff(n_tries)).await;
            n_tries += 1;
        }
    }

    /// Reads once; a repeat uses a connection of its own, as the open ones may be silent.
    async fn try_read(&self, path: &str, n_tries: u32) -> Result<BufferedResponse, StoreError> {
        let address = self.address(0);
        let result = self.exchange::<()>(Method::GET, address, path, None, 0 < n_tries).await;
        let answer = result.map_err(|it| {
            self.next_address(address);
            StoreError::Unavailable(it.to_string())
        })?;
        match answer.status {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(answer),
            StatusCode::GONE => Err(StoreError::Gone),
            status => Err(StoreError::Unavailable(format!("status {status}"))),
        }
    }

    /// Writes once; only a connection that could not be opened leads to another address.
    async fn write<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&T>,
        counter: Counter,
    ) -> Result<BufferedResponse, StoreError> {
        self.take(&self.writes, counter).await?;
        let mut unsent = String::new();
        for idx in 0..self.options.addresses.len() {
            let address = self.address(idx);
            match self.exchange(method.clone(), address, path, body, false).await {
                Ok(answer) => return judge_write(answer),
                Err(error @ (HttpError::Connect { .. } | HttpError::Build { .. })) => {
                    unsent = error.to_string();
                }
                Err(error @ (HttpError::Broken { .. } | HttpError::Timeout { .. })) => {
                    self.next_address(address);
                    return Err(StoreError::Unknown(error.to_string()));
                }
            }
        }
        Err(StoreError::Unavailable(unsent))
    }

    async fn exchange<T: Serialize>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&T>,
        is_fresh: bool,
    ) -> Result<BufferedResponse, HttpError> {
        let request = json_request(method, address, path, body)?;
        let exchange = async {
            let response = match is_fresh {
                true => self.http.send_fresh(address, request).await?,
                false => self.http.send_pooled(address, request).await?,
            };
            read_response(address, response).await
        };
        match tokio::time::timeout(self.options.timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(HttpError::Timeout { address }),
        }
    }

    /// Counts a call within the budget; without one nothing is sent.
    async fn take(&self, budget: &Budget, counter: Counter) -> Result<(), StoreError> {
        if !budget.take(self.options.timeout).await {
            self.metrics.count(Counter::StoreThrottled, 1);
            return Err(StoreError::Unavailable("the budget of calls is spent".to_owned()));
        }
        self.metrics.count(counter, 1);
        Ok(())
    }

    fn address(&self, offset: usize) -> SocketAddr {
        let addresses = &self.options.addresses;
        addresses[(self.preferred.load(Ordering::Relaxed) + offset) % addresses.len()]
    }

    /// Prefers the address after `failed`, unless another call has already moved on.
    fn next_address(&self, failed: SocketAddr) {
        let preferred = self.preferred.load(Ordering::Relaxed);
        if self.address(0) == failed {
            let next = preferred.wrapping_add(1);
            let _ = self.preferred.compare_exchange(
                preferred,
                next,
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
        }
    }
}

/// Tells what a write's answer proves: only a clear refusal means that nothing was written.
fn judge_write(answer: BufferedResponse) -> Result<BufferedResponse, StoreError> {
    let status = answer.status;
    match status {
        _ if status.is_success() => Ok(answer),
        StatusCode::CONFLICT => Err(StoreError::Conflict(conflict_version(&answer))),
        StatusCode::TOO_MANY_REQUESTS => Err(StoreError::Unavailable(format!("status {status}"))),
        StatusCode::SERVICE_UNAVAILABLE if answer.headers.contains_key(RETRY_AFTER) => {
            Err(StoreError::Unavailable(format!("status {status}")))
        }
        _ if status.is_server_error() => Err(StoreError::Unknown(format!("status {status}"))),
        _ => Err(StoreError::Refused(format!("status {status}"))),
    }
}

fn conflict_version(answer: &BufferedResponse) -> Version {
    let status = answer.json::<StatusBody>().ok();
    status.and_then(|it| it.resource_version?.parse().ok()).unwrap_or(0)
}

fn verb_of(op: &StoreOp) -> (Counter, &'static str) {
    match op {
        StoreOp::Get { .. } => (Counter::StoreGets, "get"),
        StoreOp::List { .. } => (Counter::StoreLists, "list"),
        StoreOp::Put { .. } => (Counter::StorePuts, "put"),
        StoreOp::Delete { .. } => (Counter::StoreDeletes, "delete"),
        StoreOp::Watch { .. } => (Counter::StoreWatches, "watch"),
    }
}

/// Returns a random wait that doubles with each try, so that callers spread out.
fn backoff(n_tries: u32) -> Duration {
    let most = BACKOFF.saturating_mul(1 << n_tries.min(16)).min(MAX_BACKOFF);
    most.mul_f64(rand::rng().random_range(0.5..1.0))
}

fn stored(body: ObjectBody) -> Result<StoredObject, StoreError> {
    Ok(StoredObject {
        version: parse_version(&body.metadata.resource_version)?,
        name: body.metadata.name,
        value: body.spec.to_string(),
    })
}

fn parse<T: serde::de::DeserializeOwned>(answer: &BufferedResponse) -> Result<T, StoreError> {
    answer.json().map_err(unreadable)
}

fn parse_version(text: &str) -> Result<Version, StoreError> {
    text.parse().map_err(|_| StoreError::Unavailable(format!("{text:?} is not a version")))
}

fn unreadable(error: serde_json::Error) -> StoreError {
    StoreError::Unavailable(format!("could not read the answer: {error}"))
}
