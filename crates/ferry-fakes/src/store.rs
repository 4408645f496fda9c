//! A fake of the object API with versions, conditional updates, watches and faults.

use std::time::Duration;

use ferry_model::{
    ObjectKey, ObjectKind, SortedMap, StoreError, StoreOp, StoreReply, StoredObject, Version,
};

const MAX_VALUE_BYTES: usize = 1024 * 1024;

#[derive(Debug, Clone)]
pub struct StoreFaults {
    /// Every call fails without an effect.
    pub down: bool,
    /// One-way delay to the store.
    pub delay: Duration,
    /// Number of further writes that take effect but whose answer is lost.
    pub lost_answers: u32,
    /// Number of further writes that are lost; to the writer this looks like a lost answer.
    pub lost_writes: u32,
    /// Number of further writes that take effect only after the writer has given up.
    pub late_writes: u32,
    /// Watches report nothing.
    pub silent_watches: bool,
    /// Watches advance past changes without reporting them.
    pub lossy_watches: bool,
    /// Reads return the objects as of [`FakeStore::freeze_reads`]; writes are unaffected.
    pub stale_reads: bool,
}

impl Default for StoreFaults {
    fn default() -> Self {
        StoreFaults {
            down: false,
            delay: Duration::from_millis(2),
            lost_answers: 0,
            lost_writes: 0,
            late_writes: 0,
            silent_watches: false,
            lossy_watches: false,
            stale_reads: false,
        }
    }
}

#[derive(Debug, Clone, Default)]
pub struct FakeStore {
    pub faults: StoreFaults,
    objects: SortedMap<ObjectKey, StoredObject>,
    /// The objects that stale reads return.
    stale: SortedMap<ObjectKey, StoredObject>,
    version: Version,
    /// Writes that took effect.
    pub writes: u64,
    pub reads: u64,
    /// Calls for each kind of object, including failed ones.
    calls: SortedMap<ObjectKind, u64>,
}

impl FakeStore {
    pub fn new() -> FakeStore {
        FakeStore::default()
    }

    /// Writes an object regardless of its version, to set up a test.
    pub fn seed(&mut self, key: ObjectKey, value: impl Into<String>) -> Version {
        self.version += 1;
        let name = key.name.clone();
        let object = StoredObject { name, version: self.version, value: value.into() };
        self.objects.insert(key, object);
        self.version
    }

    pub fn get(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    pub fn calls(&self, kind: ObjectKind) -> u64 {
        self.calls.get(&kind).copied().unwrap_or(0)
    }

    /// Returns the size of each value of a kind, in bytes.
    pub fn sizes(&self, kind: ObjectKind) -> Vec<usize> {
        let of_kind = self.objects.iter().filter(|(key, _)| key.kind == kind);
        of_kind.map(|(_, object)| object.value.len()).collect()
    }

    /// Makes reads return the present objects from now on.
    pub fn freeze_reads(&mut self) {
        self.stale = self.objects.clone();
        self.faults.stale_reads = true;
    }

    /// Performs a call; returns `None` for a watch that has nothing to report.
    pub fn perform(&mut self, op: &StoreOp) -> Option<Result<StoreReply, StoreError>> {
        *self.calls.get_or_insert_with(kind_of(op), || 0) += 1;
        if self.faults.down {
            return Some(Err(StoreError::Unavailable("the store is down".to_owned())));
        }
        let is_write = matches!(op, StoreOp::Put { .. } | StoreOp::Delete { .. });
        if is_write && self.faults.lost_writes > 0 {
            self.faults.lost_writes -= 1;
            return Some(Err(StoreError::Unknown("the call was lost".to_owned())));
        }
        match op {
            StoreOp::Get { key } => {
                self.reads += 1;
                Some(Ok(StoreReply::Object(self.read_view().get(key).cloned())))
            }
            StoreOp::List { kind } => {
                self.reads += 1;
                let objects = changed(self.read_view(), *kind, 0);
                Some(Ok(StoreReply::List { objects, version: self.version }))
            }
            StoreOp::Put { key, expect, value } => Some(self.put(key, *expect, value)),
            StoreOp::Delete { key, expect } => Some(self.delete(key, *expect)),
            StoreOp::Watch { kind, since } => {
                let objects = changed(&self.objects, *kind, *since);
                if objects.is_empty() || self.faults.silent_watches {
                    return None;
                }
                let objects = match self.faults.lossy_watches {
                    true => Vec::new(),
                    false => objects,
                };
                Some(Ok(StoreReply::Changed { objects, version: self.version }))
            }
        }
    }

    fn read_view(&self) -> &SortedMap<ObjectKey, StoredObject> {
        if self.faults.stale_reads { &self.stale } else { &self.objects }
    }

    fn put(
        &mut self,
        key: &ObjectKey,
        expect: Version,
        value: &str,
    ) -> Result<StoreReply, StoreError> {
        if MAX_VALUE_BYTES < value.len() {
            return Err(StoreError::Refused("the value is over a megabyte".to_owned()));
        }
        let found = self.objects.get(key).map_or(0, |it| it.version);
        if found != expect {
            return Err(StoreError::Conflict(found));
        }
        let version = self.seed(key.clone(), value);
        self.writes += 1;
        self.write_result(StoreReply::Written(version))
    }

    fn delete(&mut self, key: &ObjectKey, expect: Version) -> Result<StoreReply, StoreError> {
        let found = self.objects.get(key).map_or(0, |it| it.version);
        if found != expect {
            return Err(StoreError::Conflict(found));
        }
        self.objects.remove(key);
        self.version += 1;
        self.writes += 1;
        self.write_result(StoreReply::Deleted)
    }

    fn write_result(&mut self, reply: StoreReply) -> Result<StoreReply, StoreError> {
        if self.faults.lost_answers == 0 {
            return Ok(reply);
        }
        self.faults.lost_answers -= 1;
        Err(StoreError::Unknown("the answer was lost".to_owned()))
    }
}

fn kind_of(op: &StoreOp) -> ObjectKind {
    match op {
        StoreOp::Get { key } | StoreOp::Put { key, .. } | StoreOp::Delete { key, .. } => key.kind,
        StoreOp::List { kind } | StoreOp::Watch { kind, .. } => *kind,
    }
}

fn changed(
    objects: &SortedMap<ObjectKey, StoredObject>,
    kind: ObjectKind,
    since: Version,
) -> Vec<StoredObject> {
    let mut found: Vec<StoredObject> = objects
        .iter()
        .filter(|(key, object)| key.kind == kind && since < object.version)
        .map(|(_, object)| object.clone())
        .collect();
    found.sort_by_key(|it| it.version);
    found
}
