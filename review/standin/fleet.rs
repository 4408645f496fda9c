//! Gateways as processes of their own, and the record of a case.

use std::fs;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::Connection;

const FRONT: u16 = 8625;
const READY: u16 = 8621;
const DIRECTORY: u16 = 8620;
const CONTROL: u16 = 8628;
const INTERNAL: u16 = 7740;
const STORE: u16 = 8624;
pub const SERVER: u16 = 8080;

/// A range of loopback addresses whose ports are free.
#[derive(Debug, Clone, Copy)]
pub struct Net(u8, u8);

impl Net {
    pub fn free() -> Net {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut number = now.subsec_nanos() ^ std::process::id().wrapping_mul(2_654_435_761);
        loop {
            number = number.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let net = Net(20 + (number >> 24) as u8 % 100, (number >> 16) as u8);
            let at = |last: u8, port: u16| TcpListener::bind((net.ip(last), port)).is_ok();
            let is_free = at(2, STORE)
                && (10..20).all(|it| {
                    at(it, FRONT) && at(it, READY) && at(it, DIRECTORY) && at(it, INTERNAL)
                })
                && (10..20).all(|it| UdpSocket::bind((net.ip(it), INTERNAL)).is_ok());
            if is_free {
                return net;
            }
        }
    }

    pub fn ip(self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, last)
    }

    pub fn store(self) -> TcpListener {
        TcpListener::bind((self.ip(2), STORE)).expect("the store's port is free")
    }

    pub fn server(self, last: u8) -> TcpListener {
        TcpListener::bind((self.ip(last), SERVER)).expect("a server's port is free")
    }
}

/// What was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
    path: PathBuf,
}

impl Record {
    pub fn new(folder: &Path) -> Record {
        let path = folder.join("record.txt");
        Record { start: Instant::now(), lines: Arc::default(), path }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn add(&self, line: impl Into<String>) {
        self.lines.lock().unwrap().push((self.start.elapsed(), line.into()));
    }

    /// Writes the record, and prints what is worth seeing at once.
    pub fn finish(&self, summary: &[String]) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|it| it.0);
        let mut text = summary.join("\n") + "\n\n";
        for (at, line) in lines {
            text += &format!("{:>9.3} ms  {line}\n", at.as_secs_f64() * 1e3);
        }
        let mut file = fs::File::create(&self.path).expect("the record can be written");
        file.write_all(text.as_bytes()).expect("the record can be written");
        summary.iter().for_each(|it| println!("{it}"));
    }
}

/// A gateway, whose process is killed when this is dropped.
pub struct Gateway {
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    root: PathBuf,
    child: Option<Child>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Gateway {
    pub fn new(net: Net, number: u8, root: &Path, folder: &Path) -> Gateway {
        let ip = net.ip(10 + number);
        let zone = ["a", "b"][usize::from(number % 2)];
        let name = format!("edge-{zone}-{number}");
        let text = format!(
            "Node={name}\nRole=ferry-gateway\nMachineClass=edge\nServes=edge,directory\nIp={ip}\n\
             Zone={zone}\nRegion=r\nZones.a=r\nZones.b=r\nListen.Front={ip}:{FRONT}\n\
             Listen.Ready={ip}:{READY}\nListen.Control={ip}:{CONTROL}\n\
             Listen.Directory={ip}:{DIRECTORY}\nInternalPortRange={INTERNAL},7755\nSeeds=\n\
             Bootstrap=true\nInTolerance=false\nLimits.CpuShare=0.25\nLimits.Cores=1\n\
             Limits.MemoryMb=260\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\nLimits.DiskMb=0\n\
             Discovery=platform\nEntry=directory\nHeartbeatMs=1200\n\
             Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages\n\
             Bounds.SeedLagS=3\nBounds.ReuseDelayS=2\nBounds.StableWindowMs=3000\n\
             Bounds.AckMs=4000\nBounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=8\n\
             Bounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\nBounds.RollbackSlackMs=250\n\
             Bounds.OuterBoundMs=5000\nBounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\n\
             Bounds.RetryBudgetExtra=52\nBounds.RecoveryS=12\nBounds.PassMs=120\n\
             Bounds.AgainS=8.4\nBounds.ttl_max_s=5\nPlatform.Address={}:{STORE}\n\
             Platform.form=objects\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\n\
             Platform.HistoryS=20\nPlatform.ValueBytes=1048576\n",
            net.ip(2)
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("settings can be written");
        let log = folder.join(format!("{name}.log"));
        fs::write(&log, "").expect("the log can be written");
        // The command of the deploy file.
        let program = root.join("target/release/ferry-gateway");
        Gateway { ip, settings, log, program, root: root.to_owned(), child: None }
    }

    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().append(true).open(&self.log).expect("the log opens");
        let child = Command::new(&self.program)
            .current_dir(&self.root)
            .env("TARRAGONFERRY_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log is shared"))
            .stderr(log)
            .spawn();
        self.child = child.ok();
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT))
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, READY));
        let Some(mut it) = Connection::open(address, Duration::from_secs(1)) else { return false };
        it.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            && it.read(true).is_some_and(|it| it.status() == 200)
    }

    /// Waits until it is ready; returns whether it is.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Starts gateways; none if one is not ready in time.
pub fn start_gateways(net: Net, n: u8, root: &Path, folder: &Path) -> Option<Vec<Gateway>> {
    let mut gateways: Vec<Gateway> = (0..n).map(|it| Gateway::new(net, it, root, folder)).collect();
    gateways.iter_mut().for_each(Gateway::start);
    gateways.iter().all(Gateway::wait_ready).then_some(gateways)
}

/// A client's request and what came back.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Zero if the connection ended without a head.
    pub status: u16,
    pub is_whole: bool,
    pub body: String,
}

/// Sends a request as a client does, on a new connection.
pub fn send(
    front: SocketAddr,
    method: &str,
    path: &str,
    attempt: &str,
    time_left: Duration,
    headers: &str,
    body: &str,
) -> Reply {
    let none = Reply { status: 0, is_whole: false, body: String::new() };
    let Some(mut it) = Connection::open(front, Duration::from_secs(1)) else { return none };
    let _ = it.stream.set_read_timeout(Some(time_left + Duration::from_millis(1000)));
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: review.example\r\nTarragonferry-Attempt-Id: {attempt}\r\n\
         Tarragonferry-Deadline-Remaining: {}\r\nApi-Key: key-of-review\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        time_left.as_millis(),
        body.len()
    );
    if !it.write(head.as_bytes()) {
        return none;
    }
    match it.read(true) {
        Some(message) => {
            Reply { status: message.status(), is_whole: message.is_whole, body: message.text() }
        }
        None => none,
    }
}
