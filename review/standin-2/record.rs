//! The record of a run: one line for each thing that was sent, answered or run.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// Returns the Unix time in milliseconds.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

/// A file to which several processes append lines.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open(path: &Path) -> io::Result<Record> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Record { file: Arc::new(Mutex::new(file)) })
    }

    /// Adds a line that begins with the time.
    pub fn add(&self, text: &str) {
        let line = format!("{} {text}\n", now());
        let mut file = self.file.lock().unwrap_or_else(|it| it.into_inner());
        // A line that cannot be written is missing in the record, which fails the run.
        let _ = file.write_all(line.as_bytes());
    }
}

/// A line of a record.
#[derive(Debug, Clone)]
pub struct Line {
    pub at: u64,
    pub words: Vec<String>,
}

impl Line {
    /// Returns the value of a word `NAME=VALUE`.
    pub fn get(&self, name: &str) -> &str {
        let values = self.words.iter().filter_map(|it| it.split_once('='));
        values.filter(|it| it.0 == name).map(|it| it.1).next().unwrap_or_default()
    }

    pub fn is(&self, what: &str) -> bool {
        self.words.first().is_some_and(|it| it == what)
    }
}

/// Reads a record in the order of time.
pub fn read(path: &Path) -> io::Result<Vec<Line>> {
    let text = std::fs::read_to_string(path)?;
    let line = |it: &str| {
        let (at, rest) = it.split_once(' ')?;
        let words = rest.split(' ').map(str::to_owned).collect();
        Some(Line { at: at.parse().ok()?, words })
    };
    let mut lines: Vec<Line> = text.lines().filter_map(line).collect();
    lines.sort_by_key(|it| it.at);
    Ok(lines)
}
