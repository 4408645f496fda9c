//! Tests real processes under load while they are killed, stopped and cut off from the platform.
//!
//! What ran is taken from the run logs of the endpoints, and never from the processes under test.

mod cluster;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ferry_edge::HttpClient;
use ferry_fakes::{Deployment, DeploymentName};
use ferry_model::{SortedMap, StageKind};
use ferry_standin::Run;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::cluster::{Cluster, Signal, post};

const N_ENTRIES: usize = 3;
/// Most attempts of a caller, which retries under the same key after a broken connection.
const MAX_ATTEMPTS: usize = 40;
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Kills in one run, the number that the reliability target names.
const N_KILLS: usize = 20;

/// The requests that callers send.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// Used in turn. If empty, all pipelines of the deployment.
    pipelines: &'static [&'static str],
    /// Time between two requests.
    interval: Duration,
}

const MIXED: Load = Load { pipelines: &[], interval: Duration::from_millis(15) };
/// The `file` pipeline spends nearly all of its time in stages that may not be repeated.
const FILINGS: Load = Load { pipelines: &["file"], interval: Duration::from_millis(6) };

/// What happens to the processes while the load runs.
#[derive(Debug, Clone, Copy)]
enum Disturbance {
    EntryKills,
    RollingReplacement,
    /// Each entry is stopped and continued.
    EntryStops,
    /// The store fails, and later leaves answers hanging.
    StoreOutage,
    /// The stand-ins are stopped, so that their open connections freeze.
    StandinStops,
    /// The control process is killed, stopped and asked to shut down.
    ControlFaults,
}

/// One request as its caller saw it.
struct Sample {
    key: String,
    pipeline: String,
    /// One per attempt; `None` if the connection broke.
    answers: Vec<Option<Value>>,
    expected: String,
}

/// Addresses that callers may currently use.
type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

struct Report {
    samples: Vec<Sample>,
    runs: Vec<Run>,
}

async fn run(
    name: &str,
    deployment: DeploymentName,
    plan: Load,
    disturbance: Disturbance,
) -> Report {
    let mut cluster = Cluster::start(name, deployment, N_ENTRIES).await;
    let addresses = Addresses::default();
    publish(&cluster, &addresses);
    let deployment = cluster.deployment.clone();
    let (stop, stopped) = tokio::sync::oneshot::channel();
    let load =
        tokio::spawn(load(deployment, plan, cluster.client.clone(), addresses.clone(), stopped));
    disturb(&mut cluster, &addresses, disturbance).await;
    stop.send(()).expect("the load is still running");
    let samples = load.await.expect("the load ends");
    let runs = cluster.runs().await;
    Report { samples, runs }
}

fn publish(cluster: &Cluster, addresses: &Addresses) {
    let all = cluster.entries.iter().map(|it| it.instance.address).collect();
    *addresses.lock().expect("the lock is not poisoned") = all;
}

fn withdraw(addresses: &Addresses, address: SocketAddr) {
    addresses.lock().expect("the lock is not poisoned").retain(|it| *it != address);
}

