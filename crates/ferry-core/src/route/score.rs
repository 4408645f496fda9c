//! Expected cost of a call to an endpoint.

use std::time::Duration;

use ferry_model::Moment;

use crate::Tuning;
use crate::fleet::{Affinity, EndpointView};

/// Half-life of the credit for a cache entry that no event confirms, in seconds.
const CACHE_HALF_LIFE_SECS: f64 = 30.0;
/// Share of the service time saved by a fully cached prompt.
const PREFILL_SHARE: f64 = 0.5;

/// Returns the expected cost of a call, in microseconds.
///
/// It is (1 + own calls + reported load of others, decayed by its age) × expected service time /
/// slow-start share + the round trip to another zone − the credit for a cached prefix.
pub fn score(
    now: Moment,
    view: &EndpointView,
    median: Duration,
    is_same_zone: bool,
    affinity: Option<&Affinity>,
    tuning: &Tuning,
) -> u64 {
    let service = view.expected_service(now, median);
    let ahead = f64::from(view.outstanding) + view.external_load(now);
    let zone = if is_same_zone { 0.0 } else { tuning.zone_cost.as_secs_f64() };
    let slow_start_share = view.slow_start_share(now, tuning.slow_start);
    let credit = affinity.map_or(0.0, |it| credit(it, view, service));
    let cost = service * (1.0 + ahead) / slow_start_share + zone - credit;
    (cost.max(0.0) * 1e6) as u64
}

fn credit(affinity: &Affinity, view: &EndpointView, service: f64) -> f64 {
    if affinity.endpoint != view.endpoint.id {
        return 0.0;
    }
    let decay = (-affinity.age.as_secs_f64() / CACHE_HALF_LIFE_SECS).exp2();
    service * PREFILL_SHARE * affinity.share * decay * view.cache_trust
}
