//! Invariant checks over whole simulated clusters on virtual time: the checker, the
//! fault matrix, deliberate mutations that show the checker can fail, and scenarios.
//!
//! See docs/PROOF.md for how to run them and docs/design/proof.md for the reasons.

pub mod check;
pub mod fault;
pub mod matrix;
pub mod mutation;
pub mod record;
pub mod scenario;
pub mod step;

pub use check::{Invariant, TimeLimits, Violation, check};
pub use fault::Fault;
pub use matrix::{Cell, Verdict};
pub use mutation::Mutation;
pub use record::Recorder;
pub use step::Step;
