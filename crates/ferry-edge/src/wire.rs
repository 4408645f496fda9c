//! Request and response bodies of the endpoint and platform APIs.
//!
//! Engines implement the OpenAI-style completions API with server-sent events; additional
//! fields are nested under `ferry`. Pools and services use plain JSON. docs/ENDPOINTS.md
//! describes both.

use ferry_core::Echo;
use ferry_model::{AttemptId, Endpoint, Instance, Load};
use serde::{Deserialize, Serialize};

/// Name of the server-sent event that reports the acceptance of a completion.
pub const EVENT_ACCEPTED: &str = "accepted";
/// Name of the terminal server-sent event.
pub const EVENT_END: &str = "end";

/// Identifies a call; every response repeats it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEcho {
    /// Request id in hex.
    pub request: String,
    pub stage: String,
    pub attempt: AttemptId,
}

impl WireEcho {
    pub fn new(request: u128, stage: &str, attempt: AttemptId) -> WireEcho {
        WireEcho { request: format!("{request:032x}"), stage: stage.to_owned(), attempt }
    }

    /// Returns the typed form, or `None` if the request id is not hexadecimal.
    pub fn parse(self) -> Option<Echo> {
        let request = u128::from_str_radix(&self.request, 16).ok()?;
        Some(Echo { request, stage: self.stage, attempt: self.attempt })
    }
}

/// Body of `POST /v1/stages/{stage}`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StageBody {
    pub ferry: WireEcho,
    /// The caller's idempotency key.
    pub key: String,
    pub input: String,
    pub budget_ms: u64,
    #[serde(default)]
    pub priority: u8,
}

/// Response to [`StageBody`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StageResponse {
    pub ferry: WireEcho,
    pub output: String,
    pub load: Option<Load>,
}

/// Body of `POST /v1/completions`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletionBody {
    pub model: String,
    pub prompt: String,
    pub max_tokens: u32,
    pub stream: bool,
    pub ferry: CompletionExtras,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletionExtras {
    pub echo: WireEcho,
    pub key: String,
    /// Number of the first token to generate, from zero.
    pub offset: u32,
    /// Text of the tokens already emitted by another engine.
    pub emitted: String,
    pub priority: u8,
    pub budget_ms: u64,
}

/// One `data` line of a streamed completion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletionChunk {
    pub choices: Vec<CompletionChoice>,
    /// Number of the token, from zero.
    pub number: u32,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletionChoice {
    pub index: u32,
    pub text: String,
}

/// The terminal event of a streamed completion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletionEnd {
    pub ferry: WireEcho,
    /// Number of tokens in the complete answer.
    pub count: u32,
    /// BLAKE3 digest of the complete text, in hex.
    pub digest: String,
    pub load: Option<Load>,
}

/// Body of a response that rejects a call, with status 429 or 503.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RefusalBody {
    pub message: String,
    #[serde(default)]
    pub leaving: bool,
}

/// Body of `GET /v1/endpoints` on the instance list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FleetBody {
    pub endpoints: Vec<Endpoint>,
    pub instances: Vec<Instance>,
}

/// An object as the object API represents it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ObjectBody {
    pub metadata: ObjectMeta,
    pub spec: serde_json::Value,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ObjectMeta {
    pub name: String,
    #[serde(rename = "resourceVersion")]
    pub resource_version: String,
}

/// A list of objects.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ObjectList {
    pub metadata: ListMeta,
    pub items: Vec<ObjectBody>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListMeta {
    #[serde(rename = "resourceVersion")]
    pub resource_version: String,
}

/// Body of an error of the object API.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusBody {
    pub message: String,
    /// Current version of the object, on a conflict.
    #[serde(rename = "resourceVersion", default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<String>,
}

/// One line of a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchLine {
    #[serde(rename = "type")]
    pub kind: WatchKind,
    pub object: ObjectBody,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum WatchKind {
    Added,
    Modified,
    Deleted,
    /// Nothing changed up to this version.
    Bookmark,
    /// Changes since the requested version are no longer kept.
    Error,
}

/// Returns the path of all objects of a kind.
pub fn kind_path(kind: ferry_model::ObjectKind) -> String {
    format!("/apis/ferry/v1/{kind}")
}

/// Returns the path of one object.
pub fn object_path(key: &ferry_model::ObjectKey) -> String {
    format!("/apis/ferry/v1/{}/{}", key.kind, key.name)
}
