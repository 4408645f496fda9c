//! Executes the effects of a gateway: callers, endpoints, the platform's store and peers.
//!
//! Nothing here decides; what to do and when comes from `ferry-serve`. One thread serves
//! everything, as an instance has a part of one core; docs/design/platform.md has the parts.

pub mod auxiliary;
pub mod body;
pub mod calls;
pub mod client;
pub mod driver;
pub mod events;
pub mod front;
pub mod inspector;
pub mod items;
pub mod logs;
pub mod memory;
pub mod metrics;
pub mod peers;
pub mod run;
pub mod server;
pub mod settings;
pub mod store;

pub use run::{RunError, Sources, run};
pub use settings::GatewaySettings;
