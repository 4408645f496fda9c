//! A soak with random faults: real gateways as processes, and around them a store, endpoints and
//! callers that check what they see.
//!
//! Faults come from outside the gateways only: signals, connections that a loopback proxy delays,
//! resets or silences, and a store and endpoints that misbehave. docs/PROOF.md lists the promises.

pub mod callers;
pub mod checker;
pub mod cluster;
pub mod config;
pub mod endpoint;
pub mod plan;
pub mod proxy;
pub mod server;
pub mod soak;
pub mod store;

pub use soak::{Report, SoakOptions, run};
