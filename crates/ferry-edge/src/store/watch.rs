//! Watches that are kept open between the node's requests.
//!
//! The object API counts an open watch as one call, so a stream is reused as long as it
//! works.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use ferry_model::{ObjectKind, SortedMap, StoreError, StoreReply, StoredObject, Version};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{parse_version, stored, unreadable};
use crate::wire::{WatchKind, WatchLine};

/// A watch without a line for this long has failed, as bookmarks arrive more often.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(12);
/// Longest line in bytes: an object of one mebibyte, escaped.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// Open watches that are not being read, by kind of object.
#[derive(Debug, Clone, Default)]
pub struct OpenWatches {
    idle: Arc<Mutex<SortedMap<ObjectKind, OpenWatch>>>,
}

impl OpenWatches {
    /// Removes and returns the watch of a kind, unless it is already past `since`.
    pub fn take(&self, kind: ObjectKind, since: Version) -> Option<OpenWatch> {
        let open = self.idle.lock().unwrap_or_else(|it| it.into_inner()).remove(&kind)?;
        (open.position <= since).then_some(open)
    }

    pub fn keep(&self, kind: ObjectKind, open: OpenWatch) {
        self.idle.lock().unwrap_or_else(|it| it.into_inner()).insert(kind, open);
    }
}

/// A stream of JSON lines that starts at one version.
#[derive(Debug)]
pub struct OpenWatch {
    position: Version,
    body: Incoming,
    buffer: Vec<u8>,
}

impl OpenWatch {
    pub fn new(position: Version, body: Incoming) -> OpenWatch {
        OpenWatch { position, body, buffer: Vec::new() }
    }

    /// Waits for the next lines; a bookmark alone yields no objects but a new position.
    pub async fn next(&mut self, since: Version) -> Result<StoreReply, StoreError> {
        loop {
            let lines = self.take_lines();
            if !lines.is_empty() {
                return self.read(since, &lines);
            }
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> Result<(), StoreError> {
        let frame = tokio::time::timeout(IDLE_TIMEOUT, self.body.frame()).await;
        let frame = frame.map_err(|_| unavailable("the watch is silent"))?;
        let frame = frame.ok_or_else(|| unavailable("the watch has ended"))?;
        let frame = frame.map_err(|it| unavailable(&it.to_string()))?;
        if let Some(bytes) = frame.data_ref() {
            self.buffer.extend_from_slice(bytes);
        }
        match self.buffer.len() <= MAX_LINE_BYTES {
            true => Ok(()),
            false => Err(unavailable("a line of the watch is too long")),
        }
    }

    /// Removes the complete lines from the buffer.
    fn take_lines(&mut self) -> Vec<u8> {
        match self.buffer.iter().rposition(|it| *it == b'\n') {
            Some(end) => self.buffer.drain(..=end).collect(),
            None => Vec::new(),
        }
    }

    fn read(&mut self, since: Version, lines: &[u8]) -> Result<StoreReply, StoreError> {
        let mut objects: Vec<StoredObject> = Vec::new();
        for line in lines.split(|it| *it == b'\n').filter(|it| !it.is_empty()) {
            let line: WatchLine = serde_json::from_slice(line).map_err(unreadable)?;
            let version = parse_version(&line.object.metadata.resource_version)?;
            match line.kind {
                WatchKind::Error => return Err(StoreError::Gone),
                WatchKind::Added | WatchKind::Modified if since < version => {
                    objects.push(stored(line.object)?);
                }
                WatchKind::Added
                | WatchKind::Modified
                | WatchKind::Deleted
                | WatchKind::Bookmark => (),
            }
            self.position = self.position.max(version);
        }
        Ok(StoreReply::Changed { objects, version: self.position.max(since) })
    }
}

fn unavailable(error: &str) -> StoreError {
    StoreError::Unavailable(error.to_owned())
}
