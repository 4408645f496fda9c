//! Compares the answers that callers received with the runs that endpoints recorded.

use std::time::Duration;

use ferry_model::{Outcome, SortedMap};
use ferry_standin::Run;
use serde::Serialize;

use crate::Deployment;
use crate::load::Sample;

/// Outcomes, latencies and runner time of one load.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Tally {
    pub sent: u64,
    pub complete: u64,
    pub not_run: u64,
    pub failed: u64,
    pub in_doubt: u64,
    /// Requests without an answer.
    pub lost: u64,
    /// Runs beyond the first of a non-repeatable stage, and runs of requests answered as not run.
    pub doubled: u64,
    /// Answers with an output that is not the one for the request's input.
    pub misaddressed: u64,
    /// Share of requests completed within their deadline.
    pub attainment: f64,
    pub pipelines: Vec<PipelineTally>,
    pub stages: Vec<StageTally>,
}

#[derive(Debug, Clone, Default, Serialize)]
pub struct PipelineTally {
    pub pipeline: String,
    pub sent: u64,
    pub attainment: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

#[derive(Debug, Clone, Default, Serialize)]
pub struct StageTally {
    pub stage: String,
    pub runs: u64,
    /// Total duration of the runs, in seconds.
    pub runner_seconds: f64,
}

impl Tally {
    pub fn new(deployment: &Deployment, samples: &[Sample], runs: &[Run]) -> Tally {
        let count =
            |outcome| samples.iter().filter(|it| it.outcome == Some(outcome)).count() as u64;
        let in_time = samples.iter().filter(|it| is_in_time(it)).count();
        Tally {
            sent: samples.len() as u64,
            complete: count(Outcome::Complete),
            not_run: count(Outcome::NotRun),
            failed: count(Outcome::Failed),
            in_doubt: count(Outcome::InDoubt),
            lost: samples.iter().filter(|it| it.outcome.is_none()).count() as u64,
            doubled: duplicate_runs(deployment, samples, runs),
            misaddressed: samples.iter().filter(|it| !it.matches_input).count() as u64,
            attainment: share(in_time, samples.len()),
            pipelines: pipelines(samples),
            stages: stages(samples),
        }
    }

    /// Whether no request was lost, doubled or misaddressed.
    pub fn is_clean(&self) -> bool {
        self.lost == 0 && self.doubled == 0 && self.misaddressed == 0
    }
}

fn is_in_time(sample: &Sample) -> bool {
    sample.outcome == Some(Outcome::Complete) && sample.latency <= sample.deadline
}

fn duplicate_runs(deployment: &Deployment, samples: &[Sample], runs: &[Run]) -> u64 {
    let mut counts: SortedMap<(&str, &str), u64> = SortedMap::new();
    for run in runs {
        *counts.get_or_insert_with((run.key.as_str(), run.stage.as_str()), || 0) += 1;
    }
    let mut n_duplicates = 0;
    for sample in samples {
        let Some(pipeline) = deployment.config.pipeline(&sample.pipeline) else { continue };
        for stage in &pipeline.stages {
            let n_runs =
                counts.get(&(sample.key.as_str(), stage.name.as_str())).copied().unwrap_or(0);
            let n_allowed = match (sample.outcome, stage.repeatable) {
                (Some(Outcome::NotRun), _) => 0,
                (_, true) => u64::MAX,
                (_, false) => 1,
            };
            n_duplicates += n_runs.saturating_sub(n_allowed);
        }
    }
    n_duplicates
}

fn pipelines(samples: &[Sample]) -> Vec<PipelineTally> {
    let mut groups: SortedMap<&str, Vec<&Sample>> = SortedMap::new();
    for sample in samples {
        groups.get_or_insert_with(sample.pipeline.as_str(), Vec::new).push(sample);
    }
    groups
        .iter()
        .map(|(name, group)| {
            let mut latencies: Vec<Duration> = group.iter().map(|it| it.latency).collect();
            latencies.sort();
            let in_time = group.iter().filter(|it| is_in_time(it)).count();
            PipelineTally {
                pipeline: (*name).to_owned(),
                sent: group.len() as u64,
                attainment: share(in_time, group.len()),
                p50_ms: quantile_ms(&latencies, 0.5),
                p99_ms: quantile_ms(&latencies, 0.99),
            }
        })
        .collect()
}

fn stages(samples: &[Sample]) -> Vec<StageTally> {
    let mut totals: SortedMap<&str, (u64, Duration)> = SortedMap::new();
    for (stage, took) in samples.iter().flat_map(|it| &it.stages) {
        let total = totals.get_or_insert_with(stage.as_str(), || (0, Duration::ZERO));
        total.0 += 1;
        total.1 += *took;
    }
    totals
        .iter()
        .map(|(stage, (runs, took))| StageTally {
            stage: (*stage).to_owned(),
            runs: *runs,
            runner_seconds: took.as_secs_f64(),
        })
        .collect()
}

fn share(count: usize, total: usize) -> f64 {
    if total == 0 { 0.0 } else { count as f64 / total as f64 }
}

fn quantile_ms(sorted: &[Duration], quantile: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let idx = ((sorted.len() - 1) as f64 * quantile).round() as usize;
    sorted[idx].as_secs_f64() * 1e3
}
