//! Gateways are stopped and started in turn, while clients send requests over new channels, some of
//! them over slow links: the head of such a request takes a second to arrive.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::client::{API_KEY, Numbers};
use crate::fleet::{Addresses, Gateways, Runners, zone};
use crate::http::call;
use crate::json::Json;
use crate::record::{Line, Record, Verdict, now, read};
use crate::store::Store;

const N_GATEWAYS: u8 = 6;
const N_RUNNERS: usize = 4;
/// Hosts of clients; each keeps one answer of the directory for all of its users.
const N_HOSTS: usize = 64;
const N_ROUNDS: usize = 4;
/// Time after which no further gateway is stopped.
const MAX_TIME: Duration = Duration::from_secs(82);
const NAME: &str = "desk.example";
const PATH: &str = "/desk/fees/";
/// Time of a request at a runner.
const WORK: Duration = Duration::from_millis(60);
/// Time in which the head of a request arrives over a slow link; HeaderTimeoutMs allows 3 s.
const SLOW_HEAD: Duration = Duration::from_millis(1_000);
/// Bytes of the head that arrive first.
const FIRST_BYTES: usize = 120;
/// Longest time between two requests of a host.
const MAX_PAUSE_MS: u64 = 340;
const TIME_LIMIT: Duration = Duration::from_millis(4_000);
/// Time after which a runner would be back that has ended; none does.
const RUNNER_DOWN: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// StableWindowMs of the deployment.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Pause between the restart of a gateway and the stop of the next.
const GAP: Duration = Duration::from_millis(500);
/// One second more than GraceS, in milliseconds: until then, a cut counts as one of the stop.
const PLANNED_MS: u64 = 9_000;
/// Clients keep an answer of the directory for TtlS, some of them this many times as long.
const PATIENT: u32 = 3;

