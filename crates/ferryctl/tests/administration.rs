//! Tests of the administration commands against a deployment on loopback.

use std::path::PathBuf;
use std::process::{Command, Output};

use ferry_bench::cluster::OPERATOR_TOKEN;
use ferry_bench::{Cluster, Deployment, DeploymentName};
use ferry_edge::logs;
use serde_json::{Value, json};

struct CommandOutput {
    success: bool,
    stdout: String,
    stderr: String,
}

impl CommandOutput {
    fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|it| panic!("{it}: {}", self.stdout))
    }
}

async fn ferryctl(cluster: &Cluster, args: &[&str]) -> CommandOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ferryctl"));
    command
        .args(args)
        .env("FERRY_CONTROL", cluster.control.address().to_string())
        .env("FERRY_TOKEN", OPERATOR_TOKEN);
    let output: Output = tokio::task::spawn_blocking(move || command.output())
        .await
        .expect("the task ends")
        .expect("ferryctl runs");
    CommandOutput {
        success: output.status.success(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

async fn start_cluster(seed: u64) -> Cluster {
    let deployment = Deployment::new(DeploymentName::Kancil);
    let log = logs::silent_logger();
    Cluster::start(&deployment, 3, seed, &log).await.expect("a deployment")
}

/// Writes a value to a file for a command to read; each test uses other names.
fn write_file(name: &str, value: &Value) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, value.to_string()).expect("the file is writable");
    path
}

#[tokio::test(flavor = "multi_thread")]
async fn use_with_wait_returns_once_every_instance_has_the_preset() {
    let cluster = start_cluster(31).await;
    let output = ferryctl(&cluster, &["use", "peak"]).await;
    assert!(!output.success && output.stderr.contains("--revision"), "{}", output.stderr);
    let output = ferryctl(&cluster, &["use", "peak", "--revision", "1", "--wait"]).await;
    assert!(output.success, "{}", output.stderr);
    assert!(output.stdout.contains("in force at every live instance"), "{}", output.stdout);
    for entry in &cluster.entries {
        assert!(2 <= entry.handle().status().revision);
    }
    let output = ferryctl(&cluster, &["use", "ordinary", "--revision", "1"]).await;
    assert!(!output.success, "the revision is outdated");
    assert!(output.stderr.contains("demo changed /chosen"), "{}", output.stderr);

    let status = ferryctl(&cluster, &["--json", "status"]).await.json();
    assert_eq!(status["lowest"], 2);
    assert_eq!(status["instances"].as_array().map(Vec::len), Some(4));
    let table = ferryctl(&cluster, &["status"]).await;
    assert!(table.stdout.starts_with("revision 2, lowest of the live 2"), "{}", table.stdout);
    let history = ferryctl(&cluster, &["--json", "history"]).await.json();
    assert_eq!(history["changes"][1]["author"], "demo");
    let presets = ferryctl(&cluster, &["preset", "list"]).await;
    let peak = presets.stdout.lines().find(|it| it.starts_with("peak")).unwrap_or_default();
    assert!(peak.contains("yes"), "{}", presets.stdout);
}

/// Until the instance list is read, its emptiness does not mean that no instance lags.
#[tokio::test(flavor = "multi_thread")]
async fn use_with_wait_fails_while_no_instance_is_known() {
    let deployment = Deployment::new(DeploymentName::Kancil);
    let log = logs::silent_logger();
    let cluster = Cluster::start_unpublished(&deployment, 3, 34, &log).await.expect("a deployment");
    let status = ferryctl(&cluster, &["--json", "status"]).await.json();
    assert_eq!(status["lowest"], Value::Null);
    let wait = ["use", "peak", "--revision", "1", "--wait", "--seconds", "1"];
    let output = ferryctl(&cluster, &wait).await;
    assert!(!output.success, "{}", output.stdout);
    assert!(output.stderr.contains("no instance is known"), "{}", output.stderr);

    cluster.publish_instances(&deployment);
    let output = ferryctl(&cluster, &["use", "ordinary", "--latest", "--wait"]).await;
    assert!(output.success, "{}", output.stderr);
    let status = ferryctl(&cluster, &["--json", "status"]).await.json();
    assert_eq!(status["lowest"], 3);
    assert_eq!(status["instances"].as_array().map(Vec::len), Some(4));
}

