//! What instances tell each other of endpoints that are to get less, or nothing.
//!
//! A request reaches an endpoint through the instance that collects its items, or to which it was
//! passed on. That instance is bound by what the one that took the request knows.

use std::time::Duration;

use ferry_model::{EndpointId, Moment, store_revision};
use serde::{Deserialize, Serialize};

use super::departed::{FormerStart, GONE_TIME};
use super::leaving::Announcement;
use super::statements::Statements;
use super::{EndpointView, Endpoints};

/// Most notices that go with one message.
const MAX_NOTICES: usize = 64;

/// What an instance knows of an endpoint that binds those who send to it on its behalf.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNotice {
    pub endpoint: EndpointId,
    pub restriction: Restriction,
}

/// Why an endpoint is to get nothing, at least for a while. The order of the kinds is a released
/// format, see docs/UPGRADES.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Restriction {
    /// This start of it has announced that it leaves.
    Announced { started: u64 },
    /// Its entry at this revision of the store says that it leaves, or is gone.
    Withdrawn { revision: u64 },
    /// This start of it has asked for a pause that ends after this time.
    Paused { started: u64, left: Duration },
    /// This start of it is cold for this time, in which it takes few requests.
    Cold { started: u64, left: Duration },
}

impl EndpointNotice {
    fn new(endpoint: &str, restriction: Restriction) -> EndpointNotice {
        EndpointNotice { endpoint: endpoint.to_owned(), restriction }
    }

    /// Replaces a position by the revision of the store.
    pub fn drop_era(&mut self) {
        match &mut self.restriction {
            Restriction::Withdrawn { revision } => *revision = store_revision(*revision),
            Restriction::Announced { .. }
            | Restriction::Paused { .. }
            | Restriction::Cold { .. } => (),
        }
    }
}

impl Endpoints {
    /// Returns what is known of the endpoints of a pool that a peer may not know, which has read the
    /// changes of the store up to `last_change`. Announcements come first.
    pub fn notices(&self, now: Moment, pool: &str, last_change: u64) -> Vec<EndpointNotice> {
        let since = now.saturating_sub(GONE_TIME);
        let (mut announced, mut others) = (Vec::new(), Vec::new());
        for view in self.pool(pool) {
            let (id, started) = (view.endpoint.id.as_str(), view.endpoint.started);
            announced.extend(
                self.announced_starts(view, since)
                    .map(|started| EndpointNotice::new(id, Restriction::Announced { started })),
            );
            if let Some(revision) = view.withdrawn_at().filter(|it| last_change < *it) {
                others.push(EndpointNotice::new(id, Restriction::Withdrawn { revision }));
            }
            let left = view.statements.pause.own_left(now);
            if !left.is_zero() {
                others.push(EndpointNotice::new(id, Restriction::Paused { started, left }));
            }
            others.extend(self.cold_notices(now, id));
        }
        let gone = self.gone(since).filter(|it| it.1.pool.as_deref() == Some(pool));
        for (id, it) in gone {
            if it.statements.announcement == Announcement::Made {
                let restriction = Restriction::Announced { started: it.started };
                announced.push(EndpointNotice::new(id, restriction));
            }
            if last_change < it.revision {
                let restriction = Restriction::Withdrawn { revision: it.revision };
                others.push(EndpointNotice::new(id, restriction));
            }
        }
        announced.append(&mut others);
        announced.truncate(MAX_NOTICES);
        announced
    }

    /// Returns the starts of an endpoint that have announced that they leave, one of which it is, or
    /// may be.
    fn announced_starts(
        &self,
        view: &EndpointView,
        since: Moment,
    ) -> impl Iterator<Item = u64> + use<'_> {
        let is_doubtful = matches!(view.statements.announcement, Announcement::Doubtful { .. });
        let own =
            (view.statements.announcement == Announcement::Made).then_some(view.endpoint.started);
        let others = self.departed.of(&view.endpoint.id).iter();
        let others = others.filter(move |it| {
            it.statements.announcement == Announcement::Made && (is_doubtful || since <= it.at)
        });
        own.into_iter().chain(others.map(|it| it.started))
    }

    /// Returns the announcements of all endpoints, also of those whose entries may come back.
    pub fn announcements(&self, now: Moment) -> Vec<EndpointNotice> {
        let listed = self.views.iter().map(|(id, it)| (id, it.endpoint.started, &it.statements));
        let gone = self.gone(now.saturating_sub(GONE_TIME));
        let gone = gone.map(|(id, it)| (id, it.started, &it.statements));
        let announced = listed.chain(gone).filter(|it| it.2.announcement == Announcement::Made);
        let notice = |(id, started, _): (&EndpointId, u64, &Statements)| {
            EndpointNotice::new(id, Restriction::Announced { started })
        };
        announced.map(notice).collect()
    }

    /// Returns the starts of endpoints without an entry that were known since a moment.
    pub(super) fn gone(&self, since: Moment) -> impl Iterator<Item = (&EndpointId, &FormerStart)> {
        self.departed.since(since).filter(|it| !self.views.contains_key(it.0))
    }

    /// Applies what a peer knows of an endpoint; returns whether that is new here.
    pub fn apply_notice(&mut self, now: Moment, notice: &EndpointNotice) -> bool {
        let id = notice.endpoint.as_str();
        match notice.restriction {
            Restriction::Announced { started } => self.record_leaving(now, id, started),
            Restriction::Withdrawn { revision } => self.withdraw(now, revision, id),
            Restriction::Paused { started, left } => self.extend_pause(now, id, started, left),
            Restriction::Cold { started, left } => self.extend_cold(now, id, started, left),
        }
    }

    /// Applies that a peer has read at a store revision that an endpoint leaves, or is gone. What
    /// this instance has read itself by then says the same, unless it keeps the endpoint although
    /// its entry is missing.
    fn withdraw(&mut self, now: Moment, revision: u64, id: &str) -> bool {
        let own_revision = self.revision;
        let Some(view) = self.views.get_mut(id) else { return false };
        if own_revision < revision {
            let is_new = !view.leaves();
            view.withdrawn = view.withdrawn.max(Some(revision));
            self.n_changes += u64::from(is_new);
            return is_new;
        }
        if view.missing_since.is_none() || revision < view.revision {
            return false;
        }
        self.forget(now, own_revision, id);
        self.record_change(own_revision, id);
        self.index();
        true
    }

    /// Ends what peers had read before this instance did; returns whether there was any.
    pub(super) fn end_withdrawals(&mut self) -> bool {
        let revision = self.revision;
        let is_over = |it: &&mut EndpointView| it.withdrawn.is_some_and(|it| it <= revision);
        let mut has_ended = false;
        for view in self.views.values_mut().filter(is_over) {
            view.withdrawn = None;
            has_ended = true;
        }
        has_ended
    }
}

impl EndpointView {
    /// Returns the store revision at which it was last read that it leaves, if it was.
    fn withdrawn_at(&self) -> Option<u64> {
        match self.is_listed_live() {
            true => self.withdrawn,
            false => Some(self.revision),
        }
    }
}