pub fn run(is_disrupted: bool, directory: &Path) -> io::Result<Verdict> {
    let path = directory.join("record.txt");
    let record = Record::open(&path)?;
    let addresses = Addresses::new()?;
    let store = Store::start(addresses.store())?;
    store.put("config", "main", &config());
    let services = ["filing-desk"; N_RUNNERS];
    let _runners =
        Runners::start(addresses, &services, "", Some(WORK), RUNNER_DOWN, &path, &record)?;
    std::thread::sleep(Duration::from_secs(1));
    let mut gateways = Gateways::new(addresses, directory, &record);
    gateways.start_all(N_GATEWAYS, true)?;
    if !gateways.wait_ready(READY_TIMEOUT) {
        record.add("could-not-run the gateways are not ready");
        return Ok(Verdict::CouldNotRun);
    }
    std::thread::sleep(STABLE_WINDOW);
    let is_over = Arc::new(AtomicBool::new(false));
    let hosts: Vec<JoinHandle<()>> = (0..N_HOSTS)
        .map(|number| {
            let (is_over, record) = (is_over.clone(), record.clone());
            std::thread::spawn(move || Host::new(number, addresses, record).run(&is_over))
        })
        .collect();
    std::thread::sleep(STABLE_WINDOW);
    let end = Instant::now() + MAX_TIME;
    for number in (0..N_ROUNDS).flat_map(|_| 0..N_GATEWAYS) {
        if end < Instant::now() {
            break;
        }
        match is_disrupted {
            true => {
                gateways.restart(number)?;
                if !gateways.wait_ready(READY_TIMEOUT) {
                    record.add("could-not-run a gateway is not ready again");
                    return Ok(Verdict::CouldNotRun);
                }
                std::thread::sleep(GAP);
            }
            false => std::thread::sleep(STABLE_WINDOW),
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for host in hosts {
        // A host that has panicked sends nothing more.
        let _ = host.join();
    }
    judge(&path, addresses, &record)
}

struct Host {
    number: usize,
    /// Requests sent so far.
    n_sent: u64,
    numbers: Numbers,
    addresses: Addresses,
    record: Record,
    zone: &'static str,
    is_slow: bool,
    is_patient: bool,
    /// The fronts that the directory has named, and until when they are used.
    fronts: Vec<SocketAddr>,
    until: Instant,
}

impl Host {
    fn new(number: usize, addresses: Addresses, record: Record) -> Host {
        Host {
            number,
            n_sent: 0,
            numbers: Numbers::new(now() * N_HOSTS as u64 + number as u64),
            addresses,
            record,
            zone: zone((number / 8) as u8),
            is_slow: !number.is_multiple_of(4),
            is_patient: (number / 4).is_multiple_of(2),
            fronts: Vec::new(),
            until: Instant::now(),
        }
    }

    fn run(&mut self, is_over: &AtomicBool) {
        let mut requests: Vec<JoinHandle<()>> = Vec::new();
        while !is_over.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(self.numbers.next() % MAX_PAUSE_MS));
            if self.until <= Instant::now() {
                self.resolve();
            }
            if self.fronts.is_empty() {
                continue;
            }
            let front = self.fronts[self.numbers.next() as usize % self.fronts.len()];
            // Each attempt of any host has its own id.
            self.n_sent += 1;
            let attempt = format!("{:04x}{:012x}", self.number, self.n_sent);
            let (is_slow, record) = (self.is_slow, self.record.clone());
            requests.retain(|it| !it.is_finished());
            requests.push(std::thread::spawn(move || ask(front, &attempt, is_slow, &record)));
        }
        for request in requests {
            // A request whose thread has panicked has no line for its answer.
            let _ = request.join();
        }
    }

    /// Asks up to three nodes where to connect.
    fn resolve(&mut self) {
        let first = self.numbers.next() as u8 % N_GATEWAYS;
        for offset in 0..3 {
            let directory = self.addresses.directory((first + offset) % N_GATEWAYS);
            let path = format!("GET /v1/resolve?Name={NAME}&Region=region&Zone={}", self.zone);
            let Ok(answer) = call(directory, &path, &[], b"", CONNECT_TIMEOUT) else { continue };
            let Some(body) = Json::read(&answer.text()) else { continue };
            let fronts = body.get("Addresses").map(Json::texts).unwrap_or_default();
            let fronts: Vec<SocketAddr> = fronts.iter().filter_map(|it| it.parse().ok()).collect();
            let ttl = body.get("TtlS").and_then(Json::float).unwrap_or_default();
            if fronts.is_empty() {
                continue;
            }
            let ttl = Duration::from_secs_f64(ttl.clamp(0.0, 5.0));
            self.until = Instant::now() + if self.is_patient { ttl * PATIENT } else { ttl };
            self.fronts = fronts;
            return;
        }
    }
}

/// Sends a request over a new channel and records it, and its answer.
fn ask(front: SocketAddr, attempt: &str, is_slow: bool, record: &Record) {
    let answer = exchange(front, attempt, is_slow, record);
    let (status, is_whole) = answer.as_ref().map_or((0, false), |it| (it.status, it.is_whole));
    let error = answer.err().map_or("none".to_owned(), |it| it.kind().to_string());
    record.add(&format!(
        "answered attempt={attempt} from={front} status={status} whole={is_whole} error={}",
        error.replace(' ', "-")
    ));
}

fn exchange(
    front: SocketAddr,
    attempt: &str,
    is_slow: bool,
    record: &Record,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&front, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(TIME_LIMIT))?;
    let head = format!(
        "POST {PATH}{attempt} HTTP/1.1\r\nHost: {NAME}\r\nTarragonferry-Attempt-Id: {attempt}\r\n\
         Tarragonferry-Deadline-Remaining: {}\r\nApi-Key: {API_KEY}\r\nContent-Length: 9\r\n\
         Connection: close\r\n\r\nfee-check",
        TIME_LIMIT.as_millis()
    );
    let (first, rest) = head.as_bytes().split_at(FIRST_BYTES);
    stream.write_all(first)?;
    if is_slow {
        std::thread::sleep(SLOW_HEAD);
    }
    stream.write_all(rest)?;
    record.add(&format!("sent attempt={attempt} to={front} slow={is_slow}"));
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes);
    let answer = Answer::read(&bytes);
    match ended {
        Err(error) if !answer.is_whole => Err(error),
        Ok(_) | Err(_) => Ok(answer),
    }
}

