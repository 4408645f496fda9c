//! Runners of plain services and of engines that write streams.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::json::Json;
use crate::record::Record;
use crate::store::{HEARTBEAT, Store};

pub const HEALTH_PATH: &str = "/health";
/// Time from the start of a run to its first token.
const FIRST_TOKEN: Duration = Duration::from_millis(100);
/// Time after which a runner that crashed is back.
const DOWN_TIME: Duration = Duration::from_secs(3);
const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// What a runner does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Answers after this time.
    Plain(Duration),
    /// Writes this many events with a pause after each.
    Stream { n_events: u64, pause: Duration },
}

/// A request that a runner began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub runner: String,
    pub attempt: String,
    pub at: Instant,
    pub body: Vec<u8>,
    /// The parts of its prompt.
    pub prompt: String,
}

/// How a runner of a service is made.
#[derive(Debug, Clone)]
pub struct Plan {
    pub service: &'static str,
    pub work: Work,
    pub slots: u64,
    /// Requests that may wait for a slot; further ones are turned away.
    pub queue: u64,
    /// A part of prompts on which the runners crash as they begin to write.
    pub crashing_part: Option<&'static str>,
}

/// A runner.
#[derive(Debug)]
pub struct Runner {
    pub id: String,
    plan: Plan,
    address: SocketAddr,
    zone: String,
    /// Unix millisecond of its start.
    born: AtomicU64,
    /// Number of its crashes.
    n_crashes: AtomicU64,
    crashes: Arc<Mutex<Vec<Instant>>>,
    store: Arc<Store>,
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
    n_reports: AtomicU64,
    n_open: AtomicU64,
    n_runs: AtomicU64,
    /// Whether it reports its status, which one that has left does not.
    is_reporting: AtomicBool,
    /// Whether its process has ended, for good or after a crash.
    is_down: AtomicBool,
    /// Of ten requests, so many fail with status 503 after they have run.
    n_failing: AtomicU64,
}

