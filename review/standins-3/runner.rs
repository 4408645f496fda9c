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
}

/// How a runner of a service is made.
#[derive(Debug, Clone)]
pub struct Plan {
    pub service: &'static str,
    pub work: Work,
    pub slots: u64,
    /// Requests that may wait for a slot; further ones are turned away.
    pub queue: u64,
}

/// A runner.
#[derive(Debug)]
pub struct Runner {
    pub id: String,
    plan: Plan,
    address: SocketAddr,
    zone: String,
    born: u128,
    store: Arc<Store>,
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
    n_reports: AtomicU64,
    n_open: AtomicU64,
    n_runs: AtomicU64,
    /// Whether it reports its status, which one that has left does not.
    is_reporting: AtomicBool,
    has_exited: AtomicBool,
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
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> io::Result<Arc<Runner>> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            plan,
            address,
            zone,
            born,
            store: store.clone(),
            record: record.clone(),
            runs: runs.clone(),
            n_reports: AtomicU64::new(0),
            n_open: AtomicU64::new(0),
            n_runs: AtomicU64::new(0),
            is_reporting: AtomicBool::new(true),
            has_exited: AtomicBool::new(false),
            n_failing: AtomicU64::new(0),
        });
        let serving = runner.clone();
        http::serve(address, move |request, stream| serving.respond(request, stream))?;
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
        self.has_exited.store(true, Ordering::Relaxed);
    }

    fn has_exited(&self) -> bool {
        self.has_exited.load(Ordering::Relaxed)
    }

    fn report_status(&self) {
        while self.is_reporting.load(Ordering::Relaxed) {
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
            ("born", Json::number(self.born)),
        ])
    }

    fn respond(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        if self.has_exited() {
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
        answered.map(|()| !self.has_exited())
    }

    fn run(&self, request: &Message, attempt: &str, stream: &mut TcpStream) -> io::Result<()> {
        self.record.note(&format!("{} runs {attempt}", self.id));
        let run = Run {
            runner: self.id.clone(),
            attempt: attempt.to_owned(),
            at: Instant::now(),
            body: request.body.clone(),
        };
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
        let number = self.n_runs.fetch_add(1, Ordering::Relaxed);
        match self.plan.work {
            Work::Plain(time) => {
                std::thread::sleep(time);
                if self.has_exited() {
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
            Work::Stream { n_events, pause } => self.stream(attempt, n_events, pause, stream),
        }
    }

    fn stream(
        &self,
        attempt: &str,
        n_events: u64,
        pause: Duration,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             Tarragonferry-Attempt-Id: {attempt}\r\nTarragonferry-Response-Seal: {SEAL}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=n_events {
            if self.has_exited() {
                self.record.note(&format!("{} cuts {attempt} at its exit", self.id));
                return Err(io::Error::other("the runner has exited"));
            }
            let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            std::thread::sleep(pause);
        }
        self.record.note(&format!("{} has run {attempt}", self.id));
        stream.write_all(b"0\r\n\r\n")
    }
}
