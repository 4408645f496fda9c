//! The gateway as a process, against stand-ins that speak the platform's formats.

mod harness;

mod lifecycle;
mod raw_requests;
mod robustness;
mod soak;
