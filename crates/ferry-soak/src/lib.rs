//! A soak test with random faults: runs gateway processes against a simulated store, endpoints and
//! callers, which check the behaviour that they observe.
//!
//! All faults are injected from outside the gateways: signals, a loopback proxy that delays, resets
//! or stalls connections, and a misbehaving store and endpoints. docs/PROOF.md lists the guarantees
//! that are checked.

pub mod callers;
pub mod checker;
pub mod cluster;
pub mod config;
pub mod crash;
pub mod endpoint;
pub mod losses;
pub mod malformed;
pub mod plan;
pub mod proxy;
mod rate_limit;
pub mod repeats;
pub mod server;
pub mod soak;
pub mod store;

pub use cluster::Release;
pub use soak::{Only, Report, SoakOptions, run};