async fn disturb(cluster: &mut Cluster, addresses: &Addresses, disturbance: Disturbance) {
    let pause = |millis| tokio::time::sleep(Duration::from_millis(millis));
    match disturbance {
        Disturbance::EntryKills => {
            for idx in 0..N_KILLS {
                pause(150).await;
                let victim = idx % N_ENTRIES;
                cluster.entries[victim].process.signal(Signal::Kill);
                withdraw(addresses, cluster.entries[victim].instance.address);
                cluster.replace(victim).await;
                publish(cluster, addresses);
            }
        }
        Disturbance::RollingReplacement => {
            for idx in 0..N_ENTRIES {
                pause(500).await;
                let leaving = cluster.entries[idx].instance.address;
                cluster.list_leaving(idx).await;
                cluster.entries[idx].process.signal(Signal::Terminate);
                pause(500).await;
                cluster.entries[idx].process.signal(Signal::Terminate);
                withdraw(addresses, leaving);
                assert!(
                    cluster.entries[idx].process.wait_exit().await,
                    "entry {idx} exits successfully"
                );
                cluster.replace(idx).await;
                publish(cluster, addresses);
            }
        }
        Disturbance::EntryStops => {
            for idx in 0..N_ENTRIES {
                pause(500).await;
                cluster.entries[idx].process.signal(Signal::Stop);
                pause(1_500).await;
                cluster.entries[idx].process.signal(Signal::Continue);
            }
            pause(500).await;
        }
        Disturbance::StoreOutage => {
            for faults in [json!({ "outage": true }), json!({ "hung_answers": 20 })] {
                pause(500).await;
                cluster.set_faults(faults).await;
                pause(2_000).await;
                cluster.set_faults(json!({})).await;
            }
            pause(1_000).await;
        }
        Disturbance::StandinStops => {
            for _ in 0..3 {
                pause(500).await;
                cluster.standin.signal(Signal::Stop);
                pause(1_000).await;
                cluster.standin.signal(Signal::Continue);
            }
            pause(500).await;
        }
        Disturbance::ControlFaults => {
            for signal in [Signal::Kill, Signal::Stop, Signal::Terminate] {
                cluster.replace_control().await;
                pause(2_000).await;
                let control = cluster.control.as_mut().expect("the control process was started");
                control.process.signal(signal);
                pause(1_000).await;
                if matches!(signal, Signal::Stop) {
                    control.process.signal(Signal::Continue);
                    pause(1_000).await;
                }
            }
            let control = cluster.control.as_mut().expect("the control process was started");
            assert!(control.process.wait_exit().await, "the control process exits successfully");
        }
    }
}

/// Sends requests until `stopped` fires, and waits for all of their answers.
async fn load(
    deployment: Deployment,
    plan: Load,
    client: HttpClient,
    addresses: Addresses,
    mut stopped: tokio::sync::oneshot::Receiver<()>,
) -> Vec<Sample> {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut calls = JoinSet::new();
    while stopped.try_recv().is_err() {
        let idx = calls.len();
        let pipelines = &deployment.config.pipelines;
        let pipeline = match plan.pipelines {
            [] => &pipelines[idx % pipelines.len()],
            names => {
                deployment.config.pipeline(names[idx % names.len()]).expect("a known pipeline")
            }
        };
        let workspace = &deployment.workspaces[idx % deployment.workspaces.len()].name;
        let input = format!("case {idx}");
        let expected = pipeline.stages.iter().fold(input.clone(), |input, it| match it.kind {
            StageKind::Generate => format!("generate({input})"),
            _ => format!("{}({input})", it.name),
        });
        let sample = Sample {
            key: format!("key-{idx}"),
            pipeline: pipeline.name.clone(),
            answers: Vec::new(),
            expected,
        };
        let seed = rng.random();
        calls.spawn(send(
            client.clone(),
            addresses.clone(),
            workspace.clone(),
            input,
            sample,
            seed,
        ));
        tokio::time::sleep(plan.interval).await;
    }
    calls.join_all().await
}

