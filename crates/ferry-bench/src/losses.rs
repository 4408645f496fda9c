//! Where the worth of a day was lost, from the logs of its gateways.
//!
//! Each request that was late, refused or failed has one cause: for a late one it is the step that
//! took most beyond what it takes at least. docs/DECISIONS.md shows how to read the table.

mod output;
mod request;

use std::collections::BTreeMap;
use std::io::BufRead;
use std::time::Duration;

use thiserror::Error;

pub use output::{print, write_csv, write_plot};
use request::Request;

/// Tokens read that cost an engine as much as one token written are not in the log, so the size of a
/// request is that of its prompt.
const BASE_VALUE: f64 = 0.3;
const MAX_VALUE: f64 = 4.0;

#[derive(Debug, Error)]
pub enum LossError {
    #[error("could not read line {line}: {error}")]
    Read { line: usize, error: std::io::Error },
    #[error("no line is a decision about a request")]
    Empty,
}

/// Why a request was not in time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It takes longer than its objective even if it waits for nothing.
    Floor,
    /// It waited for its admission.
    Admission,
    /// Its items waited at this pool.
    StageQueue(String),
    /// A call failed or was given up, and steps were repeated.
    Repeat,
    /// The engine read other prompts first, or was slow.
    EngineQueue,
    /// The engine read shared parts of the prompt that another one, or itself, had read.
    SharedParts,
    /// Time between steps.
    Between,
    /// An earlier attempt of its caller was refused or failed.
    EarlierAttempt,
    /// It began in time, and its stream paused for too long.
    Pause,
    Refused(String),
    Failed(String),
    /// The log ends before it, or its caller left.
    Unfinished,
}

impl std::fmt::Display for Cause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Cause::Floor => f.write_str("late: takes longer even without waiting"),
            Cause::Admission => f.write_str("late: admission"),
            Cause::StageQueue(pool) => write!(f, "late: queue of stage pool {pool}"),
            Cause::Repeat => f.write_str("late: repeated after a failure"),
            Cause::EngineQueue => f.write_str("late: engine's queue"),
            Cause::SharedParts => f.write_str("late: shared parts read by the engine"),
            Cause::Between => f.write_str("late: between steps"),
            Cause::EarlierAttempt => f.write_str("late: an earlier attempt of the caller"),
            Cause::Pause => f.write_str("late: a pause between events"),
            Cause::Refused(reason) => write!(f, "refused: {reason}"),
            Cause::Failed(reason) => write!(f, "failed: {reason}"),
            Cause::Unfinished => f.write_str("not finished"),
        }
    }
}

/// The requests of a route that were not in time for one cause.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Loss {
    pub requests: usize,
    /// Sum of their values; the average request of a route has 1.0.
    pub value: f64,
}

/// All requests of one route.
#[derive(Debug, Clone, Default)]
pub struct RouteLosses {
    pub requests: usize,
    pub in_time: usize,
    pub value: f64,
    pub objective: Duration,
    pub causes: BTreeMap<Cause, Loss>,
    /// Requests, and value lost, for each second of the day.
    pub seconds: BTreeMap<u64, Loss>,
}

/// Losses by route.
pub type Losses = BTreeMap<String, RouteLosses>;

/// Reads the lines of gateways, in any order of instances, and finds the cause of each loss. Text
/// before the JSON object of a line is ignored, as are lines without one.
///
/// # Errors
///
/// Returns an error if a line cannot be read, or if none is about a request.
pub fn read(lines: impl BufRead) -> Result<Losses, LossError> {
    let mut requests: BTreeMap<String, Request> = BTreeMap::new();
    for (idx, line) in lines.lines().enumerate() {
        let line = line.map_err(|error| LossError::Read { line: idx + 1, error })?;
        let Some(record) = request::parse(&line) else { continue };
        let known = requests.entry(record.request.clone()).or_default();
        known.add(record);
    }
    requests.retain(|_, it| it.route().is_some());
    let start = requests.values().filter_map(Request::arrived).min().ok_or(LossError::Empty)?;
    Ok(sum_up(requests.values(), start))
}

fn sum_up<'a>(
    requests: impl Iterator<Item = &'a Request> + Clone,
    start: request::Timestamp,
) -> Losses {
    let mut sizes: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for request in requests.clone() {
        let Some(route) = request.route() else { continue };
        let (sum, count) = sizes.entry(route).or_default();
        *sum += request.size();
        *count += 1.0;
    }
    let mut losses = Losses::new();
    for request in requests {
        let (Some(route), Some(arrived)) = (request.route(), request.arrived()) else { continue };
        let (sum, count) = sizes[route];
        let value = value(request.size(), sum / count);
        let entry = losses.entry(route.to_owned()).or_default();
        entry.requests += 1;
        entry.value += value;
        // A request that arrives late has no slack left, and shows more than the objective.
        entry.objective = match entry.objective {
            Duration::ZERO => request.objective(),
            known => known.min(request.objective()),
        };
        let second = entry.seconds.entry((arrived - start).whole_seconds() as u64).or_default();
        second.requests += 1;
        match request.cause() {
            None => entry.in_time += 1,
            Some(cause) => {
                second.value += value;
                let loss = entry.causes.entry(cause).or_default();
                loss.requests += 1;
                loss.value += value;
            }
        }
    }
    losses
}

/// Returns the value of a request compared to the mean of its route.
fn value(size: f64, mean: f64) -> f64 {
    let ratio = if 0.0 < mean { size / mean } else { 1.0 };
    (BASE_VALUE + (1.0 - BASE_VALUE) * ratio).min(MAX_VALUE)
}
