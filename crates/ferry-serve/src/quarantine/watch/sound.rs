//! The sound answers of a pool that one instance has seen.

use std::collections::VecDeque;
use std::time::Duration;

use ferry_model::{Moment, SortedMap};

use crate::PartId;
use crate::RequestDigest;
use crate::quarantine::CrashCandidate;

const MAX_SOUND_PARTS: usize = 2_048;
/// Sound answers of a pool that are kept, the newest ones.
const MAX_SOUND_REQUESTS: usize = 8_192;
/// Time after which a sound answer counts little in the rate of them.
const RATE_TIME: Duration = Duration::from_secs(10);

/// Sound answers of one pool.
#[derive(Debug, Clone, Default)]
pub struct SoundAnswers {
    /// When the last answer to each part was sound.
    parts: SortedMap<PartId, Moment>,
    /// Requests, in the order of their ends.
    requests: VecDeque<(Moment, RequestDigest)>,
    /// Their number, in which older ones count less, at the moment of the last one.
    n_recent: f64,
    last_at: Moment,
}

impl SoundAnswers {
    /// Records an answer with these candidates that was whole at `at`.
    pub fn record(&mut self, at: Moment, candidates: impl Iterator<Item = CrashCandidate>) {
        self.n_recent = self.n_recent(at) + 1.0;
        self.last_at = at.max(self.last_at);
        for candidate in candidates {
            match candidate {
                CrashCandidate::Part(part) => {
                    let last = self.parts.get_or_insert_with(part, || at);
                    *last = at.max(*last);
                }
                CrashCandidate::Request(digest) => self.requests.push_back((at, digest)),
            }
        }
        while MAX_SOUND_PARTS < self.parts.len() {
            let oldest = self.parts.iter().min_by_key(|it| it.1).map(|it| *it.0);
            let Some(oldest) = oldest else { break };
            self.parts.remove(&oldest);
        }
        while MAX_SOUND_REQUESTS < self.requests.len() {
            self.requests.pop_front();
        }
    }

    /// Returns when the last answer to a candidate was sound.
    pub fn last(&self, candidate: CrashCandidate) -> Option<Moment> {
        match candidate {
            CrashCandidate::Part(part) => self.parts.get(&part).copied(),
            CrashCandidate::Request(digest) => {
                self.requests.iter().rev().find(|it| it.1 == digest).map(|it| it.0)
            }
        }
    }

    /// Returns the sound answers per second.
    pub fn rate(&self, now: Moment) -> f64 {
        self.n_recent(now) / RATE_TIME.as_secs_f64()
    }

    fn n_recent(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.last_at).as_secs_f64();
        self.n_recent * (-age / RATE_TIME.as_secs_f64()).exp()
    }
}
