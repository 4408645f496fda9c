//! Durable idempotency records of requests that must not run twice.
//!
//! They are journalled in the object API as JSON, so 128-bit numbers are written as hexadecimal
//! text; see docs/design/requests.md.

use serde::{Deserialize, Serialize};

use crate::{Digest, InstanceId, Outcome, RequestId};

/// Hash of a workspace and the idempotency key set by its caller.
pub type ClaimKey = u128;

/// A journal record of a key; the newest record of each key is the valid one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    #[serde(with = "hex128")]
    pub key: ClaimKey,
    /// First bytes of the body's digest, to distinguish a retry from a reuse of the key with
    /// another body.
    pub digest: u64,
    /// The only request that may run under this key; the upper half is the holder's incarnation.
    #[serde(with = "hex128")]
    pub request: RequestId,
    pub holder: InstanceId,
    pub state: ClaimState,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request may have been dispatched.
    #[serde(rename = "standing")]
    Active,
    /// The request was never dispatched, so the key is free.
    Released,
    /// The request ended; a short output is stored in the record.
    Settled { outcome: Outcome, output: Option<String> },
}

/// A change to a journal, written as part of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalOp {
    /// Claims the key for a request; `replaces` lists requests known never to have been dispatched.
    Claim { record: ClaimRecord, replaces: Vec<RequestId> },
    /// Records a released or settled claim.
    Record(ClaimRecord),
}

impl JournalOp {
    pub fn record(&self) -> &ClaimRecord {
        match self {
            JournalOp::Claim { record, .. } | JournalOp::Record(record) => record,
        }
    }
}

/// The result of an attempt to claim a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The claim is in the journal; the request may be dispatched.
    Claimed,
    /// Another request holds the key.
    Taken(ClaimRecord),
    /// The store could not be reached; the request must not be dispatched.
    Unavailable,
}

/// Returns the first eight bytes of a body's digest, which a claim stores.
pub fn short_digest(digest: &Digest) -> u64 {
    digest.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

mod hex128 {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub fn serialize<S: Serializer>(value: &u128, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{value:032x}"))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u128, D::Error> {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}
