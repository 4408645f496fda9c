//! Event logs: the complete input of one node as JSON lines, and its replay.
//!
//! The first line has the parameters of the node, each further one an event, and the
//! last has the digest of the final state; see docs/PROOF.md.

use std::io::{BufRead, Write};

use ferry_model::{Digest, Moment};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Event, Identity, Node, Tuning};

/// One line of an event log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLine {
    Start { identity: Identity, tuning: Box<Tuning>, seed: u64 },
    Event { at: Moment, event: Box<Event> },
    End { digest: Digest },
}

#[derive(Debug, Error)]
pub enum ReplayError {
    #[error("could not read line {line}: {error}")]
    Read { line: usize, error: std::io::Error },
    #[error("could not parse line {line}: {error}")]
    Parse { line: usize, error: serde_json::Error },
    #[error("line {line}: the log should {expected} here")]
    Misplaced { line: usize, expected: &'static str },
    #[error("the log is empty")]
    Empty,
}

/// The result of a replay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplaySummary {
    pub events: u64,
    pub effects: u64,
    pub digest: Digest,
    /// Digest at the end of the log; `None` if the log was cut off.
    pub recorded: Option<Digest>,
}

impl ReplaySummary {
    /// Whether the replay ended in the recorded state.
    pub fn matches_recorded(&self) -> bool {
        self.recorded == Some(self.digest)
    }
}

/// Writes one line of a log.
pub fn write_line(out: &mut impl Write, line: &LogLine) -> std::io::Result<()> {
    serde_json::to_writer(&mut *out, line)?;
    out.write_all(b"\n")
}

/// Replays a recorded run.
pub fn replay(log: impl BufRead) -> Result<ReplaySummary, ReplayError> {
    let mut node: Option<Node> = None;
    let mut replayed = ReplaySummary { events: 0, effects: 0, digest: [0; 32], recorded: None };
    for (idx, text) in log.lines().enumerate() {
        let line = idx + 1;
        let text = text.map_err(|error| ReplayError::Read { line, error })?;
        let parsed =
            serde_json::from_str(&text).map_err(|error| ReplayError::Parse { line, error })?;
        if replayed.recorded.is_some() {
            return Err(ReplayError::Misplaced { line, expected: "end" });
        }
        match (parsed, &mut node) {
            (LogLine::Start { identity, tuning, seed }, None) => {
                node = Some(Node::new(identity, *tuning, seed));
            }
            (LogLine::Event { at, event }, Some(node)) => {
                replayed.events += 1;
                replayed.effects += node.reduce(at, *event).len() as u64;
            }
            (LogLine::End { digest }, Some(_)) => replayed.recorded = Some(digest),
            (LogLine::Start { .. }, Some(_)) => {
                return Err(ReplayError::Misplaced { line, expected: "have an event" });
            }
            (LogLine::Event { .. } | LogLine::End { .. }, None) => {
                return Err(ReplayError::Misplaced { line, expected: "start" });
            }
        }
    }
    replayed.digest = node.ok_or(ReplayError::Empty)?.digest();
    Ok(replayed)
}
