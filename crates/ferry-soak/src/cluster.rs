//! Gateway processes on separate loopback addresses, with a simulated store and endpoints.

use std::cell::Cell;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;

use strum::IntoEnumIterator;
use tokio::task::spawn_local;

use crate::checker::Checker;
use crate::config::{BUDGET_EXTRA, BUDGET_RATIO, BUDGET_WINDOW, desired_state};
use crate::crash::run_crashes;
use crate::endpoint::{Endpoint, Pool};
use crate::proxy::Proxy;
use crate::server::ListenerHandle;
use crate::store::Store;

const FRONT_PORT: u16 = 8_625;
const READY_PORT: u16 = 8_621;
const DIRECTORY_PORT: u16 = 8_620;
const PEER_PORT: u16 = 7_740;
const STORE_PORT: u16 = 8_624;
const ENDPOINT_PORT: u16 = 8_080;
/// Number of gateways whose addresses are in the network of the run.
const N_FIRST_NODES: usize = 90;
/// Lowest second octet of the addresses of the other gateways, which use a range of 50.
const EXTRA_OCTET: u8 = 200;
/// Number of endpoints in each pool.
pub const N_ENDPOINTS: usize = 3;
/// Availability zones of the endpoints and the gateways.
pub const N_ZONES: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    Kill,
    Terminate,
    Stop,
    Continue,
    HangUp,
}

/// What a gateway runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// Path of the binary.
    pub gateway: PathBuf,
    /// Path of a settings file of its own, if it has one.
    pub own: Option<PathBuf>,
}

/// A gateway, whose process is killed when this is dropped.
#[derive(Debug)]
pub struct Node {
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    /// What it runs from its next start on.
    pub release: Release,
    checker: Rc<Checker>,
    child: Option<Child>,
    has_started: bool,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.signal(Signal::Kill);
        if let Some(mut child) = self.child.take() {
            // The process has been killed, so this does not block.
            let _ = child.wait();
        }
    }
}

impl Node {
    /// Starts the process unless it is running.
    pub fn start(&mut self) -> std::io::Result<()> {
        if self.exit_status().is_none() && self.child.is_some() {
            return Ok(());
        }
        if std::mem::replace(&mut self.has_started, true) {
            let text = fs::read_to_string(&self.settings)?;
            fs::write(&self.settings, text.replace("Bootstrap=true", "Bootstrap=false"))?;
        }
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.release.gateway);
        command.arg("--settings").arg(&self.settings);
        if let Some(own) = &self.release.own {
            command.arg("--own").arg(own);
        }
        let child = command.stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log).spawn()?;
        self.child = Some(child);
        self.checker.record_fault(self.front());
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&mut self, signal: Signal) {
        let Some(child) = &self.child else { return };
        if signal != Signal::HangUp {
            self.checker.record_fault(self.front());
        }
        let name = match signal {
            Signal::Kill => "-KILL",
            Signal::Terminate => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::HangUp => "-HUP",
        };
        // Fails if the process has ended by itself.
        let _ = Command::new("kill")
            .args([name, &child.id().to_string()])
            .stderr(Stdio::null())
            .status();
    }

    /// Returns the exit status of the process if it has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Returns the peak resident memory of the process in bytes; none if it has ended.
    pub fn memory_peak(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:"))?;
        let kilobytes: u64 = peak.trim().strip_suffix(" kB")?.parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// Path of the settings file.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Path of the log file.
    pub fn log(&self) -> &Path {
        &self.log
    }

    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    /// Name of the gateway in the checker's records.
    pub fn subject(&self) -> String {
        self.ip.to_string()
    }

    /// Address of the directory.
    pub fn directory(&self) -> SocketAddr {
        self.address(DIRECTORY_PORT)
    }

    /// Address of the readiness check.
    pub fn ready(&self) -> SocketAddr {
        self.address(READY_PORT)
    }

    /// Address for callers' requests.
    pub fn front(&self) -> SocketAddr {
        self.address(FRONT_PORT)
    }

    fn settings_text(&self, number: usize, store: SocketAddr) -> String {
        let ip = self.ip;
        let zone = number % N_ZONES;
        format!(
            "Node=edge-{number}\nBootstrap=true\nIp={ip}\nZone=zone-{zone}\nListen.Front={ip}:{FRONT_PORT}\n\
             Listen.Ready={ip}:{READY_PORT}\nListen.Directory={ip}:{DIRECTORY_PORT}\n\
             InternalPortRange={PEER_PORT},7755\nLimits.CpuShare=0.25\nLimits.Cores=1\n\
             Limits.MemoryMb=260\nBounds.DrainMs=2000\nBounds.GraceS=8\n\
             Bounds.RetryBudgetRatio={BUDGET_RATIO}\nBounds.RetryBudgetExtra={BUDGET_EXTRA}\n\
             Bounds.BudgetWindowS={}\nBounds.ttl_max_s=5\nBounds.EvacuateMs=5000\n\
             Platform.Address={store}\nNew.Field=ignored\n",
            BUDGET_WINDOW.as_secs()
        )
    }
}

