//! Runs stand-ins, entries and a control process as child processes on loopback.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use ferry_edge::HttpClient;
use ferry_edge::certs::{self, CertPair};
use ferry_edge::http::{json_request, read_response};
use ferry_fakes::deployment::demo_token;
use ferry_fakes::{Deployment, DeploymentName};
use ferry_model::{EndpointState, Instance, Workspace};
use ferry_standin::Run;
use http::Method;
use serde_json::Value;

/// Long enough that only a hang exceeds it.
pub const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process, killed when it is dropped.
pub struct Process {
    child: Child,
    /// The first line of its standard output, with the addresses that it listens on.
    pub startup: Value,
}

#[derive(Debug, Clone, Copy)]
pub enum Signal {
    Kill,
    Terminate,
    Stop,
    Continue,
}

impl Process {
    fn start(binary: &str, args: &[&str], env: &[(&str, &str)]) -> Process {
        let mut child = Command::new(binary_folder().join(binary))
            .args(args)
            .envs(env.iter().copied())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("standard output is piped");
        BufReader::new(stdout).read_line(&mut line).expect("the first line reads");
        let startup = serde_json::from_str(&line).expect("the first line is JSON");
        Process { child, startup }
    }

    pub fn signal(&mut self, signal: Signal) {
        let name = match signal {
            Signal::Kill => "-KILL",
            Signal::Terminate => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        };
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status().expect("kill starts");
        assert!(status.success(), "kill {name} {id}");
    }

