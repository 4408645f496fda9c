//! The configuration object: pipelines, three presets and the preset in force.
//!
//! One object holds all of it, so that a conditional update settles every race
//! of operators; see docs/DESIGN.md.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{ModelId, PipelineId, PoolId, Revision, StageId};

/// Everything operators edit but the workspaces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Config {
    pub revision: Revision,
    /// The one preset in force.
    #[serde(rename = "chosen")]
    pub active: PresetName,
    pub presets: Presets,
    /// Sorted by name.
    pub pipelines: Vec<Pipeline>,
    /// Sorted by name.
    pub pools: Vec<Pool>,
    /// The last changes, newest last; a lost store answer is settled by looking for its id here.
    pub history: Vec<Change>,
}

impl Config {
    pub fn pipeline(&self, name: &str) -> Option<&Pipeline> {
        let idx = self.pipelines.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
        Some(&self.pipelines[idx])
    }

    pub fn pool(&self, name: &str) -> Option<&Pool> {
        let idx = self.pools.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
        Some(&self.pools[idx])
    }

    pub fn preset(&self) -> &Preset {
        self.presets.get(self.active)
    }
}

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
    JsonSchema,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PresetName {
    Ordinary,
    Peak,
    Maintenance,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Presets {
    pub ordinary: Preset,
    pub peak: Preset,
    pub maintenance: Preset,
}

impl Presets {
    pub fn get(&self, name: PresetName) -> &Preset {
        match name {
            PresetName::Ordinary => &self.ordinary,
            PresetName::Peak => &self.peak,
            PresetName::Maintenance => &self.maintenance,
        }
    }

    pub fn get_mut(&mut self, name: PresetName) -> &mut Preset {
        match name {
            PresetName::Ordinary => &mut self.ordinary,
            PresetName::Peak => &mut self.peak,
            PresetName::Maintenance => &mut self.maintenance,
        }
    }
}

/// Capacity floors and limits that apply together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Preset {
    /// Least number of loaded endpoints by pool, sorted by pool.
    pub floors: Vec<Floor>,
    /// Most concurrent requests by pool, sorted by pool; a pool without one is unlimited here.
    pub limits: Vec<PoolLimit>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Floor {
    pub pool: PoolId,
    pub endpoints: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct PoolLimit {
    pub pool: PoolId,
    pub concurrent: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Pipeline {
    pub name: PipelineId,
    /// Zero is served first.
    pub priority: u8,
    /// Deadline in milliseconds where the caller names none.
    #[serde(with = "crate::millis")]
    #[schemars(with = "u64")]
    pub deadline: Duration,
    pub stages: Vec<Stage>,
}

impl Pipeline {
    /// A pipeline is repeatable only if each of its stages is.
    pub fn is_repeatable(&self) -> bool {
        self.stages.iter().all(|it| it.repeatable)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Stage {
    pub name: StageId,
    pub kind: StageKind,
    pub pool: PoolId,
    /// Whether a second run of this stage does no harm.
    pub repeatable: bool,
    /// The model a generating stage needs.
    pub model: Option<ModelId>,
    /// Most tokens a generating stage may emit.
    #[serde(default)]
    pub max_tokens: u32,
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
    JsonSchema,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StageKind {
    Encode,
    Retrieve,
    Rerank,
    Generate,
    /// A plain service beside the model engines.
    Service,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Pool {
    pub name: PoolId,
    pub kind: StageKind,
    /// Whether the endpoints refuse an order with an old fencing number.
    pub checks_fence: bool,
}

/// One accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Change {
    /// Chosen by the writer, unique; settles lost answers.
    pub id: String,
    pub author: String,
    pub revision: Revision,
    /// What was changed, as a JSON pointer.
    #[serde(rename = "place")]
    pub location: String,
    /// Wall-clock time of the write, in milliseconds since the Unix epoch.
    pub at: u64,
}
