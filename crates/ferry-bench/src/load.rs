//! Open-loop load: arrivals from a seed, latency from the intended start.

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

/// Added to the deadline before a caller gives up waiting.
const CALLER_GRACE: Duration = Duration::from_secs(5);

/// What to send.
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
    /// None if no answer came.
    pub outcome: Option<Outcome>,
    pub latency: Duration,
    pub deadline: Duration,
    /// Whether the answer is the one to this request's input.
    pub is_own: bool,
    pub stages: Vec<(String, Duration)>,
}

#[derive(Debug, Clone)]
struct Planned {
    at: Duration,
    pipeline: String,
    workspace: String,
    key: String,
    entry: SocketAddr,
}

/// Sends the planned arrivals and returns a sample of each.
pub async fn run(deployment: &Deployment, entries: &[SocketAddr], plan: &LoadPlan) -> Vec<Sample> {
    let client = HttpClient::new();
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for planned in arrivals(deployment, entries, plan) {
        let intended = started + planned.at;
        tokio::time::sleep_until(intended).await;
        let call = Call::new(deployment, planned, intended);
        tasks.spawn(call.run(client.clone()));
    }
    let mut samples = tasks.join_all().await;
    samples.sort_by(|left, right| left.key.cmp(&right.key));
    samples
}

fn arrivals(deployment: &Deployment, entries: &[SocketAddr], plan: &LoadPlan) -> Vec<Planned> {
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let mut at = Duration::ZERO;
    let mut planned = Vec::new();
    loop {
        let gap = -(1.0 - rng.random::<f64>()).ln() / plan.rate;
        at += Duration::from_secs_f64(gap);
        if plan.length <= at {
            return planned;
        }
        let workspace = rng.random_range(0..deployment.workspaces.len());
        planned.push(Planned {
            at,
            pipeline: pick(&deployment.mix, rng.random()).to_owned(),
            workspace: deployment.workspaces[workspace].name.clone(),
            key: format!("{}-{:06}", plan.seed, planned.len()),
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
    planned: Planned,
    intended: Instant,
    deadline: Duration,
    input: String,
    expected: String,
}

impl Call {
    fn new(deployment: &Deployment, planned: Planned, intended: Instant) -> Call {
        let input = format!("input of {}", planned.key);
        let mut expected = input.clone();
        let mut deadline = Duration::ZERO;
        if let Some(pipeline) = deployment.config.pipeline(&planned.pipeline) {
            deadline = pipeline.deadline;
            for stage in &pipeline.stages {
                expected = match stage.kind {
                    StageKind::Generate => format!("generate({expected})"),
                    _ => format!("{}({expected})", stage.name),
                };
            }
        }
        Call { planned, intended, deadline, input, expected }
    }

    async fn run(self, client: HttpClient) -> Sample {
        let wait = self.deadline + CALLER_GRACE;
        let answer = tokio::time::timeout(wait, self.ask(&client)).await.ok().flatten();
        let latency = self.intended.elapsed();
        let outcome = answer.as_ref().and_then(|it| it.outcome.parse().ok());
        let output = answer.as_ref().and_then(|it| it.output.as_deref());
        let is_own = output.is_none_or(|it| it == self.expected);
        let stages = answer.map(|it| it.stages).unwrap_or_default();
        Sample {
            pipeline: self.planned.pipeline,
            key: self.planned.key,
            outcome,
            latency,
            deadline: self.deadline,
            is_own,
            stages: stages
                .into_iter()
                .map(|it| (it.stage, Duration::from_millis(it.took_ms)))
                .collect(),
        }
    }

    async fn ask(&self, client: &HttpClient) -> Option<AnswerBody> {
        let path = format!("/v1/pipelines/{}/requests", self.planned.pipeline);
        let body = RequestBody { input: self.input.clone(), deadline_ms: None, stream: false };
        let mut request =
            json_request(Method::POST, self.planned.entry, &path, Some(&body)).ok()?;
        let token = format!("Bearer {}", demo_token(&self.planned.workspace));
        let headers = request.headers_mut();
        headers.insert("idempotency-key", HeaderValue::from_str(&self.planned.key).ok()?);
        headers.insert(http::header::AUTHORIZATION, HeaderValue::from_str(&token).ok()?);
        let response = client.send_pooled(self.planned.entry, request).await.ok()?;
        read_response(self.planned.entry, response).await.ok()?.json().ok()
    }
}
