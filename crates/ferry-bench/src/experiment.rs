//! Experiments as files: what to run, the samples they leave, and their report.

pub mod plan;
pub mod report;
pub mod samples;

pub use plan::{Plan, PlanError};
pub use samples::{PoolCost, Results, Sample, Summary};
