//! Entries that are missing in the store since it was away, and may be registered again.

use ferry_model::{EndpointId, Moment};

use super::{EndpointView, Endpoints};
use crate::Tuning;

impl Endpoints {
    /// Whether a missing entry may only have expired while the store was unreachable.
    pub(super) fn may_have_lapsed(&self, now: Moment) -> bool {
        self.is_store_down || self.rejoin_until.is_some_and(|it| now < it)
    }

    /// Whether entries are missing that may be registered again.
    pub fn has_missing(&self) -> bool {
        self.views.values().any(|it| it.missing_since.is_some())
    }

    /// Removes endpoints whose entries have been missing for the rejoin window.
    ///
    /// The time counts from the last answer of the store that had the entry, so that it is over in time
    /// however seldom this instance looks, and a store which comes and goes does not start it again.
    /// Endpoints of a pool that would be left without any are kept until the store has been reachable
    /// for that long.
    pub fn tick(&mut self, now: Moment, tuning: &Tuning) {
        let is_over = self.rejoin_until.is_some_and(|it| it <= now);
        if is_over {
            self.rejoin_until = None;
        }
        self.expire_zones(now);
        self.expire_cold(now);
        let may_have_lapsed = self.may_have_lapsed(now);
        let is_gone = |it: &&EndpointView| {
            let end = it.missing_since.map(|since| since + tuning.rejoin_window);
            match may_have_lapsed {
                true => end.is_some_and(|end| end <= now) && self.has_other(it),
                false => end.is_some(),
            }
        };
        let gone: Vec<EndpointId> =
            self.views.values().filter(is_gone).map(|it| it.endpoint.id.clone()).collect();
        if gone.is_empty() {
            return;
        }
        for id in gone {
            self.forget(now, self.revision, &id);
            self.record_change(self.revision, &id);
        }
        self.index();
    }

    /// Returns when an endpoint may be removed because its entry is missing, or is asked whether it
    /// leaves.
    pub fn next_wake(&self, now: Moment, tuning: &Tuning) -> Option<Moment> {
        let missing = self.views.values().filter_map(|it| it.missing_since);
        let ends = missing.map(|it| it + tuning.rejoin_window).filter(|it| now < *it);
        let others =
            self.next_check().into_iter().chain(self.next_zone_end()).chain(self.next_warm());
        ends.chain(others).chain(self.rejoin_until).min()
    }

    /// Whether an endpoint of the same pool accepts work whose entry is not missing.
    fn has_other(&self, view: &EndpointView) -> bool {
        let is_other = |it: &EndpointView| it.missing_since.is_none() && !it.leaves();
        self.pool(&view.endpoint.pool).any(is_other)
    }
}
