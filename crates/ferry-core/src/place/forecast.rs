//! Demand forecast from the recent level and from the same time of earlier days.

use std::time::Duration;

use ferry_model::{
    DemandDay, DemandHistory, Moment, ObjectKey, ObjectKind, PoolDemand, StoreError, StoreOp,
    StoreReply, Version,
};
use serde::{Deserialize, Serialize};

use super::PlaceTuning;
use crate::Owner;
use crate::pass::Pass;

/// Time slots of a day, for each of which a level is stored.
const SLOTS_PER_DAY: usize = 48;
/// Stored days; with a hundred pools they take less than a quarter of a megabyte.
const MAX_DAYS: usize = 7;
/// Earlier days that a forecast takes into account.
const COMPARED_DAYS: usize = 3;
/// Stored levels are in tenths of a call.
const LEVEL_SCALE: f64 = 10.0;
/// Bounds of the ratio between today's level and that of earlier days.
const RATIO_BOUNDS: std::ops::RangeInclusive<f64> = 0.6..=1.3;
const HISTORY_NAME: &str = "history";

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum Step {
    Unread,
    Reading,
    Ready,
    Writing,
}

/// A time slot of a day, with days counted from the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct TimeSlot {
    day: u64,
    idx: usize,
}

/// The stored demand of earlier days, to which today's is added.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct History {
    step: Step,
    version: Version,
    days: Vec<DemandDay>,
    /// Time slot of the last write.
    written: Option<TimeSlot>,
    next_read: Moment,
}

impl Default for History {
    fn default() -> Self {
        History {
            step: Step::Unread,
            version: 0,
            days: Vec::new(),
            written: None,
            next_read: Moment::ZERO,
        }
    }
}

impl History {
    /// Reads the stored history again; levels recorded in the meantime are kept.
    pub fn start_term(&mut self) {
        self.step = Step::Unread;
    }

    /// Whether the stored history has been read, even if there is none.
    pub fn is_read(&self) -> bool {
        matches!(self.step, Step::Ready | Step::Writing)
    }

    pub fn tick(&mut self, cx: &mut Pass<'_>) {
        let slot = slot_at(cx.now, &cx.ctx.tuning.place);
        match self.step {
            Step::Unread if self.next_read <= cx.now => {
                self.step = Step::Reading;
                let op = StoreOp::Get { key: history_key() };
                cx.ctx.calls.start(Owner::History, op, cx.effects);
            }
            Step::Ready if self.written.is_some_and(|it| it != slot) => self.write(cx, slot),
            Step::Ready => self.written = Some(slot),
            Step::Unread | Step::Reading | Step::Writing => (),
        }
    }

    pub fn on_store(&mut self, cx: &mut Pass<'_>, result: Result<StoreReply, StoreError>) {
        let retry = cx.now + cx.ctx.tuning.place.lease_poll;
        match (self.step, result) {
            (Step::Reading, Ok(StoreReply::Object(object))) => {
                self.step = Step::Ready;
                self.version = object.as_ref().map_or(0, |it| it.version);
                let stored: DemandHistory =
                    object.and_then(|it| serde_json::from_str(&it.value).ok()).unwrap_or_default();
                self.merge(stored);
            }
            (Step::Writing, Ok(StoreReply::Written(version))) => {
                self.step = Step::Ready;
                self.version = version;
            }
            (Step::Reading | Step::Writing, _) => {
                self.step = Step::Unread;
                self.next_read = retry;
            }
            (Step::Unread | Step::Ready, _) => (),
        }
    }

    /// Records the current level of a pool.
    pub fn record(&mut self, now: Moment, tuning: &PlaceTuning, pool: &str, level: f64) {
        let slot = slot_at(now, tuning);
        let level = (level * LEVEL_SCALE).ceil() as u32;
        let levels = levels_mut(day_mut(&mut self.days, slot.day), pool);
        levels[slot.idx] = levels[slot.idx].max(level);
        let surplus = self.days.len().saturating_sub(MAX_DAYS);
        self.days.drain(..surplus);
    }

