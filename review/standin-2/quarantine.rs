//! A part of a prompt crashes each runner that begins to write an answer on it. Once the gateways know
//! the part, something else happens, and the same part comes on.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::client::{API_KEY, HOST, Numbers, Request, SoundTraffic, ask};
use crate::fleet::{Addresses, Gateways, Runners};
use crate::record::{Line, Record, Verdict, now, read};
use crate::store::Store;

const N_GATEWAYS: u8 = 6;
const POISON: &str = "bad0bad0";
const FIRST_PARTS: &[&str] = &["f1a57001", "f1a57002", "f1a57003", "f1a57004"];
const PATH: &str = "/gen/draft/";
/// StableWindowMs of the deployment.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two requests with the part until it is known, and afterwards.
const FIRST_INTERVAL: Duration = Duration::from_millis(900);
const LATER_INTERVAL: Duration = Duration::from_millis(3_100);
/// The same beside runners that crash by themselves.
const STEADY_INTERVAL: Duration = Duration::from_millis(3_100);
/// Runners of which a quarter crash at once, for how long they are down, and the time between two such
/// crashes.
const N_CRASHING: usize = 8;
const CRASHED: Duration = Duration::from_secs(2);
const CRASH_INTERVAL: Duration = Duration::from_millis(2_100);
/// Longest time until the fifth crash.
const LEARNING_TIMEOUT: Duration = Duration::from_secs(30);
/// Time behind the fifth crash before the disruption: the part is known by then.
const CALM: Duration = Duration::from_secs(8);
const GATEWAY_DOWN: Duration = Duration::from_millis(500);
const AFTERWARDS: Duration = Duration::from_secs(28);
const N_CRASHES: usize = 5;
/// Requests with the part that may reach runners afterwards.
const MAX_ARRIVALS: usize = 3;

/// What happens once the part is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// All gateways are killed at the same moment, and start again.
    Herd,
    /// A newer desired state moves the route to another service.
    Move,
    /// A quarter of the runners crash at once, again and again from the first request with the part on.
    Crashes,
}

impl Disruption {
    fn services(self) -> Vec<&'static str> {
        match self {
            Disruption::Herd => vec!["drafter"; 9],
            Disruption::Move => [["drafter"; 6].as_slice(), ["second"; 6].as_slice()].concat(),
            Disruption::Crashes => vec!["drafter"; N_CRASHING],
        }
    }

    /// Returns the time after which a runner that has fallen over is back.
    fn down(self) -> Duration {
        match self {
            Disruption::Herd | Disruption::Move => Duration::from_secs(3),
            Disruption::Crashes => CRASHED,
        }
    }

    /// Returns the tokens of an answer.
    fn n_tokens(self) -> usize {
        match self {
            Disruption::Herd | Disruption::Move => 24,
            Disruption::Crashes => 460,
        }
    }

    /// Returns the time between two sound requests.
    fn sound_interval(self) -> Duration {
        match self {
            Disruption::Herd | Disruption::Move => Duration::from_millis(80),
            Disruption::Crashes => Duration::from_millis(50),
        }
    }

    /// Returns the time between two requests with the part until five runners have crashed, and
    /// afterwards.
    fn intervals(self) -> (Duration, Duration) {
        match self {
            Disruption::Herd | Disruption::Move => (FIRST_INTERVAL, LATER_INTERVAL),
            Disruption::Crashes => (STEADY_INTERVAL, STEADY_INTERVAL),
        }
    }
}

