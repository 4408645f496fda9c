//! Which build began each stream, so that it goes on at an endpoint of the same build.
//!
//! A caller takes up its stream at any instance, often because the one that began it has failed. Each
//! instance therefore tells a few peers, and others ask them; docs/design/platform.md weighs that
//! against writing to the store.

use std::time::Duration;

use ferry_model::{BuildId, Moment, SortedMap};

use crate::CallerAttempt;

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

/// The builds that began streams, by the attempt that brought the first event.
#[derive(Debug, Clone, Default)]
pub struct Origins {
    records: SortedMap<CallerAttempt, Record>,
    next_expiry: Moment,
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
}
