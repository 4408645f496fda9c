//! Expected cost of a call at one endpoint.

use std::time::Duration;

use ferry_model::Moment;

use crate::Tuning;
use crate::fleet::{Affinity, EndpointView};

/// Time in which a cache entry that no event confirms loses half of its credit.
const CACHE_HALF_LIFE: f64 = 30.0;
/// Share of the service time that a fully cached prompt saves.
const PREFILL_SHARE: f64 = 0.5;

/// Returns the expected time of a call, in microseconds.
///
/// It is (own calls + reported load, decayed by its age) × learned service time + the round trip
/// to another zone − the credit for a cached prefix.
pub fn score(
    now: Moment,
    view: &EndpointView,
    usual: Duration,
    is_near: bool,
    affinity: Option<&Affinity>,
    tuning: &Tuning,
) -> u64 {
    let service = view.expected(now, usual);
    let ahead = f64::from(view.outstanding) + view.reported(now);
    let zone = if is_near { 0.0 } else { tuning.zone_cost.as_secs_f64() };
    let warmth = view.warmth(now, tuning.slow_start);
    let credit = affinity.map_or(0.0, |it| credit(it, view, service));
    let cost = service * (1.0 + ahead) / warmth + zone - credit;
    (cost.max(0.0) * 1e6) as u64
}

fn credit(affinity: &Affinity, view: &EndpointView, service: f64) -> f64 {
    if affinity.endpoint != view.endpoint.id {
        return 0.0;
    }
    let fresh = (-affinity.age.as_secs_f64() / CACHE_HALF_LIFE).exp2();
    service * PREFILL_SHARE * affinity.share * fresh * view.trust
}
