//! Answers of ended requests, for duplicate requests and for peers that ask about a key.

use std::collections::VecDeque;

use ferry_model::{Answer, ClaimKey, RequestId, SortedMap};
use serde::{Deserialize, Serialize};

/// Maximum number of stored answers.
const MAX_ANSWERS: usize = 4096;
/// Maximum total size of the stored outputs, in bytes.
const MAX_OUTPUT_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of replaceable requests stored for a key.
const MAX_REPLACEABLE: usize = 8;

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RecentAnswers {
    answers: SortedMap<ClaimKey, Box<RecentAnswer>>,
    /// Keys in the order of their answers; a key that was answered twice is listed twice.
    order: VecDeque<(ClaimKey, RequestId)>,
    bytes: usize,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecentAnswer {
    pub digest: u64,
    pub answer: Answer,
    /// Requests under this key that made no unrepeatable call, so that another request may take
    /// over their claim.
    pub replaceable: Vec<RequestId>,
}

impl RecentAnswers {
    pub fn get(&self, key: ClaimKey) -> Option<&RecentAnswer> {
        self.answers.get(&key).map(|it| &**it)
    }

    /// Returns the requests under a key whose claims may be replaced.
    pub fn replaceable(&self, key: ClaimKey) -> Vec<RequestId> {
        self.get(key).map(|it| it.replaceable.clone()).unwrap_or_default()
    }

    pub fn insert(&mut self, key: ClaimKey, digest: u64, answer: Answer, is_replaceable: bool) {
        let mut replaceable = self.replaceable(key);
        if is_replaceable {
            replaceable.push(answer.request);
            replaceable.drain(..replaceable.len().saturating_sub(MAX_REPLACEABLE));
        }
        self.order.push_back((key, answer.request));
        self.bytes += size_of(&answer);
        let before =
            self.answers.insert(key, Box::new(RecentAnswer { digest, answer, replaceable }));
        self.bytes -= before.map_or(0, |it| size_of(&it.answer));
        while MAX_ANSWERS < self.order.len() || MAX_OUTPUT_BYTES < self.bytes {
            let Some((key, request)) = self.order.pop_front() else { return };
            let is_newest = self.get(key).is_some_and(|it| it.answer.request == request);
            if is_newest && let Some(dropped) = self.answers.remove(&key) {
                self.bytes -= size_of(&dropped.answer);
            }
        }
    }
}

fn size_of(answer: &Answer) -> usize {
    answer.output.as_ref().map_or(0, String::len)
}
