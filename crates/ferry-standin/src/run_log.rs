//! A log of the calls that endpoints ran.

use std::sync::{Arc, Mutex};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One run of a stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Run {
    pub endpoint: String,
    /// Request id in hex.
    pub request: String,
    pub stage: String,
    pub attempt: u64,
    pub key: String,
}

/// The log that the stand-ins of one process share.
#[derive(Debug, Clone, Default)]
pub struct RunLog {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl RunLog {
    pub fn new() -> RunLog {
        RunLog::default()
    }

    pub fn record(&self, run: Run) {
        self.runs.lock().unwrap_or_else(|it| it.into_inner()).push(run);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(|it| it.into_inner()).clone()
    }
}
