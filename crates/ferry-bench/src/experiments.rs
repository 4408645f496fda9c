//! Experiments on virtual time, where the same seed gives the same figures; [`wire`] uses sockets.

pub mod announce;
pub mod claims;
pub mod day;
pub mod decide;
pub mod policies;
pub mod spread;
pub mod wire;
