//! The configuration object: pipelines, pools, three presets and the active preset.
//!
//! A single object holds all of it, so that conditional updates resolve concurrent edits by
//! operators; see docs/DESIGN.md.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{ModelId, PipelineId, PoolId, Revision, StageId};

/// Everything that operators can edit, except for workspaces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Config {
    pub revision: Revision,
    /// The preset in use.
    #[serde(rename = "chosen")]
    pub active: PresetName,
    pub presets: Presets,
    /// Sorted by name.
    pub pipelines: Vec<Pipeline>,
    /// Sorted by name.
    pub pools: Vec<Pool>,
    /// The most recent changes, newest last. A writer that got no response looks for the id of its
    /// change here.
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

/// Capacity floors and request limits that apply together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Preset {
    /// Minimum number of loaded endpoints per pool, sorted by pool.
    pub floors: Vec<Floor>,
    /// Maximum number of concurrent requests per pool, sorted by pool; other pools are unlimited.
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
    /// Default deadline in milliseconds, for requests that set none.
    #[serde(with = "crate::millis")]
    #[schemars(with = "u64")]
    pub deadline: Duration,
    pub stages: Vec<Stage>,
}

impl Pipeline {
    /// Returns whether all stages are repeatable.
    pub fn is_repeatable(&self) -> bool {
        self.stages.iter().all(|it| it.repeatable)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Stage {
    pub name: StageId,
    pub kind: StageKind,
    pub pool: PoolId,
    /// Whether the stage can safely run more than once.
    pub repeatable: bool,
    /// The model that a generating stage needs.
    pub model: Option<ModelId>,
    /// Maximum number of tokens that a generating stage may emit.
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
    /// A service that is not a model engine.
    Service,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Pool {
    pub name: PoolId,
    pub kind: StageKind,
    /// Whether the endpoints reject orders with an outdated fencing number.
    pub checks_fence: bool,
}

/// An accepted change to the configuration or to a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Change {
    /// Unique id set by the writer, which tells after a lost response whether the change was made.
    pub id: String,
    pub author: String,
    pub revision: Revision,
    /// JSON pointer to the changed value.
    #[serde(rename = "place")]
    pub location: String,
    /// Wall-clock time of the write, in milliseconds since the Unix epoch.
    pub at: u64,
}
