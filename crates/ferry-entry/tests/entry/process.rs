//! Tests of the binary: its arguments, its settings and its signals.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use ferry_edge::http::{json_request, read_response};
use ferry_edge::{HttpClient, logs};
use ferry_entry::api::AnswerBody;
use ferry_fakes::deployment::demo_token;
use ferry_fakes::{Deployment, DeploymentName};
use ferry_standin::DeploymentStandins;
use http::{HeaderValue, Method};
use serde_json::json;

const ENTRY: &str = env!("CARGO_BIN_EXE_ferry-entry");
const POLL: Duration = Duration::from_millis(10);
/// Generous limit that only a hang reaches.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A temporary file that is removed when dropped.
struct TempFile(std::path::PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> TempFile {
        let path = std::env::temp_dir().join(format!("ferry-{}-{name}.ini", std::process::id()));
        let mut file = std::fs::File::create(&path).unwrap();
        file.write_all(text.as_bytes()).unwrap();
        TempFile(path)
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn check(file: &TempFile) -> Output {
    Command::new(ENTRY).arg("--settings").arg(&file.0).arg("--check").output().unwrap()
}

#[test]
fn version_and_help_are_printed() {
    let version = Command::new(ENTRY).arg("--version").output().unwrap();
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("ferry-entry 0."));
    let help = Command::new(ENTRY).arg("--help").output().unwrap();
    let text = String::from_utf8_lossy(&help.stdout).into_owned();
    assert!(text.contains("ferry-entry --settings etc/ferry-entry.ini"), "{text}");
    assert_eq!(Command::new(ENTRY).output().unwrap().status.code(), Some(1));
}

#[test]
fn check_prints_every_finding_and_exits_with_2() {
    let text = "[instance]\nid = entry-0\nlisten = nowhere\n\
                [platform]\nstore = 127.0.0.1:1\nfleet = 127.0.0.1:1\ntimeout = 5\n\
                [limit]\nbody_bytes = 1\n";
    let file = TempFile::new("findings", text);
    let output = check(&file);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    let path = file.0.display();
    for location in ["instance:zone", "instance:region", "instance:listen", "platform:timeout"] {
        assert!(text.contains(&format!("{path}:{location}: ")), "{location} is missing in {text}");
    }
    assert!(text.contains(&format!("{path}:limit:: unknown section")), "{text}");
}

#[test]
fn example_settings_have_no_findings() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../etc/ferry-entry.ini");
    let text = std::fs::read_to_string(example).unwrap();
    let file = TempFile::new("example", &text);
    let output = check(&file);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(0), "{errors}");
}

#[tokio::test]
async fn request_completes_after_two_sigterms_and_the_record_replays() {
    let deployment = Deployment::new(DeploymentName::Ikenna);
    let bind = SocketAddr::from(([127, 0, 0, 1], 0));
    let log = logs::silent_logger();
    let standins = DeploymentStandins::start(&deployment, bind, &log).unwrap();
    let file = TempFile::new("signals", &settings(standins.platform.address()));
    let record = TempFile::new("events", "");
    let mut child = Command::new(ENTRY)
        .arg("--settings")
        .arg(&file.0)
        .arg("--record")
        .arg(&record.0)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let address = read_address(&mut child);
    wait_ready(address).await;

    let request = tokio::spawn(post(address, "draft", "through"));
    let ran = async {
        while !standins.run_log.runs().iter().any(|it| it.stage == "retrieve") {
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, ran).await.unwrap();
    for _ in 0..2 {
        terminate(&child);
        tokio::time::sleep(POLL).await;
    }
    let answer = tokio::time::timeout(TIMEOUT, request).await.unwrap().unwrap();
    assert_eq!(answer.outcome, "complete");
    let status = tokio::task::spawn_blocking(move || child.wait()).await.unwrap().unwrap();
    assert_eq!(status.code(), Some(0));
    let events = std::fs::File::open(&record.0).unwrap();
    let replayed = ferry_core::replay::replay(BufReader::new(events)).unwrap();
    assert!(replayed.matches_recorded(), "the replay ends in a different state: {replayed:?}");
    assert!(0 < replayed.effects);
}

fn settings(platform: SocketAddr) -> String {
    let hash = blake3::hash(demo_token("agents").as_bytes()).to_hex();
    format!(
        "[instance]\nid = entry-0\nzone = lagos-1\nregion = lagos\nlisten = 127.0.0.1:0\n\
         [platform]\nstore = {platform}\nfleet = {platform}\ninterval = 100ms\n\
         [limits]\nclose_time = 100ms\n\
         [membership]\nanswer_life = 100ms\nleave_margin = 100ms\n[workspace agents]\ntokens = {hash}\n"
    )
}

/// Reads the address from the line that the process prints once it is listening.
fn read_address(child: &mut Child) -> SocketAddr {
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let started: serde_json::Value = serde_json::from_str(&line).unwrap();
    started["callers"].as_str().unwrap().parse().unwrap()
}

async fn wait_ready(address: SocketAddr) {
    let http = HttpClient::new();
    let ready = async {
        loop {
            let answer = http.call::<()>(Method::GET, address, "/v1/ready", None, TIMEOUT).await;
            if answer.is_ok_and(|it| it.status == http::StatusCode::OK) {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, ready).await.unwrap();
}

async fn post(address: SocketAddr, pipeline: &str, key: &str) -> AnswerBody {
    let path = format!("/v1/pipelines/{pipeline}/requests");
    let body = json!({ "input": "x" });
    let mut request = json_request(Method::POST, address, &path, Some(&body)).unwrap();
    let token = format!("Bearer {}", demo_token("agents"));
    let headers = request.headers_mut();
    headers.insert("authorization", HeaderValue::from_str(&token).unwrap());
    headers.insert("idempotency-key", HeaderValue::from_str(key).unwrap());
    let response = HttpClient::new().send_fresh(address, request).await.unwrap();
    read_response(address, response).await.unwrap().json().unwrap()
}

/// Sends SIGTERM to the process.
fn terminate(child: &Child) {
    let status = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status();
    assert!(status.unwrap().success());
}
