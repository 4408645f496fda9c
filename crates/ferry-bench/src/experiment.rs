//! Experiments defined in files: their plans, samples and reports.

pub mod plan;
pub mod report;
pub mod samples;

pub use plan::{Plan, PlanError};
pub use samples::{PoolCost, Results, Sample, Summary};
