//! Client of the administration interface; a write is repeated under its id until it is settled.

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

/// Longest wait for one answer, above the time that a control instance takes to settle a write.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Tries of one request, each at the next control instance.
const MAX_TRIES: usize = 4;
/// Wait between two tries.
const RETRY_WAIT: Duration = Duration::from_millis(300);

#[derive(Debug, Error)]
pub enum ClientError {
    #[error("could not reach a control instance: {0}")]
    Unreachable(String),
    #[error("the change {id} may stand; repeat it with --id {id}: {message}")]
    Unsettled { id: String, message: String },
    #[error("somebody else was first; the revision is {revision} now{}", list_changes(.changes))]
    Conflict { revision: Revision, changes: Vec<Change> },
    #[error("the value is not valid{}", list_findings(.findings))]
    Invalid { findings: Vec<Finding> },
    #[error("there is no {path}")]
    NotFound { path: String },
    #[error("{status}: {message}")]
    Refused { status: StatusCode, message: String },
    #[error("could not read the answer: {0}")]
    Unreadable(String),
}

/// What a write is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    Revision(Revision),
    /// The value does not exist yet.
    Absent,
}

/// A write with everything that its repeats share.
#[derive(Debug, Clone)]
pub struct Write {
    pub method: Method,
    pub path: String,
    pub basis: Basis,
    pub id: String,
    pub body: Option<Value>,
}

impl Write {
    pub fn new(method: Method, path: String, basis: Basis, id: Option<String>) -> Write {
        let id = id.unwrap_or_else(|| format!("{:032x}", rand::rng().random::<u128>()));
        Write { method, path, basis, id, body: None }
    }

    pub fn with_body(mut self, body: Value) -> Write {
        self.body = Some(body);
        self
    }
}

/// A value with the revision that it was read under.
#[derive(Debug, Clone)]
pub struct Read {
    pub value: Value,
    pub revision: Option<Revision>,
}

#[derive(Debug, Deserialize)]
pub struct Accepted {
    pub revision: Revision,
    pub id: String,
}

#[derive(Debug, Default, Deserialize)]
struct Problem {
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

    pub async fn read(&self, path: &str) -> Result<Read, ClientError> {
        let mut last = ClientError::Unreachable("there is no address".to_owned());
        for nth in 0..MAX_TRIES {
            match self.send(nth, Method::GET, path, &[], None).await {
                Ok(answer) if answer.status == StatusCode::OK => return parse_read(&answer),
                Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                    last = refusal(path, &answer);
                }
                Ok(answer) => return Err(refusal(path, &answer)),
                Err(error) => last = ClientError::Unreachable(error),
            }
            tokio::time::sleep(RETRY_WAIT).await;
        }
        Err(last)
    }

    /// Reads a value that may not exist.
    pub async fn find(&self, path: &str) -> Result<Option<Read>, ClientError> {
        match self.read(path).await {
            Ok(read) => Ok(Some(read)),
            Err(ClientError::NotFound { .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes under the revision that was read; a repeat under the same id cannot count twice.
    pub async fn write(&self, write: &Write) -> Result<Accepted, ClientError> {
        let basis = match write.basis {
            Basis::Revision(revision) => (header::IF_MATCH.as_str(), format!("\"{revision}\"")),
            Basis::Absent => (header::IF_NONE_MATCH.as_str(), "*".to_owned()),
        };
        let headers = [basis, ("change-id", write.id.clone())];
        let mut last = ClientError::Unreachable("there is no address".to_owned());
        let mut may_stand = false;
        for nth in 0..MAX_TRIES {
            let method = write.method.clone();
            match self.send(nth, method, &write.path, &headers, write.body.as_ref()).await {
                Ok(answer) if answer.status == StatusCode::OK => {
                    let unreadable =
                        |it: serde_json::Error| ClientError::Unreadable(it.to_string());
                    return answer.json().map_err(unreadable);
                }
                Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                    last = refusal(&write.path, &answer);
                }
                Ok(answer) if answer.status == StatusCode::GATEWAY_TIMEOUT => {
                    may_stand = true;
                    last = refusal(&write.path, &answer);
                }
                Ok(answer) => return Err(refusal(&write.path, &answer)),
                Err(error) => {
                    may_stand = true;
                    last = ClientError::Unreachable(error);
                }
            }
            tokio::time::sleep(RETRY_WAIT).await;
        }
        match may_stand {
            true => Err(ClientError::Unsettled { id: write.id.clone(), message: last.to_string() }),
            false => Err(last),
        }
    }

    async fn send(
        &self,
        nth: usize,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Option<&Value>,
    ) -> Result<BufferedResponse, String> {
        let address = self.addresses[nth % self.addresses.len()];
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
        let answer = async {
            let response = self.http.send_fresh(address, request).await?;
            read_response(address, response).await
        };
        match tokio::time::timeout(TIMEOUT, answer).await {
            Ok(answer) => answer.map_err(|it| it.to_string()),
            Err(_) => Err(format!("no answer from {address} in time")),
        }
    }
}

fn parse_read(answer: &BufferedResponse) -> Result<Read, ClientError> {
    let value = answer.json().map_err(|it| ClientError::Unreadable(it.to_string()))?;
    let etag = answer.headers.get(header::ETAG).and_then(|it| it.to_str().ok());
    Ok(Read { value, revision: etag.and_then(|it| it.trim_matches('"').parse().ok()) })
}

fn refusal(path: &str, answer: &BufferedResponse) -> ClientError {
    let problem: Problem = answer.json().unwrap_or_default();
    match answer.status {
        StatusCode::PRECONDITION_FAILED => {
            ClientError::Conflict { revision: problem.revision, changes: problem.changes }
        }
        StatusCode::UNPROCESSABLE_ENTITY => ClientError::Invalid { findings: problem.findings },
        StatusCode::NOT_FOUND => ClientError::NotFound { path: path.to_owned() },
        status => ClientError::Refused { status, message: problem.message },
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
