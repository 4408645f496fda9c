//! The gateway's own settings; docs/SETTINGS.md lists all keys.
//!
//! The platform's settings for a process are in a separate file, which takes precedence.

use std::ops::RangeInclusive;
use std::time::Duration;

use ferry_edge::logs::LogLevel;
use ferry_edge::settings::{self, Choice, Choices, Findings, Reader, Section};
use ferry_platform::settings::NodeSettings;
use ferry_serve::Tuning;

use crate::wire::WireFormat;

const MS: Duration = Duration::from_millis(1);
const MINUTE: Duration = Duration::from_secs(60);
/// Time for which requests are on the way to an endpoint that is no longer used.
const REMOVAL_MARGIN: Duration = Duration::from_millis(200);
/// Allowed range of timeouts and intervals.
const DURATION_RANGE: RangeInclusive<Duration> = MS..=MINUTE;
/// Allowed range of ratios.
const RATIO_RANGE: RangeInclusive<f64> = 0.0..=1.0;

#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    pub tuning: Tuning,
    pub log: LogLevel,
    /// The highest format in which messages are sent to peers, and read.
    pub format: WireFormat,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        GatewaySettings {
            tuning: Tuning::default(),
            log: LogLevel::Info,
            format: WireFormat::CURRENT,
        }
    }
}

impl GatewaySettings {
    /// Loads the settings from a file; the error contains all findings.
    pub fn load(path: &str) -> Result<GatewaySettings, Findings> {
        settings::load(path, GatewaySettings::read)
    }

    pub fn read(reader: &mut Reader) -> GatewaySettings {
        let mut settings = GatewaySettings::default();
        settings.log = reader.value("log", "level", Choice::new(), settings.log);
        settings.format = reader.value("peers", "format", Choice::new(), settings.format);
        let it = &mut settings.tuning;
        calls(&mut Section::new(reader, "calls"), it);
        engines(&mut Section::new(reader, "engines"), it);
        batches(&mut Section::new(reader, "batches"), it);
        peers(&mut Section::new(reader, "peers"), it);
        shutdown(&mut Section::new(reader, "shutdown"), it);
        it.disabled = reader.value("policy", "disable", Choices::new(), Vec::new());
        find_contradictions(reader, &settings.tuning);
        settings
    }

    /// Applies the platform's limits and times.
    pub fn with_node(mut self, node: &NodeSettings) -> GatewaySettings {
        self.tuning.retry_ratio = node.retry_ratio;
        self.tuning.retry_extra = node.retry_extra;
        self.tuning.retry_window = node.retry_window;
        self.tuning.shutdown_grace = node.grace;
        self.tuning.cold_factor = node.cold_factor.unwrap_or(self.tuning.cold_factor);
        self.tuning.cold_slack = node.cold_slack.unwrap_or(self.tuning.cold_slack);
        self.tuning.has_evacuations = node.evacuation.is_some();
        self.tuning.renewal = node.renewal.unwrap_or(self.tuning.renewal);
        // Entries that are missing count from the last answer of the store that had them.
        let max_rejoin = node.drain.saturating_sub(REMOVAL_MARGIN);
        self.tuning.rejoin_window = self.tuning.rejoin_window.min(max_rejoin);
        self.tuning.store_writes = node.store_writes.unwrap_or(self.tuning.store_writes);
        self
    }
}

/// Reports values that are valid individually but not in combination.
fn find_contradictions(reader: &mut Reader, it: &Tuning) {
    if it.peer_timeout < 3 * it.heartbeat_interval {
        reader.report("peers", "silence", "it must be at least three times beat");
    }
    if it.max_ejection < it.base_ejection {
        reader.report("calls", "eject_max", "it must be at least eject");
    }
}

fn calls(s: &mut Section<'_>, it: &mut Tuning) {
    s.number("repeat_margin", &mut it.retry_margin, RATIO_RANGE);
    s.time("eject", &mut it.base_ejection, DURATION_RANGE);
    s.time("eject_max", &mut it.max_ejection, DURATION_RANGE);
    s.time("answer_silence", &mut it.answer_timeout, DURATION_RANGE);
    s.time("retry_after", &mut it.retry_after, DURATION_RANGE);
    s.time("rejoin", &mut it.rejoin_window, DURATION_RANGE);
}

fn engines(s: &mut Section<'_>, it: &mut Tuning) {
    s.time("begin_silence", &mut it.first_event_timeout, DURATION_RANGE);
    s.time("event_silence", &mut it.event_timeout, DURATION_RANGE);
    s.time("first_token", &mut it.first_token, DURATION_RANGE);
    s.number("tokens_per_ms", &mut it.tokens_per_ms, 0.1..=100_000.0);
    s.time("reread_cost", &mut it.reread_cost, MS..=MINUTE);
    s.time("transfer_cost", &mut it.transfer_cost, MS..=MINUTE);
    s.time("load_cost", &mut it.load_cost, MS..=MINUTE);
    s.time("fetch_time", &mut it.fetch_time, DURATION_RANGE);
    s.time("spread", &mut it.max_jitter, MS..=MINUTE);
}

fn batches(s: &mut Section<'_>, it: &mut Tuning) {
    s.time("linger", &mut it.linger, MS..=MINUTE);
    s.number("item_tries", &mut it.max_item_tries, 1..=100);
    s.time("job_memory", &mut it.job_retention, DURATION_RANGE);
}

fn peers(s: &mut Section<'_>, it: &mut Tuning) {
    s.time("beat", &mut it.heartbeat_interval, DURATION_RANGE);
    s.time("silence", &mut it.peer_timeout, DURATION_RANGE);
    s.time("resubmit", &mut it.resubmit_unaccepted, DURATION_RANGE);
    s.time("ask_again", &mut it.resubmit_accepted, DURATION_RANGE);
}

fn shutdown(s: &mut Section<'_>, it: &mut Tuning) {
    s.time("close_after", &mut it.close_after, DURATION_RANGE);
}
