//! An entry in a separate process, with its memory and processor time from /proc.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use ferry_edge::HttpClient;
use ferry_fakes::Deployment;
use ferry_fakes::deployment::demo_token;
use ferry_standin::DeploymentStandins;
use http::{Method, StatusCode};
use tokio::time::Instant;

/// Workspace of every call.
pub const WORKSPACE: &str = "agents";
/// Time within which the entry must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(1);
/// Unit of processor times under /proc.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Positions of the user and system times among the fields after the name in /proc/PID/stat.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

pub struct EntryProcess {
    child: Child,
    settings: PathBuf,
    pub address: SocketAddr,
    /// Time from the start of the process until it was ready.
    pub startup: Duration,
}

impl EntryProcess {
    /// Starts the `ferry-entry` in the folder of this binary and waits until it is ready.
    pub async fn start(
        standins: &DeploymentStandins,
        deployment: &Deployment,
        level: &str,
    ) -> Result<EntryProcess, String> {
        let settings = std::env::temp_dir().join(format!("ferry-bench-{}.ini", std::process::id()));
        let text = settings_text(standins.platform.address(), deployment, level);
        std::fs::write(&settings, text)
            .map_err(|it| format!("could not write {}: {it}", settings.display()))?;
        let started = Instant::now();
        let mut child = spawn(&settings)?;
        let address = read_address(&mut child)?;
        let mut entry = EntryProcess { child, settings, address, startup: Duration::ZERO };
        entry.wait_ready().await?;
        entry.startup = started.elapsed();
        Ok(entry)
    }

    /// Returns the resident memory, in KiB.
    pub fn memory_kib(&self) -> Result<u64, String> {
        let text = self.read("status")?;
        let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        let number = line.and_then(|it| it.split_whitespace().next()?.parse().ok());
        number.ok_or_else(|| "could not read the memory of the entry".to_owned())
    }

    /// Returns the processor time spent so far.
    pub fn cpu_time(&self) -> Result<Duration, String> {
        let text = self.read("stat")?;
        let fields: Vec<&str> =
            text.rsplit(") ").next().unwrap_or_default().split_whitespace().collect();
        let ticks = |idx: usize| fields.get(idx).and_then(|it| it.parse::<u32>().ok());
        match (ticks(USER_FIELD), ticks(SYSTEM_FIELD)) {
            (Some(user), Some(system)) => Ok(CLOCK_TICK * (user + system)),
            _ => Err("could not read the processor time of the entry".to_owned()),
        }
    }

    fn read(&self, name: &str) -> Result<String, String> {
        let path = format!("/proc/{}/{name}", self.child.id());
        std::fs::read_to_string(&path).map_err(|it| format!("could not read {path}: {it}"))
    }

    async fn wait_ready(&self) -> Result<(), String> {
        let http = HttpClient::new();
        let ready = async {
            loop {
                let path = "/v1/ready";
                let answer =
                    http.call::<()>(Method::GET, self.address, path, None, READY_TIMEOUT).await;
                if answer.is_ok_and(|it| it.status == StatusCode::OK) {
                    return;
                }
                tokio::time::sleep(READY_POLL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_| "the entry did not become ready".to_owned())
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn spawn(settings: &PathBuf) -> Result<Child, String> {
    let this = std::env::current_exe().map_err(|it| format!("could not find this binary: {it}"))?;
    let binary = this.with_file_name("ferry-entry");
    Command::new(&binary)
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .map_err(|it| {
            format!("could not start {}: {it}; build all binaries first", binary.display())
        })
}

fn read_address(child: &mut Child) -> Result<SocketAddr, String> {
    let failed = || "could not read the addresses of the entry".to_owned();
    let stdout = child.stdout.take().ok_or_else(failed)?;
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line).map_err(|_| failed())?;
    let started: serde_json::Value = serde_json::from_str(&line).map_err(|_| failed())?;
    started["callers"].as_str().and_then(|it| it.parse().ok()).ok_or_else(failed)
}

fn settings_text(platform: SocketAddr, deployment: &Deployment, level: &str) -> String {
    let hash = blake3::hash(demo_token(WORKSPACE).as_bytes()).to_hex();
    let (zone, region) = (deployment.zones[0], deployment.region);
    format!(
        "[instance]\nid = entry-0\nzone = {zone}\nregion = {region}\nlisten = 127.0.0.1:0\n\
         [platform]\nstore = {platform}\nfleet = {platform}\n\
         [log]\nformat = json\nlevel = {level}\n\
         [workspace {WORKSPACE}]\ntokens = {hash}\n"
    )
}
