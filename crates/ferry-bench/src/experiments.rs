//! Experiments on virtual time: the same seed gives the same figures.

pub mod announce;
pub mod claims;
pub mod day;
pub mod decide;
pub mod policies;
pub mod spread;
