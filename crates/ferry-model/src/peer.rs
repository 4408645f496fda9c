//! Messages between instances.
//!
//! The transport encodes them with postcard after a version number. Postcard encodes by position,
//! so new variants and fields may only be added at the end.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{
    Answer, ClaimResult, Config, Incarnation, InstanceId, JournalOp, Outcome, PoolId, RequestId,
    Revision, Shard, WorkspaceId, ZoneId,
};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PeerMessage {
    Heartbeat(Heartbeat),
    /// Requests the configuration if the peer has a revision higher than `above`.
    PullConfig {
        above: Revision,
    },
    /// The whole configuration object.
    Config(Box<Config>),
    /// Requests the outcome of an idempotency key from the holder of its claim.
    #[serde(rename = "AskOutcome")]
    #[strum(serialize = "ask_outcome")]
    PullOutcome {
        workspace: WorkspaceId,
        key: String,
    },
    /// Reply to [`PeerMessage::PullOutcome`].
    #[serde(rename = "OutcomeIs")]
    #[strum(serialize = "outcome_is")]
    OutcomeReply {
        workspace: WorkspaceId,
        key: String,
        state: KeyState,
    },
    /// Requests an immediate heartbeat, which carries no loads.
    #[serde(rename = "AskHeartbeat")]
    #[strum(serialize = "ask_heartbeat")]
    PullHeartbeat,
    /// Requests the shards with a higher revision than in `above`, indexed by shard number.
    PullWorkspaces {
        above: Vec<Revision>,
    },
    /// Shards with their numbers; a long list is split over several messages.
    Workspaces(Vec<(u16, Shard)>),
    /// Asks the preferred writer of a claim shard to journal these operations along with its own.
    Journal(Vec<JournalOp>),
    /// Results of the claims in [`PeerMessage::Journal`].
    #[serde(rename = "Journalled")]
    #[strum(serialize = "journalled")]
    JournalReply(Vec<(RequestId, ClaimResult)>),
}

/// What the holder of a claim knows about its idempotency key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum KeyState {
    Unknown,
    Running,
    Settled { outcome: Outcome, answer: Box<Answer> },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub zone: ZoneId,
    pub state: InstanceState,
    /// Revision of the configuration that the sender uses.
    pub revision: Revision,
    /// Revision of the placement plan that the sender follows.
    pub plan: Revision,
    /// Requests in flight by pool, sorted by pool.
    pub loads: Vec<PoolLoad>,
    /// Requests in flight by workspace, sorted, for the workspaces with the most requests only.
    pub demand: Vec<(WorkspaceId, u32)>,
    /// Other instances that are known to be leaving, the most recent ones only.
    pub leaving: Vec<(InstanceId, Incarnation)>,
    /// Digest of the revisions of all workspace shards.
    pub workspaces: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    pub pool: PoolId,
    pub running: u32,
    pub queued: u32,
    /// Requests that arrived since the last heartbeat.
    pub arrived: u32,
}

#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    Live,
    Suspect,
    Leaving,
    Gone,
}
