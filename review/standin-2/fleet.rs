//! The processes of a run: gateways and runners, each ended with the run.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::{Record, now};
use crate::runner::Settings;

const GATEWAY: &str = "target/release/ferry-gateway";
const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];
/// GraceS of the deployment.
const GRACE: Duration = Duration::from_secs(8);
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Ids of the gateways that run, by which they are ended if the run takes too long.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the process once the time is over, with all gateways; runners end with it.
pub fn limit_time(limit: Duration, code: i32) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        eprintln!("the run has taken too long");
        for id in RUNNING.lock().unwrap_or_else(|it| it.into_inner()).iter() {
            // One that has just ended needs no signal.
            let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
        }
        std::process::exit(code);
    });
}

fn forget(process: &Child) {
    let mut running = RUNNING.lock().unwrap_or_else(|it| it.into_inner());
    running.retain(|it| *it != process.id());
}

/// Loopback addresses that no other run uses at the same time.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    second: u8,
    third: u8,
}

impl Addresses {
    pub fn new() -> io::Result<Addresses> {
        let pid = std::process::id();
        for offset in 0..64 {
            let key = pid.wrapping_add(offset * 7_919);
            let found =
                Addresses { second: (key % 200 + 10) as u8, third: (key / 200 % 250) as u8 };
            if TcpListener::bind(found.at(250, 18_624)).is_ok() {
                return Ok(found);
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "no loopback address is free"))
    }

    pub fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, host)
    }

    pub fn at(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(host), port))
    }

    pub fn store(self) -> SocketAddr {
        self.at(250, 18_624)
    }

    pub fn front(self, gateway: u8) -> SocketAddr {
        self.at(gateway + 1, 18_625)
    }

    pub fn ready(self, gateway: u8) -> SocketAddr {
        self.at(gateway + 1, 18_621)
    }

    pub fn directory(self, gateway: u8) -> SocketAddr {
        self.at(gateway + 1, 18_620)
    }

    pub fn runner(self, runner: u8) -> SocketAddr {
        self.at(100 + runner, 18_080)
    }
}

pub fn zone(number: u8) -> &'static str {
    ZONES[usize::from(number) % ZONES.len()]
}

/// The gateways of a small deployment.
pub struct Gateways {
    addresses: Addresses,
    directory: PathBuf,
    record: Record,
    processes: Vec<Option<Child>>,
}

impl Gateways {
    pub fn new(addresses: Addresses, directory: &Path, record: &Record) -> Gateways {
        let (directory, record) = (directory.to_owned(), record.clone());
        Gateways { addresses, directory, record, processes: Vec::new() }
    }

    pub fn start_all(&mut self, n_gateways: u8, is_first: bool) -> io::Result<()> {
        self.processes.clear();
        for number in 0..n_gateways {
            let process = self.start(number, is_first)?;
            self.processes.push(Some(process));
        }
        Ok(())
    }

