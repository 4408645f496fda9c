//! Load and experiment tool: runs whole deployments on loopback or virtual time and measures them.

pub mod cluster;
pub mod experiment;
pub mod experiments;
pub mod load;
pub mod losses;
pub mod overhead;
pub mod slopes;
pub mod tally;

pub use cluster::Cluster;
pub use ferry_fakes::{Deployment, DeploymentName};
pub use load::LoadPlan;
pub use tally::Tally;
