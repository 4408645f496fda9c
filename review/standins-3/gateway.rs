//! Gateways as processes, started by the command of the deploy file.

use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const DEPLOY_FILE: &str = "deploy/system.toml";
const FRONT_PORT: u16 = 8_625;
const READY_PORT: u16 = 8_621;
const DIRECTORY_PORT: u16 = 8_620;
const CONTROL_PORT: u16 = 8_628;
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that is killed at the end of the case, however that ends.
type Process = Arc<Mutex<Child>>;

static PROCESSES: Mutex<Vec<Process>> = Mutex::new(Vec::new());

/// Kills all processes that the case started.
pub fn kill_all() {
    let processes = PROCESSES.lock().unwrap_or_else(PoisonError::into_inner);
    for process in processes.iter() {
        let mut child = process.lock().unwrap_or_else(PoisonError::into_inner);
        // Fails if the process has ended by itself.
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> io::Result<Process> {
    let log = fs::File::options().create(true).append(true).open(log)?;
    let command = deploy_command()?;
    let (program, arguments) =
        command.split_first().ok_or_else(|| io::Error::other("the command is empty"))?;
    let child = Command::new(program)
        .args(arguments)
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("TARRAGONFERRY_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    let process = Arc::new(Mutex::new(child));
    PROCESSES.lock().unwrap_or_else(PoisonError::into_inner).push(process.clone());
    Ok(process)
}

/// A gateway on a loopback address of its own.
#[derive(Debug)]
pub struct Gateway {
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Process>,
}

impl Gateway {
    /// Starts a gateway and waits until it is ready.
    pub fn start(
        number: usize,
        ip: Ipv4Addr,
        store: SocketAddr,
        directory: &Path,
    ) -> io::Result<Gateway> {
        let settings = directory.join(format!("node-{number}.conf"));
        fs::write(&settings, settings_text(number, ip, store))?;
        let log = directory.join(format!("node-{number}.log"));
        let process = Mutex::new(spawn(&settings, &log)?);
        let gateway = Gateway { ip, settings, log, process };
        gateway.wait_ready()?;
        Ok(gateway)
    }

    /// Stops the process with SIGTERM, and returns when it has ended.
    pub fn stop(&self) -> io::Result<()> {
        let process = self.process.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut child = process.lock().unwrap_or_else(PoisonError::into_inner);
        let status = Command::new("kill").args(["-TERM", &child.id().to_string()]).status()?;
        if !status.success() {
            return Err(io::Error::other("the process has ended by itself"));
        }
        child.wait().map(|_| ())
    }

    /// Starts the process again after it has ended.
    pub fn restart(&self) -> io::Result<()> {
        let process = spawn(&self.settings, &self.log)?;
        *self.process.lock().unwrap_or_else(PoisonError::into_inner) = process;
        Ok(())
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT_PORT))
    }

    /// Waits until it is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            if self.is_ready().unwrap_or(false) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("the gateway at {} is not ready", self.ip)))
    }

    fn is_ready(&self) -> io::Result<bool> {
        let mut stream = TcpStream::connect((self.ip, READY_PORT))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text.starts_with("HTTP/1.1 200"))
    }
}

/// Returns the words of the first command in the deploy file.
fn deploy_command() -> io::Result<Vec<String>> {
    let text = fs::read_to_string(DEPLOY_FILE)?;
    let line = text.lines().find_map(|it| it.trim().strip_prefix("run = "));
    let line = line.ok_or_else(|| io::Error::other("the deploy file has no command"))?;
    Ok(line.trim_matches('"').split(' ').map(str::to_owned).collect())
}

/// Creates an empty directory for the files of a case.
pub fn work_directory(name: &str) -> io::Result<PathBuf> {
    let directory = std::env::temp_dir().join(format!("review-3-{name}-{}", std::process::id()));
    fs::create_dir_all(&directory)?;
    Ok(directory)
}

/// Settings as the platform writes them for a small deployment.
fn settings_text(number: usize, ip: Ipv4Addr, store: SocketAddr) -> String {
    let zone = zone(number);
    format!(
        "Node=edge-{zone}-{number}\nRole=ferry-gateway\nMachineClass=edge\n\
         Serves=edge,directory\nIp={ip}\nZone={zone}\nRegion=area\n\
         Zones.zone-0=area\nZones.zone-1=area\n\
         Listen.Front={ip}:{FRONT_PORT}\nListen.Ready={ip}:{READY_PORT}\n\
         Listen.Control={ip}:{CONTROL_PORT}\nListen.Directory={ip}:{DIRECTORY_PORT}\n\
         InternalPortRange=7740,7755\nSeeds=\nBootstrap=true\nInTolerance=false\n\
         Limits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\n\
         Limits.LinkMbps=1000.0\nLimits.DiskMb=0\nDiscovery=platform\nEntry=directory\n\
         HeartbeatMs=1200\n\
         Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages\n\
         Bounds.SeedLagS=3\nBounds.ReuseDelayS=2\nBounds.StableWindowMs=3000\n\
         Bounds.AckMs=4000\nBounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=8\n\
         Bounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\nBounds.RollbackSlackMs=250\n\
         Bounds.OuterBoundMs=5000\nBounds.StrictRevoke=false\nBounds.RevokeMs=5000\n\
         Bounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\nBounds.RetryBudgetExtra=52\n\
         Bounds.RecoveryS=12\nBounds.PassMs=120\nBounds.AgainS=8.4\nBounds.ttl_max_s=5\n\
         Platform.Address={store}\nPlatform.form=objects\nPlatform.WritesPerS=400\n\
         Platform.ReadsPerS=2000\nPlatform.HistoryS=20\nPlatform.ValueBytes=1048576\n\
         Platform.TtlMinMs=1000\n"
    )
}

/// Returns the availability zone of a gateway or a runner.
pub fn zone(number: usize) -> String {
    format!("zone-{}", number % 2)
}