    fn start(&self, number: u8, is_first: bool) -> io::Result<Child> {
        let path = self.directory.join(format!("gateway-{number}.conf"));
        fs::write(&path, self.settings(number, is_first))?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("gateway-{number}.log")))?;
        let process = Command::new(GATEWAY)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("TARRAGONFERRY_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        RUNNING.lock().unwrap_or_else(|it| it.into_inner()).push(process.id());
        self.record.add(&format!("started gateway={number} pid={}", process.id()));
        Ok(process)
    }

    /// Ends all gateways at the same moment, without a warning.
    pub fn kill_all(&mut self) {
        for process in self.processes.iter_mut().flatten() {
            // It may have ended by itself.
            let _ = process.kill();
        }
        for (number, process) in self.processes.iter_mut().enumerate() {
            if let Some(mut process) = process.take() {
                let _ = process.wait();
                forget(&process);
                self.record.add(&format!("killed gateway={number}"));
            }
        }
    }

    /// Stops a gateway as the platform does, and starts it again; returns when the signal was sent.
    pub fn restart(&mut self, number: u8) -> io::Result<u64> {
        let Some(mut process) = self.processes[usize::from(number)].take() else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let stopped_at = now();
        self.record.add(&format!("stopping gateway={number}"));
        Command::new("kill").arg("-TERM").arg(process.id().to_string()).status()?;
        let end = Instant::now() + GRACE;
        while matches!(process.try_wait(), Ok(None)) {
            if end < Instant::now() {
                self.record.add(&format!("killing gateway={number}"));
                process.kill()?;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        forget(&process);
        self.record.add(&format!("stopped gateway={number}"));
        std::thread::sleep(RESTART_DELAY);
        self.processes[usize::from(number)] = Some(self.start(number, false)?);
        Ok(stopped_at)
    }

    /// Returns whether no gateway has ended by itself.
    pub fn are_running(&mut self) -> bool {
        self.processes.iter_mut().flatten().all(|it| matches!(it.try_wait(), Ok(None)))
    }

    /// Waits until all gateways are ready.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        let is_ready = |number: u8| {
            let address = self.addresses.ready(number);
            let answer = call(address, "GET /v1/readiness", &[], b"", Duration::from_millis(500));
            answer.is_ok_and(|it| it.status() == 200)
        };
        let n_gateways = self.processes.len() as u8;
        while Instant::now() < end {
            if (0..n_gateways).all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn settings(&self, number: u8, is_first: bool) -> String {
        let ip = self.addresses.ip(number + 1);
        let mut text = format!(
            "Node=edge-{zone}-{number}\nRole=ferry-gateway\nMachineClass=edge\n\
             Serves=edge,directory\nIp={ip}\nZone={zone}\nRegion=region\n",
            zone = zone(number)
        );
        ZONES.iter().for_each(|it| text.push_str(&format!("Zones.{it}=region\n")));
        text.push_str(&format!(
            "Listen.Front={ip}:18625\nListen.Ready={ip}:18621\nListen.Directory={ip}:18620\n\
             InternalPortRange=17740,17755\nSeeds=\nBootstrap={is_first}\nInTolerance=false\n\
             Limits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\n\
             Limits.LinkMbps=1000.0\nLimits.DiskMb=0\nDiscovery=platform\nEntry=directory\n\
             HeartbeatMs=1200\n\
             Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages\n\
             FaultTolerance.Machines=2\nFaultTolerance.Zones=0\nFaultTolerance.Regions=0\n\
             Bounds.SeedLagS=3\nBounds.ReuseDelayS=2\nBounds.StableWindowMs=3000\n\
             Bounds.AckMs=4000\nBounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=8\n\
             Bounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\nBounds.RollbackSlackMs=250\n\
             Bounds.OuterBoundMs=5000\nBounds.StrictRevoke=false\nBounds.RevokeMs=5000\n\
             Bounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\nBounds.RetryBudgetExtra=52\n\
             Bounds.RecoveryS=12\nBounds.PassMs=120\nBounds.AgainS=8.4\nBounds.ttl_max_s=5\n\
             Platform.Address={store}\nPlatform.form=objects\nPlatform.WritesPerS=400\n\
             Platform.ReadsPerS=2000\nPlatform.HistoryS=20\nPlatform.ValueBytes=1048576\n\
             Platform.TtlMinMs=1000\n",
            store = self.addresses.store()
        ));
        text
    }
}

impl Drop for Gateways {
    fn drop(&mut self) {
        self.kill_all();
    }
}

/// Runners as processes; one that falls over is back some seconds later, as another incarnation.
pub struct Runners {
    is_over: Arc<AtomicBool>,
    current: Vec<Arc<Mutex<Option<Child>>>>,
    watchers: Vec<JoinHandle<()>>,
}

impl Runners {
    /// Starts the runners of services, given the service of each. `down` is the time after which one that
    /// has fallen over is back.
    pub fn start(
        addresses: Addresses,
        services: &[&str],
        poison: &str,
        work: Option<Duration>,
        down: Duration,
        record_path: &Path,
        record: &Record,
    ) -> io::Result<Runners> {
        let program = std::env::current_exe()?;
        let is_over = Arc::new(AtomicBool::new(false));
        let mut runners = Runners { is_over, current: Vec::new(), watchers: Vec::new() };
        for (number, service) in services.iter().enumerate() {
            let number = number as u8;
            let settings = Settings {
                id: String::new(),
                address: addresses.runner(number),
                service: (*service).to_owned(),
                zone: zone(number).to_owned(),
                store: addresses.store(),
                poison: poison.to_owned(),
                work,
            };
            let current: Arc<Mutex<Option<Child>>> = Arc::default();
            runners.current.push(current.clone());
            let (program, record_path) = (program.clone(), record_path.to_owned());
            let (is_over, record) = (runners.is_over.clone(), record.clone());
            runners.watchers.push(std::thread::spawn(move || {
                let mut n_starts = 0;
                while !is_over.load(Ordering::SeqCst) {
                    n_starts += 1;
                    let id = format!("i-{number:02}{n_starts:02}{:06x}", now() & 0xff_ffff);
                    let settings = Settings { id, ..settings.clone() };
                    let process = Command::new(&program)
                        .arg("runner")
                        .arg(&record_path)
                        .args(settings.words())
                        .stdin(Stdio::null())
                        .stdout(Stdio::null())
                        .stderr(Stdio::null())
                        .spawn();
                    match process {
                        Ok(process) => *current.lock().unwrap() = Some(process),
                        Err(error) => return record.add(&format!("could-not-start {error}")),
                    }
                    while !has_ended(&current) {
                        std::thread::sleep(Duration::from_millis(20));
                    }
                    let back = Instant::now() + down;
                    while Instant::now() < back && !is_over.load(Ordering::SeqCst) {
                        std::thread::sleep(Duration::from_millis(20));
                    }
                }
            }));
        }
        Ok(runners)
    }
}

impl Runners {
    /// Ends runners at the same moment, without a warning.
    pub fn kill(&self, numbers: &[usize]) {
        for number in numbers {
            if let Some(process) = self.current[*number].lock().unwrap().as_mut() {
                // It may be down already.
                let _ = process.kill();
            }
        }
    }
}

fn has_ended(current: &Mutex<Option<Child>>) -> bool {
    match current.lock().unwrap().as_mut() {
        Some(process) => !matches!(process.try_wait(), Ok(None)),
        None => true,
    }
}

impl Drop for Runners {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        while self.watchers.iter().any(|it| !it.is_finished()) {
            for current in &self.current {
                if let Some(process) = current.lock().unwrap().as_mut() {
                    // It may have ended by itself.
                    let _ = process.kill();
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}