struct Answer {
    /// Zero without an answer.
    status: u16,
    is_whole: bool,
}

impl Answer {
    fn read(bytes: &[u8]) -> Answer {
        let text = String::from_utf8_lossy(bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            return Answer { status: 0, is_whole: false };
        };
        let status = head.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        let lengths = head.lines().filter_map(|it| it.split_once(':'));
        let mut lengths = lengths.filter(|it| it.0.eq_ignore_ascii_case("content-length"));
        let len: Option<usize> = lengths.next().and_then(|it| it.1.trim().parse().ok());
        Answer { status, is_whole: len.is_some_and(|it| it <= body.len()) }
    }
}

/// Looks for requests that a gateway has passed on to a runner and whose channel has ended without a
/// complete answer, around the stop of that gateway.
fn judge(path: &Path, addresses: Addresses, record: &Record) -> io::Result<Verdict> {
    let lines = read(path)?;
    let stops: Vec<(SocketAddr, u64)> = lines
        .iter()
        .filter(|it| it.is("stopping"))
        .filter_map(|it| Some((addresses.front(it.get("gateway").parse().ok()?), it.at)))
        .collect();
    let is_planned = |front: &str, at: u64| {
        let near = stops.iter().filter(|it| it.0.to_string() == front);
        near.clone().any(|it| it.1 <= at && at <= it.1 + PLANNED_MS)
    };
    let mut attempts: Vec<&str> =
        lines.iter().filter(|it| it.is("answered")).map(|it| it.get("attempt")).collect();
    attempts.sort_unstable();
    if attempts.windows(2).any(|it| it[0] == it[1]) {
        record.add("could-not-run two attempts have the same id");
        return Ok(Verdict::CouldNotRun);
    }
    let mut ran: Vec<&str> =
        lines.iter().filter(|it| it.is("arrived")).map(|it| it.get("attempt")).collect();
    ran.sort_unstable();
    let is_cut = |it: &&Line| it.is("answered") && it.get("whole") != "true";
    let was_passed_on = |it: &&Line| ran.binary_search(&it.get("attempt")).is_ok();
    let cut: Vec<&Line> = lines.iter().filter(is_cut).collect();
    let passed: Vec<&&Line> = cut.iter().filter(|it| was_passed_on(it)).collect();
    let lost: Vec<&&&Line> = passed.iter().filter(|it| is_planned(it.get("from"), it.at)).collect();
    for it in &lost {
        record.add(&format!("lost attempt={} at={}", it.get("attempt"), it.get("from")));
    }
    let n_answered = lines.iter().filter(|it| it.is("answered")).count();
    record.add(&format!(
        "summary requests={n_answered} stops={} without-answer={} passed-on-without-answer={} \
         lost-around-a-stop={}",
        stops.len(),
        cut.len(),
        passed.len(),
        lost.len()
    ));
    match lost.is_empty() {
        true => Ok(Verdict::Held),
        false => Ok(Verdict::Broken),
    }
}

fn config() -> String {
    format!(
        "{{\"Version\":1,\"Routes\":[{{\"Name\":\"r-fees\",\"Host\":\"{NAME}\",\
         \"PathPrefix\":\"{PATH}\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":2000,\
         \"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"filing-desk\",\"MaxAttempts\":1,\
         \"Stages\":[],\"AllowAnonymous\":false,\"Sticky\":false,\"Resumable\":false}}],\
         \"Services\":[{{\"Name\":\"filing-desk\",\"HealthPath\":\"/health\",\
         \"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"bozi300\",\"ApiKeys\":[\"{API_KEY}\"],\
         \"Priority\":1}}]}}"
    )
}
