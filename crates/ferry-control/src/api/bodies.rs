//! Paths and bodies of the administration interface.

use ferry_model::{Change, Finding, InstanceStatus, PresetName, Revision};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

#[derive(Debug, Deserialize, JsonSchema)]
pub struct NamePath {
    pub name: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
pub struct PresetPath {
    pub name: PresetName,
}

#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct ListBody<T> {
    pub items: Vec<T>,
}

#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct ChosenBody {
    pub preset: PresetName,
}

#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct HistoryBody {
    pub changes: Vec<Change>,
}

/// The change stands in the object API and will be in force everywhere.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct AcceptedBody {
    pub revision: Revision,
    /// The change's id in the history.
    pub id: String,
}

/// Someone else was first; nothing was written.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct ConflictBody {
    pub message: String,
    pub revision: Revision,
    /// Who changed what since the revision that was read.
    pub changes: Vec<Change>,
}

#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct InvalidBody {
    pub message: String,
    pub findings: Vec<Finding>,
}

#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct ErrorBody {
    pub message: String,
    /// Set for a write whose fate is unknown: repeat it under this id.
    pub id: Option<String>,
}

#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct ReadyBody {
    pub ready: bool,
    pub revision: Revision,
}

#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct StatusBody {
    /// Highest revision known.
    pub revision: Revision,
    /// Lowest revision of a live instance; absent while none is known, this one included.
    pub lowest: Option<Revision>,
    pub instances: Vec<InstanceBody>,
}

#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct InstanceBody {
    pub instance: String,
    pub zone: String,
    pub state: String,
    /// Zero where it has not been heard of yet.
    pub revision: Revision,
    /// How long it has lagged behind the highest revision.
    pub lagging_ms: Option<u64>,
}

impl StatusBody {
    pub fn new(statuses: &[InstanceStatus]) -> StatusBody {
        let live = statuses.iter().filter(|it| it.state == ferry_model::InstanceState::Live);
        StatusBody {
            revision: statuses.iter().map(|it| it.revision).max().unwrap_or(0),
            lowest: live.map(|it| it.revision).min(),
            instances: statuses.iter().map(InstanceBody::new).collect(),
        }
    }
}

impl InstanceBody {
    fn new(status: &InstanceStatus) -> InstanceBody {
        InstanceBody {
            instance: status.instance.id.clone(),
            zone: status.instance.zone.clone(),
            state: status.state.to_string(),
            revision: status.revision,
            lagging_ms: status.lag.map(|it| it.as_millis() as u64),
        }
    }
}
