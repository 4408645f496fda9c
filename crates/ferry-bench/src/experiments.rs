//! Measurements on virtual time: the reducers over the fakes, with no socket and no clock.

pub mod announce;
pub mod spread;
