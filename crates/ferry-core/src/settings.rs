//! Limits and intervals of a node's decisions, which the process reads from the settings file.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::PlaceTuning;
use crate::route::Policy;

/// The limits and intervals that an operator may set; docs/SETTINGS.md lists them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tuning {
    /// Minimum time between polls of the configuration object.
    pub config_poll: Duration,
    /// Maximum time between polls, reached as the fleet grows.
    pub config_poll_max: Duration,
    /// Wait before a failed read or watch of the object API is retried.
    pub store_retry: Duration,
    /// Time between heartbeats.
    #[serde(rename = "beat_interval")]
    pub heartbeat_interval: Duration,
    /// Maximum number of peers that an instance sends its heartbeats to.
    #[serde(rename = "beat_fanout")]
    pub heartbeat_fanout: usize,
    /// Silence after which a peer is suspected.
    pub suspect_after: Duration,
    /// How long the object API may take to deliver a change before a peer is asked for it.
    pub pull_grace: Duration,
    /// Time after which an operator's request is answered even if its outcome is unknown.
    pub admin_deadline: Duration,
    /// Maximum number of peers asked for their revision per second while an operator reads the
    /// status.
    #[serde(rename = "status_asks")]
    pub status_rate: u32,
    /// How long callers may cache an answer about which addresses to use.
    #[serde(rename = "answer_life")]
    pub answer_ttl: Duration,
    /// How long a leaving instance serves beyond `answer_ttl`, as peers that do not yet know that
    /// it leaves still name its address.
    pub leave_margin: Duration,
    /// Maximum number of requests in flight on this instance.
    pub max_requests: usize,
    /// Maximum number of requests queued for one pool on this instance.
    pub max_queue: usize,
    /// Maximum number of calls for one stage of a request since its stream last made progress.
    pub max_attempts: u32,
    /// Policy by which an endpoint is chosen.
    pub policy: Policy,
    /// Number of candidates sampled for one routing decision.
    #[serde(rename = "sample")]
    pub sample_size: usize,
    /// Round-trip time added to the score of an endpoint in another availability zone.
    pub zone_cost: Duration,
    /// How long callers are told to wait after a refusal.
    pub retry_after: Duration,
    /// Shortest deadline a caller may ask for.
    pub min_deadline: Duration,
    /// Longest deadline a caller may ask for.
    pub max_deadline: Duration,
    /// Largest share of its deadline that a request may be expected to need to be admitted.
    pub admit_share: f64,
    /// Retries allowed per first call of a pool.
    pub retry_share: f64,
    /// Hedges allowed per first call of a pool.
    pub hedge_share: f64,
    /// Quantile of the time to the first answer after which a call is hedged.
    pub hedge_quantile: f64,
    /// Initial wait before a failed run is repeated; it doubles each time and is jittered.
    pub backoff: Duration,
    /// Minimum silence after which a connection is considered stalled.
    #[serde(rename = "progress")]
    pub stall_timeout: Duration,
    /// How long calls use new connections after pooled ones have stalled.
    #[serde(rename = "silent_time")]
    pub bypass_time: Duration,
    /// Consecutive failures after which an endpoint is ejected.
    pub eject_after: u32,
    /// Duration of the first ejection; it doubles with each further one.
    pub eject_time: Duration,
    /// Largest share of a pool that may be ejected at once.
    pub eject_share: f64,
    /// Time over which the load of a returning endpoint is raised to its full share.
    pub slow_start: Duration,
    /// Initial limit of calls in flight at one endpoint.
    #[serde(rename = "limit_first")]
    pub initial_limit: f64,
    /// Maximum limit of calls in flight at one endpoint.
    #[serde(rename = "limit_most")]
    pub max_limit: f64,
    /// Minimum time between two writes of one claim journal.
    pub claim_interval: Duration,
    /// How long the record of a settled claim may wait to be written with the next claim.
    #[serde(rename = "claim_record")]
    pub settle_delay: Duration,
    /// How long a claim may wait for the journal's preferred writer.
    #[serde(rename = "claim_forward")]
    pub forward_timeout: Duration,
    /// Silence of a claim's holder after which its claim is in doubt.
    #[serde(rename = "claim_wait")]
    pub holder_timeout: Duration,
    /// Age at which a segment of a claim journal is sealed.
    #[serde(rename = "claim_bucket")]
    pub segment_age: Duration,
    /// How long an idempotency key is remembered.
    pub claim_retention: Duration,
    /// Maximum output stored with a settled claim, in bytes.
    #[serde(rename = "claim_output")]
    pub max_output: usize,
    pub place: PlaceTuning,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            config_poll: Duration::from_secs(2),
            config_poll_max: Duration::from_secs(15),
            store_retry: Duration::from_secs(1),
            heartbeat_interval: Duration::from_secs(1),
            heartbeat_fanout: 8,
            suspect_after: Duration::from_secs(5),
            pull_grace: Duration::from_millis(150),
            admin_deadline: Duration::from_secs(10),
            status_rate: 24,
            answer_ttl: Duration::from_secs(10),
            leave_margin: Duration::from_secs(3),
            max_requests: 4096,
            max_queue: 1024,
            max_attempts: 4,
            policy: Policy::Score,
            sample_size: 4,
            zone_cost: Duration::from_millis(2),
            retry_after: Duration::from_secs(1),
            min_deadline: Duration::from_millis(10),
            max_deadline: Duration::from_secs(120),
            admit_share: 0.7,
            retry_share: 0.1,
            hedge_share: 0.05,
            hedge_quantile: 0.99,
            backoff: Duration::from_millis(20),
            stall_timeout: Duration::from_secs(1),
            bypass_time: Duration::from_secs(30),
            eject_after: 3,
            eject_time: Duration::from_secs(5),
            eject_share: 0.4,
            slow_start: Duration::from_secs(5),
            initial_limit: 4.0,
            max_limit: 64.0,
            claim_interval: Duration::from_millis(20),
            settle_delay: Duration::from_secs(1),
            forward_timeout: Duration::from_millis(100),
            holder_timeout: Duration::from_millis(500),
            segment_age: Duration::from_secs(600),
            claim_retention: Duration::from_secs(3600),
            max_output: 512,
            place: PlaceTuning::default(),
        }
    }
}
