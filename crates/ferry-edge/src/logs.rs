//! Structured logs: one line for each decision.

use ferry_core::Decision;
use slog::{Drain, Logger, info, o};

/// Makes a logger that writes JSON lines to standard error, away from the callers' path.
pub fn json_logger() -> Logger {
    let drain = slog_json::Json::default(std::io::stderr()).fuse();
    Logger::root(slog_async::Async::new(drain).build().fuse(), o!())
}

/// Makes a logger that drops every line.
pub fn silent_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Writes the line of a decision; docs/OPERATING.md lists its fields.
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
