//! Messages of earlier formats, which stay as they were released.

use std::net::SocketAddr;

use ferry_model::{ConfigVersion, Incarnation, InstanceId, ZoneId};
use ferry_serve::{Backlog, Heartbeat, Observation};
use serde::{Deserialize, Serialize};

/// A heartbeat without the pools that its instance reaches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct FormerHeartbeat {
    instance: InstanceId,
    incarnation: Incarnation,
    zone: ZoneId,
    front: SocketAddr,
    is_ready: bool,
    is_leaving: bool,
    is_overloaded: bool,
    weight: f64,
    version: ConfigVersion,
    last_change: u64,
    backlog: Vec<Backlog>,
    observations: Vec<Observation>,
    quarantine: u64,
}

impl From<Heartbeat> for FormerHeartbeat {
    fn from(it: Heartbeat) -> FormerHeartbeat {
        FormerHeartbeat {
            instance: it.instance,
            incarnation: it.incarnation,
            zone: it.zone,
            front: it.front,
            is_ready: it.is_ready,
            is_leaving: it.is_leaving,
            // An instance that is cut off works for others only if all are; this format has no cuts.
            is_overloaded: it.is_overloaded || !it.unreached.is_empty(),
            weight: it.weight,
            version: it.version,
            last_change: it.last_change,
            backlog: it.backlog,
            observations: it.observations,
            quarantine: it.quarantine,
        }
    }
}

impl From<FormerHeartbeat> for Heartbeat {
    /// The instance reaches no pool by its own account, so that no request is passed on to it.
    fn from(it: FormerHeartbeat) -> Heartbeat {
        Heartbeat {
            instance: it.instance,
            incarnation: it.incarnation,
            zone: it.zone,
            front: it.front,
            is_ready: it.is_ready,
            is_leaving: it.is_leaving,
            is_overloaded: it.is_overloaded,
            relay: it.front,
            reached: Vec::new(),
            doubted: Vec::new(),
            unreached: Vec::new(),
            weight: it.weight,
            version: it.version,
            last_change: it.last_change,
            backlog: it.backlog,
            observations: it.observations,
            quarantine: it.quarantine,
        }
    }
}
