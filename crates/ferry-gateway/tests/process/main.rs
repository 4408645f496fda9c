//! The gateway as a process, against stand-ins that speak the platform's formats.

mod harness;

mod bytes;
mod life;
mod rules;
mod soak;
