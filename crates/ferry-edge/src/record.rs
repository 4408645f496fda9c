//! Records every event of a node in a file, for `ferryctl replay`.
//!
//! Recording is meant for debugging: the file contains callers' inputs, and writing it slows
//! the node down.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

use ferry_core::replay::{LogLine, write_line};
use ferry_core::{Event, Identity, Node, Tuning};
use ferry_model::Moment;
use slog::{Logger, warn};

#[derive(Debug)]
pub struct Recorder {
    out: BufWriter<File>,
    /// Whether a write failed or the last line has been written.
    closed: bool,
    log: Logger,
}

impl Recorder {
    /// Creates the file and writes its first line.
    pub fn create(
        path: &Path,
        identity: &Identity,
        tuning: &Tuning,
        seed: u64,
        log: Logger,
    ) -> std::io::Result<Recorder> {
        let mut out = BufWriter::new(File::create(path)?);
        let (identity, tuning) = (identity.clone(), Box::new(tuning.clone()));
        write_line(&mut out, &LogLine::Start { identity, tuning, seed })?;
        Ok(Recorder { out, closed: false, log })
    }

    pub fn event(&mut self, at: Moment, event: &Event) {
        self.write(&LogLine::Event { at, event: Box::new(event.clone()) });
    }

    /// Writes the last line, with the digest of the node's state.
    pub fn end(&mut self, node: &Node) {
        self.write(&LogLine::End { digest: node.digest() });
        self.closed = true;
    }

    fn write(&mut self, line: &LogLine) {
        if self.closed {
            return;
        }
        let is_end = matches!(line, LogLine::End { .. });
        let mut written = write_line(&mut self.out, line);
        if is_end {
            written = written.and_then(|()| self.out.flush());
        }
        if let Err(error) = written {
            warn!(self.log, "could not write the event log"; "error" => error.to_string());
            self.closed = true;
        }
    }
}
