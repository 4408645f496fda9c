//! The process: its settings, its help and its signals.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use ferry_edge::logs;
use ferry_fakes::{Deployment, DeploymentName};
use ferry_standin::DeploymentStandins;

const WAIT: Duration = Duration::from_secs(60);

fn control(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ferry-control")).args(args).output().expect("it runs")
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file is writable");
    path
}

#[test]
fn example_settings_are_valid() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../etc/ferry-control.ini");
    let output = control(&["--settings", example, "--check"]);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{error}");
    let version = control(&["--version"]);
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("ferry-control "));
}

#[test]
fn every_finding_is_printed_with_its_place() {
    let text = "[instance]\nid = control-1\nzone = a\nlisten = nowhere\n\
                [platform]\nstore = 127.0.0.1:1\nfleet = 127.0.0.1:1\n\
                [limits]\nbody_bytes = 7\n[operator amaka]\ntokens = secret\n\
                [membership]\nsuspect_after = 1s\n";
    let path = file("findings.ini", text);
    let output = control(&["--settings", path.to_str().expect("a path"), "--check"]);
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr);
    let places = [
        "instance:region",
        "instance:listen",
        "limits:body_bytes",
        "operator amaka:tokens",
        "membership:suspect_after: it must be at least three times",
    ];
    for place in places {
        assert!(error.contains(place), "{place} is missing in:\n{error}");
    }
    assert_eq!(error.lines().count(), places.len(), "{error}");
}

#[tokio::test(flavor = "multi_thread")]
async fn termination_ends_the_process_once_it_is_idle() {
    let log = logs::silent_logger();
    let bind = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let deployment = Deployment::new(DeploymentName::Kancil);
    let standins = DeploymentStandins::start(&deployment, bind, &log).expect("stand-ins");
    let platform = standins.platform.address();
    let text = format!(
        "[instance]\nid = control-1\nzone = kl-1\nregion = kl-central\nlisten = 127.0.0.1:0\n\
         [platform]\nstore = {platform}\nfleet = {platform}\n[log]\nlevel = error\n\
         [membership]\nanswer_life = 200ms\nleave_margin = 100ms\n"
    );
    let path = file("run.ini", &text);
    let mut child = Command::new(env!("CARGO_BIN_EXE_ferry-control"))
        .args(["--settings", path.to_str().expect("a path")])
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("a pipe");
    BufReader::new(stdout).read_line(&mut line).expect("a line");
    assert!(line.contains("\"operators\":\"127.0.0.1:"), "{line}");
    let id = child.id().to_string();
    for _ in 0..2 {
        let kill = Command::new("kill").args(["-TERM", &id]).status().expect("kill runs");
        assert!(kill.success());
    }
    let started = Instant::now();
    let status = loop {
        if let Some(status) = child.try_wait().expect("a status") {
            break status;
        }
        assert!(started.elapsed() < WAIT, "the process does not end");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert!(status.success(), "{status}");
}