impl Runner {
    /// Starts a runner, which registers itself in the store.
    pub fn start(
        id: &str,
        plan: Plan,
        address: SocketAddr,
        zone: String,
        (store, record): (&Arc<Store>, &Arc<Record>),
        (runs, crashes): (&Arc<Mutex<Vec<Run>>>, &Arc<Mutex<Vec<Instant>>>),
    ) -> io::Result<Arc<Runner>> {
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            plan,
            address,
            zone,
            born: AtomicU64::new(unix_millis()),
            n_crashes: AtomicU64::new(0),
            crashes: crashes.clone(),
            store: store.clone(),
            record: record.clone(),
            runs: runs.clone(),
            n_reports: AtomicU64::new(0),
            n_open: AtomicU64::new(0),
            n_runs: AtomicU64::new(0),
            is_reporting: AtomicBool::new(true),
            is_down: AtomicBool::new(false),
            n_failing: AtomicU64::new(0),
        });
        let (living, serving) = (runner.clone(), runner.clone());
        let respond =
            move |request: &Message, stream: &mut TcpStream| serving.respond(request, stream);
        http::serve(address, move || !living.is_down(), respond)?;
        let reporting = runner.clone();
        std::thread::spawn(move || reporting.report_status());
        Ok(runner)
    }

    /// Lets a part of its requests fail with status 503 after they have run, in tenths.
    pub fn set_failing(&self, n_failing: u64) {
        self.n_failing.store(n_failing, Ordering::Relaxed);
    }

    /// Leaves without having reported it: its entry is removed, and it goes on serving. Returns the
    /// revision and the time of the store's ack.
    pub fn leave(&self) -> (u64, Instant) {
        self.is_reporting.store(false, Ordering::Relaxed);
        self.store.leave(&self.id)
    }

    /// Exits: runs in progress end with their channels, and nothing is served any longer.
    pub fn exit(&self) {
        self.is_down.store(true, Ordering::Relaxed);
    }

    /// Crashes: runs in progress end with their channels, and the runner is back after some seconds, under
    /// the id that it had.
    fn crash(self: &Arc<Self>) {
        if self.is_down.swap(true, Ordering::Relaxed) {
            return;
        }
        self.n_crashes.fetch_add(1, Ordering::Relaxed);
        self.record.note(&format!("{} crashes", self.id));
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner).push(Instant::now());
        let runner = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(DOWN_TIME);
            runner.born.store(unix_millis(), Ordering::Relaxed);
            runner.is_down.store(false, Ordering::Relaxed);
            runner.record.note(&format!("{} is back", runner.id));
        });
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }

    /// Whether the process that began a run after so many crashes still lives.
    fn has_ended(&self, n_crashes: u64) -> bool {
        self.is_down() || self.n_crashes.load(Ordering::Relaxed) != n_crashes
    }

    fn report_status(&self) {
        while self.is_reporting.load(Ordering::Relaxed) {
            if self.is_down() {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            let number = self.n_reports.fetch_add(1, Ordering::Relaxed);
            // A report that the store does not take is made again soon.
            let pause = match self.store.report(&self.id, self.entry(number)) {
                true => HEARTBEAT,
                false => Duration::from_millis(200),
            };
            std::thread::sleep(pause);
        }
    }

    fn entry(&self, number: u64) -> Json {
        Json::object(&[
            ("Service", Json::text(self.plan.service)),
            ("Address", Json::text(self.address.to_string())),
            ("Zone", Json::text(&*self.zone)),
            ("Version", Json::text("v1")),
            ("Slots", Json::number(self.plan.slots)),
            ("State", Json::text("ready")),
            ("ColdLeftMs", Json::number(0)),
            ("Sequence", Json::number(number)),
            ("born", Json::number(self.born.load(Ordering::Relaxed))),
        ])
    }

    fn respond(self: &Arc<Self>, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        if self.is_down() {
            return Ok(false);
        }
        let (path, _) = request.head.target();
        let id = self.id.as_str();
        if path == HEALTH_PATH {
            http::answer(stream, 200, &[("Tarragonferry-Instance-Id", id)], b"")?;
            return Ok(true);
        }
        if path == "/v1/kv-list" {
            http::answer(stream, 200, &[], br#"{"epoch":1,"Next":1,"held":[]}"#)?;
            return Ok(true);
        }
        let expected = request.head.header("tarragonferry-expect-instance");
        let attempt = request.head.header("tarragonferry-attempt-id").unwrap_or_default();
        if expected.is_some_and(|it| it != id) {
            http::answer(stream, 421, &[("Tarragonferry-Instance-Id", id)], b"")?;
            return Ok(true);
        }
        if attempt.is_empty() {
            http::answer(stream, 400, &[("Tarragonferry-Not-Executed", "1")], b"")?;
            return Ok(true);
        }
        let n_before = self.n_open.fetch_add(1, Ordering::Relaxed);
        let answered = match n_before < self.plan.slots + self.plan.queue {
            true => self.run(request, attempt, stream),
            false => http::answer(stream, 503, &[("Tarragonferry-Not-Executed", "1")], b""),
        };
        self.n_open.fetch_sub(1, Ordering::Relaxed);
        answered.map(|()| !self.is_down())
    }

    fn run(
        self: &Arc<Self>,
        request: &Message,
        attempt: &str,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let n_crashes = self.n_crashes.load(Ordering::Relaxed);
        self.record.note(&format!("{} runs {attempt}", self.id));
        let run = Run {
            runner: self.id.clone(),
            attempt: attempt.to_owned(),
            at: Instant::now(),
            body: request.body.clone(),
            prompt: request
                .head
                .header("tarragonferry-prompt-prefix")
                .unwrap_or_default()
                .to_owned(),
        };
        let crashes_it = self.plan.crashing_part.is_some_and(|it| run.prompt.contains(it));
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
        let number = self.n_runs.fetch_add(1, Ordering::Relaxed);
        if crashes_it {
            std::thread::sleep(FIRST_TOKEN);
            self.crash();
            return Err(io::Error::other("the runner has crashed"));
        }
        match self.plan.work {
            Work::Plain(time) => {
                std::thread::sleep(time);
                if self.has_ended(n_crashes) {
                    return Err(io::Error::other("the runner has exited"));
                }
                // 7 is prime to 10, so that failures are spread over the requests.
                let fails = number * 7 % 10 < self.n_failing.load(Ordering::Relaxed);
                let (status, body) = if fails { (503, "failed") } else { (200, "done") };
                self.record.note(&format!("{} has run {attempt}: {status}", self.id));
                let headers =
                    [("Tarragonferry-Attempt-Id", attempt), ("Tarragonferry-Response-Seal", SEAL)];
                http::answer(stream, status, &headers, body.as_bytes())
            }
            Work::Stream { n_events, pause } => {
                std::thread::sleep(FIRST_TOKEN);
                self.stream(attempt, (n_events, pause), n_crashes, stream)
            }
        }
    }

    fn stream(
        &self,
        attempt: &str,
        (n_events, pause): (u64, Duration),
        n_crashes: u64,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             Tarragonferry-Attempt-Id: {attempt}\r\nTarragonferry-Response-Seal: {SEAL}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=n_events {
            if self.has_ended(n_crashes) {
                self.record.note(&format!("{} cuts {attempt} as it ends", self.id));
                return Err(io::Error::other("the runner has ended"));
            }
            let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            std::thread::sleep(pause);
        }
        self.record.note(&format!("{} has run {attempt}", self.id));
        stream.write_all(b"0\r\n\r\n")
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or_default()
}
