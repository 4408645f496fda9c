//! Checks the answers and tokens that callers received.

use ferry_fakes::{RequestRecord, Trace, World};
use ferry_model::{Answer, Config, Moment, Outcome, Pipeline, Revision, StageKind};

use super::{Invariant, TimeLimits, Violation};

pub(super) fn check(world: &World, limits: &TimeLimits, violations: &mut Vec<Violation>) {
    let configs = stored_configs(world);
    for record in world.requests.values() {
        check_answered(world, record, &configs, limits, violations);
        check_graceful(world, record, violations);
        for (at, answer) in &record.answers {
            check_revision(world, record, *at, answer, violations);
        }
        let pipeline = configs.iter().rev().find_map(|it| it.pipeline(&record.request.pipeline));
        let (Some(pipeline), Some(answer)) = (pipeline, record.answer()) else { continue };
        let expected = expected_output(pipeline, &record.request.input);
        check_output(record, answer, &expected, violations);
        check_stream(record, pipeline, answer, &expected, violations);
    }
}

/// Returns the output that the fake stages of a pipeline produce for an input: each stage
/// wraps the output of the stage before it.
pub fn expected_output(pipeline: &Pipeline, input: &str) -> String {
    pipeline.stages.iter().fold(input.to_owned(), |input, stage| match stage.kind {
        StageKind::Generate => format!("generate({input})"),
        StageKind::Encode | StageKind::Retrieve | StageKind::Rerank | StageKind::Service => {
            format!("{}({input})", stage.name)
        }
    })
}

fn stored_configs(world: &World) -> Vec<Config> {
    let key = ferry_model::ObjectKey::new(
        ferry_model::ObjectKind::Config,
        ferry_core::config::CONFIG_NAME,
    );
    let config = world.store.get(&key).and_then(|it| serde_json::from_str(&it.value).ok());
    config.into_iter().collect()
}

fn check_answered(
    world: &World,
    record: &RequestRecord,
    configs: &[Config],
    limits: &TimeLimits,
    violations: &mut Vec<Violation>,
) {
    let ticket = record.ticket;
    if 1 < record.answers.len() {
        let n_answers = record.answers.len();
        violations.push(Violation::new(
            Invariant::Answered,
            format!("ticket {ticket} got {n_answers} answers"),
        ));
    }
    if record.connection_lost || record.hung_up.is_some() {
        return;
    }
    let pipeline = configs.iter().find_map(|it| it.pipeline(&record.request.pipeline));
    let deadline = record.request.deadline.or(pipeline.map(|it| it.deadline)).unwrap_or_default();
    let due = record.at + deadline + limits.answer_grace;
    if world.trace.was_paused(record.node, record.at, due) {
        return;
    }
    match record.answers.first() {
        Some((at, _)) if *at <= due => (),
        Some((at, answer)) => {
            let late = *at - due;
            let outcome = answer.outcome;
            violations.push(Violation::new(
                Invariant::Answered,
                format!("ticket {ticket} got {outcome} {late:?} after deadline and grace"),
            ));
        }
        None if due <= world.now => {
            violations.push(Violation::new(
                Invariant::Answered,
                format!("ticket {ticket} got no answer"),
            ));
        }
        None => (),
    }
}

fn check_graceful(world: &World, record: &RequestRecord, violations: &mut Vec<Violation>) {
    // A request that arrived after the exit was taken by the node's next process.
    let is_open_at = |at: Moment| {
        record.at <= at
            && record.hung_up.is_none()
            && record.answers.iter().all(|(end, _)| at < *end)
    };
    let exit = world.trace.exits.iter().find(|(at, node)| *node == record.node && is_open_at(*at));
    if let Some((at, node)) = exit {
        let ticket = record.ticket;
        let detail =
            format!("node {node} announced its exit at {at:?} while ticket {ticket} was open");
        violations.push(Violation::new(Invariant::GracefulShutdown, detail));
    }
}

/// A request must not run under a lower revision than its node had applied.
///
/// Requests under one key share one run, so the lowest revision of their nodes counts.
fn check_revision(
    world: &World,
    record: &RequestRecord,
    at: Moment,
    answer: &Answer,
    violations: &mut Vec<Violation>,
) {
    if answer.outcome == Outcome::NotRun || world.trace.was_paused(record.node, record.at, at) {
        return;
    }
    let is_same = |it: &&RequestRecord| {
        it.ticket == record.ticket
            || (it.request.key.is_some()
                && it.request.key == record.request.key
                && it.request.workspace == record.request.workspace)
    };
    let shared = world.requests.values().filter(is_same);
    let expected = shared.map(|it| revision_at(&world.trace, it)).min().unwrap_or(0);
    if answer.revision < expected {
        let (ticket, revision) = (record.ticket, answer.revision);
        violations.push(Violation::new(
            Invariant::ConfigPropagation,
            format!("ticket {ticket} ran under revision {revision} after {expected} was applied"),
        ));
    }
}

/// Returns the revision that a request's node had applied when the request arrived.
fn revision_at(trace: &Trace, record: &RequestRecord) -> Revision {
    let is_start = |it: &&(Moment, usize, u32)| it.1 == record.node && it.0 <= record.at;
    let Some((_, _, generation)) = trace.starts.iter().rev().find(is_start) else { return 0 };
    let applied =
        trace.applied.iter().filter(|it| it.node == record.node && it.generation == *generation);
    applied.filter(|it| it.at < record.at).map(|it| it.revision).max().unwrap_or(0)
}

fn check_output(
    record: &RequestRecord,
    answer: &Answer,
    expected: &str,
    violations: &mut Vec<Violation>,
) {
    let is_wrong = match answer.outcome {
        Outcome::Complete => answer.output.as_deref() != Some(expected),
        Outcome::NotRun | Outcome::Failed | Outcome::InDoubt => {
            answer.output.as_deref().is_some_and(|it| it != expected)
        }
    };
    if is_wrong {
        let (ticket, output) = (record.ticket, &answer.output);
        violations.push(Violation::new(
            Invariant::CorrectOutput,
            format!("ticket {ticket} got {output:?} instead of {expected:?}"),
        ));
    }
}

fn check_stream(
    record: &RequestRecord,
    pipeline: &Pipeline,
    answer: &Answer,
    expected: &str,
    violations: &mut Vec<Violation>,
) {
    let in_order = record.tokens.iter().zip(0..).all(|((number, _), idx)| *number == idx);
    let text: String = record.tokens.iter().map(|(_, text)| text.as_str()).collect();
    let generates = pipeline.stages.last().is_some_and(|it| it.kind == StageKind::Generate);
    let is_whole = match answer.outcome {
        Outcome::Complete if record.request.stream && generates => text == expected,
        _ => expected.starts_with(&text),
    };
    if !in_order || !is_whole {
        let (ticket, n_tokens) = (record.ticket, record.tokens.len());
        let detail = format!("ticket {ticket} got {n_tokens} tokens with the text {text:?}");
        violations.push(Violation::new(Invariant::IntactStream, detail));
    }
}
