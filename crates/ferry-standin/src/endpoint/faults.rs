//! Faults of an endpoint, set over its control interface.

use serde::{Deserialize, Serialize};

/// Body of `GET` and `PUT /control/faults`; a field that is left out is off.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointFaults {
    /// Factor by which calls take longer.
    pub straggle: Option<f64>,
    /// Delay that is added to each answer, in milliseconds.
    pub late_ms: u64,
    /// Echoes another attempt in its answers.
    #[serde(rename = "misaddress")]
    pub wrong_echo: bool,
    /// Runs each call and reports that it failed.
    pub fail: bool,
    /// Refuses each call because it is leaving.
    pub leaving: bool,
    /// Reports no load.
    pub mute: bool,
    /// Breaks each stream after this many tokens.
    pub break_after: Option<u32>,
    /// Stalls each stream after this many tokens and keeps its connection open.
    pub stall_after: Option<u32>,
    /// Sends the terminal event of each stream twice.
    pub duplicate: bool,
}
