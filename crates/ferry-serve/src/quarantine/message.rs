//! What instances tell each other about crashes. Statements carry ages, as clocks differ.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{EndpointId, PoolId};
use serde::{Deserialize, Serialize};

use super::{CrashCandidate, QuarantineReason, QuarantineState};

/// A record of the quarantine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    pub pool: PoolId,
    pub candidate: CrashCandidate,
    pub state: QuarantineState,
    pub reason: QuarantineReason,
    pub version: u32,
    /// Time since the state changed.
    pub age: Duration,
    /// Time since a request was last refused for it.
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

/// Tells a collector what an endpoint ran when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    pub pool: PoolId,
    pub crashed: Crashed,
    /// What may have caused it, the likeliest first.
    pub exposures: Vec<Exposure>,
}

/// A candidate that an endpoint ran when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exposure {
    pub candidate: CrashCandidate,
    /// Short hash of the request that had it.
    pub request: u32,
    /// Its place in the prompt.
    pub place: u8,
    /// Time from the call with it to the crash, if known. It is sent as an extension.
    #[serde(skip)]
    pub run_time: Option<Duration>,
}

/// Asks all instances for evidence against the attribution of crashes to these candidates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashInquiry {
    pub id: u64,
    /// Where evidence goes.
    pub collector: SocketAddr,
    pub pool: PoolId,
    pub candidates: Vec<CrashCandidate>,
    pub crashes: Vec<Crashed>,
}

/// What an instance knows against an attribution.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterEvidence {
    pub pool: PoolId,
    /// Time since the last sound answer to each candidate.
    pub sound: Vec<(CrashCandidate, Duration)>,
    /// Endpoints that were heard after their supposed crash.
    pub alive: Vec<(EndpointId, u64)>,
}