pub fn run(disruption: Disruption, is_disrupted: bool, directory: &Path) -> io::Result<Verdict> {
    let path = directory.join("record.txt");
    let record = Record::open(&path)?;
    let addresses = Addresses::new()?;
    let store = Store::start(addresses.store())?;
    store.put("config", "main", &config(1, "drafter"));
    let services = disruption.services();
    let down = disruption.down();
    let runners = Runners::start(addresses, &services, POISON, None, down, &path, &record)?;
    let crashes = Crashes::new(runners, &record);
    std::thread::sleep(Duration::from_secs(1));
    let mut gateways = Gateways::new(addresses, directory, &record);
    gateways.start_all(N_GATEWAYS, true)?;
    if !gateways.wait_ready(READY_TIMEOUT) {
        record.add("could-not-run the gateways are not ready");
        return Ok(Verdict::CouldNotRun);
    }
    std::thread::sleep(STABLE_WINDOW);
    let fronts: Vec<_> = (0..N_GATEWAYS).map(|it| addresses.front(it)).collect();
    let mut sound = SoundTraffic::start(
        fronts.clone(),
        PATH,
        FIRST_PARTS,
        disruption.n_tokens(),
        disruption.sound_interval(),
        &record,
    );
    std::thread::sleep(Duration::from_secs(3));
    let mut poison = Poison { fronts, numbers: Numbers::new(now()), n_sent: 0, record: &record };
    let (first_interval, later_interval) = disruption.intervals();
    if disruption == Disruption::Crashes && is_disrupted {
        crashes.begin();
    }
    let end = Instant::now() + LEARNING_TIMEOUT;
    while n_crashes(&path)? < N_CRASHES {
        if end < Instant::now() {
            record.add("could-not-run the part has not crashed five runners");
            return Ok(Verdict::CouldNotRun);
        }
        poison.send_for(first_interval, first_interval);
    }
    poison.send_for(CALM, later_interval);
    record.add("disruption-begins");
    let mut in_touch_from = now();
    match (disruption, is_disrupted) {
        (_, false) | (Disruption::Crashes, true) => (),
        (Disruption::Herd, true) => {
            gateways.kill_all();
            std::thread::sleep(GATEWAY_DOWN);
            gateways.start_all(N_GATEWAYS, false)?;
            in_touch_from = now() + STABLE_WINDOW.as_millis() as u64;
            if !gateways.wait_ready(READY_TIMEOUT) {
                record.add("could-not-run the gateways are not ready again");
                return Ok(Verdict::CouldNotRun);
            }
        }
        (Disruption::Move, true) => store.put("config", "main", &config(2, "second")),
    }
    poison.send_for(AFTERWARDS, later_interval);
    sound.stop();
    if !gateways.are_running() {
        record.add("a gateway has ended by itself");
    }
    judge(&path, in_touch_from, &record)
}

/// Crashes of runners that no request causes.
struct Crashes {
    runners: Arc<Runners>,
    record: Record,
    is_over: Arc<AtomicBool>,
}

impl Crashes {
    fn new(runners: Runners, record: &Record) -> Crashes {
        Crashes { runners: Arc::new(runners), record: record.clone(), is_over: Arc::default() }
    }

    /// Lets a quarter of the runners crash at once, drawn anew each time, until the run ends.
    fn begin(&self) {
        let (runners, record) = (self.runners.clone(), self.record.clone());
        let is_over = self.is_over.clone();
        std::thread::spawn(move || {
            let mut numbers = Numbers::new(now());
            while !is_over.load(Ordering::SeqCst) {
                let first = numbers.next() as usize % N_CRASHING;
                let offset = 1 + numbers.next() as usize % (N_CRASHING - 1);
                let drawn = [first, (first + offset) % N_CRASHING];
                record.add(&format!("killed-runners numbers={},{}", drawn[0], drawn[1]));
                runners.kill(&drawn);
                std::thread::sleep(CRASH_INTERVAL);
            }
        });
    }
}

impl Drop for Crashes {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        // The thread that crashes runners must not keep them.
        while 1 < Arc::strong_count(&self.runners) {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Sends requests with the part, no two alike, to all gateways in turns.
struct Poison<'a> {
    fronts: Vec<std::net::SocketAddr>,
    numbers: Numbers,
    n_sent: usize,
    record: &'a Record,
}

impl Poison<'_> {
    fn send_for(&mut self, time: Duration, interval: Duration) {
        let start = Instant::now();
        let mut due = interval;
        while due <= time {
            std::thread::sleep((start + due).saturating_duration_since(Instant::now()));
            self.send();
            due += interval;
        }
        std::thread::sleep((start + time).saturating_duration_since(Instant::now()));
    }

