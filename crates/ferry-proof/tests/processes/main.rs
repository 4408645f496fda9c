//! Real processes under load while they are killed, stopped and cut off from the platform.
//!
//! The endpoints' own logs are the witness of what ran.

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
/// Times that a caller whose connection broke asks again under its key.
const MAX_TRIES: usize = 40;
const TRY_PAUSE: Duration = Duration::from_millis(200);
/// Kills in one run, as many as the target asks for.
const N_KILLS: usize = 20;

/// What callers send.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// In turn; all of the deployment's where none is named.
    pipelines: &'static [&'static str],
    /// Time between two requests.
    pace: Duration,
}

const MIXED: Load = Load { pipelines: &[], pace: Duration::from_millis(15) };
/// Nearly all of a filing's time is spent in stages that may not be repeated.
const FILINGS: Load = Load { pipelines: &["file"], pace: Duration::from_millis(6) };

/// What the processes suffer while the load runs.
#[derive(Debug, Clone, Copy)]
enum Disturbance {
    Kills,
    RollingReplacement,
    Stops,
    StoreOutage,
    FrozenSockets,
    /// The control process is killed, stopped and asked to leave.
    Control,
}

/// One request as its caller saw it.
struct Sample {
    key: String,
    pipeline: String,
    /// One for each try; none where the connection broke.
    answers: Vec<Option<Value>>,
    expected: String,
}

/// Addresses that callers may use now.
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
    let shape = cluster.deployment.clone();
    let (stop, stopped) = tokio::sync::oneshot::channel();
    let load = tokio::spawn(load(shape, plan, cluster.client.clone(), addresses.clone(), stopped));
    disturb(&mut cluster, &addresses, disturbance).await;
    stop.send(()).expect("the load still runs");
    let samples = load.await.expect("the load ends");
    let runs = cluster.runs().await;
    Report { samples, runs }
}

fn publish(cluster: &Cluster, addresses: &Addresses) {
    let all = cluster.entries.iter().map(|it| it.instance.address).collect();
    *addresses.lock().expect("no holder panics") = all;
}

fn withdraw(addresses: &Addresses, address: SocketAddr) {
    addresses.lock().expect("no holder panics").retain(|it| *it != address);
}

async fn disturb(cluster: &mut Cluster, addresses: &Addresses, disturbance: Disturbance) {
    let pause = |millis| tokio::time::sleep(Duration::from_millis(millis));
    match disturbance {
        Disturbance::Kills => {
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
                assert!(cluster.entries[idx].process.ended().await, "entry {idx} ends well");
                cluster.replace(idx).await;
                publish(cluster, addresses);
            }
        }
        Disturbance::Stops => {
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
        Disturbance::FrozenSockets => {
            for _ in 0..3 {
                pause(500).await;
                cluster.standin.signal(Signal::Stop);
                pause(1_000).await;
                cluster.standin.signal(Signal::Continue);
            }
            pause(500).await;
        }
        Disturbance::Control => {
            for signal in [Signal::Kill, Signal::Stop, Signal::Terminate] {
                cluster.replace_control().await;
                pause(2_000).await;
                let control = cluster.control.as_mut().expect("it was started");
                control.process.signal(signal);
                pause(1_000).await;
                if matches!(signal, Signal::Stop) {
                    control.process.signal(Signal::Continue);
                    pause(1_000).await;
                }
            }
            let control = cluster.control.as_mut().expect("it was started");
            assert!(control.process.ended().await, "the control process ends well");
        }
    }
}

/// Sends requests until told to stop, and waits for all of their answers.
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
            names => deployment.config.pipeline(names[idx % names.len()]).expect("a pipeline"),
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
        calls.spawn(ask(client.clone(), addresses.clone(), workspace.clone(), input, sample, seed));
        tokio::time::sleep(plan.pace).await;
    }
    calls.join_all().await
}

