//! Stand-ins for what surrounds the system: the platform and the endpoints.
//!
//! They speak the published interfaces over loopback and keep a witness log, so
//! that tests count lost, doubled and misaddressed work there.

pub mod deployment;
pub mod endpoint;
pub mod platform;
pub mod witness;

pub use deployment::DeploymentStandins;
pub use endpoint::{
    EndpointFaults, EndpointSpec, EndpointStandin, EngineState, Obedience, WeightStore,
};
pub use platform::{Counts, Faults, PlatformStandin, PlatformState};
pub use witness::{Run, Witness};
