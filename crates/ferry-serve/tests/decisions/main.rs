//! Decisions of the gateway, played on virtual time against endpoints that fail.

mod simulation;

mod admission;
mod batches;
mod budgets;
mod config;
mod endpoints;
mod health;
mod peers;
mod requests;
mod seeds;
mod shutdown;