    /// Waits until the process exits by itself, and returns whether it succeeded.
    pub async fn wait_exit(&mut self) -> bool {
        let exit = async {
            loop {
                if let Some(status) = self.child.try_wait().expect("the child can be waited for") {
                    return status.success();
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, exit).await.expect("the process exits in time")
    }

    fn address(&self, field: &str) -> SocketAddr {
        self.startup[field].as_str().and_then(|it| it.parse().ok()).expect("an address")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The processes of one deployment: its stand-ins, entries and control process.
pub struct Cluster {
    pub deployment: Deployment,
    pub client: HttpClient,
    pub standin: Process,
    pub entries: Vec<Entry>,
    /// The control process, if the test has started one.
    pub control: Option<Entry>,
    authority: CertPair,
    folder: PathBuf,
    n_started: usize,
}

pub struct Entry {
    pub process: Process,
    pub instance: Instance,
}

impl Cluster {
    /// Starts the stand-ins and `n_entries` entries, and waits until all are ready.
    pub async fn start(name: &str, deployment: DeploymentName, n_entries: usize) -> Cluster {
        let standin =
            Process::start("ferry-standin", &["--deployment", &deployment.to_string()], &[]);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&folder).expect("the folder can be made");
        let mut cluster = Cluster {
            deployment: Deployment::new(deployment),
            client: HttpClient::new(),
            standin,
            entries: Vec::new(),
            control: None,
            authority: certs::generate_authority().expect("an authority"),
            folder,
            n_started: 0,
        };
        for _ in 0..n_entries {
            let entry = cluster.start_entry();
            cluster.entries.push(entry);
        }
        cluster.put_instances().await;
        for idx in 0..n_entries {
            cluster.wait_ready(idx).await;
        }
        cluster
    }

    /// Replaces an entry with a new process and waits until it is ready.
    pub async fn replace(&mut self, idx: usize) {
        let entry = self.start_entry();
        self.entries[idx] = entry;
        self.put_instances().await;
        self.wait_ready(idx).await;
    }

    /// Starts a control process and kills the previous one, if any.
    pub async fn replace_control(&mut self) {
        let control = self.start_instance("ferry-control");
        self.control = Some(control);
        self.put_instances().await;
    }

    /// Lists an entry as leaving in the instance list.
    pub async fn list_leaving(&mut self, idx: usize) {
        self.entries[idx].instance.state = EndpointState::Leaving;
        self.put_instances().await;
    }

    pub async fn set_faults(&self, faults: Value) {
        self.send(Method::PUT, self.platform(), "/control/faults", Some(&faults)).await;
    }

    /// Returns every call that the endpoints ran.
    pub async fn runs(&self) -> Vec<Run> {
        let answer = self.send(Method::GET, self.platform(), "/control/runs", None).await;
        serde_json::from_value(answer).expect("a list of runs")
    }

    pub fn platform(&self) -> SocketAddr {
        self.standin.address("platform")
    }

    fn start_entry(&mut self) -> Entry {
        self.start_instance("ferry-entry")
    }

    fn start_instance(&mut self, binary: &str) -> Entry {
        let idx = self.n_started;
        self.n_started += 1;
        let is_entry = binary == "ferry-entry";
        let id = format!("{binary}-{idx}");
        let zone = self.deployment.zones[idx % self.deployment.zones.len()];
        let path = self.folder.join(format!("{id}.ini"));
        let mut settings = self.settings(&id, zone);
        if is_entry {
            settings += &self.workspaces();
        }
        fs::write(&path, settings).expect("the settings can be written");
        let pair = certs::issue_instance_cert(&self.authority, &id).expect("a certificate");
        let env = [
            ("FERRY_PEER_AUTHORITY", self.authority.cert.as_str()),
            ("FERRY_PEER_CERTIFICATE", pair.cert.as_str()),
            ("FERRY_PEER_KEY", pair.key.as_str()),
        ];
        let path = path.to_string_lossy();
        let process = Process::start(binary, &["--settings", &path], &env);
        let address = if is_entry { "callers" } else { "operators" };
        let instance = Instance {
            id,
            zone: zone.to_owned(),
            region: self.deployment.region.to_owned(),
            address: process.address(address),
            peer: process.address("peers"),
            state: EndpointState::Live,
            is_entry,
        };
        Entry { process, instance }
    }

    fn settings(&self, id: &str, zone: &str) -> String {
        let platform = self.platform();
        let region = self.deployment.region;
        format!(
            "[instance]\nid = {id}\nzone = {zone}\nregion = {region}\nlisten = 127.0.0.1:0\n\
             [platform]\nstore = {platform}\nfleet = {platform}\ntimeout = 1s\ninterval = 200ms\n\
             reads = 1000\nwrites = 1000\n\
             [log]\nlevel = error\n\
             [peers]\nlisten = 127.0.0.1:0\nauthority = env:FERRY_PEER_AUTHORITY\n\
             certificate = env:FERRY_PEER_CERTIFICATE\nkey = env:FERRY_PEER_KEY\n"
        )
    }

    fn workspaces(&self) -> String {
        let section = |it: &Workspace| {
            format!("[workspace {}]\ntokens = {}\n", it.name, it.tokens.join(", "))
        };
        self.deployment.workspaces.iter().map(section).collect()
    }

    /// Writes the current instances to the stand-in's instance list.
    async fn put_instances(&self) {
        let all = self.entries.iter().chain(&self.control);
        let instances: Vec<&Instance> = all.map(|it| &it.instance).collect();
        let body = serde_json::to_value(instances).expect("instances are JSON");
        self.send(Method::PUT, self.platform(), "/control/instances", Some(&body)).await;
    }

    /// Waits until an entry completes a request.
    async fn wait_ready(&self, idx: usize) {
        let address = self.entries[idx].instance.address;
        let ready = async {
            loop {
                let body = serde_json::json!({ "input": "probe", "deadline_ms": 2_000 });
                let name = &self.deployment.config.pipelines[0].name;
                let workspace = &self.deployment.workspaces[0].name;
                let outcome = post(&self.client, address, name, workspace, None, &body).await;
                if outcome.is_some_and(|it| it["outcome"] == "complete") {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, ready).await.expect("the entry becomes ready");
    }

    async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&Value>,
    ) -> Value {
        let request = json_request(method, address, path, body).expect("a request");
        let response = self.client.send_pooled(address, request).await.expect("an answer");
        let answer = read_response(address, response).await.expect("the complete answer");
        answer.json().unwrap_or(Value::Null)
    }
}

/// Sends one request. Returns `None` if the connection broke before the complete answer.
pub async fn post(
    client: &HttpClient,
    address: SocketAddr,
    pipeline: &str,
    workspace: &str,
    key: Option<&str>,
    body: &Value,
) -> Option<Value> {
    let path = format!("/v1/pipelines/{pipeline}/requests");
    let mut request = json_request(Method::POST, address, &path, Some(body)).ok()?;
    let token = format!("Bearer {}", demo_token(workspace));
    request.headers_mut().insert(http::header::AUTHORIZATION, token.parse().ok()?);
    if let Some(key) = key {
        request.headers_mut().insert("idempotency-key", key.parse().ok()?);
    }
    let response = client.send_fresh(address, request).await.ok()?;
    read_response(address, response).await.ok()?.json().ok()
}

/// Builds the binaries once and returns their folder.
fn binary_folder() -> &'static Path {
    static FOLDER: std::sync::OnceLock<PathBuf> = std::sync::OnceLock::new();
    FOLDER.get_or_init(|| {
        let status = Command::new(env!("CARGO"))
            .args([
                "build",
                "--locked",
                "--workspace",
                "--bin",
                "ferry-entry",
                "--bin",
                "ferry-control",
                "--bin",
                "ferry-standin",
            ])
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .stderr(Stdio::null())
            .status()
            .expect("cargo starts");
        assert!(status.success(), "the binaries build");
        let test = std::env::current_exe().expect("the path of this test");
        test.ancestors().nth(2).expect("the target folder").to_owned()
    })
}
