//! What instances tell each other about crashes. Statements carry ages, as clocks differ.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{EndpointId, PoolId};
use serde::{Deserialize, Serialize};

use super::{PartId, QuarantineReason, QuarantineState};

/// A record of the quarantine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    pub pool: PoolId,
    pub part: PartId,
    pub state: QuarantineState,
    pub reason: QuarantineReason,
    pub version: u32,
    /// Time since the state changed.
    pub age: Duration,
    /// Time since a request with the part was last refused.
    pub idle: Duration,
}

/// One start of an endpoint that crashed, as far as known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashed {
    pub endpoint: EndpointId,
    /// Which start of the endpoint it was.
    pub started: u64,
    pub age: Duration,
}

/// Tells a judge which parts an endpoint held when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    pub pool: PoolId,
    pub crashed: Crashed,
    /// Parts that may have caused it, newest first.
    pub parts: Vec<Exposure>,
}

/// A part that an endpoint held when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exposure {
    pub part: PartId,
    /// Hash of the attempt that had it.
    pub attempt: u32,
    /// Its place in the prompt.
    pub place: u8,
    pub timing: Timing,
}

/// Asks all instances what they know in favour of parts that are about to be quarantined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accusation {
    pub id: u64,
    /// Where objections go.
    pub judge: SocketAddr,
    pub pool: PoolId,
    pub parts: Vec<PartId>,
    pub crashes: Vec<Crashed>,
}

/// What an instance knows in favour of accused parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objection {
    pub pool: PoolId,
    /// Time since the last answer on each part began that was sound.
    pub sound: Vec<(PartId, Duration)>,
    /// Endpoints that were heard of after their supposed crash.
    pub alive: Vec<(EndpointId, u64)>,
}

/// What happened to a call so shortly before the crash as when its part causes one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Timing {
    /// It was sent, and has not begun.
    Sent,
    /// Its endpoint had begun to write.
    Begun,
    /// None of these.
    Other,
}
