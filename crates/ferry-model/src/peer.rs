//! Messages between instances.
//!
//! The transport encodes them with postcard behind a version number, so variants
//! and fields are only ever added at the end.

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
    /// Asks for the configuration if the peer has a higher revision than this.
    PullConfig {
        above: Revision,
    },
    /// The whole configuration object.
    Config(Box<Config>),
    /// Asks the holder of a claim for the outcome under a key.
    #[serde(rename = "AskOutcome")]
    #[strum(serialize = "ask_outcome")]
    PullOutcome {
        workspace: WorkspaceId,
        key: String,
    },
    /// Answers [`PeerMessage::PullOutcome`].
    #[serde(rename = "OutcomeIs")]
    #[strum(serialize = "outcome_is")]
    OutcomeReply {
        workspace: WorkspaceId,
        key: String,
        state: KeyState,
    },
    /// Asks for a heartbeat now; the answer carries no loads.
    #[serde(rename = "AskHeartbeat")]
    #[strum(serialize = "ask_heartbeat")]
    PullHeartbeat,
    /// Asks for the shards whose revision is higher than these, by number of the shard.
    PullWorkspaces {
        above: Vec<Revision>,
    },
    /// Shards with their numbers; a long list comes in parts.
    Workspaces(Vec<(u16, Shard)>),
    /// Asks the preferred writer of a claim shard to journal these with its own.
    Journal(Vec<JournalOp>),
    /// Answers the claims of [`PeerMessage::Journal`].
    #[serde(rename = "Journalled")]
    #[strum(serialize = "journalled")]
    JournalReply(Vec<(RequestId, ClaimResult)>),
}

/// What a claim's holder knows of a key.
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
    /// Revision of the configuration in force at the sender.
    pub revision: Revision,
    /// Revision of the placement plan that the sender obeys.
    pub plan: Revision,
    /// Requests in flight by pool, sorted by pool.
    pub loads: Vec<PoolLoad>,
    /// Requests in flight by workspace, sorted, only the largest ones.
    pub demand: Vec<(WorkspaceId, u32)>,
    /// Other instances that are known to leave, the latest ones only.
    pub leaving: Vec<(InstanceId, Incarnation)>,
    /// Digest of the revisions of all shards of workspaces.
    pub workspaces: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    pub pool: PoolId,
    pub running: u32,
    pub queued: u32,
    /// Arrivals since the last heartbeat.
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
