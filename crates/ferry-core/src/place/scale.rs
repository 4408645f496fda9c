//! Sizes pools: they grow at once, and shrink only after demand has stayed low.

use ferry_model::{EndpointId, Moment, PoolId, SortedMap, ZoneId};
use serde::{Deserialize, Serialize};

use super::PlaceTuning;
use super::engines::CapacityState;

/// Standard deviations of a Poisson-distributed level that capacity covers beyond the mean.
const HEADROOM: f64 = 2.0;

/// The endpoints that each pool recently needed.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct NeedHistory {
    /// The needs of each pool that no later one reaches, oldest and highest first.
    needs: SortedMap<PoolId, Vec<(Moment, u32)>>,
}

impl NeedHistory {
    /// Records what a pool needs now and returns its highest need within the hold time.
    pub fn record(&mut self, now: Moment, tuning: &PlaceTuning, pool: &str, need: u32) -> u32 {
        let needs = self.needs.get_or_insert_with(pool.to_owned(), Vec::new);
        needs.retain(|(at, known)| now < *at + tuning.hold_time && need < *known);
        needs.push((now, need));
        needs[0].1
    }
}

/// Returns how many endpoints with `slots` each serve `level` concurrent calls.
pub fn endpoints_for(level: f64, slots: f64, utilisation: f64) -> u32 {
    let calls = level + HEADROOM * level.sqrt();
    (calls / (slots * utilisation).max(f64::MIN_POSITIVE)).ceil() as u32
}

/// An endpoint of a pool that may hold capacity.
#[derive(Debug, Clone)]
pub struct Candidate {
    pub id: EndpointId,
    pub zone: ZoneId,
    pub state: CapacityState,
}

/// Returns the endpoints that should hold capacity, sorted.
///
/// Serving endpoints come first, then those closest to serving, spread over the
/// availability zones. Serving endpoints beyond `target` are dropped only as long as
/// at most `max_draining` drain at once.
pub fn choose_kept(
    candidates: &[Candidate],
    target: usize,
    max_draining: usize,
) -> Vec<EndpointId> {
    let count = |state| candidates.iter().filter(|it| it.state == state).count();
    let n_serving = count(CapacityState::Serving);
    let n_droppable = max_draining.saturating_sub(count(CapacityState::Draining));
    let n_kept = target.max(n_serving.saturating_sub(n_droppable));

    let mut order: Vec<(CapacityState, usize, &Candidate)> = Vec::new();
    let mut per_zone: SortedMap<(CapacityState, &str), usize> = SortedMap::new();
    for it in candidates.iter().filter(|it| it.state != CapacityState::Unknown) {
        let n_before = per_zone.get_or_insert_with((it.state, it.zone.as_str()), || 0);
        order.push((it.state, *n_before, it));
        *n_before += 1;
    }
    order.sort_by(|left, right| (left.0, left.1, &left.2.id).cmp(&(right.0, right.1, &right.2.id)));
    let mut kept: Vec<EndpointId> =
        order.into_iter().take(n_kept).map(|(_, _, it)| it.id.clone()).collect();
    kept.sort();
    kept
}
