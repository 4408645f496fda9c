//! What must hold of every request of a world, judged by the endpoints' own records.

use ferry_model::{Outcome, RequestId, SortedMap};

use crate::World;
use crate::caller::RequestRecord;

/// Returns a line for every promise on requests that the world broke.
pub fn invariant_violations(world: &World) -> Vec<String> {
    let mut broken = doubled_runs(world);
    let mut ran: Vec<RequestId> = world.runs.iter().map(|it| it.request).collect();
    ran.sort_unstable();
    for asked in world.requests.values() {
        broken.extend(broken_answer(&ran, asked));
    }
    broken
}

/// Finds stages that may not be repeated and ran twice under one key.
fn doubled_runs(world: &World) -> Vec<String> {
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

fn broken_answer(ran: &[RequestId], asked: &RequestRecord) -> Option<String> {
    let ticket = asked.ticket;
    if 1 < asked.answers.len() {
        return Some(format!("ticket {ticket} got {} answers", asked.answers.len()));
    }
    let answer = match asked.answer() {
        Some(answer) => answer,
        None if asked.connection_lost => return None,
        None => return Some(format!("ticket {ticket} got no answer")),
    };
    match answer.outcome {
        Outcome::NotRun if ran.binary_search(&answer.request).is_ok() => {
            Some(format!("ticket {ticket} was told that its request did not run, but it did"))
        }
        Outcome::Complete => broken_output(asked, answer.output.as_deref()),
        Outcome::NotRun | Outcome::Failed | Outcome::InDoubt => None,
    }
}

/// Checks that the output is of this caller's input, and that a stream brought all of it.
fn broken_output(asked: &RequestRecord, output: Option<&str>) -> Option<String> {
    let ticket = asked.ticket;
    let Some(output) = output else { return Some(format!("ticket {ticket} got no output")) };
    if !output.contains(&format!("({})", asked.request.input)) {
        return Some(format!("ticket {ticket} got the output of another request: {output}"));
    }
    let streamed: String = asked.tokens.iter().map(|(_, text)| text.as_str()).collect();
    let in_order = asked.tokens.iter().zip(0..).all(|((number, _), expected)| *number == expected);
    let is_streamed = asked.request.stream && !asked.tokens.is_empty();
    if is_streamed && (streamed != output || !in_order) {
        return Some(format!("ticket {ticket} got another stream than its output: {streamed}"));
    }
    None
}
