//! Time limits and weights of the decisions; docs/SETTINGS.md lists each with its unit.

use std::time::Duration;

use crate::Mechanism;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Settings of the decisions; the defaults suit instances that are a millisecond or two apart.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Retries per request that a pool allows, over all instances.
    pub retry_ratio: f64,
    /// Retries that a pool allows in addition, per window, over all instances.
    pub retry_extra: f64,
    pub retry_window: Duration,
    /// Fraction of the budget that is used; the rest is for instances that count differently.
    pub retry_margin: f64,
    /// Interval of heartbeats; several of them fit into `peer_timeout`.
    pub heartbeat_interval: Duration,
    /// Silence after which a peer gets no work.
    pub peer_timeout: Duration,
    /// Time after which a job that the peer has not accepted is sent again; a few round trips.
    pub resubmit_unaccepted: Duration,
    /// Time after which an accepted job is sent again to ask for its outcome; longer than most
    /// calls.
    pub resubmit_accepted: Duration,
    /// Time for which missing entries are kept after the store became reachable, while endpoints
    /// register again.
    pub rejoin_window: Duration,
    /// Interval at which endpoints renew their entries: none lapses while the store is away for less.
    pub renewal: Duration,
    /// First pause of an endpoint that failed; doubles with each consecutive failure.
    pub base_ejection: Duration,
    pub max_ejection: Duration,
    /// Longest silence of an endpoint before the first event of a repeatable stream.
    pub first_event_timeout: Duration,
    /// Longest silence of an endpoint between events of a repeatable stream.
    pub event_timeout: Duration,
    /// Longest silence of an endpoint that serves an idempotent request.
    pub answer_timeout: Duration,
    /// Cost of moving a megabyte of results between zones, as time.
    pub transfer_cost: Duration,
    /// Cost of reading 1,000 tokens of shared prompt parts that another engine has cached, as time.
    pub reread_cost: Duration,
    /// Prompt tokens that an engine reads per millisecond.
    pub tokens_per_ms: f64,
    /// Cost of one more request at an engine, as time.
    pub load_cost: Duration,
    /// Time in which an engine has fetched the results that it reads.
    pub fetch_time: Duration,
    /// Largest random cost of an endpoint; the views of other instances are a few requests old.
    pub max_jitter: Duration,
    /// Time from an engine's first token to the caller, not counting the prompt.
    pub first_token: Duration,
    /// Pause before a refused caller should retry.
    pub retry_after: Duration,
    /// Longest time that a batch may wait for more items while endpoints are idle.
    pub linger: Duration,
    /// Largest number of attempts of one item.
    pub max_item_tries: u8,
    /// Time for which a finished job is kept for its owner.
    pub job_retention: Duration,
    /// Time after the shutdown request at which idle connections are closed; callers that use
    /// addresses for as long as they are told have left by then.
    pub close_after: Duration,
    /// Time between the shutdown request and the forced exit.
    pub shutdown_grace: Duration,
    /// Writes per second that the store takes from all instances together.
    pub store_writes: f64,
    /// Requests per second that a cold endpoint may get, as a multiple of what it takes.
    pub cold_factor: f64,
    /// Requests that it may get in a second in addition.
    pub cold_slack: f64,
    /// Whether the operator evacuates zones, so that nothing is sent before it is known which ones.
    pub has_evacuations: bool,
    /// Mechanisms that are switched off, sorted.
    pub disabled: Vec<Mechanism>,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            retry_ratio: 0.2,
            retry_extra: 50.0,
            retry_window: ms(10_000),
            retry_margin: 0.8,
            heartbeat_interval: ms(200),
            peer_timeout: ms(700),
            resubmit_unaccepted: ms(100),
            resubmit_accepted: ms(250),
            rejoin_window: ms(1_800),
            renewal: ms(1_200),
            base_ejection: ms(300),
            max_ejection: ms(4_000),
            first_event_timeout: ms(1_200),
            event_timeout: ms(900),
            answer_timeout: ms(450),
            transfer_cost: ms(20),
            reread_cost: ms(100),
            tokens_per_ms: 60.0,
            load_cost: ms(20),
            fetch_time: ms(80),
            max_jitter: ms(30),
            first_token: ms(100),
            retry_after: ms(400),
            linger: ms(20),
            max_item_tries: 5,
            job_retention: ms(6_000),
            close_after: ms(2_800),
            shutdown_grace: ms(8_000),
            store_writes: 400.0,
            cold_factor: 1.0,
            cold_slack: 0.0,
            has_evacuations: false,
            disabled: Vec::new(),
        }
    }
}

/// Time before the forced exit at which the process exits by itself.
const EXIT_MARGIN: Duration = ms(300);

impl Tuning {
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.disabled.binary_search(&mechanism).is_err()
    }

    /// Returns the time after the shutdown request at which no more connections are accepted: in time
    /// to end their requests, if the grace time is short.
    pub fn close_after(&self) -> Duration {
        self.close_after.min(self.exit_after() / 2)
    }

    /// Returns the time after the shutdown request at which the process exits in any case.
    pub fn exit_after(&self) -> Duration {
        self.shutdown_grace.saturating_sub(EXIT_MARGIN)
    }
}
