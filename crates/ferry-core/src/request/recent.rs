//! Answers of ended requests, for callers that repeat a key and peers that ask for one.

use std::collections::VecDeque;

use ferry_model::{Answer, ClaimKey, RequestId, SortedMap};
use serde::{Deserialize, Serialize};

/// Most answers kept.
const MOST_ANSWERS: usize = 4096;
/// Most bytes of output kept.
const MOST_BYTES: usize = 8 * 1024 * 1024;
/// Most requests remembered under one key as never dispatched.
const MOST_SPARED: usize = 8;

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Recent {
    answers: SortedMap<ClaimKey, Box<Kept>>,
    /// Keys in the order of their answers; a key answered twice stands twice.
    order: VecDeque<(ClaimKey, RequestId)>,
    bytes: usize,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Kept {
    pub digest: u64,
    pub answer: Answer,
    /// Requests under this key that wrote nothing which may not be repeated.
    pub spared: Vec<RequestId>,
}

impl Recent {
    pub fn get(&self, key: ClaimKey) -> Option<&Kept> {
        self.answers.get(&key).map(|it| &**it)
    }

    /// Returns the requests under a key that certainly never ran.
    pub fn spared(&self, key: ClaimKey) -> Vec<RequestId> {
        self.get(key).map(|it| it.spared.clone()).unwrap_or_default()
    }

    pub fn keep(&mut self, key: ClaimKey, digest: u64, answer: Answer, is_spared: bool) {
        let mut spared = self.spared(key);
        if is_spared {
            spared.push(answer.request);
            spared.drain(..spared.len().saturating_sub(MOST_SPARED));
        }
        self.order.push_back((key, answer.request));
        self.bytes += size_of(&answer);
        let before = self.answers.insert(key, Box::new(Kept { digest, answer, spared }));
        self.bytes -= before.map_or(0, |it| size_of(&it.answer));
        while MOST_ANSWERS < self.order.len() || MOST_BYTES < self.bytes {
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
