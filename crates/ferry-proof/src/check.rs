//! Checks every invariant over a finished simulation.

mod config;
mod operators;
mod orders;
mod requests;
mod runs;

use std::fmt;
use std::time::Duration;

use ferry_fakes::World;
use serde::Serialize;
use strum::{Display, EnumIter, IntoStaticStr};

/// A property that must hold in every run, whatever faults occurred in it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// Each request gets exactly one answer, in time, as long as the process that took it lives.
    Answered,
    /// A complete answer carries the whole output for the request's own input.
    #[serde(rename = "own")]
    #[strum(serialize = "own")]
    CorrectOutput,
    /// Streamed tokens arrive once, in order and without a gap.
    #[serde(rename = "streamed")]
    #[strum(serialize = "streamed")]
    IntactStream,
    /// No stage ran for a request that was answered as not run.
    NotRun,
    /// A stage that may not be repeated runs at most once per key.
    AtMostOnce,
    /// A leaving endpoint takes no new work once `TimeLimits::leaving_grace` has passed.
    #[serde(rename = "leaving")]
    #[strum(serialize = "leaving")]
    NoNewWork,
    /// A graceful shutdown interrupts no request.
    #[serde(rename = "graceful")]
    #[strum(serialize = "graceful")]
    GracefulShutdown,
    /// Accepted configurations are applied by every live node in time and never reverted.
    #[serde(rename = "configured")]
    #[strum(serialize = "configured")]
    ConfigPropagation,
    /// Replies to operators agree with what was written to the store.
    #[serde(rename = "settled")]
    #[strum(serialize = "settled")]
    TruthfulReplies,
    /// No endpoint follows an order that is older than one it has already followed.
    Fenced,
    /// No order interrupts calls in flight.
    #[serde(rename = "uncut")]
    #[strum(serialize = "uncut")]
    UninterruptedCalls,
}

/// A violated invariant, with a description of where it was observed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    #[serde(rename = "promise")]
    pub invariant: Invariant,
    #[serde(rename = "what")]
    pub detail: String,
}

impl Violation {
    pub fn new(invariant: Invariant, detail: impl Into<String>) -> Violation {
        Violation { invariant, detail: detail.into() }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.detail)
    }
}

/// Time limits of the invariants, taken from the service targets rather than from what
/// the implementation achieves.
#[derive(Debug, Clone)]
pub struct TimeLimits {
    /// Longest time after its deadline at which a request may get its answer.
    pub answer_grace: Duration,
    /// Longest time for which a leaving endpoint may still take new work.
    pub leaving_grace: Duration,
    /// Longest time until every live node applies an accepted configuration.
    pub propagation: Duration,
}

impl Default for TimeLimits {
    fn default() -> Self {
        TimeLimits {
            answer_grace: Duration::from_millis(250),
            leaving_grace: Duration::from_secs(3),
            propagation: Duration::from_secs(18),
        }
    }
}

/// Returns every violation in a world whose load has ended and settled.
pub fn check(world: &World, limits: &TimeLimits) -> Vec<Violation> {
    let mut violations = Vec::new();
    requests::check(world, limits, &mut violations);
    runs::check(world, limits, &mut violations);
    config::check(world, limits, &mut violations);
    operators::check(world, &mut violations);
    orders::check(world, &mut violations);
    violations
}