#[tokio::test(flavor = "multi_thread")]
async fn pipeline_can_be_read_compared_and_put() {
    let cluster = start_cluster(32).await;
    let output = ferryctl(&cluster, &["pipeline", "get", "tag"]).await;
    assert!(output.success && output.stderr.contains("revision 1"), "{}", output.stderr);
    let mut pipeline = output.json();
    pipeline["deadline"] = json!(2_500);
    let path = write_file("tag.json", &pipeline);
    let path = path.to_str().expect("a path");
    let output = ferryctl(&cluster, &["pipeline", "diff", "tag", path]).await;
    assert!(output.stdout.contains("-   \"deadline\": 2000"), "{}", output.stdout);
    assert!(output.stdout.contains("+   \"deadline\": 2500"), "{}", output.stdout);
    let put = ["--json", "pipeline", "put", "tag", path, "--revision", "1", "--id", "longer"];
    let output = ferryctl(&cluster, &put).await;
    assert!(output.success, "{}", output.stderr);
    assert_eq!(output.json(), json!({"revision": 2, "id": "longer"}));
    let again = ferryctl(&cluster, &put).await;
    assert_eq!(again.json(), json!({"revision": 2, "id": "longer"}), "a retry is applied once");

    pipeline["stages"][0]["pool"] = json!("nowhere");
    let path = write_file("bad.json", &pipeline);
    let path = path.to_str().expect("a path");
    let output = ferryctl(&cluster, &["pipeline", "put", "tag", path, "--latest"]).await;
    assert!(!output.success && output.stderr.contains("/stages/0/pool"), "{}", output.stderr);
    let list = ferryctl(&cluster, &["pipeline", "list"]).await;
    assert!(list.stdout.starts_with("NAME"), "{}", list.stdout);
    assert_eq!(list.stdout.lines().count(), 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn workspaces_are_put_and_deleted_and_used_pools_are_kept() {
    let cluster = start_cluster(33).await;
    let token = blake3::hash(b"secret").to_hex().to_string();
    let value = json!({"name": "clinics", "weight": 2, "concurrent": 0, "tokens": [token]});
    let path = write_file("clinics.json", &value);
    let path = path.to_str().expect("a path");
    let output = ferryctl(&cluster, &["workspace", "put", "clinics", path]).await;
    assert!(output.success, "{}", output.stderr);
    let read = ferryctl(&cluster, &["workspace", "get", "clinics"]).await.json();
    assert_eq!(read, value);
    let list = ferryctl(&cluster, &["workspace", "list"]).await;
    assert_eq!(list.stdout.lines().count(), 7, "{}", list.stdout);
    let output = ferryctl(&cluster, &["workspace", "delete", "clinics", "--latest"]).await;
    assert!(output.success, "{}", output.stderr);
    let output = ferryctl(&cluster, &["workspace", "get", "clinics"]).await;
    assert!(!output.success && output.stderr.contains("there is no"), "{}", output.stderr);

    let pool = json!({"name": "archive", "kind": "service", "checks_fence": false});
    let path = write_file("archive.json", &pool);
    let path = path.to_str().expect("a path");
    let output = ferryctl(&cluster, &["pool", "put", "archive", path, "--latest"]).await;
    assert!(output.success, "{}", output.stderr);
    let output = ferryctl(&cluster, &["pool", "delete", "asset", "--latest"]).await;
    assert!(
        !output.success && output.stderr.contains("/pipelines/lookup/stages/2/pool"),
        "{}",
        output.stderr
    );
}
