//! Fakes of the platform, the endpoints and the network on virtual time.
//!
//! [`World`] drives any number of nodes with events alone. It is seeded, reads no
//! clock and does no I/O; tests and experiments share it.

pub mod beats;
pub mod border;
pub mod caller;
pub mod deployment;
pub mod endpoint;
pub mod network;
pub mod promises;
pub mod store;
pub mod trace;
pub mod world;

pub use beats::{FakeEntries, FakeEntry};
pub use border::{Border, Passed};
pub use caller::{Asked, Request};
pub use deployment::{Deployment, DeploymentName, PoolShape};
pub use endpoint::{EndpointFaults, FakeEndpoint, Run, Speed};
pub use network::Network;
pub use promises::broken_promises;
pub use store::{FakeStore, StoreFaults};
pub use trace::{Applied, Asking, Pause, Trace, Written};
pub use world::{FakeEngine, NodeIdx, OrderSeen, PeerTraffic, WeightStore, World};
