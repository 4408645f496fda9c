//! Stand-ins for what surrounds the system: the platform and the endpoints.
//!
//! They speak the published interfaces over loopback and keep a witness log, so
//! that tests count lost, doubled and misaddressed work there.

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
