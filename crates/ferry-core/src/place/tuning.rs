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
    #[serde(rename = "day")]
    pub day_length: Duration,
    /// Silence of the plan's watch after which the plan is read.
    pub plan_poll: Duration,
    /// How long the lease lasts after a write.
    #[serde(rename = "lease_life")]
    pub lease_ttl: Duration,
    /// Time between renewals.
    #[serde(rename = "lease_renew")]
    pub renew_interval: Duration,
    /// What the holder gives up early and a contender waits longer, for clocks that drift.
    pub lease_margin: Duration,
    /// Time between a contender's reads of the lease.
    pub lease_poll: Duration,
    /// How long an order may be on its way.
    #[serde(rename = "order_life")]
    pub order_ttl: Duration,
    /// Time between placement decisions.
    #[serde(rename = "decide")]
    pub decision_interval: Duration,
    /// Time between questions to an endpoint that is not changing.
    #[serde(rename = "inspect")]
    pub inspect_interval: Duration,
    /// Time between questions to an endpoint that loads or drains.
    #[serde(rename = "inspect_busy")]
    pub busy_interval: Duration,
    /// Age of a heartbeat after which it says nothing of its sender's load.
    #[serde(rename = "beat_life")]
    pub heartbeat_ttl: Duration,
    /// Endpoints that load from the weight store at once.
    #[serde(rename = "loads_at_once")]
    pub max_loading: usize,
    /// Largest share of a pool that drains at once; one endpoint always may.
    #[serde(rename = "share")]
    pub drain_share: f64,
    /// Share of an endpoint's slots that demand should fill.
    pub utilisation: f64,
    /// How long demand must stay low before capacity follows it down.
    #[serde(rename = "hold")]
    pub hold_time: Duration,
    /// How far ahead the demand of earlier days is read; it covers the time of loading.
    #[serde(rename = "ahead")]
    pub lookahead: Duration,
    /// Whether earlier days count; without it only the recent demand does.
    pub forecast: bool,
}

impl Default for PlaceTuning {
    fn default() -> Self {
        PlaceTuning {
            enabled: true,
            started_at: 0,
            day_length: DAY,
            plan_poll: Duration::from_secs(3),
            lease_ttl: Duration::from_secs(10),
            renew_interval: Duration::from_secs(3),
            lease_margin: Duration::from_secs(2),
            lease_poll: Duration::from_secs(1),
            order_ttl: Duration::from_secs(2),
            decision_interval: Duration::from_secs(1),
            inspect_interval: Duration::from_secs(5),
            busy_interval: Duration::from_millis(500),
            heartbeat_ttl: Duration::from_secs(5),
            max_loading: 2,
            drain_share: 0.25,
            utilisation: 0.7,
            hold_time: 5 * MINUTE,
            lookahead: 15 * MINUTE,
            forecast: true,
        }
    }
}
