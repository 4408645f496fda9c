//! Writes a decision as the fields of a log line; docs/OPERATIONS.md lists them.

use std::time::Duration;

use ferry_serve::{Decision, ResumedStream};
use slog::{KV, Record, Serializer};

/// The fields that a decision has; the others are left out.
#[derive(Debug)]
pub struct DecisionFields<'a>(pub &'a Decision);

impl KV for DecisionFields<'_> {
    fn serialize(&self, _record: &Record<'_>, out: &mut dyn Serializer) -> slog::Result {
        let it = self.0;
        out.emit_str("decision".into(), it.kind.into())?;
        out.emit_str("reason".into(), &it.reason)?;
        emit_text(out, "request", it.attempt.as_deref())?;
        if let Some(digest) = it.digest {
            out.emit_arguments("digest".into(), &format_args!("{digest:032x}"))?;
        }
        emit_text(out, "route", it.route.as_deref())?;
        emit_number(out, "stage", it.stage.map(u64::from))?;
        emit_text(out, "endpoint", it.endpoint.as_deref())?;
        emit_text(out, "build", it.build.as_deref())?;
        emit_text(out, "resumes", it.resumed.as_ref().map(resumed_attempt))?;
        emit_text(out, "pool", it.pool.as_deref())?;
        emit_number(out, "considered", it.score.map(|_| u64::from(it.considered)))?;
        emit_number(out, "score_us", it.score)?;
        emit_number(out, "budget_ms", it.budget.map(millis))?;
        emit_number(out, "slack_ms", it.slack.map(millis))?;
        emit_number(out, "pause_ms", it.pause.map(millis))?;
        emit_number(out, "max_pause_ms", it.max_pause.map(millis))?;
        emit_number(out, "took_us", it.took.map(micros))?;
        emit_number(out, "floor_us", it.floor.map(micros))?;
        emit_number(out, "own_tokens", it.prompt.map(|it| u64::from(it.own)))?;
        emit_number(out, "shared_tokens", it.prompt.map(|it| u64::from(it.shared)))?;
        emit_number(out, "uncached_tokens", it.prompt.map(|it| u64::from(it.uncached)))?;
        emit_number(out, "silence_ms", it.silence.map(millis))?;
        emit_number(out, "late_ms", it.late.map(millis))?;
        emit_text(out, "framing", it.end.map(|it| it.framing.into()))?;
        out.emit_u64("version".into(), it.version)
    }
}

/// Returns the attempt that brought the first event, or that the caller did not name it.
fn resumed_attempt(stream: &ResumedStream) -> &str {
    stream.first_attempt.as_deref().unwrap_or("unnamed")
}

fn emit_text(out: &mut dyn Serializer, key: &'static str, value: Option<&str>) -> slog::Result {
    value.map_or(Ok(()), |it| out.emit_str(key.into(), it))
}

fn emit_number(out: &mut dyn Serializer, key: &'static str, value: Option<u64>) -> slog::Result {
    value.map_or(Ok(()), |it| out.emit_u64(key.into(), it))
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
