//! What starts of endpoints said of themselves whose entries are not there, or name another start.

use std::time::Duration;

use ferry_model::{EndpointId, Moment, PoolId, SortedMap};

use super::EndpointView;
use super::leaving::Announcement;
use super::pause::Pause;

/// Statements that are kept; more than the endpoints of the largest deployment.
const MAX_STATEMENTS: usize = 8_192;
/// Time for which peers are told that an endpoint is gone. They read that from the store too.
pub(super) const GONE_TIME: Duration = Duration::from_secs(60);

/// What one start of an endpoint has said of itself.
#[derive(Debug, Clone)]
pub(super) struct Statement {
    pub started: u64,
    /// None if its entry was never seen here.
    pub pool: Option<PoolId>,
    pub announcement: Announcement,
    pub pause: Pause,
    /// When this was recorded, and at which store revision its entry was gone.
    pub at: Moment,
    pub revision: u64,
}

/// Statements by endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct Departed {
    statements: SortedMap<EndpointId, Vec<Statement>>,
    n_statements: usize,
}

impl Departed {
    pub fn add(&mut self, now: Moment, revision: u64, view: EndpointView) {
        let EndpointView { endpoint, announcement, pause, .. } = view;
        self.remove(&endpoint.id, endpoint.started);
        let (started, pool) = (endpoint.started, Some(endpoint.pool));
        let statement = Statement { started, pool, announcement, pause, at: now, revision };
        self.push(endpoint.id, statement);
    }

    /// Records the announcement of a start; returns whether it is new.
    pub fn announce(&mut self, now: Moment, id: &str, started: u64) -> bool {
        let statement = self.start(now, id, started);
        let before = std::mem::replace(&mut statement.announcement, Announcement::Made);
        before != Announcement::Made
    }

    /// Returns what a start has said, which is nothing so far if it is not known.
    pub fn start(&mut self, now: Moment, id: &str, started: u64) -> &mut Statement {
        if !self.of(id).iter().any(|it| it.started == started) {
            let (announcement, pause) = (Announcement::default(), Pause::default());
            let statement =
                Statement { started, pool: None, announcement, pause, at: now, revision: 0 };
            self.push(id.to_owned(), statement);
        }
        let statements = self.statements.get_or_insert_with(id.to_owned(), Vec::new);
        let idx = statements.iter().position(|it| it.started == started).unwrap_or_default();
        &mut statements[idx]
    }

    /// Returns what starts of an endpoint have said.
    pub fn of(&self, id: &str) -> &[Statement] {
        self.statements.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns what starts of endpoints of a pool have said whose entries were gone after `since`.
    pub fn of_pool(
        &self,
        pool: &str,
        since: Moment,
    ) -> impl Iterator<Item = (&EndpointId, &Statement)> {
        let all = self.statements.iter().flat_map(|(id, it)| it.iter().map(move |it| (id, it)));
        all.filter(move |(_, it)| since <= it.at && it.pool.as_deref() == Some(pool))
    }

    pub fn remove(&mut self, id: &str, started: u64) {
        let Some(statements) = self.statements.get_mut(id) else { return };
        let n_before = statements.len();
        statements.retain(|it| it.started != started);
        self.n_statements -= n_before - statements.len();
        if statements.is_empty() {
            self.statements.remove(id);
        }
    }

    fn push(&mut self, id: EndpointId, statement: Statement) {
        if MAX_STATEMENTS <= self.n_statements {
            let all = self.statements.iter();
            let all = all.flat_map(|(id, it)| it.iter().map(move |it| (it.at, id, it.started)));
            if let Some((_, id, started)) = all.min().map(|it| (it.0, it.1.clone(), it.2)) {
                self.remove(&id, started);
            }
        }
        self.n_statements += 1;
        self.statements.get_or_insert_with(id, Vec::new).push(statement);
    }
}
