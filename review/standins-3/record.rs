//! What was sent, answered and run, in the order of time.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Writes a line for each event, with the seconds since the start of the case.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Returns the seconds from the start of the case to a moment.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let now = self.seconds(Instant::now());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = writeln!(file, "{now:8.3} {text}") {
            eprintln!("could not write the record: {error}");
        }
    }

    /// Notes a line and prints it too.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.note(text);
    }
}
