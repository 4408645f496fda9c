//! Client of the administration interface; retries a change with the same id until its result is
//! known.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_edge::HttpClient;
use ferry_edge::http::{BufferedResponse, read_response};
use ferry_model::{Change, Finding, Revision};
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use rand::RngExt;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

/// Longest wait for one response; longer than a control instance takes to confirm a change.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Attempts of one request, each at the next control instance.
const MAX_ATTEMPTS: usize = 4;
/// Wait between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(300);

#[derive(Debug, Error)]
pub enum ClientError {
    #[error("could not reach a control instance: {0}")]
    Unreachable(String),
    #[error("the change {id} may have been applied; retry it with --id {id}: {message}")]
    Unconfirmed { id: String, message: String },
    #[error("another change was first; the revision is now {revision}{}", list_changes(.changes))]
    Conflict { revision: Revision, changes: Vec<Change> },
    #[error("the value is not valid{}", list_findings(.findings))]
    Invalid { findings: Vec<Finding> },
    #[error("there is no {path}")]
    NotFound { path: String },
    #[error("{status}: {message}")]
    Refused { status: StatusCode, message: String },
    #[error("could not parse the response: {0}")]
    Unreadable(String),
}

/// State that a change is based on; the change fails if there was another one since.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    Revision(Revision),
    /// The value does not exist yet.
    Absent,
}

/// A change; every attempt to make it sends the same request.
#[derive(Debug, Clone)]
pub struct ChangeRequest {
    pub method: Method,
    pub path: String,
    pub precondition: Precondition,
    pub id: String,
    pub body: Option<Value>,
}

impl ChangeRequest {
    pub fn new(
        method: Method,
        path: String,
        precondition: Precondition,
        id: Option<String>,
    ) -> ChangeRequest {
        let id = id.unwrap_or_else(|| format!("{:032x}", rand::rng().random::<u128>()));
        ChangeRequest { method, path, precondition, id, body: None }
    }

    pub fn with_body(mut self, body: Value) -> ChangeRequest {
        self.body = Some(body);
        self
    }
}

/// A value with the revision at which it was read.
#[derive(Debug, Clone)]
pub struct VersionedValue {
    pub value: Value,
    pub revision: Option<Revision>,
}

/// Response to a change that was accepted.
#[derive(Debug, Deserialize)]
pub struct Accepted {
    pub revision: Revision,
    pub id: String,
}

/// Fields of every kind of error body.
#[derive(Debug, Default, Deserialize)]
struct ErrorBody {
    #[serde(default)]
    message: String,
    #[serde(default)]
    revision: Revision,
    #[serde(default)]
    changes: Vec<Change>,
    #[serde(default)]
    findings: Vec<Finding>,
}

pub struct Client {
    http: HttpClient,
    addresses: Vec<SocketAddr>,
    token: String,
}

impl Client {
    pub fn new(addresses: Vec<SocketAddr>, token: String) -> Client {
        Client { http: HttpClient::new(), addresses, token }
    }

    pub async fn read(&self, path: &str) -> Result<VersionedValue, ClientError> {
        let mut last = ClientError::Unreachable("no address is given".to_owned());
        for attempt in 0..MAX_ATTEMPTS {
            match self.send(attempt, Method::GET, path, &[], None).await {
                Ok(response) if response.status == StatusCode::OK => return parse_read(&response),
                Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => {
                    last = response_error(path, &response);
                }
                Ok(response) => return Err(response_error(path, &response)),
                Err(error) => last = ClientError::Unreachable(error),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(last)
    }

    /// Reads a value that may not exist.
    pub async fn find(&self, path: &str) -> Result<Option<VersionedValue>, ClientError> {
        match self.read(path).await {
            Ok(read) => Ok(Some(read)),
            Err(ClientError::NotFound { .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Sends a change; the id prevents a retry from applying it twice.
    pub async fn change(&self, change: &ChangeRequest) -> Result<Accepted, ClientError> {
        let precondition = match change.precondition {
            Precondition::Revision(revision) => {
                (header::IF_MATCH.as_str(), format!("\"{revision}\""))
            }
            Precondition::Absent => (header::IF_NONE_MATCH.as_str(), "*".to_owned()),
        };
        let headers = [precondition, ("change-id", change.id.clone())];
        let mut last = ClientError::Unreachable("no address is given".to_owned());
        let mut may_be_applied = false;
        for attempt in 0..MAX_ATTEMPTS {
            let method = change.method.clone();
            match self.send(attempt, method, &change.path, &headers, change.body.as_ref()).await {
                Ok(response) if response.status == StatusCode::OK => {
                    let unreadable =
                        |it: serde_json::Error| ClientError::Unreadable(it.to_string());
                    return response.json().map_err(unreadable);
                }
                Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => {
                    last = response_error(&change.path, &response);
                }
                Ok(response) if response.status == StatusCode::GATEWAY_TIMEOUT => {
                    may_be_applied = true;
                    last = response_error(&change.path, &response);
                }
                Ok(response) => return Err(response_error(&change.path, &response)),
                Err(error) => {
                    may_be_applied = true;
                    last = ClientError::Unreachable(error);
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        match may_be_applied {
            true => {
                Err(ClientError::Unconfirmed { id: change.id.clone(), message: last.to_string() })
            }
            false => Err(last),
        }
    }

    async fn send(
        &self,
        attempt: usize,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Option<&Value>,
    ) -> Result<BufferedResponse, String> {
        let address = self.addresses[attempt % self.addresses.len()];
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let body = body.map_or_else(Vec::new, |it| it.to_string().into_bytes());
        let request = request.body(Full::new(body.into())).map_err(|it| it.to_string())?;
        let exchange = async {
            let response = self.http.send_fresh(address, request).await?;
            read_response(address, response).await
        };
        match tokio::time::timeout(TIMEOUT, exchange).await {
            Ok(response) => response.map_err(|it| it.to_string()),
            Err(_) => Err(format!("no response from {address} in time")),
        }
    }
}

fn parse_read(response: &BufferedResponse) -> Result<VersionedValue, ClientError> {
    let value = response.json().map_err(|it| ClientError::Unreadable(it.to_string()))?;
    let etag = response.headers.get(header::ETAG).and_then(|it| it.to_str().ok());
    Ok(VersionedValue { value, revision: etag.and_then(|it| it.trim_matches('"').parse().ok()) })
}

fn response_error(path: &str, response: &BufferedResponse) -> ClientError {
    let body: ErrorBody = response.json().unwrap_or_default();
    match response.status {
        StatusCode::PRECONDITION_FAILED => {
            ClientError::Conflict { revision: body.revision, changes: body.changes }
        }
        StatusCode::UNPROCESSABLE_ENTITY => ClientError::Invalid { findings: body.findings },
        StatusCode::NOT_FOUND => ClientError::NotFound { path: path.to_owned() },
        status => ClientError::Refused { status, message: body.message },
    }
}

fn list_changes(changes: &[Change]) -> String {
    let line = |it: &Change| {
        format!("\n  revision {}: {} changed {} ({})", it.revision, it.author, it.location, it.id)
    };
    changes.iter().map(line).collect()
}

fn list_findings(findings: &[Finding]) -> String {
    findings.iter().map(|it| format!("\n  {}: {}", it.location, it.problem)).collect()
}
