//! Samples and costs of an experiment, their CSV files and summaries.

use std::fs;
use std::path::Path;

use ferry_model::{Outcome, SortedMap};
use hdrhistogram::Histogram;

use crate::experiments::policies::{Run, Simulation};

const HEADER: &str = "policy,seed,at_ms,pipeline,outcome,latency_us,deadline_us";
const COST_HEADER: &str = "policy,pool,runner_seconds,requests";
/// Highest latency that a histogram distinguishes, in microseconds.
const MAX_LATENCY: u64 = 600_000_000;

/// One request; its latency counts from its arrival.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    pub policy: String,
    pub seed: u64,
    pub at_ms: u64,
    pub pipeline: String,
    /// `None` if no answer arrived.
    pub outcome: Option<Outcome>,
    pub latency_us: u64,
    pub deadline_us: u64,
}

/// Time that a pool's endpoints were busy in one run of a policy.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolCost {
    pub policy: String,
    pub pool: String,
    pub runner_seconds: f64,
    pub requests: u64,
}

/// All samples and costs of an experiment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Results {
    pub samples: Vec<Sample>,
    pub costs: Vec<PoolCost>,
}

/// Summary of the requests of one policy.
#[derive(Debug, Clone)]
pub struct Summary {
    pub policy: String,
    pub sent: usize,
    /// Share of requests completed within their deadline.
    pub attainment: f64,
    /// Latency of complete requests, in microseconds.
    pub latencies: Histogram<u64>,
}

impl Sample {
    pub fn is_in_time(&self) -> bool {
        self.outcome == Some(Outcome::Complete) && self.latency_us <= self.deadline_us
    }
}

impl Results {
    /// Adds the requests and the costs of one run.
    pub fn add(&mut self, run: Run, simulation: &Simulation) {
        let policy = run.policy.to_string();
        let config = &simulation.deployment.config;
        for record in simulation.world.requests.values() {
            let Some(pipeline) = config.pipeline(&record.request.pipeline) else { continue };
            let deadline = record.request.deadline.unwrap_or(pipeline.deadline);
            self.samples.push(Sample {
                policy: policy.clone(),
                seed: run.seed,
                at_ms: record.at.saturating_sub(simulation.start).as_millis() as u64,
                pipeline: pipeline.name.clone(),
                outcome: record.answer().map(|it| it.outcome),
                latency_us: record.latency().unwrap_or_default().as_micros() as u64,
                deadline_us: deadline.as_micros() as u64,
            });
        }
        let requests = simulation.world.requests.len() as u64;
        for shape in &simulation.deployment.pools {
            let endpoints =
                simulation.world.endpoints.values().filter(|it| it.endpoint.pool == shape.name);
            let runner_seconds = endpoints.map(|it| it.busy_time.as_secs_f64()).sum();
            let (policy, pool) = (policy.clone(), shape.name.to_owned());
            self.costs.push(PoolCost { policy, pool, runner_seconds, requests });
        }
    }

    /// Returns the policies in the order in which they first ran.
    pub fn policies(&self) -> Vec<&str> {
        let mut names: Vec<&str> = Vec::new();
        for sample in &self.samples {
            if !names.contains(&sample.policy.as_str()) {
                names.push(&sample.policy);
            }
        }
        names
    }

    pub fn summary(&self, policy: &str) -> Result<Summary, String> {
        let mut latencies = Histogram::new_with_max(MAX_LATENCY, 3).map_err(|it| it.to_string())?;
        let samples: Vec<&Sample> = self.samples.iter().filter(|it| it.policy == policy).collect();
        for sample in samples.iter().filter(|it| it.outcome == Some(Outcome::Complete)) {
            latencies.saturating_record(sample.latency_us);
        }
        let n_in_time = samples.iter().filter(|it| it.is_in_time()).count();
        let attainment = n_in_time as f64 / samples.len().max(1) as f64;
        Ok(Summary { policy: policy.to_owned(), sent: samples.len(), attainment, latencies })
    }

    /// Returns the runner-seconds of each pool per 1,000 requests of a policy.
    pub fn pool_costs(&self, policy: &str) -> Vec<(&str, f64)> {
        let mut sums: SortedMap<&str, (f64, u64)> = SortedMap::new();
        for it in self.costs.iter().filter(|it| it.policy == policy) {
            let sum = sums.get_or_insert_with(it.pool.as_str(), || (0.0, 0));
            sum.0 += it.runner_seconds;
            sum.1 += it.requests;
        }
        let per_thousand = |it: &(f64, u64)| it.0 * 1e3 / it.1.max(1) as f64;
        sums.iter().map(|(pool, sum)| (*pool, per_thousand(sum))).collect()
    }

    /// Writes `NAME.csv` and `NAME.cost.csv` into a folder.
    pub fn save(&self, folder: &Path, name: &str) -> Result<(), String> {
        fs::create_dir_all(folder)
            .map_err(|it| format!("could not create {}: {it}", folder.display()))?;
        let mut text = format!("{HEADER}\n");
        for it in &self.samples {
            let outcome = it.outcome.map_or_else(|| "none".to_owned(), |it| it.to_string());
            text += &format!(
                "{},{},{},{},{outcome},{},{}\n",
                it.policy, it.seed, it.at_ms, it.pipeline, it.latency_us, it.deadline_us
            );
        }
        write(&folder.join(format!("{name}.csv")), &text)?;
        let mut text = format!("{COST_HEADER}\n");
        for it in &self.costs {
            text += &format!("{},{},{},{}\n", it.policy, it.pool, it.runner_seconds, it.requests);
        }
        write(&folder.join(format!("{name}.cost.csv")), &text)
    }

    /// Reads the files that [`Results::save`] wrote; `path` is that of `NAME.csv`.
    pub fn load(path: &Path) -> Result<Results, String> {
        let samples = rows(path, HEADER, |it| {
            Some(Sample {
                policy: it.first()?.to_string(),
                seed: it.get(1)?.parse().ok()?,
                at_ms: it.get(2)?.parse().ok()?,
                pipeline: it.get(3)?.to_string(),
                outcome: it.get(4)?.parse().ok(),
                latency_us: it.get(5)?.parse().ok()?,
                deadline_us: it.get(6)?.parse().ok()?,
            })
        })?;
        let costs = rows(&path.with_extension("cost.csv"), COST_HEADER, |it| {
            Some(PoolCost {
                policy: it.first()?.to_string(),
                pool: it.get(1)?.to_string(),
                runner_seconds: it.get(2)?.parse().ok()?,
                requests: it.get(3)?.parse().ok()?,
            })
        })?;
        Ok(Results { samples, costs })
    }
}

fn rows<T>(
    path: &Path,
    header: &str,
    parse_row: impl Fn(&[&str]) -> Option<T>,
) -> Result<Vec<T>, String> {
    let shown = path.display();
    let text = fs::read_to_string(path).map_err(|it| format!("could not read {shown}: {it}"))?;
    let mut lines = text.lines().zip(1..);
    if lines.next().map(|(it, _)| it) != Some(header) {
        return Err(format!("could not read {shown}:1: expected `{header}`"));
    }
    let parse = |(line, number): (&str, usize)| {
        let fields: Vec<&str> = line.split(',').collect();
        parse_row(&fields).ok_or_else(|| format!("could not read {shown}:{number}: `{line}`"))
    };
    lines.map(parse).collect()
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    fs::write(path, text).map_err(|it| format!("could not write {}: {it}", path.display()))
}
