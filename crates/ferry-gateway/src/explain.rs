//! The operator's question where a request would go now, and why; docs/OPERATIONS.md has an example.

use std::rc::Rc;
use std::time::Duration;

use ferry_platform::headers;
use ferry_serve::{
    Arrival, EndpointExplanation, EngineCost, Explanation, PoolExplanation, RequestRate, Step,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde_json::{Value, json};
use thiserror::Error;

use crate::digest::request_digest;
use crate::driver::Driver;

pub const PATH: &str = "/v1/explain";
/// Ticket of the request that is only asked about; no caller's request gets so high.
const TICKET: u64 = u64::MAX;
const ATTEMPT: HeaderValue = HeaderValue::from_static("explained");

/// Why a question cannot be answered.
#[derive(Debug, Error)]
pub enum ExplainError {
    #[error("GET explains a request; its host and path are in the query")]
    Method,
    #[error("the query has no {0}")]
    Missing(&'static str),
    #[error("the {0} is not valid percent-encoded UTF-8")]
    Encoding(&'static str),
    #[error("the request is malformed: {0}")]
    Malformed(&'static str),
    #[error("could not serialize the response: {0}")]
    Json(#[from] serde_json::Error),
}

impl ExplainError {
    pub fn status(&self) -> StatusCode {
        match self {
            ExplainError::Method => StatusCode::METHOD_NOT_ALLOWED,
            ExplainError::Missing(_) | ExplainError::Encoding(_) | ExplainError::Malformed(_) => {
                StatusCode::BAD_REQUEST
            }
            ExplainError::Json(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

#[derive(Debug, Serialize)]
struct Answer {
    /// Whether it would be accepted, as far as this instance decides.
    is_accepted: bool,
    refusal: Option<Value>,
    /// The peer whose admission controller decides; ask that instance for its answer.
    asked: Option<String>,
    steps: Vec<Value>,
    pools: Vec<Value>,
}

/// Answers for a request with these headers, without the body, which no decision reads.
pub fn serve(
    driver: &Rc<Driver>,
    method: &Method,
    query: &str,
    headers: &HeaderMap,
) -> Result<Vec<u8>, ExplainError> {
    if method != Method::GET {
        return Err(ExplainError::Method);
    }
    let (host, path) = (field(query, "host")?, field(query, "path")?);
    let mut headers = headers.clone();
    let attempt: HeaderName = headers::ATTEMPT_ID;
    headers.entry(attempt).or_insert(ATTEMPT);
    let route_path = path.split('?').next().unwrap_or_default();
    let head = headers::read_head(&host, route_path, &headers).map_err(ExplainError::Malformed)?;
    let digest = request_digest(&Method::POST, &host, &path, &[]);
    let arrival = Arrival { ticket: TICKET, digest, head };
    let now = driver.now();
    let explanation = driver.query(|it| it.explain(now, arrival));
    Ok(serde_json::to_vec_pretty(&Answer::from(explanation))?)
}

fn field(query: &str, name: &'static str) -> Result<String, ExplainError> {
    let fields = query.split('&').filter_map(|it| it.split_once('='));
    let text = fields.into_iter().find(|it| it.0 == name).map(|it| it.1);
    let text = text.filter(|it| !it.is_empty()).ok_or(ExplainError::Missing(name))?;
    let decoded = percent_decode_str(text).decode_utf8();
    decoded.map(|it| it.into_owned()).map_err(|_| ExplainError::Encoding(name))
}

impl From<Explanation> for Answer {
    fn from(it: Explanation) -> Answer {
        Answer {
            is_accepted: it.refusal.is_none(),
            refusal: it.refusal.map(|it| {
                json!({
                    "status": it.status.to_string(),
                    "reason": it.reason,
                    "retry_after_ms": it.retry_after.map(millis),
                })
            }),
            asked: it.asked.map(|it| it.to_string()),
            steps: it.steps.iter().map(step).collect(),
            pools: it.pools.iter().map(pool).collect(),
        }
    }
}

fn step(it: &Step) -> Value {
    json!({
        "decision": it.decision,
        "reason": it.reason,
        "pool": it.pool,
        "endpoint": it.endpoint,
        "cost_ms": it.cost.map(millis),
    })
}

fn pool(it: &PoolExplanation) -> Value {
    let endpoints: Vec<Value> = it.endpoints.iter().map(endpoint).collect();
    json!({ "pool": it.pool, "endpoints": endpoints })
}

fn endpoint(it: &EndpointExplanation) -> Value {
    json!({
        "endpoint": it.endpoint,
        "zone": it.zone,
        "standing": it.standing.to_string(),
        "wait_ms": millis(it.wait),
        "rate": it.rate.map(RequestRate::per_second),
        "running": it.load.0,
        "slots": it.load.1,
        "cost": it.cost.as_ref().map(cost),
    })
}

fn cost(it: &EngineCost) -> Value {
    json!({
        "total_ms": millis(it.total),
        "wait_ms": millis(it.wait),
        "read_ms": millis(it.read),
        "stall_ms": millis(it.stall),
        "uncached_tokens": it.uncached,
    })
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
