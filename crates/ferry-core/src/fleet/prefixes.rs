//! Prompt prefixes and the endpoints that probably have them cached.

use std::time::Duration;

use ferry_model::{EndpointId, Moment, SortedMap};
use serde::{Deserialize, Serialize};

/// Size of a prefix block in bytes; prefixes of 1, 2, 4, … blocks are hashed.
pub const BLOCK_BYTES: usize = 64;
/// Length of the longest prefix that is hashed, in blocks.
const MAX_BLOCKS: usize = 64;
/// Maximum number of stored prefixes; above it, the oldest half is dropped.
const MAX_PREFIXES: usize = 4096;
/// Maximum number of holders stored per prefix.
const MAX_HOLDERS: usize = 4;

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Prefixes {
    holders: SortedMap<u64, Vec<Holder>>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Holder {
    endpoint: EndpointId,
    at: Moment,
}

/// The endpoint that probably has the longest known prefix of an input cached.
#[derive(Debug, Clone, PartialEq)]
pub struct Affinity {
    pub endpoint: EndpointId,
    /// Share of the input that the prefix covers.
    pub share: f64,
    pub age: Duration,
}

impl Prefixes {
    pub fn store(&mut self, now: Moment, endpoint: &str, hash: u64) {
        let holders = self.holders.get_or_insert_with(hash, Vec::new);
        holders.retain(|it| it.endpoint != endpoint);
        if MAX_HOLDERS <= holders.len() {
            holders.remove(0);
        }
        holders.push(Holder { endpoint: endpoint.to_owned(), at: now });
        if MAX_PREFIXES < self.holders.len() {
            self.drop_oldest_half();
        }
    }

    pub fn evict(&mut self, endpoint: &str, hash: u64) {
        let Some(holders) = self.holders.get_mut(&hash) else { return };
        holders.retain(|it| it.endpoint != endpoint);
        if holders.is_empty() {
            self.holders.remove(&hash);
        }
    }

    /// Returns the most recent holder of the longest known prefix.
    pub fn find(&self, now: Moment, input: &str) -> Option<Affinity> {
        let hashes = prefix_hashes(input);
        let (length, holder) = hashes.iter().rev().find_map(|(length, hash)| {
            let holder = self.holders.get(hash)?.last()?;
            Some((*length, holder))
        })?;
        Some(Affinity {
            endpoint: holder.endpoint.clone(),
            share: length as f64 / input.len() as f64,
            age: now.saturating_sub(holder.at),
        })
    }

    fn drop_oldest_half(&mut self) {
        let newest = |it: &Vec<Holder>| it.last().map_or(Moment::ZERO, |it| it.at);
        let mut times: Vec<Moment> = self.holders.values().map(newest).collect();
        times.sort();
        let middle = times[times.len() / 2];
        self.holders.retain(|_, holders| middle < newest(holders));
    }
}

/// Returns the lengths in bytes and the hashes of the prefixes of `input`, shortest first.
pub fn prefix_hashes(input: &str) -> Vec<(usize, u64)> {
    let bytes = input.as_bytes();
    let lengths = std::iter::successors(Some(BLOCK_BYTES), |it| Some(it * 2));
    lengths
        .take_while(|it| *it <= bytes.len() && *it <= BLOCK_BYTES * MAX_BLOCKS)
        .map(|length| {
            let digest = blake3::hash(&bytes[..length]);
            let (head, _) = digest.as_bytes().split_at(8);
            (length, head.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
        })
        .collect()
}
