//! The caller-facing process.

pub mod api;
pub mod server;

pub use server::{EntryOptions, EntryServer};
