//! The process that serves operators: the administration interface and the node that places
//! capacity.

pub mod api;
mod run;
pub mod server;
pub mod settings;

pub use run::{RunError, run};
pub use server::{ControlOptions, ControlServer};
pub use settings::{ControlSettings, Operator, OperatorRole};
