//! What a caller can be told about a request.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{EndpointId, RequestId, Revision, StageId};

/// The closed set of outcomes; the last three are never interchanged.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// Every stage ran and the whole answer is here.
    Complete,
    /// Nothing was dispatched; the caller may ask again.
    NotRun,
    /// It ran and is known to have failed.
    Failed,
    /// It may have run and will never be run again under its key.
    InDoubt,
}

/// Why a request was refused before anything was dispatched.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    NoConfiguration,
    UnknownPipeline,
    DeadlineTooShort,
    DeadlinePassed,
    QueueFull,
    WorkspaceLimit,
    PoolLimit,
    NoEndpoint,
    StoreUnavailable,
    InstanceLeaving,
    KeyConflict,
    CallerGone,
}

/// Why a request that ran did not complete.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum FailureReason {
    DeadlinePassed,
    StageFailed,
    RetriesSpent,
    NoEndpoint,
    CallerGone,
    ConnectionLost,
    HolderGone,
    StoreUnavailable,
    QueueFull,
}

/// The final answer to one caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    pub request: RequestId,
    pub outcome: Outcome,
    /// Set for `not_run`.
    pub refusal: Option<RefusalReason>,
    /// Set for `failed` and `in_doubt`.
    pub failure: Option<FailureReason>,
    pub output: Option<String>,
    /// Tokens streamed by the last stage, when it streams.
    pub tokens: u32,
    pub stages: Vec<StageReport>,
    /// Revision of the configuration that the request started under.
    pub revision: Revision,
    /// When the caller should ask again, on `not_run`, and on `failed` where that does no harm.
    pub retry_after: Option<Duration>,
}

impl Answer {
    pub fn new(request: RequestId, outcome: Outcome, revision: Revision) -> Answer {
        Answer {
            request,
            outcome,
            refusal: None,
            failure: None,
            output: None,
            tokens: 0,
            stages: Vec::new(),
            revision,
            retry_after: None,
        }
    }

    pub fn with_refusal(mut self, reason: RefusalReason, retry_after: Duration) -> Answer {
        self.refusal = Some(reason);
        self.retry_after = Some(retry_after);
        self
    }

    pub fn with_failure(mut self, reason: FailureReason) -> Answer {
        self.failure = Some(reason);
        self
    }

    pub fn with_retry(mut self, retry_after: Duration) -> Answer {
        self.retry_after = Some(retry_after);
        self
    }

    pub fn with_output(mut self, output: String, tokens: u32) -> Answer {
        self.output = Some(output);
        self.tokens = tokens;
        self
    }

    pub fn with_stages(mut self, stages: Vec<StageReport>) -> Answer {
        self.stages = stages;
        self
    }
}

/// Time and place of one finished stage.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StageReport {
    pub stage: StageId,
    pub endpoint: EndpointId,
    #[serde(with = "crate::millis")]
    pub took: Duration,
    pub attempts: u32,
}
