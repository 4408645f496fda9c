//! The administration commands against a deployment on loopback.

use std::path::PathBuf;
use std::process::{Command, Output};

use ferry_bench::cluster::OPERATOR_TOKEN;
use ferry_bench::{Cluster, Deployment, DeploymentName};
use ferry_edge::logs;
use serde_json::{Value, json};

struct Told {
    ok: bool,
    out: String,
    error: String,
}

impl Told {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|it| panic!("{it}: {}", self.out))
    }
}

async fn ferryctl(cluster: &Cluster, args: &[&str]) -> Told {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ferryctl"));
    command
        .args(args)
        .env("FERRY_CONTROL", cluster.control.address().to_string())
        .env("FERRY_TOKEN", OPERATOR_TOKEN);
    let output: Output = tokio::task::spawn_blocking(move || command.output())
        .await
        .expect("the task ends")
        .expect("ferryctl runs");
    Told {
        ok: output.status.success(),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        error: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

async fn cluster(seed: u64) -> Cluster {
    let deployment = Deployment::new(DeploymentName::Kancil);
    let log = logs::silent_logger();
    Cluster::start(&deployment, 3, seed, &log).await.expect("a deployment")
}

/// Writes a value for a command to read; the name keeps tests apart.
fn file(name: &str, value: &Value) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, value.to_string()).expect("the file is writable");
    path
}

#[tokio::test(flavor = "multi_thread")]
async fn use_with_wait_returns_when_every_instance_has_it() {
    let cluster = cluster(31).await;
    let told = ferryctl(&cluster, &["use", "peak"]).await;
    assert!(!told.ok && told.error.contains("--revision"), "{}", told.error);
    let told = ferryctl(&cluster, &["use", "peak", "--revision", "1", "--wait"]).await;
    assert!(told.ok, "{}", told.error);
    assert!(told.out.contains("in force at every live instance"), "{}", told.out);
    for entry in &cluster.entries {
        assert!(2 <= entry.handle().status().revision);
    }
    let told = ferryctl(&cluster, &["use", "ordinary", "--revision", "1"]).await;
    assert!(!told.ok, "the revision is old");
    assert!(told.error.contains("demo changed /chosen"), "{}", told.error);

    let status = ferryctl(&cluster, &["--json", "status"]).await.json();
    assert_eq!(status["lowest"], 2);
    assert_eq!(status["instances"].as_array().map(Vec::len), Some(4));
    let table = ferryctl(&cluster, &["status"]).await;
    assert!(table.out.starts_with("revision 2, lowest of the live 2"), "{}", table.out);
    let history = ferryctl(&cluster, &["--json", "history"]).await.json();
    assert_eq!(history["changes"][1]["author"], "demo");
    let presets = ferryctl(&cluster, &["preset", "list"]).await;
    let peak = presets.out.lines().find(|it| it.starts_with("peak")).unwrap_or_default();
    assert!(peak.contains("yes"), "{}", presets.out);
}

/// No instance is known yet, so nothing can be said of all of them.
#[tokio::test(flavor = "multi_thread")]
async fn use_with_wait_does_not_take_an_empty_list_for_everyone() {
    let deployment = Deployment::new(DeploymentName::Kancil);
    let log = logs::silent_logger();
    let cluster = Cluster::start_unpublished(&deployment, 3, 34, &log).await.expect("a deployment");
    let status = ferryctl(&cluster, &["--json", "status"]).await.json();
    assert_eq!(status["lowest"], Value::Null);
    let wait = ["use", "peak", "--revision", "1", "--wait", "--seconds", "1"];
    let told = ferryctl(&cluster, &wait).await;
    assert!(!told.ok, "{}", told.out);
    assert!(told.error.contains("no instance is known"), "{}", told.error);

    cluster.publish_instances(&deployment);
    let told = ferryctl(&cluster, &["use", "ordinary", "--latest", "--wait"]).await;
    assert!(told.ok, "{}", told.error);
    let status = ferryctl(&cluster, &["--json", "status"]).await.json();
    assert_eq!(status["lowest"], 3);
    assert_eq!(status["instances"].as_array().map(Vec::len), Some(4));
}

#[tokio::test(flavor = "multi_thread")]
async fn pipeline_is_read_compared_and_put() {
    let cluster = cluster(32).await;
    let told = ferryctl(&cluster, &["pipeline", "get", "tag"]).await;
    assert!(told.ok && told.error.contains("revision 1"), "{}", told.error);
    let mut pipeline = told.json();
    pipeline["deadline"] = json!(2_500);
    let path = file("tag.json", &pipeline);
    let path = path.to_str().expect("a path");
    let told = ferryctl(&cluster, &["pipeline", "diff", "tag", path]).await;
    assert!(told.out.contains("-   \"deadline\": 2000"), "{}", told.out);
    assert!(told.out.contains("+   \"deadline\": 2500"), "{}", told.out);
    let put = ["--json", "pipeline", "put", "tag", path, "--revision", "1", "--id", "longer"];
    let told = ferryctl(&cluster, &put).await;
    assert!(told.ok, "{}", told.error);
    assert_eq!(told.json(), json!({"revision": 2, "id": "longer"}));
    let again = ferryctl(&cluster, &put).await;
    assert_eq!(again.json(), json!({"revision": 2, "id": "longer"}), "a repeat counts once");

    pipeline["stages"][0]["pool"] = json!("nowhere");
    let path = file("bad.json", &pipeline);
    let path = path.to_str().expect("a path");
    let told = ferryctl(&cluster, &["pipeline", "put", "tag", path, "--latest"]).await;
    assert!(!told.ok && told.error.contains("/stages/0/pool"), "{}", told.error);
    let list = ferryctl(&cluster, &["pipeline", "list"]).await;
    assert!(list.out.starts_with("NAME"), "{}", list.out);
    assert_eq!(list.out.lines().count(), 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn workspaces_and_pools_come_and_go() {
    let cluster = cluster(33).await;
    let token = blake3::hash(b"secret").to_hex().to_string();
    let value = json!({"name": "clinics", "weight": 2, "concurrent": 0, "tokens": [token]});
    let path = file("clinics.json", &value);
    let path = path.to_str().expect("a path");
    let told = ferryctl(&cluster, &["workspace", "put", "clinics", path]).await;
    assert!(told.ok, "{}", told.error);
    let read = ferryctl(&cluster, &["workspace", "get", "clinics"]).await.json();
    assert_eq!(read, value);
    let list = ferryctl(&cluster, &["workspace", "list"]).await;
    assert_eq!(list.out.lines().count(), 7, "{}", list.out);
    let told = ferryctl(&cluster, &["workspace", "delete", "clinics", "--latest"]).await;
    assert!(told.ok, "{}", told.error);
    let told = ferryctl(&cluster, &["workspace", "get", "clinics"]).await;
    assert!(!told.ok && told.error.contains("there is no"), "{}", told.error);

    let pool = json!({"name": "archive", "kind": "service", "checks_fence": false});
    let path = file("archive.json", &pool);
    let path = path.to_str().expect("a path");
    let told = ferryctl(&cluster, &["pool", "put", "archive", path, "--latest"]).await;
    assert!(told.ok, "{}", told.error);
    let told = ferryctl(&cluster, &["pool", "delete", "asset", "--latest"]).await;
    assert!(!told.ok && told.error.contains("/pipelines/lookup/stages/2/pool"), "{}", told.error);
}
