//! Data types shared by all tarragonferry processes.
//!
//! This crate has no decision logic and performs no I/O; see docs/DESIGN.md for the layering.

pub mod admin;
pub mod claim;
pub mod config;
pub mod fleet;
pub mod gateway;
pub mod ids;
pub mod millis;
pub mod object;
pub mod outcome;
pub mod peer;
pub mod placement;
pub mod position;
pub mod sorted;
pub mod workspace;

pub use admin::{AdminOp, AdminReply, AdminRequest, Finding, Findings, InstanceStatus};
pub use claim::{ClaimKey, ClaimRecord, ClaimResult, ClaimState, JournalOp};
pub use config::{
    Change, Config, Floor, Pipeline, Pool, PoolLimit, Preset, PresetName, Presets, Stage, StageKind,
};
pub use fleet::{CacheUpdate, Endpoint, EndpointState, Instance, Load, Role};
pub use gateway::{
    ApiKey, BatchLimits, ColdLimit, ConfigVersion, ConnectionLimits, GatewayConfig,
    GatewayEndpoint, GatewayPool, KeyOwner, PoolKind, ResultHandle, Route, RouteKind, RouteStage,
    Target,
};
pub use ids::{
    AttemptId, BuildId, Digest, EndpointId, Fence, Incarnation, InstanceId, ModelId, Moment,
    PipelineId, PoolId, RegionId, RequestId, Revision, StageId, Ticket, Version, WorkspaceId,
    ZoneId,
};
pub use object::{ObjectKey, ObjectKind, StoreError, StoreOp, StoreReply, StoredObject};
pub use outcome::{Answer, FailureReason, Outcome, RefusalReason, StageReport};
pub use peer::{Heartbeat, InstanceState, KeyState, PeerMessage, PoolLoad};
pub use placement::{
    DemandDay, DemandHistory, EndpointReport, Lease, Order, OrderResult, Plan, PoolDemand,
};
pub use position::{StorePosition, store_era, store_position, store_revision};
pub use sorted::SortedMap;
pub use workspace::{N_SHARDS, Shard, Workspace, WorkspaceEntry};
