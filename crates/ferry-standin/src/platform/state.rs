//! The state of the platform: objects with their changes, the instance list, faults and counts.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use ferry_edge::wire::{FleetBody, ObjectBody, ObjectMeta, WatchKind};
use ferry_model::{Endpoint, Instance, SortedMap, Version};
use tokio::sync::watch;
use tokio::time::Instant;

use super::faults::{CallCounts, PlatformFaults, TokenBucket};
use super::fleet::{FleetLog, FleetVersion};
use crate::RunLog;

/// Number of past changes that a watch can start from by default.
const DEFAULT_HISTORY: usize = 10_000;

/// Kind and name of an object.
pub type Key = (String, String);
pub type Objects = SortedMap<Key, Object>;

#[derive(Debug, Clone)]
pub struct PlatformState {
    /// Runs of the endpoints of the same process.
    pub(super) run_log: RunLog,
    inner: Arc<Mutex<Inner>>,
    /// The newest version, which wakes the watches.
    newest: watch::Sender<Version>,
}

#[derive(Debug, Default)]
pub struct Inner {
    pub version: Version,
    pub objects: Objects,
    /// The latest changes, oldest first.
    pub changes: VecDeque<Change>,
    /// Highest version that was dropped from `changes`.
    pub compacted: Version,
    /// Last of the changes that watches skip.
    pub gap_end: Version,
    /// Last change before the ones that watches skip.
    pub gap_start: Version,
    pub fleet: FleetLog,
    pub faults: PlatformFaults,
    pub counts: CallCounts,
    /// The version and the objects that stale lists show.
    pub stale: Option<(Version, Objects)>,
    pub reads: TokenBucket,
    pub writes: TokenBucket,
}

#[derive(Debug, Clone)]
pub struct Object {
    pub version: Version,
    pub value: Arc<serde_json::Value>,
}

#[derive(Debug, Clone)]
pub struct Change {
    pub kind: WatchKind,
    pub key: Key,
    pub object: Object,
}

impl PlatformState {
    pub fn new(run_log: RunLog) -> PlatformState {
        PlatformState { run_log, inner: Arc::default(), newest: watch::Sender::new(0) }
    }

    /// Replaces the endpoints in the instance list.
    pub fn set_endpoints(&self, endpoints: Vec<Endpoint>) {
        let mut inner = self.lock();
        let instances = inner.fleet.newest().instances;
        inner.fleet.push(FleetBody { endpoints, instances });
    }

    /// Replaces the instances in the instance list.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        let mut inner = self.lock();
        let endpoints = inner.fleet.newest().endpoints;
        inner.fleet.push(FleetBody { endpoints, instances });
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let mut inner = self.lock();
        if faults.watch_gap != inner.faults.watch_gap {
            inner.gap_start = inner.version;
            inner.gap_end = inner.version + faults.watch_gap;
        }
        inner.stale = match (faults.stale_lists, inner.stale.take()) {
            (false, _) => None,
            (true, Some(stale)) => Some(stale),
            (true, None) => Some((inner.version, inner.objects.clone())),
        };
        let is_frozen = faults.stale_lists;
        inner.fleet.freeze(is_frozen);
        inner.faults = faults;
        drop(inner);
        self.newest.send_modify(|_| ());
    }

    pub fn faults(&self) -> PlatformFaults {
        self.lock().faults.clone()
    }

    pub fn counts(&self) -> CallCounts {
        self.lock().counts.clone()
    }

    /// Returns the value of an object, for checks in tests.
    pub fn value(&self, kind: &str, name: &str) -> Option<serde_json::Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.lock().objects.get(&key).map(|it| (*it.value).clone())
    }

    /// Writes an object regardless of its version, to set up a test.
    pub fn seed(&self, kind: &str, name: &str, value: serde_json::Value) -> Version {
        let version = self.lock().write((kind.to_owned(), name.to_owned()), value);
        self.newest.send_replace(version);
        version
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Wakes the watches after a change.
    pub(super) fn wake(&self, version: Version) {
        self.newest.send_replace(version);
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Version> {
        self.newest.subscribe()
    }
}

impl Inner {
    pub fn write(&mut self, key: Key, value: serde_json::Value) -> Version {
        self.version += 1;
        let object = Object { version: self.version, value: Arc::new(value) };
        let kind = match self.objects.insert(key.clone(), object.clone()) {
            Some(_) => WatchKind::Modified,
            None => WatchKind::Added,
        };
        self.record(Change { kind, key, object });
        self.version
    }

    pub fn remove(&mut self, key: Key) -> Version {
        self.version += 1;
        if let Some(object) = self.objects.remove(&key) {
            let object = Object { version: self.version, ..object };
            self.record(Change { kind: WatchKind::Deleted, key, object });
        }
        self.version
    }

    fn record(&mut self, change: Change) {
        self.counts.effects += 1;
        self.changes.push_back(change);
        let limit = match self.faults.history {
            0 => DEFAULT_HISTORY,
            history => history,
        };
        while limit < self.changes.len() {
            let dropped = self.changes.pop_front();
            self.compacted = dropped.map_or(self.compacted, |it| it.object.version);
        }
    }

    /// Returns the objects that a list shows, and their version.
    pub fn listed(&self) -> (Version, &Objects) {
        match &self.stale {
            Some((version, objects)) => (*version, objects),
            None => (self.version, &self.objects),
        }
    }

    /// Returns the instance list as it is shown now.
    pub fn shown_fleet(&self) -> FleetVersion {
        self.fleet.shown(Instant::now(), self.faults.fleet_lag_ms)
    }
}

pub fn body_of(name: &str, object: &Object) -> ObjectBody {
    let resource_version = object.version.to_string();
    ObjectBody {
        metadata: ObjectMeta { name: name.to_owned(), resource_version },
        spec: (*object.value).clone(),
    }
}
