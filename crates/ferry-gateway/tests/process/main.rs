//! Runs the gateway as a process against simulated services of the platform.

mod harness;

mod answers;
mod closes;
mod connections;
mod cuts;
mod digests;
mod endless;
mod evacuations;
mod exits;
mod explain;
mod leaving;
mod lifecycle;
mod pauses;
mod quarantine;
mod raw_requests;
mod refusals;
mod robustness;
mod soak;
mod stalls;
mod stops;
mod store_copy;
mod streams;
mod unreadable;
mod watches;
