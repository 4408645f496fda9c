//! Every decision of a gateway: which requests to accept, where each of them and its stages run,
//! what is retried and what is given up.
//!
//! [`Gateway::reduce`] takes the time and one event and returns effects as data. There is no clock
//! and no I/O here; docs/design/platform.md describes the components and the reasons.

mod admission;
mod batch;
mod catalog;
mod choose;
mod effect;
mod endpoints;
mod event;
mod gateway;
mod group;
mod limits;
mod mechanism;
mod notices;
mod origins;
mod overload;
mod pass;
mod peers;
mod prompt;
mod quarantine;
mod reach;
mod request;
mod retry_budget;
mod schedule;
mod tuning;

pub use admission::{AdmissionRequest, Shard};
pub use batch::{Batcher, Job, JobKey, JobOutcome};
pub use catalog::{Catalog, Rejection};
pub use choose::{Choice, Chooser, Requirements, choose_endpoint, rendezvous_hash};
pub use effect::{
    BatchCall, BatchItem, Call, Decision, DecisionKind, Effect, Metric, PromptTokens, Refusal,
    Status,
};
pub use endpoints::{
    ColdChange, EndpointNotice, EndpointView, Endpoints, EndpointsDelta, EvacuatedZones,
    HealthReport, LeavingReport, LimitChange, LimitNotice, LimitReport, LoadReport, Observation,
    Observations, PauseReport, RequestRate, Restriction,
};
pub use event::{
    AnswerKind, Arrival, BatchFailure, CallEvent, Event, Framing, ItemFailure, ItemInput,
    ItemResult, NotRunReason, RelayedCall, RequestHead, ResumedStream, StoreUpdate, StreamEnd,
    TokenCounts,
};
pub use gateway::{EndpointExplanation, Explanation, Gateway, PoolExplanation, Standing, Step};
pub use group::{Group, groups};
pub use limits::{Limiter, PermitAnswer, PermitId, PermitReply, PermitRequest};
pub use mechanism::Mechanism;
pub use origins::{
    Origins, PoolBuilds, ReadId, RecordCall, RecordReply, StoredRecords, StreamRecord, StreamSlot,
    WriteFailure,
};
pub use pass::{Context, Identity, Pass, Snapshot};
pub use peers::{Backlog, Heartbeat, JobSubmission, OriginRequest, PeerMessage, PeerView, Peers};
pub use prompt::{LongId, MAX_PARTS, PartId, Prompt, PromptPart, read_part_id};
pub use quarantine::{
    CallTrace, CounterEvidence, CrashCandidate, CrashCollector, CrashInquiry, CrashReport,
    CrashWatch, Crashed, Exposure, OpenCrash, OpenCrashes, Quarantine, QuarantineAction,
    QuarantineCall, QuarantineLedger, QuarantineNotice, QuarantineReason, QuarantineRecord,
    QuarantineReply, QuarantineState, RecordKey, StoredCrashes, StoredEntry, StoredQuarantine,
    StoredRecord, workspace_digest,
};
pub use reach::{Reach, ReachChange};
pub use retry_budget::{RetryBudget, RetryShare};
pub use schedule::{
    Asker, EngineCost, Release, ScheduleDecision, ScheduleProgress, ScheduleRequest, Scheduled,
    Scheduler,
};
pub use tuning::Tuning;

/// One call of this process to an endpoint, unique until the process restarts.
pub type CallId = u64;
/// Identifies requests that are the same; collisions cannot be built.
pub type RequestDigest = u128;
/// A caller's own id of one attempt, unique across the deployment.
pub type CallerAttempt = std::sync::Arc<str>;
