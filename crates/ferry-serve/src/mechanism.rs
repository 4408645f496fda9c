//! Mechanisms of the gateway's policy that can be switched off.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A part of the policy. No promise to callers depends on one: without it requests are only served
/// worse. docs/SETTINGS.md lists what each does, docs/DECISIONS.md what each is worth.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Mechanism {
    /// Decides on one instance which requests with stages are admitted.
    Admission,
    /// Prefers the same engines for prompts that share parts.
    Affinity,
    /// Tells first attempts from retries by the time that callers have left.
    AttemptAges,
    /// Reads the caches of the engines when this instance takes over as the scheduler.
    CacheReading,
    /// Avoids endpoints for a while whose calls failed.
    Ejection,
    /// Sends the items of slow calls to another endpoint too.
    Hedging,
    /// Lets small batches wait for more items while few endpoints are free.
    Lingering,
    /// Tells peers the results of calls.
    Observations,
    /// Passes requests on to peers for pools that only they reach.
    Relaying,
    /// Calls another endpoint after a failure or a refusal.
    Retries,
    /// Chooses the engines of all requests on one instance.
    Scheduling,
    /// Lets requests wait for shared parts that their engine reads already.
    SharedReading,
    /// Ends jobs that would get their turn too late.
    Shedding,
    /// Keeps prompts from engines whose streams would pause for too long while they read them.
    StallAvoidance,
    /// Lets few instances watch the store closely, from which the others learn.
    WatchSharing,
    /// Runs stages in the zone of their data or their engine.
    ZonePlacement,
}
