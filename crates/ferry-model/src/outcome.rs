//! Outcomes of requests as reported to callers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{EndpointId, RequestId, Revision, StageId};

/// The outcome of a request; the last three must never be reported in place of one another.
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
    /// Every stage ran and the answer is complete.
    Complete,
    /// Nothing was dispatched, so the caller may retry.
    NotRun,
    /// The request ran and is known to have failed.
    Failed,
    /// The request may have run and will never be run again under its idempotency key.
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

/// Why a request that ran, or may have run, did not complete.
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
    /// Number of tokens streamed by the last stage, if it streams.
    pub tokens: u32,
    pub stages: Vec<StageReport>,
    /// Revision of the configuration that the request started under.
    pub revision: Revision,
    /// Time after which the caller should retry; set for `not_run`, and for `failed` where a retry
    /// is safe.
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
