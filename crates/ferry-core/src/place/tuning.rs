//! Limits and intervals of placement.

use std::time::Duration;

use serde::{Deserialize, Serialize};

const MINUTE: Duration = Duration::from_secs(60);
const DAY: Duration = Duration::from_secs(24 * 60 * 60);

/// The limits and intervals of placement that an operator may set; docs/PLACEMENT.md explains them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceTuning {
    /// Whether a control instance contends for the lease at all.
    pub enabled: bool,
    /// Wall-clock time of the process start, in milliseconds since the Unix epoch.
    pub started_at: u64,
    /// Period after which demand is expected to repeat.
    #[serde(rename = "day")]
    pub day_length: Duration,
    /// Silence of the watch of the plan after which the plan is polled.
    pub plan_poll: Duration,
    /// How long the lease is valid after a write.
    #[serde(rename = "lease_life")]
    pub lease_ttl: Duration,
    /// Time between renewals of the lease.
    #[serde(rename = "lease_renew")]
    pub renew_interval: Duration,
    /// How much earlier the holder gives up and how much longer a contender waits, to allow for
    /// clock drift.
    pub lease_margin: Duration,
    /// Time between a contender's reads of the lease.
    pub lease_poll: Duration,
    /// How long an endpoint may still apply an order after it was sent.
    #[serde(rename = "order_life")]
    pub order_ttl: Duration,
    /// Time between placement decisions.
    #[serde(rename = "decide")]
    pub decision_interval: Duration,
    /// Time between inspections of an endpoint whose state is not changing.
    #[serde(rename = "inspect")]
    pub inspect_interval: Duration,
    /// Time between inspections of an endpoint that loads or drains.
    #[serde(rename = "inspect_busy")]
    pub busy_interval: Duration,
    /// Age after which the load in a heartbeat no longer counts.
    #[serde(rename = "beat_life")]
    pub heartbeat_ttl: Duration,
    /// Maximum number of endpoints that load from the weight store at once.
    #[serde(rename = "loads_at_once")]
    pub max_loading: usize,
    /// Largest share of a pool that drains at once; one endpoint may always drain.
    #[serde(rename = "share")]
    pub drain_share: f64,
    /// Target share of an endpoint's slots in use.
    pub utilisation: f64,
    /// How long demand must stay low before capacity is reduced.
    #[serde(rename = "hold")]
    pub hold_time: Duration,
    /// How far ahead demand is forecast from earlier days; must cover the time that loading takes.
    #[serde(rename = "ahead")]
    pub lookahead: Duration,
    /// Whether the demand of earlier days is used, and not only the recent one.
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