/// Sends one request, and retries it under the same key while the connection breaks.
async fn send(
    client: HttpClient,
    addresses: Addresses,
    workspace: String,
    input: String,
    mut sample: Sample,
    seed: u64,
) -> Sample {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let body = json!({ "input": input });
    while sample.answers.len() < MAX_ATTEMPTS {
        let address = {
            let all = addresses.lock().expect("the lock is not poisoned");
            all[rng.random_range(0..all.len())]
        };
        let key = Some(sample.key.as_str());
        let call = post(&client, address, &sample.pipeline, &workspace, key, &body);
        let answer = tokio::time::timeout(cluster::TIMEOUT, call).await.expect("no caller hangs");
        let is_last = answer.is_some();
        sample.answers.push(answer);
        if is_last {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    sample
}

impl Report {
    /// Compares the run logs with what every caller saw, and returns the number of broken
    /// connections.
    fn check(&self, deployment: DeploymentName) -> usize {
        let config = Deployment::new(deployment).config;
        let mut counts: SortedMap<(&str, &str), usize> = SortedMap::new();
        for run in &self.runs {
            *counts.get_or_insert_with((&run.key, &run.stage), || 0) += 1;
        }
        let (mut lost, mut repeated, mut wrong_output, mut false_not_run) = (0, 0, 0, 0);
        let mut outcomes: SortedMap<String, usize> = SortedMap::new();
        for sample in &self.samples {
            let last = sample.answers.last().and_then(Option::as_ref);
            let outcome = last.and_then(|it| it["outcome"].as_str()).unwrap_or("lost").to_owned();
            lost += usize::from(outcome == "lost");
            let is_wrong =
                last.and_then(|it| it["output"].as_str()).is_some_and(|it| it != sample.expected);
            wrong_output += usize::from(is_wrong);
            let n_runs =
                |stage: &str| counts.get(&(sample.key.as_str(), stage)).copied().unwrap_or(0);
            let pipeline = config.pipeline(&sample.pipeline).expect("a pipeline of the deployment");
            for stage in &pipeline.stages {
                repeated += usize::from(!stage.repeatable && 1 < n_runs(&stage.name));
                let is_false =
                    outcome == "not_run" && sample.answers.len() == 1 && 0 < n_runs(&stage.name);
                false_not_run += usize::from(is_false);
            }
            *outcomes.get_or_insert_with(outcome, || 0) += 1;
        }
        let broken =
            self.samples.iter().flat_map(|it| &it.answers).filter(|it| it.is_none()).count();
        let sent = self.samples.len();
        eprintln!("sent {sent}: {outcomes:?}, {broken} connections broke");
        assert!(100 < sent, "the load is too small to show anything");
        assert_eq!((lost, repeated, wrong_output, false_not_run), (0, 0, 0, 0));
        let complete = outcomes.get("complete").copied().unwrap_or(0);
        assert!(100 < complete, "too few requests completed to show anything");
        broken
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_entries_never_repeat_an_unrepeatable_stage() {
    let deployment = DeploymentName::Ikenna;
    run("kills", deployment, FILINGS, Disturbance::EntryKills).await.check(deployment);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_replacement_breaks_no_connection() {
    let deployment = DeploymentName::Ikenna;
    let report = run("rolling", deployment, MIXED, Disturbance::RollingReplacement).await;
    assert_eq!(report.check(deployment), 0, "connections broke");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_entries_lose_no_request() {
    let deployment = DeploymentName::Kancil;
    let report = run("stops", deployment, MIXED, Disturbance::EntryStops).await;
    assert_eq!(report.check(deployment), 0, "connections broke");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_outages_lose_no_request() {
    let deployment = DeploymentName::Ikenna;
    let report = run("outage", deployment, MIXED, Disturbance::StoreOutage).await;
    assert_eq!(report.check(deployment), 0, "connections broke");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_endpoint_connections_lose_no_request() {
    let deployment = DeploymentName::Kancil;
    let report = run("sockets", deployment, MIXED, Disturbance::StandinStops).await;
    assert_eq!(report.check(deployment), 0, "connections broke");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn control_process_faults_affect_no_request() {
    let deployment = DeploymentName::Kancil;
    let report = run("control", deployment, MIXED, Disturbance::ControlFaults).await;
    assert_eq!(report.check(deployment), 0, "connections broke");
    let is_complete = |it: &Sample| {
        it.answers.last().and_then(Option::as_ref).is_some_and(|it| it["outcome"] == "complete")
    };
    assert!(
        report.samples.iter().all(is_complete),
        "every request completes while control processes fail"
    );
}