    fn send(&mut self) {
        let first = FIRST_PARTS[self.n_sent % FIRST_PARTS.len()];
        let request = Request {
            attempt: format!("{:016x}", self.numbers.next()),
            path: PATH.to_owned(),
            parts: format!("{first}:341,{POISON}:227,{:012x}:250", self.numbers.next() >> 16),
            n_tokens: 24,
        };
        let front = self.fronts[self.n_sent % self.fronts.len()];
        let (number, record) = (self.n_sent, self.record.clone());
        self.n_sent += 1;
        std::thread::spawn(move || ask(front, number, &request, "poison", &record));
    }
}

fn n_crashes(path: &Path) -> io::Result<usize> {
    Ok(read(path)?.iter().filter(|it| it.is("crashed")).count())
}

/// Counts the requests with the part that reached runners, sent by gateways in touch later than
/// the stable window after the fifth crash.
fn judge(path: &Path, in_touch_from: u64, record: &Record) -> io::Result<Verdict> {
    let lines = read(path)?;
    let crashes: Vec<&Line> = lines.iter().filter(|it| it.is("crashed")).collect();
    let Some(fifth) = crashes.get(N_CRASHES - 1) else { return Ok(Verdict::CouldNotRun) };
    let begin = fifth.at + STABLE_WINDOW.as_millis() as u64;
    let begins = lines.iter().find(|it| it.is("disruption-begins")).map_or(begin, |it| it.at);
    let arrived = |it: &&Line| it.is("arrived") && it.get("prompt") == "poison";
    let before = lines.iter().filter(arrived).filter(|it| begin < it.at && it.at <= begins);
    let after = lines.iter().filter(arrived).filter(|it| begin.max(in_touch_from) < it.at);
    let n_before = before.count();
    let n_after = after.filter(|it| begins < it.at).count();
    let n_sound = |is_cut: bool, from: u64, to: u64| {
        let cut = |it: &&Line| !is_cut || it.get("status") != "200" || it.get("whole") != "true";
        let answers = lines.iter().filter(|it| it.is("answered") && it.get("prompt") == "sound");
        answers.filter(|it| from < it.at && it.at <= to).filter(cut).count()
    };
    let end = u64::MAX;
    let sent = |it: &&Line| it.is("sent") && it.get("prompt") == "poison" && begins < it.at;
    record.add(&format!(
        "summary crashes={} poison-sent-afterwards={} poison-arrived-between={n_before} \
         poison-arrived-in-touch={n_after} crashes-in-touch={} sound-answers={} \
         sound-cut-or-failed-in-touch={}",
        crashes.len(),
        lines.iter().filter(sent).count(),
        crashes.iter().filter(|it| in_touch_from.max(begins) < it.at).count(),
        n_sound(false, 0, end),
        n_sound(true, in_touch_from.max(begins), end),
    ));
    match MAX_ARRIVALS < n_before + n_after {
        true => Ok(Verdict::Broken),
        false => Ok(Verdict::Held),
    }
}

fn config(version: u64, service: &str) -> String {
    let engine = "{\"Slots\":64,\"KvCapacityTokens\":615461,\"KvTokenBytes\":35136,\
                  \"LinkMbps\":1100000.0,\"Moves\":false,\"Backups\":false,\"Stride\":4,\"most\":12,\
                  \"PinMs\":4000.0,\"HoldMs\":2000.0,\"HandleS\":5.0,\"Models\":[{\"Name\":\"m\"}]}";
    let services: Vec<String> = ["drafter", "second"]
        .iter()
        .map(|it| {
            format!(
                "{{\"Name\":\"{it}\",\"HealthPath\":\"/health\",\"MaxConnections\":360,\
                 \"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{engine}}}"
            )
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-draft\",\"Host\":\"{HOST}\",\
         \"PathPrefix\":\"{PATH}\",\"Kind\":\"streaming\",\"TimeoutMs\":5000,\
         \"TargetLatencyMs\":1900,\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":1,\
         \"Stages\":[],\"AllowAnonymous\":false,\"Sticky\":true,\"Resumable\":false,\
         \"GapAimMs\":250}}],\"Services\":[{}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"bozi300\",\"ApiKeys\":[\"{API_KEY}\"],\
         \"Priority\":1}}]}}",
        services.join(",")
    )
}
