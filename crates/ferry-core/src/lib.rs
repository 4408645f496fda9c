//! The reducer of a node and the decisions that it makes.
//!
//! This crate has no clock, no I/O and no global state: the same events give the
//! same effects, byte for byte. See docs/DESIGN.md for the layering.

pub mod admin;
pub mod admit;
pub mod claim;
pub mod config;
pub mod drain;
pub mod effect;
pub mod event;
pub mod fleet;
pub mod member;
pub mod node;
pub mod pass;
pub mod place;
pub mod replay;
pub mod request;
pub mod route;
pub mod settings;
pub mod store;
pub mod workspaces;

pub use effect::{
    Connection, Decision, DecisionKind, Effect, InstanceChoice, InstancesAnswer, Metric, StageCall,
};
pub use event::{Arrival, CallEvent, Echo, Event};
pub use node::Node;
pub use pass::{Identity, InstanceRole};
pub use place::PlaceTuning;
pub use settings::Tuning;
pub use store::{CallId, Owner};
