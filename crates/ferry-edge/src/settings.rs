//! Parses settings files in INI format into typed values and reports all findings at once.
//!
//! Entry and control share the sections in [`common`]; docs/SETTINGS.md lists every key.

mod choice;
pub mod common;
mod reader;
mod section;
mod tuning;

use ferry_model::Finding;

pub use choice::{Choice, Choices};
pub use ferry_model::Findings;
pub use reader::{
    Address, Addresses, Hashes, Number, Reader, Secret, Switch, Text, Time, ValueParser,
};
pub use section::Section;

/// Reads a settings file and builds a value from it.
pub fn load<T>(path: &str, build: impl FnOnce(&mut Reader) -> T) -> Result<T, Findings> {
    let text = std::fs::read_to_string(path).map_err(|it| {
        Findings(vec![Finding::new(path, format!("could not read the file: {it}"))])
    })?;
    parse(path, &text, |name| std::env::var(name).ok(), build)
}

/// Builds a value from the text of a settings file; `env` looks up environment variables.
pub fn parse<T>(
    file: &str,
    text: &str,
    env: impl Fn(&str) -> Option<String> + 'static,
    build: impl FnOnce(&mut Reader) -> T,
) -> Result<T, Findings> {
    let mut reader = Reader::new(file, text, env)?;
    let value = build(&mut reader);
    match reader.finish() {
        findings if findings.is_empty() => Ok(value),
        findings => Err(Findings(findings)),
    }
}
