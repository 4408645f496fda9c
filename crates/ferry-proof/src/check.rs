//! The one checker of every promise over a finished world.

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

/// What must hold in every run, whatever failed in it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// Each request ends in exactly one answer while its process lives, in time.
    Answered,
    /// A complete answer is the whole one to the request's own input.
    #[serde(rename = "own")]
    #[strum(serialize = "own")]
    CorrectOutput,
    /// Streamed tokens come once, in order and whole.
    #[serde(rename = "streamed")]
    #[strum(serialize = "streamed")]
    IntactStream,
    /// What was refused as not run never ran.
    NotRun,
    /// A stage that may not be repeated runs at most once per key.
    AtMostOnce,
    /// A leaving endpoint takes no new work after the stated time.
    #[serde(rename = "leaving")]
    #[strum(serialize = "leaving")]
    NoNewWork,
    /// A graceful shutdown cuts no request.
    #[serde(rename = "graceful")]
    #[strum(serialize = "graceful")]
    GracefulShutdown,
    /// Accepted configurations reach every live node in time and never revert.
    #[serde(rename = "configured")]
    #[strum(serialize = "configured")]
    ConfigPropagation,
    /// Operators are told the truth about their changes.
    #[serde(rename = "settled")]
    #[strum(serialize = "settled")]
    TruthfulReplies,
    /// No endpoint obeys an order that is older than one it has obeyed.
    Fenced,
    /// No order cuts work in flight.
    #[serde(rename = "uncut")]
    #[strum(serialize = "uncut")]
    UninterruptedCalls,
}

/// One broken promise, with the place where it shows.
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

/// The stated times; they come from the targets, never from what was measured.
#[derive(Debug, Clone)]
pub struct TimeLimits {
    /// How long after its deadline a request may get its final answer.
    pub answer_grace: Duration,
    /// How long a leaving endpoint may still take new work.
    pub leaving_grace: Duration,
    /// How long an accepted configuration may take to be in force everywhere.
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

/// Checks every promise over a world that has come to rest.
pub fn check(world: &World, limits: &TimeLimits) -> Vec<Violation> {
    let mut found = Vec::new();
    requests::check(world, limits, &mut found);
    runs::check(world, limits, &mut found);
    config::check(world, limits, &mut found);
    operators::check(world, &mut found);
    orders::check(world, &mut found);
    found
}