    /// Returns the highest level expected of a pool from now until `tuning.lookahead` has passed.
    pub fn forecast(&self, now: Moment, tuning: &PlaceTuning, pool: &str, level: f64) -> f64 {
        if !tuning.forecast {
            return level;
        }
        let current = slot_at(now, tuning);
        let past_now = self.past_peak(current, pool);
        let ratio = match past_now {
            past if past < 1.0 => 1.0,
            past => (level / past).clamp(*RATIO_BOUNDS.start(), *RATIO_BOUNDS.end()),
        };
        let step = slot_length(tuning);
        let n_steps = tuning.lookahead.as_millis().div_ceil(step.as_millis().max(1)) as u32;
        let upcoming = (0..=n_steps)
            .map(|it| now + (step * it).min(tuning.lookahead))
            .map(|at| self.past_peak(slot_at(at, tuning), pool))
            .fold(0.0, f64::max);
        level.max(upcoming * ratio)
    }

    /// Returns the highest level in the same time slot of the last days.
    fn past_peak(&self, slot: TimeSlot, pool: &str) -> f64 {
        self.days
            .iter()
            .filter(|it| it.day < slot.day && slot.day <= it.day + COMPARED_DAYS as u64)
            .filter_map(|it| {
                let idx = it.pools.binary_search_by(|it| it.pool.as_str().cmp(pool)).ok()?;
                it.pools[idx].levels.get(slot.idx).copied()
            })
            .map(|it| f64::from(it) / LEVEL_SCALE)
            .fold(0.0, f64::max)
    }

    fn write(&mut self, cx: &mut Pass<'_>, slot: TimeSlot) {
        self.written = Some(slot);
        self.step = Step::Writing;
        let history = DemandHistory { days: self.days.clone() };
        let value = serde_json::to_string(&history).unwrap_or_default();
        let op = StoreOp::Put { key: history_key(), expect: self.version, value };
        cx.ctx.calls.start(Owner::History, op, cx.effects);
    }

    fn merge(&mut self, stored: DemandHistory) {
        for day in stored.days {
            for pool in day.pools {
                let levels = levels_mut(day_mut(&mut self.days, day.day), &pool.pool);
                for (left, right) in levels.iter_mut().zip(pool.levels) {
                    *left = (*left).max(right);
                }
            }
        }
    }
}

fn day_mut(days: &mut Vec<DemandDay>, day: u64) -> &mut DemandDay {
    let idx = match days.binary_search_by_key(&day, |it| it.day) {
        Ok(idx) => idx,
        Err(idx) => {
            days.insert(idx, DemandDay { day, pools: Vec::new() });
            idx
        }
    };
    &mut days[idx]
}

fn levels_mut<'a>(day: &'a mut DemandDay, pool: &str) -> &'a mut Vec<u32> {
    let idx = match day.pools.binary_search_by(|it| it.pool.as_str().cmp(pool)) {
        Ok(idx) => idx,
        Err(idx) => {
            let levels = vec![0; SLOTS_PER_DAY];
            day.pools.insert(idx, PoolDemand { pool: pool.to_owned(), levels });
            idx
        }
    };
    let levels = &mut day.pools[idx].levels;
    levels.resize(SLOTS_PER_DAY, 0);
    levels
}

fn slot_length(tuning: &PlaceTuning) -> Duration {
    tuning.day_length / SLOTS_PER_DAY as u32
}

fn slot_at(now: Moment, tuning: &PlaceTuning) -> TimeSlot {
    let wall = u128::from(tuning.started_at) + now.as_millis();
    let day = tuning.day_length.as_millis().max(1);
    let idx = (wall % day) * SLOTS_PER_DAY as u128 / day;
    TimeSlot { day: (wall / day) as u64, idx: idx as usize }
}

fn history_key() -> ObjectKey {
    ObjectKey::new(ObjectKind::Demand, HISTORY_NAME)
}
