//! Counters and latency histograms, served as text; docs/METRICS.md lists all of them.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::time::Duration;

use ferry_serve::Metric;
use strum::IntoEnumIterator;

/// Upper bounds of the histogram buckets, in milliseconds.
const BOUNDS_MS: [u64; 12] = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_000, 4_000, 8_000, 16_000];

/// Number of responses by duration.
#[derive(Debug, Default)]
struct Histogram {
    counts: [u64; BOUNDS_MS.len() + 1],
    sum: Duration,
}

impl Histogram {
    fn add(&mut self, time: Duration) {
        let millis = time.as_millis() as u64;
        self.counts[BOUNDS_MS.partition_point(|it| *it < millis)] += 1;
        self.sum += time;
    }

    fn write(&self, name: &str, out: &mut String) {
        let mut total = 0;
        for (idx, count) in self.counts.iter().enumerate() {
            total += count;
            let bound = BOUNDS_MS.get(idx).map_or("+Inf".to_owned(), ToString::to_string);
            let _ = writeln!(out, "ferry_{name}_ms_bucket{{le=\"{bound}\"}} {total}");
        }
        let _ = writeln!(out, "ferry_{name}_ms_sum {}", self.sum.as_millis());
        let _ = writeln!(out, "ferry_{name}_ms_count {total}");
    }
}

#[derive(Debug, Default)]
pub struct Metrics {
    counters: RefCell<Vec<u64>>,
    store_calls: Cell<u64>,
    era: Cell<u64>,
    first_event: RefCell<Histogram>,
    response: RefCell<Histogram>,
}

impl Metrics {
    pub fn new() -> Metrics {
        let metrics = Metrics::default();
        metrics.counters.borrow_mut().resize(Metric::iter().count(), 0);
        metrics
    }

    pub fn count(&self, metric: Metric) {
        self.counters.borrow_mut()[metric as usize] += 1;
    }

    pub fn count_store_call(&self) {
        self.store_calls.set(self.store_calls.get() + 1);
    }

    pub fn set_era(&self, era: u64) {
        self.era.set(era);
    }

    /// Records the time until the head of a stream.
    pub fn record_first_event(&self, time: Duration) {
        self.first_event.borrow_mut().add(time);
    }

    /// Records the time until a complete response.
    pub fn record_response(&self, time: Duration) {
        self.response.borrow_mut().add(time);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut out = String::new();
        for metric in Metric::iter() {
            let count = self.counters.borrow()[metric as usize];
            let _ = writeln!(out, "ferry_{metric}_total {count}");
        }
        let _ = writeln!(out, "ferry_store_era {}", self.era.get());
        let _ = writeln!(out, "ferry_store_calls_total {}", self.store_calls.get());
        self.first_event.borrow().write("first_event", &mut out);
        self.response.borrow().write("answer", &mut out);
        out
    }
}
