//! Starts of endpoints whose entries are not there, or name another start, and what they have said.

use std::time::Duration;

use ferry_model::{EndpointId, Moment, PoolId, SortedMap};

use super::EndpointView;
use super::leaving::Announcement;
use super::statements::Statements;

/// Starts that are kept; more than the endpoints of the largest deployment.
const MAX_STARTS: usize = 8_192;
/// Time for which peers are told that an endpoint is gone. They read that from the store too.
pub(super) const GONE_TIME: Duration = Duration::from_secs(60);

/// A start of an endpoint whose entry is not there, or names another start.
#[derive(Debug, Clone)]
pub(super) struct FormerStart {
    pub started: u64,
    /// None if its entry was never seen here.
    pub pool: Option<PoolId>,
    pub statements: Statements,
    /// When this was recorded, and at which store revision its entry was gone.
    pub at: Moment,
    pub revision: u64,
}

/// Former starts by endpoint, in the order in which they became known as such.
#[derive(Debug, Clone, Default)]
pub(super) struct Departed {
    starts: SortedMap<EndpointId, Vec<FormerStart>>,
    n_starts: usize,
}

impl Departed {
    pub fn add(&mut self, now: Moment, revision: u64, view: EndpointView) {
        let EndpointView { endpoint, statements, .. } = view;
        self.remove(&endpoint.id, endpoint.started);
        let (started, pool) = (endpoint.started, Some(endpoint.pool));
        self.push(endpoint.id, FormerStart { started, pool, statements, at: now, revision });
    }

    /// Records the announcement of a start; returns whether it is new.
    pub fn announce(&mut self, now: Moment, id: &str, started: u64) -> bool {
        let announcement = &mut self.start(now, id, started).statements.announcement;
        std::mem::replace(announcement, Announcement::Made) != Announcement::Made
    }

    /// Returns a start, which has said nothing so far if it is not known.
    pub fn start(&mut self, now: Moment, id: &str, started: u64) -> &mut FormerStart {
        if !self.of(id).iter().any(|it| it.started == started) {
            let statements = Statements::default();
            let start = FormerStart { started, pool: None, statements, at: now, revision: 0 };
            self.push(id.to_owned(), start);
        }
        let starts = self.starts.get_or_insert_with(id.to_owned(), Vec::new);
        let idx = starts.iter().position(|it| it.started == started).unwrap_or_default();
        &mut starts[idx]
    }

    /// Returns the former starts of an endpoint.
    pub fn of(&self, id: &str) -> &[FormerStart] {
        self.starts.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns the starts that have been former ones since a moment.
    pub fn since(&self, since: Moment) -> impl Iterator<Item = (&EndpointId, &FormerStart)> {
        let all = self.starts.iter().flat_map(|(id, it)| it.iter().map(move |it| (id, it)));
        all.filter(move |(_, it)| since <= it.at)
    }

    pub fn remove(&mut self, id: &str, started: u64) {
        let Some(starts) = self.starts.get_mut(id) else { return };
        let n_before = starts.len();
        starts.retain(|it| it.started != started);
        self.n_starts -= n_before - starts.len();
        if starts.is_empty() {
            self.starts.remove(id);
        }
    }

    fn push(&mut self, id: EndpointId, start: FormerStart) {
        if MAX_STARTS <= self.n_starts {
            let all = self.starts.iter();
            let all = all.flat_map(|(id, it)| it.iter().map(move |it| (it.at, id, it.started)));
            if let Some((_, id, started)) = all.min().map(|it| (it.0, it.1.clone(), it.2)) {
                self.remove(&id, started);
            }
        }
        self.n_starts += 1;
        self.starts.get_or_insert_with(id, Vec::new).push(start);
    }
}
