//! What endpoints say in their responses of their own leaving, to this instance or to a peer.
//!
//! An announcement holds for one start of an endpoint, whatever its entry says: the entry may be
//! late, or never say so. docs/design/platform.md weighs that.

use std::time::Duration;

use ferry_model::{GatewayEndpoint, Moment, PoolId};

use super::{EndpointView, Endpoints};

/// Interval at which an endpoint is asked whether it leaves.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a doubtful announcement counts if the endpoint cannot be asked, and is needed.
const DOUBT_TIME: Duration = Duration::from_secs(10);
/// The same if it is asked and does not answer clearly. One that leaves has gone by then.
const MAX_DOUBT_TIME: Duration = Duration::from_secs(120);

/// What a response says of whether its endpoint leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeavingReport {
    /// It leaves, and wants nothing new.
    Leaving,
    /// The header has another value.
    Invalid(String),
}

/// What an endpoint answers that is asked whether it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthReport {
    Leaving,
    /// It accepts work.
    Sound,
    /// It has not answered, or not clearly.
    Unknown,
}

/// Whether a start of an endpoint has announced that it leaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Announcement {
    #[default]
    None,
    /// It or another start of the endpoint has; the endpoint is asked.
    Doubtful {
        since: Moment,
        check_at: Moment,
    },
    Made,
}

impl Announcement {
    pub fn doubtful(now: Moment) -> Announcement {
        Announcement::Doubtful { since: now, check_at: now }
    }
}

impl EndpointView {
    /// Whether it may have announced that it leaves.
    pub(super) fn has_announced(&self) -> bool {
        self.statements.announcement != Announcement::None
    }

    /// Whether it takes a call now without a queue, as far as known here.
    fn is_free(&self, now: Moment) -> bool {
        self.is_usable(now) && self.occupancy(now) < self.endpoint.slots.max(1)
    }
}

impl Endpoints {
    /// Records that an endpoint has announced that it leaves, in the response to a request that was
    /// sent when its start `started` was known; returns whether that is new.
    ///
    /// The entry may be gone, or be that of another start, which may be the one that responded. The
    /// clocks of endpoints do not tell, so that it is asked.
    pub fn record_leaving(&mut self, now: Moment, id: &str, started: u64) -> bool {
        let known = self.views.get_mut(id);
        let announcement = match known {
            Some(view) if view.endpoint.started == started => &mut view.statements.announcement,
            Some(_) | None => {
                let is_new = self.departed.announce(now, id, started);
                if is_new {
                    self.doubt(now, id);
                }
                return is_new;
            }
        };
        let is_new = std::mem::replace(announcement, Announcement::Made) != Announcement::Made;
        self.n_changes += u64::from(is_new);
        is_new
    }

    /// Applies that an endpoint may have announced that it leaves.
    pub(super) fn doubt(&mut self, now: Moment, id: &str) {
        let view = self.views.get_mut(id).filter(|it| !it.has_announced());
        if let Some(view) = view {
            view.statements.announcement = Announcement::doubtful(now);
            self.n_changes += 1;
        }
    }

    /// Returns the endpoints that are asked now whether they leave: those of the pools for which
    /// `can_check` is true. Announcements that remain in doubt end after a while; at an endpoint that
    /// cannot be asked only once no other one of its pool is free, as the next request would be the
    /// question.
    pub fn due_checks(
        &mut self,
        now: Moment,
        can_check: impl Fn(&str) -> bool,
    ) -> Vec<GatewayEndpoint> {
        let mut due = Vec::new();
        if self.next_check().is_none_or(|it| now < it) {
            return due;
        }
        let mut with_free: Vec<PoolId> = self.pools.keys().cloned().collect();
        with_free.retain(|it| self.pool(it).any(|it| it.is_free(now)));
        for view in self.views.values_mut() {
            let Announcement::Doubtful { since, check_at } = view.statements.announcement else {
                continue;
            };
            if now < check_at || view.is_evacuated {
                continue;
            }
            let is_checked = can_check(&view.endpoint.pool);
            let limit = if is_checked { MAX_DOUBT_TIME } else { DOUBT_TIME };
            let is_needed = with_free.binary_search(&view.endpoint.pool).is_err();
            if since + limit <= now && (is_checked || is_needed) {
                view.statements.announcement = Announcement::None;
                self.n_changes += 1;
                continue;
            }
            let check_at = now + CHECK_INTERVAL;
            view.statements.announcement = Announcement::Doubtful { since, check_at };
            if is_checked {
                due.push(view.endpoint.clone());
            }
        }
        due
    }

    /// Applies what an endpoint has answered that was asked whether it leaves; returns whether that
    /// settles it.
    pub fn on_health(&mut self, id: &str, started: u64, report: HealthReport) -> bool {
        let is_asked = |it: &&mut EndpointView| {
            it.endpoint.started == started
                && matches!(it.statements.announcement, Announcement::Doubtful { .. })
        };
        let Some(view) = self.views.get_mut(id).filter(is_asked) else { return false };
        view.statements.announcement = match report {
            HealthReport::Leaving => Announcement::Made,
            HealthReport::Sound => Announcement::None,
            HealthReport::Unknown => return false,
        };
        self.n_changes += 1;
        true
    }

    /// Returns when an endpoint is next asked whether it leaves.
    pub(super) fn next_check(&self) -> Option<Moment> {
        let check_at = |it: &EndpointView| match it.statements.announcement {
            Announcement::Doubtful { check_at, .. } => Some(check_at),
            Announcement::None | Announcement::Made => None,
        };
        self.views.values().filter(|it| !it.is_evacuated).filter_map(check_at).min()
    }
}
