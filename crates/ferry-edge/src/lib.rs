//! Executes the effects of a node: clients, transports, logs and metrics.
//!
//! Nothing here decides; what to do and when comes from `ferry-core`.

pub mod callers;
pub mod certs;
pub mod driver;
pub mod endpoint;
pub mod fleet;
pub mod http;
pub mod logs;
pub mod orders;
pub mod peers;
pub mod process;
pub mod settings;
pub mod store;
pub mod wire;

pub use callers::{CallerEvent, Callers};
pub use driver::{Driver, Handle, Ports, Status};
pub use endpoint::EndpointClient;
pub use fleet::FleetClient;
pub use http::{HttpClient, HttpError};
pub use orders::OrderClient;
pub use peers::{PeerIdentity, PeerOptions, Peers};
pub use store::StoreClient;
