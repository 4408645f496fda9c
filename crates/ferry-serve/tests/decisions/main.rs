//! Decisions of the gateway, simulated on virtual time with failing endpoints.

mod simulation;

mod admission;
mod batches;
mod budgets;
mod builds;
mod cold;
mod config;
mod config_changes;
mod cuts;
mod endpoints;
mod evacuations;
mod explain;
mod health;
mod leaving;
mod omitted;
mod pauses;
mod peers;
mod quarantine;
mod rate_limits;
mod refusals;
mod rejoined;
mod removals;
mod requests;
mod schedule;
mod seeds;
mod shutdown;
mod silence;
mod stalls;
mod statements;
mod store_copy;
mod ways;
