//! What a start of an endpoint has said of itself in its responses.
//!
//! A response does not name the start that gave it, and the entry of a start may come long after its
//! first response. Clocks of endpoints and instances may be off by any time, so that only the order of
//! events at this instance tells starts apart; see docs/design/platform.md.

use std::time::Duration;

use ferry_model::{EndpointId, GatewayEndpoint, Moment};

use super::departed::FormerStart;
use super::leaving::Announcement;
use super::pause::Pause;
use super::rate_limit::RateLimit;
use super::{EndpointView, Endpoints};

/// Longest time for which an endpoint serves before its entry is known here.
const MAX_ENTRY_DELAY: Duration = Duration::from_secs(120);
/// Start of an endpoint of which only peers have heard, and not which one.
const UNKNOWN_START: u64 = 0;

/// All that one start has said, so that no kind of statement gets lost on a way of its own.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Statements {
    pub announcement: Announcement,
    pub pause: Pause,
    pub rate_limit: RateLimit,
}

impl Statements {
    /// Adds what another start has said of which this one, whose entry came later, may be the author.
    ///
    /// An announcement that may be of another start is not certain; the endpoint is asked.
    fn adopt(&mut self, now: Moment, other: &Statements) {
        if other.announcement == Announcement::Made && self.announcement == Announcement::None {
            self.announcement = Announcement::doubtful(now);
        }
        let is_recent = |said_at: Moment| now <= said_at + MAX_ENTRY_DELAY;
        if is_recent(other.pause.asked_at) {
            self.pause = self.pause.longer(other.pause);
        }
        if is_recent(other.rate_limit.said_at()) {
            self.rate_limit = self.rate_limit.later(other.rate_limit);
        }
    }
}

impl Endpoints {
    /// Returns what an endpoint has said, in the response to a request that was sent when its start
    /// `started` was known. With an entry, that is the start which the entry names.
    pub(super) fn statements(&mut self, now: Moment, id: &str, started: u64) -> &mut Statements {
        match self.views.get_mut(id) {
            Some(view) => &mut view.statements,
            None => &mut self.departed.start(now, id, started).statements,
        }
    }

    /// Returns the start of an endpoint that was known last.
    pub(super) fn last_start(&self, id: &str) -> u64 {
        let departed = || self.departed.of(id).last().map(|it| it.started);
        let listed = self.views.get(id).map(|it| it.endpoint.started);
        listed.or_else(departed).unwrap_or(UNKNOWN_START)
    }

    /// Adds the endpoint of an entry, with what is known of its start.
    pub(super) fn insert(&mut self, now: Moment, revision: u64, endpoint: GatewayEndpoint) {
        let id = endpoint.id.clone();
        let mut view = EndpointView::new(endpoint, revision);
        let started = view.endpoint.started;
        let former = self.departed.of(&id);
        let same = former.iter().find(|it| it.started == started);
        view.statements = same.map(|it| it.statements).unwrap_or_default();
        for FormerStart { statements, .. } in former.iter().filter(|it| it.started != started) {
            view.statements.adopt(now, statements);
        }
        let is_new = same.is_none();
        self.departed.remove(&id, started);
        let cold_left = view.endpoint.cold_left;
        self.views.insert(id.clone(), view);
        self.record_cold(now, &id, started, cold_left);
        match self.has_list {
            true if is_new => self.presume_cold(now, &id),
            true => (),
            false => self.mark_cold_before(&id),
        }
    }

    /// Removes an endpoint; what it said of itself is kept for the case that its entry comes back, or
    /// that of a later start which has said it.
    pub(super) fn forget(&mut self, now: Moment, revision: u64, id: &str) {
        if let Some(view) = self.views.remove(id) {
            self.departed.add(now, revision, view);
        }
    }

    /// Replaces an endpoint by another start of it.
    pub(super) fn restart(&mut self, now: Moment, revision: u64, endpoint: GatewayEndpoint) {
        let id: EndpointId = endpoint.id.clone();
        self.forget(now, revision, &id);
        self.insert(now, revision, endpoint);
    }
}