/// The gateways of a run and the simulated services that they use.
pub struct Cluster {
    pub nodes: Vec<Node>,
    pub store: Rc<Store>,
    pub store_proxy: Proxy,
    pub endpoints: Vec<Rc<Endpoint>>,
    pub proxies: Vec<Rc<Proxy>>,
    pub checker: Rc<Checker>,
    /// Version of the desired state.
    pub version: u64,
    /// Whether callers send prompts on which engines crash.
    pub has_crashes: Rc<Cell<bool>>,
    /// What the gateways run at first.
    usual: Release,
    /// What takes its place while gateways are replaced; none if they are not.
    pub other: Option<Release>,
    listeners: Vec<ListenerHandle>,
}

/// Returns the address of a gateway; the network of the run has room for the first ones only, so the
/// others get addresses in another network.
fn node_ip(net: (u8, u8), number: usize) -> Ipv4Addr {
    match number {
        ..N_FIRST_NODES => Ipv4Addr::new(127, net.0, net.1, 10 + number as u8),
        _ => {
            Ipv4Addr::new(127, EXTRA_OCTET + net.0 % 50, net.1, (number - N_FIRST_NODES + 1) as u8)
        }
    }
}

impl Cluster {
    /// Starts everything on the addresses 127.x.y.0/24, where `net` is (x, y).
    pub async fn start(
        gateway: &Path,
        directory: &Path,
        net: (u8, u8),
        n_nodes: usize,
        n_engines: usize,
    ) -> std::io::Result<Cluster> {
        fs::create_dir_all(directory)?;
        let ip = |last: usize| Ipv4Addr::new(127, net.0, net.1, last as u8);
        let at = |last: usize, port: u16| SocketAddr::from((ip(last), port));
        let checker = Rc::new(Checker::default());
        let store = Store::new();
        let mut listeners = vec![store.listen(at(2, STORE_PORT)).await?];
        let store_proxy = Proxy::start(at(1, STORE_PORT), at(2, STORE_PORT)).await?;
        let version = 1;
        store.put("config", "main", desired_state(version, true));
        let (mut endpoints, mut proxies) = (Vec::new(), Vec::new());
        for pool in Pool::iter() {
            let n_endpoints = if pool == Pool::Engine { n_engines } else { N_ENDPOINTS };
            for number in 0..n_endpoints {
                let last = 100 + endpoints.len();
                let (public, internal) = (at(last, ENDPOINT_PORT), at(last + 50, ENDPOINT_PORT));
                let endpoint = Endpoint::new(pool, number, public, &checker);
                listeners.push(endpoint.listen(internal).await?);
                let proxy = Rc::new(Proxy::start(public, internal).await?);
                let zone = format!("zone-{}", number % N_ZONES);
                store.put("servers", &endpoint.id, endpoint.entry(&zone, "ready"));
                spawn_local(run_crashes(endpoint.clone(), proxy.clone(), store.clone(), zone));
                endpoints.push(endpoint);
                proxies.push(proxy);
            }
        }
        // An entry in another format must be ignored.
        store.put("servers", "stranger", serde_json::json!({ "Service": 7 }));
        let mut nodes = Vec::new();
        for number in 0..n_nodes {
            let node = Node {
                ip: node_ip(net, number),
                settings: directory.join(format!("node-{number}.conf")),
                log: directory.join(format!("node-{number}.log")),
                release: Release { gateway: gateway.to_owned(), own: None },
                checker: checker.clone(),
                child: None,
                has_started: false,
            };
            fs::write(&node.settings, node.settings_text(number, store_proxy.address))?;
            // Discard the log of an earlier run.
            fs::write(&node.log, "")?;
            nodes.push(node);
        }
        for node in &mut nodes {
            node.start()?;
        }
        if let [node] = nodes.as_slice() {
            checker.set_only_node(&node.subject());
        }
        let has_crashes = Rc::default();
        Ok(Cluster {
            nodes,
            store,
            store_proxy,
            endpoints,
            proxies,
            checker,
            version,
            has_crashes,
            usual: Release { gateway: gateway.to_owned(), own: None },
            other: None,
            listeners,
        })
    }

    /// Lets a gateway run the other release, or the usual one, from its next start on.
    pub fn set_release(&mut self, node: usize, is_other: bool) {
        let release = match (is_other, &self.other) {
            (true, Some(other)) => other.clone(),
            (true, None) | (false, _) => self.usual.clone(),
        };
        self.nodes[node].release = release;
    }

    /// Gives one endpoint of each pool another build than the others have.
    pub fn mix_builds(&self) {
        for (number, endpoint) in self.endpoints.iter().enumerate() {
            if number % N_ENDPOINTS == 1 {
                endpoint.build.set("v2");
                self.store.put("servers", &endpoint.id, endpoint.entry("zone-1", "ready"));
            }
        }
    }

    /// Makes callers send prompts on which engines crash.
    pub fn start_crashes(&self, seed: u64) {
        self.has_crashes.set(true);
        self.seed_crashes(seed);
    }

    /// Draws the crashes from a seed; every second engine responds without framing.
    pub fn seed_crashes(&self, seed: u64) {
        for (number, endpoint) in (0..).zip(&self.endpoints) {
            endpoint.crashes.seed.set(seed.wrapping_add(number * 1_000));
            endpoint.crashes.is_unframed.set(number % 2 == 1);
        }
    }

    /// Returns the number of listeners of simulated services.
    pub fn n_listeners(&self) -> usize {
        self.listeners.len()
    }

    /// Returns the directory addresses of all gateways.
    pub fn directories(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(Node::directory).collect()
    }
}
