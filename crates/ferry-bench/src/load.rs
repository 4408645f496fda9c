//! Open-loop load with seeded arrivals; each latency counts from the intended start.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_edge::HttpClient;
use ferry_edge::http::{json_request, read_response};
use ferry_entry::api::{AnswerBody, RequestBody};
use ferry_fakes::deployment::demo_token;
use ferry_model::{Outcome, StageKind};
use http::{HeaderValue, Method};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::Deployment;

/// Time past the deadline after which a caller gives up.
const CALLER_GRACE: Duration = Duration::from_secs(5);

/// Seed, length and rate of a load.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    pub seed: u64,
    pub length: Duration,
    /// Requests a second over all pipelines.
    pub rate: f64,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Sample {
    pub pipeline: String,
    pub key: String,
    /// `None` if no answer arrived.
    pub outcome: Option<Outcome>,
    pub latency: Duration,
    pub deadline: Duration,
    /// Whether the output, if any, is the expected one for this request's input.
    pub matches_input: bool,
    /// Stages that ran, with their durations.
    pub stages: Vec<(String, Duration)>,
}

#[derive(Debug, Clone)]
struct Arrival {
    at: Duration,
    pipeline: String,
    workspace: String,
    key: String,
    entry: SocketAddr,
}

/// Sends the arrivals of the plan and returns a sample of each request, sorted by key.
pub async fn run(deployment: &Deployment, entries: &[SocketAddr], plan: &LoadPlan) -> Vec<Sample> {
    let client = HttpClient::new();
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for arrival in arrivals(deployment, entries, plan) {
        let intended = started + arrival.at;
        tokio::time::sleep_until(intended).await;
        let call = Call::new(deployment, arrival, intended);
        tasks.spawn(call.run(client.clone()));
    }
    let mut samples = tasks.join_all().await;
    samples.sort_by(|left, right| left.key.cmp(&right.key));
    samples
}

fn arrivals(deployment: &Deployment, entries: &[SocketAddr], plan: &LoadPlan) -> Vec<Arrival> {
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let mut at = Duration::ZERO;
    let mut arrivals = Vec::new();
    loop {
        let gap = -(1.0 - rng.random::<f64>()).ln() / plan.rate;
        at += Duration::from_secs_f64(gap);
        if plan.length <= at {
            return arrivals;
        }
        let workspace = rng.random_range(0..deployment.workspaces.len());
        arrivals.push(Arrival {
            at,
            pipeline: pick(&deployment.mix, rng.random()).to_owned(),
            workspace: deployment.workspaces[workspace].name.clone(),
            key: format!("{}-{:06}", plan.seed, arrivals.len()),
            entry: entries[rng.random_range(0..entries.len())],
        });
    }
}

fn pick<'a>(mix: &[(&'a str, f64)], at: f64) -> &'a str {
    let mut sum = 0.0;
    for (name, share) in mix {
        sum += share;
        if at < sum {
            return name;
        }
    }
    mix[mix.len() - 1].0
}

struct Call {
    arrival: Arrival,
    intended: Instant,
    deadline: Duration,
    input: String,
    expected: String,
}

impl Call {
    fn new(deployment: &Deployment, arrival: Arrival, intended: Instant) -> Call {
        let input = format!("input of {}", arrival.key);
        let mut expected = input.clone();
        let mut deadline = Duration::ZERO;
        if let Some(pipeline) = deployment.config.pipeline(&arrival.pipeline) {
            deadline = pipeline.deadline;
            for stage in &pipeline.stages {
                expected = match stage.kind {
                    StageKind::Generate => format!("generate({expected})"),
                    _ => format!("{}({expected})", stage.name),
                };
            }
        }
        Call { arrival, intended, deadline, input, expected }
    }

    async fn run(self, client: HttpClient) -> Sample {
        let wait = self.deadline + CALLER_GRACE;
        let answer = tokio::time::timeout(wait, self.send(&client)).await.ok().flatten();
        let latency = self.intended.elapsed();
        let outcome = answer.as_ref().and_then(|it| it.outcome.parse().ok());
        let output = answer.as_ref().and_then(|it| it.output.as_deref());
        let matches_input = output.is_none_or(|it| it == self.expected);
        let stages = answer.map(|it| it.stages).unwrap_or_default();
        Sample {
            pipeline: self.arrival.pipeline,
            key: self.arrival.key,
            outcome,
            latency,
            deadline: self.deadline,
            matches_input,
            stages: stages
                .into_iter()
                .map(|it| (it.stage, Duration::from_millis(it.took_ms)))
                .collect(),
        }
    }

    async fn send(&self, client: &HttpClient) -> Option<AnswerBody> {
        let path = format!("/v1/pipelines/{}/requests", self.arrival.pipeline);
        let body = RequestBody { input: self.input.clone(), deadline_ms: None, stream: false };
        let mut request =
            json_request(Method::POST, self.arrival.entry, &path, Some(&body)).ok()?;
        let token = format!("Bearer {}", demo_token(&self.arrival.workspace));
        let headers = request.headers_mut();
        headers.insert("idempotency-key", HeaderValue::from_str(&self.arrival.key).ok()?);
        headers.insert(http::header::AUTHORIZATION, HeaderValue::from_str(&token).ok()?);
        let response = client.send_pooled(self.arrival.entry, request).await.ok()?;
        read_response(self.arrival.entry, response).await.ok()?.json().ok()
    }
}
