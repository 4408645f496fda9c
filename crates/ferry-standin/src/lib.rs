//! Stand-ins for the platform and the endpoints that the system works with.
//!
//! They serve the published interfaces over loopback and log every run, so that
//! tests can count lost, duplicate and misaddressed work.

pub mod deployment;
pub mod endpoint;
pub mod platform;
pub mod run_log;

pub use deployment::DeploymentStandins;
pub use endpoint::{
    EndpointFaults, EndpointSpec, EndpointStandin, EngineState, OrderOutcome, WeightStore,
};
pub use platform::{CallCounts, PlatformFaults, PlatformStandin, PlatformState};
pub use run_log::{Run, RunLog};
