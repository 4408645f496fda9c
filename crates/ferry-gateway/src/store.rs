//! The platform's store: its calls, and what follows its objects.

mod follow;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ferry_model::{StorePosition, store_era, store_position, store_revision};
use ferry_platform::FormatError;
use ferry_platform::store::{self, Changes, Kind, Object, Page};
use http::StatusCode;
use thiserror::Error;

use crate::client::{AnswerError, CallError, ConnectionCache, InternalCall};
use crate::driver::Driver;

pub use follow::{follow, register};

/// Time for which a watch waits for changes on an instance that follows the store closely; short,
/// so that a silent connection is detected soon.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// The same on other instances; long, because calls to the store are charged and peers report
/// changes that a silent connection hides.
const RELAXED_WATCH_WAIT: Duration = Duration::from_millis(15_000);
/// The same two for what seldom changes; the second is the longest wait that the store allows.
const SELDOM_WATCH_WAIT: Duration = Duration::from_millis(3_000);
const LONGEST_WATCH_WAIT: Duration = Duration::from_millis(30_000);
/// Time limit for a response, in addition to the wait of a watch.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);

#[derive(Debug, Error)]
pub enum StoreError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error(transparent)]
    Format(#[from] FormatError),
    #[error("the store responded with status {0}")]
    Status(StatusCode),
    #[error("the change history since position {0} has been discarded")]
    HistoryGone(StorePosition),
    #[error("the answer is of era {0}, which another one has followed")]
    OldEra(u64),
    #[error("the store came back from a copy meanwhile")]
    NewEra,
    #[error("a list cannot be read on, as its page names no object behind {0:?}")]
    Stuck(Option<String>),
}

impl StoreError {
    /// Whether the connection of a call ended while that was waiting, which says nothing of the store.
    fn is_cut(&self) -> bool {
        let StoreError::Call(error) = self else { return false };
        matches!(error, CallError::Answer(AnswerError::Http(_)) | CallError::Body(_))
    }
}

/// A client of the store.
pub struct Client {
    driver: Rc<Driver>,
    connections: Rc<ConnectionCache>,
}

impl Client {
    /// Returns a client with a connection of its own, for calls that wait.
    pub fn new(driver: &Rc<Driver>) -> Client {
        Client::with_connections(driver, Rc::default())
    }

    /// Returns a client that shares its connections with others.
    pub fn with_connections(driver: &Rc<Driver>, connections: Rc<ConnectionCache>) -> Client {
        Client { driver: driver.clone(), connections }
    }

    /// Returns the latest era of the store.
    pub fn era(&self) -> u64 {
        self.driver.era.borrow().unwrap_or_default()
    }

    pub async fn call(&self, call: &InternalCall, timeout: Duration) -> Result<Answer, StoreError> {
        self.driver.metrics.count_store_call();
        let response = self.connections.call(self.driver.settings.store, call, timeout).await?;
        if !response.status.is_success() {
            return Err(StoreError::Status(response.status));
        }
        let era = store::era(&response.headers);
        if !self.driver.enter_era(era) {
            return Err(StoreError::OldEra(era));
        }
        Ok(Answer { body: response.body, era })
    }

    /// Returns all objects of a kind, with positions as revisions, and the position from which to
    /// watch.
    pub async fn list(&self, kind: Kind) -> Result<(Vec<Object>, StorePosition), StoreError> {
        let mut objects: Vec<Object> = Vec::new();
        let mut first = None;
        loop {
            let after = objects.last().map(|it| it.name.clone());
            let call = InternalCall::get(store::list_path(kind, after.as_deref()));
            let Answer { body, era } = self.call(&call, RESPONSE_TIMEOUT).await?;
            let page: Page = store::read_page(&body)?;
            self.driver.note_unnamed(page.n_unnamed);
            let last = page.objects.last().map(|it| &it.name);
            let is_stuck = last.or(after.as_ref()) == after.as_ref();
            if page.is_truncated && is_stuck {
                return Err(StoreError::Stuck(after));
            }
            let is_over = !page.is_truncated;
            objects.extend(page.objects.into_iter().map(|it| it.with_era(era)));
            // The watch starts at the position of the first page, so it also returns the changes
            // made while later pages were read.
            let position = *first.get_or_insert(store_position(era, page.revision));
            if store_era(position) != era {
                return Err(StoreError::NewEra);
            }
            if is_over {
                return Ok((objects, position));
            }
        }
    }

    /// Waits for changes after a position, and returns them with the position as revision.
    async fn watch(&self, kind: Kind, from: StorePosition) -> Result<Changes, StoreError> {
        let wait = match (kind, is_watcher(&self.driver)) {
            (Kind::Evacuations, true) => SELDOM_WATCH_WAIT,
            (Kind::Evacuations, false) => LONGEST_WATCH_WAIT,
            (_, true) => WATCH_WAIT,
            (_, false) => RELAXED_WATCH_WAIT,
        };
        let call = InternalCall::get(store::watch_path(kind, store_revision(from), wait));
        match self.call(&call, wait + RESPONSE_TIMEOUT).await {
            // The revision may have been given out again.
            Ok(Answer { era, .. }) if era != store_era(from) => Err(StoreError::NewEra),
            Ok(Answer { body, era }) => {
                let changes = store::read_changes(&body)?;
                Ok(Changes { revision: store_position(era, changes.revision), ..changes })
            }
            Err(StoreError::Status(StatusCode::GONE)) => Err(StoreError::HistoryGone(from)),
            Err(error) => Err(error),
        }
    }
}

/// What the store has answered.
#[derive(Debug)]
pub struct Answer {
    pub body: Bytes,
    /// How often the store had come back from a copy; see [`ferry_model::position`].
    pub era: u64,
}

/// Returns whether this instance follows the store closely.
fn is_watcher(driver: &Rc<Driver>) -> bool {
    let now = driver.now();
    driver.query(|it| it.is_watcher(now))
}
