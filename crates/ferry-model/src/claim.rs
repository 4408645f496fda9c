//! Durable idempotency records of runs that may not be repeated.
//!
//! They are journalled in the object API as JSON, so wide numbers are hexadecimal
//! text; see docs/design/requests.md.

use serde::{Deserialize, Serialize};

use crate::{Digest, InstanceId, Outcome, RequestId};

/// Hash of a workspace and the key its caller chose.
pub type ClaimKey = u128;

/// What the journal says of one key; the newest record of a key is the one that counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    #[serde(with = "hex128")]
    pub key: ClaimKey,
    /// Start of the body's digest, to tell a repeat from a key used twice.
    pub digest: u64,
    /// The one request that may run under this key; its upper half is the holder's incarnation.
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
    /// The request was never dispatched; the key is free.
    Released,
    /// The request ended; a short output is kept with it.
    Settled { outcome: Outcome, output: Option<String> },
}

/// One change that a batch brings into a journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalOp {
    /// Claims the key for a request; `replaces` names requests known never to be dispatched.
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

/// How a claim ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// It stands in the journal: the request may be dispatched.
    Claimed,
    /// Another request has the key.
    Taken(ClaimRecord),
    /// The store could not be reached: nothing may be dispatched.
    Unavailable,
}

/// Returns the part of a body's digest that a claim keeps.
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
