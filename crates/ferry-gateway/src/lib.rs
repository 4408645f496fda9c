//! Executes the effects of a gateway: callers, endpoints, the platform's store and peers.
//!
//! Nothing here decides; what to do and when comes from `ferry-serve`. One thread serves
//! everything, as an instance has a part of one core; docs/design/platform.md has the parts.

pub mod body;
pub mod calls;
pub mod connect;
pub mod events;
pub mod front;
pub mod inspect;
pub mod items;
pub mod logs;
pub mod memory;
pub mod metrics;
pub mod peers;
pub mod run;
pub mod server;
pub mod settings;
pub mod shell;
pub mod side;
pub mod store;

pub use run::{RunError, Sources, run};
pub use settings::OwnSettings;
