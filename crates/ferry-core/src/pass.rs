//! The context in which the components of a node handle an event.

use std::sync::Arc;

use ferry_model::{
    Config, Incarnation, InstanceId, Moment, PeerMessage, RegionId, Revision, ZoneId,
};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::fleet::Fleet;
use crate::member::Members;
use crate::store::StoreCalls;
use crate::workspaces::Workspaces;
use crate::{Effect, Tuning};

/// Identifies this process; it comes from the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub zone: ZoneId,
    pub region: RegionId,
    pub role: InstanceRole,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceRole {
    /// Serves callers.
    Entry,
    /// Serves operators and decides which endpoints hold capacity.
    Control,
}

/// State shared by all components of the node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Context {
    pub identity: Identity,
    pub tuning: Tuning,
    pub rng: Pcg64Mcg,
    pub calls: StoreCalls,
    /// The configuration in force; `None` until the first one is read.
    pub config: Option<Arc<Config>>,
    pub fleet: Fleet,
    pub members: Members,
    pub workspaces: Arc<Workspaces>,
}

impl Context {
    /// Returns the revision of the configuration in force, or zero if there is none.
    pub fn revision(&self) -> Revision {
        self.config.as_ref().map_or(0, |it| it.revision)
    }
}

/// One pass through the reducer: the time, the shared state and the effects so far.
#[derive(Debug)]
pub struct Pass<'a> {
    pub now: Moment,
    pub ctx: &'a mut Context,
    pub effects: &'a mut Vec<Effect>,
}

impl Pass<'_> {
    /// Sends a message to a peer; drops it if the peer's address is unknown.
    pub fn send(&mut self, to: &str, message: PeerMessage) {
        let Some(address) = self.ctx.members.address(to) else { return };
        let (to, message) = (to.to_owned(), Box::new(message));
        self.effects.push(Effect::Send { to, address, message });
    }
}
