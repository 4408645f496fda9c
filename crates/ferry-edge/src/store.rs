//! Client of the platform's object API; docs/design/edge.md discusses its rules.
//!
//! Reads are retried here a limited number of times. A write is sent once: if its response
//! is lost, the result is [`StoreError::Unknown`], and the node resolves it by reading the
//! object back.

mod rate_limiter;
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
use rate_limiter::RateLimiter;
use watch::{OpenWatch, OpenWatches};

/// Wait before the first retry of a read; it doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Longest wait before a retry of a read.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Options for calls to the object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreOptions {
    /// Tried in turn if a connection cannot be opened.
    pub addresses: Vec<SocketAddr>,
    /// Longest wait for a response.
    pub timeout: Duration,
    /// Maximum number of reads per second; opening a watch counts as one.
    pub read_rate: u32,
    /// Maximum number of writes per second.
    pub write_rate: u32,
    /// Maximum number of retries of a read.
    pub retries: u32,
}

impl StoreOptions {
    /// Uses one address, with generous rate limits.
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
    reads: RateLimiter,
    writes: RateLimiter,
    watches: OpenWatches,
    /// Index of the address to try first; modulo the number of addresses.
    preferred: Arc<AtomicUsize>,
    metrics: Metrics,
}

impl StoreClient {
    pub fn new(options: StoreOptions, metrics: Metrics) -> StoreClient {
        StoreClient {
            http: HttpClient::new(),
            reads: RateLimiter::new(options.read_rate),
            writes: RateLimiter::new(options.write_rate),
            options: Arc::new(options),
            watches: OpenWatches::default(),
            preferred: Arc::default(),
            metrics,
        }
    }

    /// Makes one call and counts its outcome.
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
                let response = self.read(&object_path(&key), counter).await?;
                if response.status == StatusCode::NOT_FOUND {
                    return Ok(StoreReply::Object(None));
                }
                Ok(StoreReply::Object(Some(stored(parse(&response)?)?)))
            }
            StoreOp::List { kind } => {
                let response = self.read(&kind_path(kind), counter).await?;
                let list: ObjectList = parse(&response)?;
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
        let response = self.write(Method::PUT, &path, Some(&body), Counter::StorePuts).await?;
        let written: ObjectBody =
            response.json().map_err(|it| StoreError::Unknown(it.to_string()))?;
        let version = parse_version(&written.metadata.resource_version);
        Ok(StoreReply::Written(version.map_err(|it| StoreError::Unknown(it.to_string()))?))
    }

    /// Continues an open watch or opens one, and waits for its next lines.
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
        self.acquire(&self.reads, Counter::StoreWatches).await?;
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

    /// Reads; a failed read is retried after a jittered exponential backoff.
    async fn read(&self, path: &str, counter: Counter) -> Result<BufferedResponse, StoreError> {
        let mut n_tries = 0;
        loop {
            self.acquire(&self.reads, counter).await?;
            let error = match self.try_read(path, n_tries).await {
                Ok(response) => return Ok(response),
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

    /// Reads once; a retry uses a new connection, as the pooled ones may be unresponsive.
    async fn try_read(&self, path: &str, n_tries: u32) -> Result<BufferedResponse, StoreError> {
        let address = self.address(0);
        let result = self.exchange::<()>(Method::GET, address, path, None, 0 < n_tries).await;
        let response = result.map_err(|it| {
            self.next_address(address);
            StoreError::Unavailable(it.to_string())
        })?;
        match response.status {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(response),
            StatusCode::GONE => Err(StoreError::Gone),
            status => Err(StoreError::Unavailable(format!("status {status}"))),
        }
    }

    /// Writes once; another address is tried only if a connection could not be opened.
    async fn write<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&T>,
        counter: Counter,
    ) -> Result<BufferedResponse, StoreError> {
        self.acquire(&self.writes, counter).await?;
        let mut unsent = String::new();
        for idx in 0..self.options.addresses.len() {
            let address = self.address(idx);
            match self.exchange(method.clone(), address, path, body, false).await {
                Ok(response) => return classify_write(response),
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
            Ok(response) => response,
            Err(_) => Err(HttpError::Timeout { address }),
        }
    }

    /// Waits for the rate limiter and counts a call; on failure nothing is sent.
    async fn acquire(&self, limiter: &RateLimiter, counter: Counter) -> Result<(), StoreError> {
        if !limiter.acquire(self.options.timeout).await {
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

    /// Prefers the address after `failed`, unless another call has already done so.
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

/// Derives the result of a write: only an explicit rejection proves that nothing was written.
fn classify_write(response: BufferedResponse) -> Result<BufferedResponse, StoreError> {
    let status = response.status;
    match status {
        _ if status.is_success() => Ok(response),
        StatusCode::CONFLICT => Err(StoreError::Conflict(conflict_version(&response))),
        StatusCode::TOO_MANY_REQUESTS => Err(StoreError::Unavailable(format!("status {status}"))),
        StatusCode::SERVICE_UNAVAILABLE if response.headers.contains_key(RETRY_AFTER) => {
            Err(StoreError::Unavailable(format!("status {status}")))
        }
        _ if status.is_server_error() => Err(StoreError::Unknown(format!("status {status}"))),
        _ => Err(StoreError::Refused(format!("status {status}"))),
    }
}

fn conflict_version(response: &BufferedResponse) -> Version {
    let status = response.json::<StatusBody>().ok();
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

/// Returns a wait that doubles with each retry; it is random, so that callers spread out.
fn backoff(n_tries: u32) -> Duration {
    let longest = INITIAL_BACKOFF.saturating_mul(1 << n_tries.min(16)).min(MAX_BACKOFF);
    longest.mul_f64(rand::rng().random_range(0.5..1.0))
}

fn stored(body: ObjectBody) -> Result<StoredObject, StoreError> {
    Ok(StoredObject {
        version: parse_version(&body.metadata.resource_version)?,
        name: body.metadata.name,
        value: body.spec.to_string(),
    })
}

fn parse<T: serde::de::DeserializeOwned>(response: &BufferedResponse) -> Result<T, StoreError> {
    response.json().map_err(unreadable)
}

fn parse_version(text: &str) -> Result<Version, StoreError> {
    text.parse().map_err(|_| StoreError::Unavailable(format!("{text:?} is not a version")))
}

fn unreadable(error: serde_json::Error) -> StoreError {
    StoreError::Unavailable(format!("could not read the answer: {error}"))
}
