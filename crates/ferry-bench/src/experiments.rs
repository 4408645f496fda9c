//! Experiments. Those on virtual time give the same results for the same seed; [`wire`] uses
//! sockets, and [`decide`] measures real time.

pub mod announce;
pub mod claims;
pub mod day;
pub mod decide;
pub mod policies;
pub mod spread;
pub mod wire;