/// Asks as a careful client would: again under the same key where the connection broke.
async fn ask(
    client: HttpClient,
    addresses: Addresses,
    workspace: String,
    input: String,
    mut sample: Sample,
    seed: u64,
) -> Sample {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let body = json!({ "input": input });
    while sample.answers.len() < MAX_TRIES {
        let address = {
            let all = addresses.lock().expect("no holder panics");
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
        tokio::time::sleep(TRY_PAUSE).await;
    }
    sample
}

impl Report {
    /// Checks the witness against every caller, and returns the number of broken connections.
    fn check(&self, deployment: DeploymentName) -> usize {
        let config = Deployment::new(deployment).config;
        let mut counts: SortedMap<(&str, &str), usize> = SortedMap::new();
        for run in &self.runs {
            *counts.get_or_insert_with((&run.key, &run.stage), || 0) += 1;
        }
        let (mut lost, mut doubled, mut misaddressed, mut denied) = (0, 0, 0, 0);
        let mut outcomes: SortedMap<String, usize> = SortedMap::new();
        for sample in &self.samples {
            let last = sample.answers.last().and_then(Option::as_ref);
            let word = last.and_then(|it| it["outcome"].as_str()).unwrap_or("lost").to_owned();
            lost += usize::from(word == "lost");
            let is_other =
                last.and_then(|it| it["output"].as_str()).is_some_and(|it| it != sample.expected);
            misaddressed += usize::from(is_other);
            let n_runs =
                |stage: &str| counts.get(&(sample.key.as_str(), stage)).copied().unwrap_or(0);
            let pipeline = config.pipeline(&sample.pipeline).expect("a pipeline of ours");
            for stage in &pipeline.stages {
                doubled += usize::from(!stage.repeatable && 1 < n_runs(&stage.name));
                let is_denied =
                    word == "not_run" && sample.answers.len() == 1 && 0 < n_runs(&stage.name);
                denied += usize::from(is_denied);
            }
            *outcomes.get_or_insert_with(word, || 0) += 1;
        }
        let broken =
            self.samples.iter().flat_map(|it| &it.answers).filter(|it| it.is_none()).count();
        let sent = self.samples.len();
        eprintln!("sent {sent}: {outcomes:?}, {broken} connections broke");
        assert!(100 < sent, "the load is too small to show anything");
        assert_eq!((lost, doubled, misaddressed, denied), (0, 0, 0, 0));
        let complete = outcomes.get("complete").copied().unwrap_or(0);
        assert!(100 < complete, "too few requests completed to show anything");
        broken
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_entries_never_double_a_run() {
    let deployment = DeploymentName::Ikenna;
    run("kills", deployment, FILINGS, Disturbance::Kills).await.check(deployment);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_replacement_cuts_nothing() {
    let deployment = DeploymentName::Ikenna;
    let report = run("rolling", deployment, MIXED, Disturbance::RollingReplacement).await;
    assert_eq!(report.check(deployment), 0, "connections broke");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_entries_go_on_where_they_were() {
    let deployment = DeploymentName::Kancil;
    let report = run("stops", deployment, MIXED, Disturbance::Stops).await;
    assert_eq!(report.check(deployment), 0, "connections broke");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_outages_lose_nothing() {
    let deployment = DeploymentName::Ikenna;
    let report = run("outage", deployment, MIXED, Disturbance::StoreOutage).await;
    assert_eq!(report.check(deployment), 0, "connections broke");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_sockets_lose_nothing() {
    let deployment = DeploymentName::Kancil;
    let report = run("sockets", deployment, MIXED, Disturbance::FrozenSockets).await;
    assert_eq!(report.check(deployment), 0, "connections broke");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_of_control_touch_no_request() {
    let deployment = DeploymentName::Kancil;
    let report = run("control", deployment, MIXED, Disturbance::Control).await;
    assert_eq!(report.check(deployment), 0, "connections broke");
    let is_whole = |it: &Sample| {
        it.answers.last().and_then(Option::as_ref).is_some_and(|it| it["outcome"] == "complete")
    };
    assert!(report.samples.iter().all(is_whole), "each request completes without control");
}
