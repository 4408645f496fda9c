//! In-memory fakes of the platform, the endpoints and the network on virtual time.
//!
//! [`World`] drives any number of nodes with events alone. It is seeded, reads no
//! clock and does no I/O. Tests and experiments share it.

pub mod caller;
pub mod deployment;
pub mod endpoint;
pub mod entries;
pub mod interceptor;
pub mod invariants;
pub mod network;
pub mod store;
pub mod trace;
pub mod world;

pub use caller::{Request, RequestRecord};
pub use deployment::{Deployment, DeploymentName, PoolShape};
pub use endpoint::{EndpointFaults, FakeEndpoint, Run, Speed};
pub use entries::{FakeEntries, FakeEntry};
pub use interceptor::{Intercepted, Interceptor};
pub use invariants::invariant_violations;
pub use network::Network;
pub use store::{FakeStore, StoreFaults};
pub use trace::{AppliedRevision, OperatorRequest, Pause, Trace, WrittenConfig};
pub use world::{FakeEngine, NodeIdx, PeerTraffic, ReceivedOrder, WeightStore, World};
