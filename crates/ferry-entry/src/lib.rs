//! The process that serves callers: its HTTP interface and its node.

pub mod api;
mod run;
pub mod server;
pub mod settings;
pub mod tokens;

pub use run::{RunError, run};
pub use server::{EntryOptions, EntryServer};
pub use settings::{CallerLimits, EntrySettings};
