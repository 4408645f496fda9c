//! Changes to the endpoints since a revision, sent to a peer on request.
//!
//! Many instances read the list from a few peers. The complete list grows with the number of
//! endpoints, and each change would send it to every instance.

use ferry_model::{EndpointId, GatewayEndpoint, Moment, store_revision};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

use super::Endpoints;
use super::evacuation::{EvacuatedZones, ReceivedZones};
use crate::Tuning;

/// Changes that are kept; a peer that lacks more gets the complete list.
const MAX_CHANGES: usize = 512;

/// Entries that changed after a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "ReceivedDelta")]
pub struct EndpointsDelta {
    /// Store revision that the reader has seen; zero if the list is complete.
    pub since: u64,
    /// Store revision of the entries.
    #[serde(rename = "stamp")]
    pub revision: u64,
    /// Revision of the last change among them.
    #[serde(rename = "news")]
    pub last_change: u64,
    pub endpoints: Vec<GatewayEndpoint>,
    pub removed: Vec<EndpointId>,
    /// Entries that are missing in the store, and may be registered again. With the revision, a
    /// reader takes over that they are missing: the removal that it reads itself may be older.
    #[serde(default)]
    pub missing: Vec<EndpointId>,
    /// None from a peer that has not read them, or whose release has no evacuations.
    #[serde(default)]
    pub evacuated: Option<EvacuatedZones>,
}

impl EndpointsDelta {
    /// Replaces positions by revisions of the store.
    pub fn drop_era(&mut self) {
        for position in [&mut self.since, &mut self.revision, &mut self.last_change] {
            *position = store_revision(*position);
        }
        self.evacuated.iter_mut().for_each(EvacuatedZones::drop_era);
    }
}

/// The same as received from a peer, which may be of a later release.
#[derive(Deserialize)]
struct ReceivedDelta {
    since: u64,
    #[serde(rename = "stamp")]
    revision: u64,
    #[serde(rename = "news")]
    last_change: u64,
    endpoints: Vec<ReceivedEntry>,
    removed: Vec<EndpointId>,
    #[serde(default)]
    missing: Vec<EndpointId>,
    #[serde(default)]
    evacuated: Option<ReceivedZones>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum ReceivedEntry {
    Endpoint(GatewayEndpoint),
    /// Of an endpoint that this release cannot use, whatever it knew of it before.
    Unreadable {
        id: EndpointId,
    },
    Unnamed(IgnoredAny),
}

impl From<ReceivedDelta> for EndpointsDelta {
    fn from(received: ReceivedDelta) -> EndpointsDelta {
        let ReceivedDelta { since, revision, last_change, missing, mut removed, .. } = received;
        let evacuated = received.evacuated.and_then(ReceivedZones::readable);
        let mut endpoints = Vec::new();
        for entry in received.endpoints {
            match entry {
                ReceivedEntry::Endpoint(endpoint) => endpoints.push(endpoint),
                ReceivedEntry::Unreadable { id } => removed.push(id),
                ReceivedEntry::Unnamed(_) => (),
            }
        }
        EndpointsDelta { since, revision, last_change, endpoints, removed, missing, evacuated }
    }
}

/// Changes in the order in which they became known.
#[derive(Debug, Clone, Default)]
pub(super) struct Changes {
    recent: Vec<(u64, EndpointId)>,
    /// Revision after which every change is kept.
    start: u64,
}

impl Changes {
    /// Records a change; the first list after a start is none.
    pub fn record_change(&mut self, revision: u64, id: &str) {
        if MAX_CHANGES <= self.recent.len() {
            let dropped = self.recent.drain(..MAX_CHANGES / 2).map(|it| it.0).max();
            self.start = self.start.max(dropped.unwrap_or_default());
        }
        self.recent.push((revision, id.to_owned()));
    }

    /// Drops all changes when the first list was read at `revision`.
    pub fn reset(&mut self, revision: u64) {
        self.recent.clear();
        self.start = revision;
    }

    /// Returns the ids that changed after `since`, sorted; none if not all changes are kept.
    fn after(&self, since: u64) -> Option<Vec<&EndpointId>> {
        if since < self.start || since == 0 {
            return None;
        }
        let mut ids: Vec<&EndpointId> =
            self.recent.iter().filter(|it| since < it.0).map(|it| &it.1).collect();
        ids.sort_unstable();
        ids.dedup();
        Some(ids)
    }
}

impl Endpoints {
    /// Value of `since` that requests no endpoints.
    pub const NO_ENDPOINTS: u64 = u64::MAX;

    /// Returns what a peer lacks that has seen the store at revision `since`.
    ///
    /// Entries that may only have expired are named apart: a peer would take them for present, or
    /// for removed.
    pub fn delta(&self, since: u64) -> EndpointsDelta {
        let (revision, last_change) = (self.revision, self.last_change());
        let evacuated = self.announced_zones();
        let missing = self.views.values().filter(|it| it.missing_since.is_some());
        let missing = missing.map(|it| it.endpoint.id.clone()).collect();
        let Some(ids) = self.changes.after(since) else {
            let endpoints = self.listed().cloned().collect();
            return EndpointsDelta {
                since: 0,
                revision,
                last_change,
                endpoints,
                removed: Vec::new(),
                missing,
                evacuated,
            };
        };
        let (mut endpoints, mut removed) = (Vec::new(), Vec::new());
        for id in ids {
            match self.get(id) {
                None => removed.push(id.clone()),
                Some(view) if view.missing_since.is_some() => (),
                Some(view) => endpoints.push(view.endpoint.clone()),
            }
        }
        EndpointsDelta { since, revision, last_change, endpoints, removed, missing, evacuated }
    }

    /// Merges the changes that a peer has sent; returns whether it changed anything.
    pub(super) fn merge(&mut self, now: Moment, tuning: &Tuning, delta: EndpointsDelta) -> bool {
        let zones = delta.evacuated.as_ref();
        let is_changed = zones.is_some_and(|it| self.replace_zones(now, tuning.rejoin_window, it));
        self.merge_entries(now, delta) || is_changed
    }

    fn merge_entries(&mut self, now: Moment, delta: EndpointsDelta) -> bool {
        let EndpointsDelta { since, revision, last_change, endpoints, removed, missing, .. } =
            delta;
        if revision < self.revision {
            // This instance has already seen everything that the peer knows.
            self.last_change = self.last_change.max(last_change);
            return false;
        }
        if self.revision < since {
            return false;
        }
        let is_changed = match since {
            0 => self.replace(now, revision, endpoints),
            _ => self.merge_changes(now, revision, endpoints, &removed),
        };
        let is_changed = missing
            .iter()
            .fold(is_changed, |is_changed, id| self.remove(now, revision, id) || is_changed);
        self.last_change = self.last_change.max(last_change);
        is_changed
    }

    fn merge_changes(
        &mut self,
        now: Moment,
        revision: u64,
        endpoints: Vec<GatewayEndpoint>,
        removed: &[EndpointId],
    ) -> bool {
        let mut is_changed = false;
        for id in removed {
            is_changed |= self.remove(now, revision, id);
        }
        for endpoint in endpoints {
            is_changed |= self.put(now, revision, endpoint);
        }
        self.revision = revision;
        is_changed
    }
}
