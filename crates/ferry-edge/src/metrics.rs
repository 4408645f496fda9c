//! Sends counters, gauges and timers to a statsd server over UDP; docs/METRICS.md lists them.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::{Counted, Gauged, Timed};
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use ferry_core::Metric;
use strum::{Display, EnumIter, IntoStaticStr};
use thiserror::Error;

/// Prefix of every metric name.
pub const PREFIX: &str = "ferry";
/// Maximum number of queued metrics; further ones are dropped.
const QUEUE_CAPACITY: usize = 16 * 1024;

#[derive(Debug, Error)]
#[error("could not send metrics to {address}: {error}")]
pub struct MetricsError {
    address: SocketAddr,
    error: String,
}

/// Counters of the process; [`Metric`] has those of the node's decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    StoreGets,
    StoreLists,
    StoreWatches,
    StorePuts,
    StoreDeletes,
    StoreRetries,
    StoreThrottled,
    StoreConflicts,
    StoreUnavailable,
    StoreAnswersLost,
    PeerMessagesSent,
    PeerBytesSent,
    PeerMessagesReceived,
    PeerBytesReceived,
    PeerMessagesDropped,
    PeerConnectionsRejected,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Gauge {
    RequestsOpen,
    EventsWaiting,
    Revision,
    Ready,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Timer {
    RequestTime,
    StageTime,
    StoreTime,
    ReduceTime,
}

/// Sends metrics without blocking.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a client that drops every metric.
    pub fn silent() -> Metrics {
        Metrics { client: Arc::new(StatsdClient::from_sink(PREFIX, NopMetricSink)) }
    }

    /// Creates a client that sends each metric to `address`, tagged with the instance id.
    pub fn statsd(address: SocketAddr, instance: &str) -> Result<Metrics, MetricsError> {
        let failed = |error: String| MetricsError { address, error };
        let socket =
            UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).map_err(|it| failed(it.to_string()))?;
        socket.set_nonblocking(true).map_err(|it| failed(it.to_string()))?;
        let sink =
            BufferedUdpMetricSink::from(address, socket).map_err(|it| failed(it.to_string()))?;
        let queue = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
        let client = StatsdClient::builder(PREFIX, queue).with_tag("instance", instance).build();
        Ok(Metrics { client: Arc::new(client) })
    }

    /// Adds to a counter of the node's decisions.
    pub fn count_decision(&self, metric: Metric, by: u64) {
        self.add(metric.into(), by);
    }

    pub fn count(&self, counter: Counter, by: u64) {
        self.add(counter.into(), by);
    }

    pub fn gauge(&self, gauge: Gauge, value: u64) {
        let _ = self.client.gauge(gauge.into(), value);
    }

    pub fn time(&self, timer: Timer, elapsed: Duration) {
        let _ = self.client.time(timer.into(), elapsed);
    }

    /// Sends a timer with one tag.
    pub fn time_with_tag(&self, timer: Timer, elapsed: Duration, tag: &str, value: &str) {
        self.client.time_with_tags(timer.into(), elapsed).with_tag(tag, value).send();
    }

    /// Sends the buffered metrics.
    pub fn flush(&self) {
        let _ = self.client.flush();
    }

    fn add(&self, name: &'static str, by: u64) {
        let _ = self.client.count(name, i64::try_from(by).unwrap_or(i64::MAX));
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::silent()
    }
}
