//! Positions in the history of the platform's store.
//!
//! The store may come back from an older copy. Its revisions go back then and are given out again, and
//! its era rises. A position is a number that has the era before the revision, so that positions
//! compare as plain numbers, also in messages of releases that know no eras.

/// Position in the history of the store; zero before anything was read.
pub type StorePosition = u64;

/// Bits of a position that hold the revision.
const REVISION_BITS: u32 = 40;
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;
const MAX_ERA: u64 = u64::MAX >> REVISION_BITS;

/// Returns the position of a revision in an era. Without eras it is the revision.
pub fn store_position(era: u64, revision: u64) -> StorePosition {
    era.min(MAX_ERA) << REVISION_BITS | revision.min(MAX_REVISION)
}

/// Returns the era of a position.
pub fn store_era(position: StorePosition) -> u64 {
    position >> REVISION_BITS
}

/// Returns the revision of a position in its era, as the store names it.
pub fn store_revision(position: StorePosition) -> u64 {
    position & MAX_REVISION
}
