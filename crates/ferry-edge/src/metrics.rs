//! Counters, gauges and timers to a statsd address over UDP; docs/METRICS.md lists each.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::{Counted, Gauged, Timed};
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use ferry_core::Metric;
use strum::{Display, EnumIter, IntoStaticStr};
use thiserror::Error;

/// Start of every metric's name.
pub const PREFIX: &str = "ferry";
/// Metrics that may wait to be sent; further ones are dropped.
const QUEUE: usize = 16 * 1024;

#[derive(Debug, Error)]
#[error("could not send metrics to {address}: {error}")]
pub struct MetricsError {
    address: SocketAddr,
    error: String,
}

/// Counters of the process; those of the node's decisions are in [`Metric`].
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

/// Sends metrics without ever waiting for them.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Drops every metric.
    pub fn silent() -> Metrics {
        Metrics { client: Arc::new(StatsdClient::from_sink(PREFIX, NopMetricSink)) }
    }

    /// Sends to a statsd address, each metric with the instance's id as a tag.
    pub fn statsd(address: SocketAddr, instance: &str) -> Result<Metrics, MetricsError> {
        let failed = |error: String| MetricsError { address, error };
        let socket =
            UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).map_err(|it| failed(it.to_string()))?;
        socket.set_nonblocking(true).map_err(|it| failed(it.to_string()))?;
        let sink =
            BufferedUdpMetricSink::from(address, socket).map_err(|it| failed(it.to_string()))?;
        let queue = QueuingMetricSink::with_capacity(sink, QUEUE);
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

    pub fn time(&self, timer: Timer, took: Duration) {
        let _ = self.client.time(timer.into(), took);
    }

    /// Sends a timer that is told apart by one tag.
    pub fn time_with_tag(&self, timer: Timer, took: Duration, tag: &str, value: &str) {
        self.client.time_with_tags(timer.into(), took).with_tag(tag, value).send();
    }

    /// Sends what waits in the buffer.
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
