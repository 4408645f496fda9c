//! What a journal knows of its chain of segments, and how far a call on it has come.

use ferry_model::{ClaimKey, Version};
use serde::{Deserialize, Serialize};

/// Where a chain begins. Each new segment is confirmed by a conditional update of the index
/// before a claim goes into it, so none is granted in one that others have dropped.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Index {
    pub first: u64,
    pub open: u64,
}

/// A sealed segment's keys, to look one up without reading it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SealedSegment {
    pub number: u64,
    pub opened: u64,
    pub version: Version,
    /// Upper halves of the keys, sorted.
    pub fingerprints: Vec<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Nothing is known of the chain.
    ReadIndex,
    /// Reads the segments in turn up to the open one.
    Scan(u64),
    /// The open segment is known.
    Ready,
    /// Reads a sealed segment that a key may be in.
    ReadSealed(u64),
    /// A batch is being written.
    Write,
    /// The open segment is being sealed.
    Seal,
    /// The next segment is being created, empty.
    Create,
    /// The index is being moved to the created segment.
    UpdateIndex,
    /// The index is being moved past the oldest segment.
    Expire,
    /// The oldest segment is being deleted.
    Delete,
}

/// Returns the part of a key that is kept of a sealed segment.
pub fn fingerprint(key: ClaimKey) -> u64 {
    (key >> 64) as u64
}
