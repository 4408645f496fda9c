//! The known segments of a journal shard, and the step that its writer has reached.

use ferry_model::{ClaimKey, Version};
use serde::{Deserialize, Serialize};

/// The range of segments in a chain. The index is updated conditionally for each new segment
/// before any claim is written to it, so no claim is granted in a segment that others deleted.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Index {
    pub first: u64,
    pub open: u64,
}

/// Key fingerprints of a sealed segment, to search it without reading it again.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SealedSegment {
    pub number: u64,
    pub opened: u64,
    pub version: Version,
    /// Upper 64 bits of each key, sorted.
    pub fingerprints: Vec<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The index must be read first.
    ReadIndex,
    /// Segments are read in order, up to the open one.
    Scan(u64),
    /// The open segment is known.
    Ready,
    /// A sealed segment that may contain a key is being read.
    ReadSealed(u64),
    /// A batch is being written.
    Write,
    /// The open segment is being sealed.
    Seal,
    /// The next segment is being created, empty.
    Create,
    /// The index is being updated to the created segment.
    UpdateIndex,
    /// The index is being updated to exclude the oldest segment.
    Expire,
    /// The oldest segment is being deleted.
    Delete,
}

/// Returns the part of a key that is kept in memory for a sealed segment.
pub fn fingerprint(key: ClaimKey) -> u64 {
    (key >> 64) as u64
}
