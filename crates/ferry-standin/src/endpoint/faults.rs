//! Faults of an endpoint, set over its control interface.

use serde::{Deserialize, Serialize};

/// Body of `GET` and `PUT /control/faults`; a field that is left out is off.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointFaults {
    /// Takes this many times as long.
    pub straggle: Option<f64>,
    /// Adds this to each answer, in milliseconds.
    pub late_ms: u64,
    /// Answers with another request's echo.
    #[serde(rename = "misaddress")]
    pub wrong_echo: bool,
    /// Runs each call and reports that it failed.
    pub fail: bool,
    /// Refuses each call and says that it leaves.
    pub leaving: bool,
    /// Reports no load.
    pub mute: bool,
    /// Breaks each stream after this many tokens.
    pub break_after: Option<u32>,
    /// Stops each stream for good after this many tokens, with the connection open.
    pub stall_after: Option<u32>,
    /// Sends the terminal event of each stream twice.
    pub duplicate: bool,
}
