//! Executes the effects of a gateway: callers, endpoints, the platform's store and peers.
//!
//! All decisions are made by `ferry-serve`. A single thread serves everything, because an instance
//! has only a fraction of a core; docs/design/platform.md describes the components.

pub mod auxiliary;
pub mod body;
pub mod caches;
pub mod caller_limits;
pub mod calls;
pub mod client;
pub mod decision_log;
pub mod digest;
pub mod driver;
pub mod events;
pub mod explain;
pub mod fair;
pub mod front;
pub mod health;
pub mod inspector;
pub mod items;
pub mod linger;
pub mod logs;
pub mod memory;
pub mod metrics;
pub mod peers;
pub mod probes;
pub mod progress;
pub mod quarantine;
pub mod receiving;
pub mod records;
pub mod relay;
pub mod run;
pub mod server;
pub mod settings;
pub mod store;
pub mod wire;

pub use run::{RunError, Sources, run};
pub use settings::GatewaySettings;
