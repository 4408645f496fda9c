//! Checks every request of a world against the runs that the endpoints recorded.

use ferry_model::{Outcome, RequestId, SortedMap};

use crate::World;
use crate::caller::RequestRecord;

/// Returns a message for every violated invariant.
pub fn invariant_violations(world: &World) -> Vec<String> {
    let mut violations = repeated_runs(world);
    let mut executed: Vec<RequestId> = world.runs.iter().map(|it| it.request).collect();
    executed.sort_unstable();
    for record in world.requests.values() {
        violations.extend(answer_violation(&executed, record));
    }
    violations
}

/// Finds non-repeatable stages that ran more than once under one key.
fn repeated_runs(world: &World) -> Vec<String> {
    let mut n_runs: SortedMap<(&str, &str), u32> = SortedMap::new();
    for run in world.runs.iter().filter(|it| !it.repeatable) {
        *n_runs.get_or_insert_with((run.key.as_str(), run.stage.as_str()), || 0) += 1;
    }
    n_runs
        .iter()
        .filter(|(_, count)| 1 < **count)
        .map(|((key, stage), count)| format!("stage {stage} of key {key} ran {count} times"))
        .collect()
}

fn answer_violation(executed: &[RequestId], record: &RequestRecord) -> Option<String> {
    let ticket = record.ticket;
    if 1 < record.answers.len() {
        return Some(format!("ticket {ticket} got {} answers", record.answers.len()));
    }
    let answer = match record.answer() {
        Some(answer) => answer,
        None if record.connection_lost => return None,
        None => return Some(format!("ticket {ticket} got no answer")),
    };
    match answer.outcome {
        Outcome::NotRun if executed.binary_search(&answer.request).is_ok() => {
            Some(format!("ticket {ticket} was told that its request did not run, but it did"))
        }
        Outcome::Complete => output_violation(record, answer.output.as_deref()),
        Outcome::NotRun | Outcome::Failed | Outcome::InDoubt => None,
    }
}

/// Checks that the output belongs to this caller's input and that a stream contained all of it.
fn output_violation(record: &RequestRecord, output: Option<&str>) -> Option<String> {
    let ticket = record.ticket;
    let Some(output) = output else { return Some(format!("ticket {ticket} got no output")) };
    if !output.contains(&format!("({})", record.request.input)) {
        return Some(format!("ticket {ticket} got the output of another request: {output}"));
    }
    let streamed: String = record.tokens.iter().map(|(_, text)| text.as_str()).collect();
    let in_order = record.tokens.iter().zip(0..).all(|((number, _), expected)| *number == expected);
    let is_streamed = record.request.stream && !record.tokens.is_empty();
    if is_streamed && (streamed != output || !in_order) {
        return Some(format!("the stream of ticket {ticket} differs from its output: {streamed}"));
    }
    None
}
