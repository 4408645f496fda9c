//! Tests of an entry on loopback against the stand-ins of a deployment.

mod bad_input;
mod callers;
mod harness;
mod process;
