//! Executes the effects of a node through HTTP clients, the peer transport, logs and metrics.
//!
//! All decisions are made in `ferry-core`.

pub mod auth;
pub mod callers;
pub mod certs;
pub mod clients;
pub mod driver;
pub mod endpoint;
pub mod fleet;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod orders;
pub mod peers;
pub mod process;
pub mod record;
pub mod settings;
pub mod store;
pub mod wire;

pub use auth::BearerTokens;
pub use callers::{CallerEvent, Callers, ReplyStream};
pub use clients::{ClientOptions, Clients, OpenError};
pub use driver::{Driver, Handle, Status};
pub use endpoint::EndpointClient;
pub use fleet::FleetClient;
pub use http::{HttpClient, HttpError};
pub use metrics::Metrics;
pub use orders::OrderClient;
pub use peers::{PeerIdentity, PeerOptions, Peers};
pub use store::{StoreClient, StoreOptions};
