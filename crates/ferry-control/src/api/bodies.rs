//! Path parameters and bodies of the administration interface.

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

/// The change is stored and will come into force at every instance.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct AcceptedBody {
    pub revision: Revision,
    /// Id of the change in the history.
    pub id: String,
}

/// Another change was made after the revision that was read; nothing was written.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct ConflictBody {
    pub message: String,
    pub revision: Revision,
    /// Changes since the revision that was read.
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
    /// Set for a write that may or may not have been applied; retry it with this id.
    pub id: Option<String>,
}

#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct ReadyBody {
    pub ready: bool,
    pub revision: Revision,
}

#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct StatusBody {
    /// Highest known revision.
    pub revision: Revision,
    /// Lowest revision of a live instance; absent if none is known to be live, not even this one.
    pub lowest: Option<Revision>,
    pub instances: Vec<InstanceBody>,
}

#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct InstanceBody {
    pub instance: String,
    pub zone: String,
    pub state: String,
    /// Zero if the instance has not reported a revision yet.
    pub revision: Revision,
    /// How long the instance has lagged behind the highest revision, in milliseconds.
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
