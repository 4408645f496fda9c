//! Encodes peer messages as a version number followed by the sender and the message in postcard.

use ferry_model::{InstanceId, PeerMessage};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the message format; peers reject messages of any other version.
pub const WIRE_VERSION: u16 = 1;
/// Largest message in bytes: a configuration object of one mebibyte and its envelope.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024 + 4096;

#[derive(Debug, Error)]
pub enum CodecError {
    #[error("could not encode a message: {0}")]
    Encode(postcard::Error),
    #[error("a message of {0} bytes is larger than {MAX_MESSAGE_BYTES}")]
    TooLarge(usize),
    #[error("a message has version {0}, expected {WIRE_VERSION}")]
    Version(u16),
    #[error("a message is too short to contain its version")]
    Truncated,
    #[error("could not decode a message: {0}")]
    Decode(postcard::Error),
}

/// A message with the instance that sent it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Checked against the sender's certificate before the message is used.
    pub from: InstanceId,
    pub message: PeerMessage,
}

pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, CodecError> {
    let bytes = WIRE_VERSION.to_le_bytes().to_vec();
    let bytes = postcard::to_extend(envelope, bytes).map_err(CodecError::Encode)?;
    if MAX_MESSAGE_BYTES < bytes.len() {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

pub fn decode(bytes: &[u8]) -> Result<Envelope, CodecError> {
    if MAX_MESSAGE_BYTES < bytes.len() {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    let (version, rest) = bytes.split_first_chunk::<2>().ok_or(CodecError::Truncated)?;
    match u16::from_le_bytes(*version) {
        WIRE_VERSION => postcard::from_bytes(rest).map_err(CodecError::Decode),
        other => Err(CodecError::Version(other)),
    }
}
