//! What endpoints announce in their responses of their own leaving.
//!
//! An announcement holds for one start of an endpoint, whatever its entry says: the entry may be
//! late, or never say so. docs/design/platform.md weighs that.

use std::time::Duration;

use ferry_model::{EndpointId, GatewayEndpoint, Moment};

use super::pause::Pause;
use super::{EndpointView, Endpoints};

/// Time for which an announcement counts for a start whose entry came after it, unless it is
/// repeated.
const UNSURE_TIME: Duration = Duration::from_secs(10);
/// Endpoints without an entry that are remembered, as an entry may come back.
const MAX_DEPARTED: usize = 512;

/// What a response says of whether its endpoint leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeavingReport {
    /// It leaves, and wants nothing new.
    Leaving,
    /// The header has another value.
    Invalid(String),
}

/// What a start of an endpoint said of itself, whose entry is gone.
#[derive(Debug, Clone)]
struct Statement {
    id: EndpointId,
    started: u64,
    has_announced: bool,
    pause: Pause,
}

/// Statements of endpoints whose entries are gone, oldest first.
#[derive(Debug, Clone, Default)]
pub(super) struct Departed(Vec<Statement>);

impl Departed {
    fn add(&mut self, view: EndpointView) {
        let EndpointView { endpoint, has_announced, pause, .. } = view;
        let GatewayEndpoint { id, started, .. } = endpoint;
        if !has_announced && pause == Pause::default() {
            return;
        }
        self.0.retain(|it| it.id != id || it.started != started);
        if MAX_DEPARTED <= self.0.len() {
            self.0.remove(0);
        }
        self.0.push(Statement { id, started, has_announced, pause });
    }

    fn find(&self, endpoint: &GatewayEndpoint) -> Option<&Statement> {
        let is_same = |it: &&Statement| it.id == endpoint.id && it.started == endpoint.started;
        self.0.iter().find(is_same)
    }
}

impl Endpoints {
    /// Records that an endpoint has announced that it leaves, in the response to a request that was
    /// sent when its start `started` was known; returns whether that is new.
    ///
    /// The entry of another start may have come since. That start may be the one that responded.
    pub fn record_leaving(&mut self, now: Moment, id: &str, started: u64) -> bool {
        let at = self.start + now;
        let Some(view) = self.get_mut(id) else { return false };
        let is_expected = view.endpoint.started == started;
        if !is_expected && at < Duration::from_millis(view.endpoint.started) {
            return false;
        }
        let is_new = !std::mem::replace(&mut view.has_announced, true);
        if is_expected {
            view.unsure_until = None;
        } else if is_new {
            view.unsure_until = Some(now + UNSURE_TIME);
        }
        view.announced_at = at;
        self.n_changes += u64::from(is_new);
        is_new
    }

    /// Replaces an endpoint by another start of it.
    ///
    /// A start that had begun before the announcement may be the one that made it, while its entry
    /// came later. The clocks of endpoints differ, so that this holds for a while only.
    pub(super) fn restart(&mut self, now: Moment, endpoint: GatewayEndpoint) -> &mut EndpointView {
        let id = endpoint.id.clone();
        let began_at = Duration::from_millis(endpoint.started);
        let before = self.views.get(&id).filter(|it| it.has_announced);
        let announced_at = before.map(|it| it.announced_at).filter(|it| began_at <= *it);
        self.forget(&id);
        let view = self.insert(endpoint);
        if let Some(at) = announced_at.filter(|_| !view.has_announced) {
            view.has_announced = true;
            view.announced_at = at;
            view.unsure_until = Some(now + UNSURE_TIME);
        }
        view
    }

    /// Ends the announcements that may have been another start's.
    pub(super) fn end_unsure(&mut self, now: Moment) {
        let is_due = |it: &&mut EndpointView| it.unsure_until.is_some_and(|it| it <= now);
        for view in self.views.values_mut().filter(is_due) {
            view.unsure_until = None;
            view.has_announced = false;
            self.n_changes += 1;
        }
    }

    /// Adds the endpoint of an entry.
    pub(super) fn insert(&mut self, endpoint: GatewayEndpoint) -> &mut EndpointView {
        let id = endpoint.id.clone();
        let mut view = EndpointView::new(endpoint);
        if let Some(statement) = self.departed.find(&view.endpoint) {
            view.has_announced = statement.has_announced;
            view.pause = statement.pause;
        }
        self.views.get_or_insert_with(id, || view)
    }

    /// Removes an endpoint; what it said of itself is kept for the case that its entry comes back.
    pub(super) fn forget(&mut self, id: &str) {
        if let Some(view) = self.views.remove(id) {
            self.departed.add(view);
        }
    }
}
