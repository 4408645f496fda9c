//! Limits and intervals of placement.

use std::time::Duration;

use serde::{Deserialize, Serialize};

const MINUTE: Duration = Duration::from_secs(60);
const DAY: Duration = Duration::from_secs(24 * 60 * 60);

/// Every figure of placement that an operator may set; docs/PLACEMENT.md explains them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceTuning {
    /// Whether a control instance contends for the lease at all.
    pub enabled: bool,
    /// Wall-clock time of the process's start, in milliseconds since the Unix epoch.
    pub started_at: u64,
    /// Time after which demand is expected to repeat itself.
    pub day: Duration,
    /// Silence of the plan's watch after which the plan is read.
    pub plan_poll: Duration,
    /// How long the lease lasts after a write.
    pub lease_life: Duration,
    /// Time between renewals.
    pub lease_renew: Duration,
    /// What the holder gives up early and a contender waits longer, for clocks that drift.
    pub lease_margin: Duration,
    /// Time between a contender's reads of the lease.
    pub lease_poll: Duration,
    /// How long an order may be on its way.
    pub order_life: Duration,
    /// Time between placement decisions.
    pub decide: Duration,
    /// Time between questions to an endpoint that is not changing.
    pub inspect: Duration,
    /// Time between questions to an endpoint that loads or drains.
    pub inspect_busy: Duration,
    /// Age of a heartbeat after which it says nothing of its sender's load.
    pub beat_life: Duration,
    /// Endpoints that load from the weight store at once.
    pub loads_at_once: usize,
    /// Largest share of a pool that drains at once; one endpoint always may.
    pub share: f64,
    /// Share of an endpoint's slots that demand should fill.
    pub utilisation: f64,
    /// How long demand must stay low before capacity follows it down.
    pub hold: Duration,
    /// How far ahead the demand of earlier days is read; it covers the time of loading.
    pub ahead: Duration,
    /// Whether earlier days count; without it only the recent demand does.
    pub forecast: bool,
}

impl Default for PlaceTuning {
    fn default() -> Self {
        PlaceTuning {
            enabled: true,
            started_at: 0,
            day: DAY,
            plan_poll: Duration::from_secs(3),
            lease_life: Duration::from_secs(10),
            lease_renew: Duration::from_secs(3),
            lease_margin: Duration::from_secs(2),
            lease_poll: Duration::from_secs(1),
            order_life: Duration::from_secs(2),
            decide: Duration::from_secs(1),
            inspect: Duration::from_secs(5),
            inspect_busy: Duration::from_millis(500),
            beat_life: Duration::from_secs(5),
            loads_at_once: 2,
            share: 0.25,
            utilisation: 0.7,
            hold: 5 * MINUTE,
            ahead: 15 * MINUTE,
            forecast: true,
        }
    }
}
