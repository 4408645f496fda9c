//! Structured logs, with one line for each decision.

use std::io::{IsTerminal, stderr};

use ferry_core::Decision;
use slog::{Drain, Level, LevelFilter, Logger, info, o};
use strum::{Display, EnumIter, EnumString};

/// Maximum number of queued lines; further ones are dropped and counted.
const QUEUE_CAPACITY: usize = 16 * 1024;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable on a terminal, JSON otherwise.
    Auto,
    Json,
    Terminal,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    Error,
    Warning,
    Info,
    Debug,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    pub format: LogFormat,
    pub level: LogLevel,
}

impl LogSettings {
    /// Creates the logger of a process; it writes to standard error.
    pub fn logger(self) -> Logger {
        let is_json = match self.format {
            LogFormat::Auto => !stderr().is_terminal(),
            LogFormat::Json => true,
            LogFormat::Terminal => false,
        };
        match is_json {
            true => logger(slog_json::Json::default(stderr()).fuse(), self.level),
            false => {
                let decorator = slog_term::TermDecorator::new().stderr().build();
                logger(slog_term::FullFormat::new(decorator).build().fuse(), self.level)
            }
        }
    }
}

/// Creates a logger that writes JSON lines to standard error asynchronously.
pub fn json_logger() -> Logger {
    LogSettings { format: LogFormat::Json, level: LogLevel::Info }.logger()
}

/// Creates a logger that drops every line.
pub fn silent_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Logs a decision; docs/OPERATING.md lists the fields.
pub fn decision(log: &Logger, decision: &Decision) {
    let request = decision.request.map(|it| format!("{it:032x}"));
    info!(log, "decision";
        "decision" => decision.kind.to_string(),
        "reason" => &decision.reason,
        "request" => request,
        "stage" => &decision.stage,
        "endpoint" => &decision.endpoint,
        "pool" => &decision.pool,
        "considered" => decision.considered,
        "score" => decision.score,
        "budget_ms" => decision.budget.map(|it| it.as_millis() as u64),
        "revision" => decision.revision,
    );
}

fn logger<D>(drain: D, level: LogLevel) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let drain = slog_async::Async::new(drain).chan_size(QUEUE_CAPACITY).build();
    Logger::root(LevelFilter::new(drain, level).fuse(), o!())
}
