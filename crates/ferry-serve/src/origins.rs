//! Which build began each stream, so that it goes on at an endpoint of the same build.
//!
//! A caller takes up its stream at any instance, often because the one that began it has failed, and
//! all of them may fail at once. While a pool has several builds, or had them a short while ago, an
//! instance sends the build that began a stream to a few peers, and writes it to the store. Which builds a pool
//! has is recorded there as well; docs/design/platform.md#streams-and-builds has the protocol.

pub(crate) mod exchange;
mod ledger;
mod reader;
mod record;
mod writer;

use std::time::Duration;

use ferry_model::{BuildId, ConfigVersion, Moment, PoolId, SortedMap};

use crate::{CallerAttempt, Endpoints};

pub use record::{
    PoolBuilds, ReadId, RecordCall, RecordReply, StoredRecords, StreamRecord, StreamSlot,
    WriteFailure,
};

use ledger::BuildLedger;
use reader::RecordReader;
use writer::StreamWriter;

/// Peers that are told which build began a stream: two may fail together with the instance.
pub const N_HOLDERS: usize = 3;
/// Peers that are asked; more than are told, as instances may have come and gone since.
pub const N_ASKED: usize = 6;
/// Time for which a record is kept after the deadline of its request.
const RETENTION: Duration = Duration::from_secs(5);
/// Interval at which old records are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Records that are kept at a time; beyond it, the next ones are dropped.
const MAX_RECORDS: usize = 50_000;

#[derive(Debug, Clone)]
struct Record {
    build: BuildId,
    expires: Moment,
}

/// What the last review of the pools was based on.
type ReviewBasis = (u64, u64, ConfigVersion);

/// The builds that began streams, and the builds of each pool.
#[derive(Debug, Clone, Default)]
pub struct Origins {
    /// By the attempt that brought the first event.
    records: SortedMap<CallerAttempt, Record>,
    next_expiry: Moment,
    ledger: BuildLedger,
    reader: RecordReader,
    writer: StreamWriter,
    reviewed: ReviewBasis,
    /// Pools whose streams are recorded, sorted.
    mixed: Vec<PoolId>,
}

impl Origins {
    pub fn new() -> Origins {
        Origins::default()
    }

    /// Records the build that began a stream, whose request has this much time left.
    pub fn record(
        &mut self,
        now: Moment,
        attempt: CallerAttempt,
        build: BuildId,
        time_left: Duration,
    ) {
        if self.next_expiry <= now {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.records.retain(|_, it| now < it.expires);
        }
        if self.records.len() < MAX_RECORDS {
            // A peer sends the time left, which may be any.
            let expires = now.saturating_add(time_left).saturating_add(RETENTION);
            self.records.insert(attempt, Record { build, expires });
        }
    }

    pub fn build(&self, attempt: &CallerAttempt) -> Option<&BuildId> {
        self.records.get(attempt).map(|it| &it.build)
    }

    /// Whether streams of a pool are recorded: it may have had several builds within the time of a
    /// request.
    pub fn is_mixed(&self, pool: &str) -> bool {
        self.mixed.binary_search_by(|it| it.as_str().cmp(pool)).is_ok()
    }

    /// Returns the only build with which streams of a pool can have begun that are still taken up; none
    /// if there may be others.
    pub fn only_build(&self, endpoints: &Endpoints, pool: &str) -> Option<BuildId> {
        self.ledger.only_build(endpoints, pool)
    }

    /// Wants the records in the store to be read from now on; returns the number of that read.
    pub fn request_read(&mut self, now: Moment, with_streams: bool) -> ReadId {
        self.reader.request(now, with_streams)
    }

    /// Returns the builds of all pools that are recorded in the store.
    pub fn pool_builds(&self) -> Vec<PoolBuilds> {
        self.ledger.recorded().cloned().collect()
    }

    /// Returns when something is due that is not caused by an event.
    pub fn next_wake(&self) -> Option<Moment> {
        let due = [self.ledger.next_wake(), self.reader.next_wake(), self.writer.next_wake()];
        due.into_iter().flatten().min()
    }
}
