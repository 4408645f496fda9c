//! The parts of a prompt, and the keys by which instances know them.

use serde::{Deserialize, Serialize};

use crate::CallerAttempt;

/// Largest number of parts of a prompt. What lies beyond belongs to the request's own part.
pub const MAX_PARTS: usize = 256;
/// Largest number of tokens of a part, so that those of a prompt can be added up.
const MAX_TOKENS: u32 = (1 << 24) - 1;
/// Digits of the ids that are their own keys.
const KEY_DIGITS: usize = 2 * size_of::<PartId>();
/// Characters of a long id that are kept for operators.
const MAX_TEXT: usize = 128;

/// The key of a prompt part.
pub type PartId = u64;

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    pub id: PartId,
    pub tokens: u32,
}

/// The id of a prompt part that is too long to be its own key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LongId {
    pub part: PartId,
    /// As the caller has written it.
    pub text: String,
}

/// The parts of a prompt in order, as far as they can be read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The last one is the request's own.
    pub parts: Vec<PromptPart>,
    /// Long ids of the shared parts.
    pub long_ids: Vec<LongId>,
    /// Number of parts of which the id or the number of tokens cannot be read.
    pub n_unreadable: usize,
    last_long: Option<LongId>,
}

impl Prompt {
    pub fn new() -> Prompt {
        Prompt::default()
    }

    /// Adds a part. One whose id cannot be read is one that no other request has, so that it costs only
    /// itself; of one whose number of tokens cannot be read, nothing is expected.
    pub fn add(&mut self, attempt: &CallerAttempt, id: Option<&str>, tokens: Option<u32>) {
        let id = id.and_then(read_part_id);
        let tokens = tokens.filter(|it| *it <= MAX_TOKENS);
        self.n_unreadable += usize::from(id.is_none() || tokens.is_none());
        let (id, long_id) = id.unwrap_or_else(|| (unshared_key(attempt, self.parts.len()), None));
        let part = PromptPart { id, tokens: tokens.unwrap_or_default() };
        let is_full = MAX_PARTS <= self.parts.len();
        match self.parts.last_mut().filter(|_| is_full) {
            Some(last) => {
                let tokens = last.tokens.saturating_add(part.tokens).min(MAX_TOKENS);
                *last = PromptPart { tokens, ..part };
            }
            None => {
                self.long_ids.extend(self.last_long.take());
                self.parts.push(part);
            }
        }
        self.last_long = long_id;
    }
}

/// Reads the id of a part in hexadecimal: its key, and the id itself if it is a long one. None if it
/// cannot be read.
///
/// Short ids are their own keys, as in the releases before. Long ones are hashed. To build an id with the
/// key of a given one takes more tries than are possible, and whoever knows that one may as well send it.
pub fn read_part_id(text: &str) -> Option<(PartId, Option<LongId>)> {
    if text.is_empty() || !text.bytes().all(|it| it.is_ascii_hexdigit()) {
        return None;
    }
    let digits = text.trim_start_matches('0');
    if digits.len() <= KEY_DIGITS {
        let key = digits.bytes().fold(0, |key, it| key << 4 | digit(it));
        return Some((key, None));
    }
    let part = hash(blake3::hash(digits.to_ascii_lowercase().as_bytes()));
    Some((part, Some(LongId { part, text: text.chars().take(MAX_TEXT).collect() })))
}

fn digit(it: u8) -> PartId {
    char::from(it).to_digit(16).unwrap_or_default().into()
}

/// Returns the key of a part that only one request has.
fn unshared_key(attempt: &CallerAttempt, place: usize) -> PartId {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&place.to_le_bytes());
    hasher.update(attempt.as_bytes());
    hash(hasher.finalize())
}

fn hash(hash: blake3::Hash) -> PartId {
    let mut key = [0; size_of::<PartId>()];
    key.copy_from_slice(&hash.as_bytes()[..size_of::<PartId>()]);
    PartId::from_le_bytes(key)
}
