//! An entry on loopback before the stand-ins of a deployment.

mod bad_input;
mod callers;
mod harness;
mod process;
