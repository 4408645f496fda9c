//! Limits and intervals that the reducer decides by, in one section per topic.

use std::ops::RangeInclusive;
use std::time::Duration;

use ferry_core::Tuning;

use super::Section;
use super::choice::Choice;
use super::reader::Reader;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(60 * 60);
/// Bounds of short waits and intervals.
const SHORT: RangeInclusive<Duration> = MS..=MINUTE;
/// Bounds of long periods.
const LONG: RangeInclusive<Duration> = SECOND..=Duration::from_secs(48 * 60 * 60);
/// Bounds of fractions.
const SHARE: RangeInclusive<f64> = 0.0..=1.0;

/// Reads every section; missing keys keep their defaults.
pub fn read(reader: &mut Reader) -> Tuning {
    let mut tuning = Tuning::default();
    requests(&mut Section::new(reader, "tuning"), &mut tuning);
    routing(&mut Section::new(reader, "routing"), &mut tuning);
    claims(&mut Section::new(reader, "claims"), &mut tuning);
    members(&mut Section::new(reader, "membership"), &mut tuning);
    placement(&mut Section::new(reader, "placement"), &mut tuning);
    report_contradictions(reader, &tuning);
    tuning
}

/// Reports values that are valid on their own but not together.
fn report_contradictions(reader: &mut Reader, it: &Tuning) {
    if it.max_deadline < it.min_deadline {
        reader.report("tuning", "max_deadline", "it must be at least min_deadline");
    }
    let s = "membership";
    if it.config_poll_max < it.config_poll {
        reader.report(s, "config_poll_max", "it must be at least config_poll");
    }
    if it.suspect_after < 3 * it.heartbeat_interval {
        reader.report(s, "suspect_after", "it must be at least three times beat_interval");
    }
    if it.place.lease_ttl <= it.place.renew_interval + it.place.lease_margin {
        let problem = "it must be more than the sum of lease_renew and lease_margin";
        reader.report("placement", "lease_life", problem);
    }
}

fn requests(s: &mut Section<'_>, it: &mut Tuning) {
    s.number("max_requests", &mut it.max_requests, 1..=1_000_000);
    s.number("max_queue", &mut it.max_queue, 1..=1_000_000);
    s.number("max_attempts", &mut it.max_attempts, 1..=20);
    s.time("retry_after", &mut it.retry_after, 100 * MS..=MINUTE);
    s.time("min_deadline", &mut it.min_deadline, MS..=MINUTE);
    s.time("max_deadline", &mut it.max_deadline, 100 * MS..=HOUR);
    s.number("admit_share", &mut it.admit_share, SHARE);
    s.number("retry_share", &mut it.retry_share, SHARE);
    s.number("hedge_share", &mut it.hedge_share, SHARE);
    s.number("hedge_quantile", &mut it.hedge_quantile, SHARE);
    s.time("backoff", &mut it.backoff, SHORT);
}

fn routing(s: &mut Section<'_>, it: &mut Tuning) {
    it.policy = s.value("policy", Choice::new(), it.policy);
    s.number("sample", &mut it.sample_size, 1..=64);
    s.time("zone_cost", &mut it.zone_cost, Duration::ZERO..=SECOND);
    s.time("progress", &mut it.stall_timeout, 50 * MS..=MINUTE);
    s.time("silent_time", &mut it.bypass_time, SHORT);
    s.number("eject_after", &mut it.eject_after, 1..=100);
    s.time("eject_time", &mut it.eject_time, 100 * MS..=HOUR);
    s.number("eject_share", &mut it.eject_share, SHARE);
    s.time("slow_start", &mut it.slow_start, SHORT);
    s.number("limit_first", &mut it.initial_limit, 1.0..=10_000.0);
    s.number("limit_most", &mut it.max_limit, 1.0..=10_000.0);
}

fn claims(s: &mut Section<'_>, it: &mut Tuning) {
    s.time("interval", &mut it.claim_interval, SHORT);
    s.time("record", &mut it.settle_delay, SHORT);
    s.time("forward", &mut it.forward_timeout, SHORT);
    s.time("wait", &mut it.holder_timeout, SHORT);
    s.time("bucket", &mut it.segment_age, LONG);
    s.time("retention", &mut it.claim_retention, LONG);
    s.number("output_bytes", &mut it.max_output, 0..=64 * 1024);
}

fn members(s: &mut Section<'_>, it: &mut Tuning) {
    s.time("config_poll", &mut it.config_poll, 50 * MS..=MINUTE);
    s.time("config_poll_max", &mut it.config_poll_max, 50 * MS..=HOUR);
    s.time("store_retry", &mut it.store_retry, SHORT);
    s.time("beat_interval", &mut it.heartbeat_interval, 50 * MS..=MINUTE);
    s.number("beat_fanout", &mut it.heartbeat_fanout, 1..=512);
    s.time("suspect_after", &mut it.suspect_after, 100 * MS..=HOUR);
    s.time("pull_grace", &mut it.pull_grace, SHORT);
    s.time("admin_deadline", &mut it.admin_deadline, SECOND..=MINUTE);
    s.number("status_asks", &mut it.status_rate, 1..=10_000);
    s.time("answer_life", &mut it.answer_ttl, MS..=HOUR);
    s.time("leave_margin", &mut it.leave_margin, SHORT);
}

fn placement(s: &mut Section<'_>, it: &mut Tuning) {
    let it = &mut it.place;
    s.switch("enabled", &mut it.enabled);
    s.time("day", &mut it.day_length, LONG);
    s.time("plan_poll", &mut it.plan_poll, SHORT);
    s.time("lease_life", &mut it.lease_ttl, 100 * MS..=HOUR);
    s.time("lease_renew", &mut it.renew_interval, SHORT);
    s.time("lease_margin", &mut it.lease_margin, SHORT);
    s.time("lease_poll", &mut it.lease_poll, SHORT);
    s.time("order_life", &mut it.order_ttl, SHORT);
    s.time("decide", &mut it.decision_interval, SHORT);
    s.time("inspect", &mut it.inspect_interval, SHORT);
    s.time("inspect_busy", &mut it.busy_interval, SHORT);
    s.time("beat_life", &mut it.heartbeat_ttl, SHORT);
    s.number("loads_at_once", &mut it.max_loading, 1..=10_000);
    s.number("share", &mut it.drain_share, SHARE);
    s.number("utilisation", &mut it.utilisation, SHARE);
    s.time("hold", &mut it.hold_time, MS..=HOUR);
    s.time("ahead", &mut it.lookahead, MS..=HOUR);
    s.switch("forecast", &mut it.forecast);
}
