//! Metrics reach a statsd server, and docs/METRICS.md lists every one.

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use ferry_core::Metric;
use ferry_edge::Metrics;
use ferry_edge::metrics::{Counter, Gauge, PREFIX, Timer};
use strum::IntoEnumIterator;

/// Generous limit that only a hang reaches.
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);

#[test]
fn each_kind_of_metric_reaches_statsd_with_its_tags() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(POLL)).unwrap();
    let metrics = Metrics::statsd(socket.local_addr().unwrap(), "entry-0").unwrap();
    metrics.count_decision(Metric::RequestsComplete, 3);
    metrics.count(Counter::StorePuts, 1);
    metrics.gauge(Gauge::Revision, 9);
    metrics.time_with_tag(Timer::StageTime, Duration::from_millis(12), "stage", "encode");

    let mut missing = vec![
        "ferry.requests_complete:3|c|#instance:entry-0",
        "ferry.store_puts:1|c|#instance:entry-0",
        "ferry.revision:9|g|#instance:entry-0",
        "ferry.stage_time:12|ms|#instance:entry-0,stage:encode",
    ];
    let started = Instant::now();
    let mut seen = String::new();
    while !missing.is_empty() {
        assert!(started.elapsed() < TIMEOUT, "{missing:?} are missing in {seen}");
        metrics.flush();
        let mut bytes = [0; 4096];
        if let Ok(len) = socket.recv(&mut bytes) {
            seen.push_str(&String::from_utf8_lossy(&bytes[..len]));
        }
        missing.retain(|it| !seen.contains(it));
    }
}

#[test]
fn the_metrics_page_lists_every_metric() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/METRICS.md");
    let page = std::fs::read_to_string(page).unwrap();
    let names = Metric::iter()
        .map(|it| it.to_string())
        .chain(Counter::iter().map(|it| it.to_string()))
        .chain(Gauge::iter().map(|it| it.to_string()))
        .chain(Timer::iter().map(|it| it.to_string()));
    let missing: Vec<String> = names
        .map(|it| format!("| `{PREFIX}.{it}` |"))
        .filter(|it| !page.contains(it.as_str()))
        .collect();
    assert!(missing.is_empty(), "docs/METRICS.md lacks {missing:?}");
}
