//! A part of prompts crashes each engine that begins to write an answer on it: one whose id has 32
//! hexadecimal digits.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller::{self, Request};
use crate::record::Record;
use crate::runner::{Plan, Work};
use crate::world::{Route, World};

pub const ROUTE: Route =
    Route { kind: "streaming", prefix: "/drafts/", timeout_ms: 5_000, target_ms: 1_900 };
const PATIENCE: Duration = Duration::from_millis(5_000);
pub const N_RUNNERS: usize = 9;
const N_GATEWAYS: usize = 3;
const N_EVENTS: u64 = 6;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
pub const INTERVAL: Duration = Duration::from_millis(100);
/// Traffic without the part, and with it.
pub const CALM_TIME: Duration = Duration::from_secs(8);
const TRAFFIC_TIME: Duration = Duration::from_secs(40);
/// Of so many requests one has the part, from the end of the calm time on.
const BAD_EVERY: usize = 4;
/// The first part is shared by all; the second one is the bad one, or one of its sound siblings.
const FIRST_PART: &str = "5c1e07a2:800";
const LONG: Parts =
    Parts { bad: "91bd3f06c2a7e4402b7d5c1e07a26f38", sound: "3e8f5a10d6b94c27a1f0e2837b46d95c" };
/// What the rule names: `StableWindowMs`, the crash from which it counts, and the requests that may pass.
pub const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
pub const N_CRASHES: usize = 5;
pub const MAX_REQUESTS: usize = 3;

/// Ids of the second part of prompts.
#[derive(Debug, Clone, Copy)]
pub struct Parts {
    pub bad: &'static str,
    pub sound: &'static str,
}

/// What a caller has seen of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    pub at: Instant,
    pub is_bad: bool,
    pub status: Option<u16>,
    pub is_whole: bool,
}

pub type Attempts = Arc<Mutex<BTreeMap<String, Sent>>>;

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let world =
        World::start(folder, N_GATEWAYS, (plan(LONG, N_EVENTS, has_trouble), N_RUNNERS), ROUTE)?;
    let attempts = Attempts::default();
    let start = Instant::now();
    let mut callers = Vec::new();
    for number in 0.. {
        if TRAFFIC_TIME <= start.elapsed() {
            break;
        }
        let is_bad = CALM_TIME <= start.elapsed() && number % BAD_EVERY == 0;
        let part = if is_bad { LONG.bad } else { LONG.sound };
        // The number of gateways is prime to the interval of the bad requests.
        let front = world.gateways[number % N_GATEWAYS].front();
        let (attempts, record) = (attempts.clone(), world.record.clone());
        callers.push(std::thread::spawn(move || {
            draft(front, number, (part, is_bad), &attempts, &record);
        }));
        std::thread::sleep(INTERVAL);
    }
    for caller in callers {
        caller.join().map_err(|_| io::Error::other("a caller has failed"))?;
    }
    Ok(judge(&world, start + CALM_TIME, &attempts))
}

/// The plan of an engine that the bad part crashes, or that nothing does.
pub fn plan(parts: Parts, n_events: u64, is_crashed: bool) -> Plan {
    Plan {
        service: "drafter-pool",
        work: Work::Stream { n_events, pause: EVENT_PAUSE },
        slots: 64,
        queue: 134,
        crashing_part: is_crashed.then_some(parts.bad),
    }
}

/// Asks for a draft with this part as the second one of its prompt.
pub fn draft(
    front: SocketAddr,
    number: usize,
    (part, is_bad): (&str, bool),
    attempts: &Attempts,
    record: &Record,
) {
    let attempt = format!("{number:016x}");
    // The last part belongs to the request itself.
    let prompt = format!("{FIRST_PART},{part}:410,{:08x}:250", number + 1);
    let path = format!("{}2f", ROUTE.prefix);
    let headers = [
        ("Tarragonferry-Model", "m"),
        ("Tarragonferry-Token-Count", "1460,80"),
        ("Tarragonferry-Prompt-Prefix", prompt.as_str()),
    ];
    let body = format!("draft {number}");
    let request = Request {
        path: &path,
        attempt: &attempt,
        patience: PATIENCE,
        headers: &headers,
        body: body.as_bytes(),
    };
    let at = Instant::now();
    record.note(&format!("caller sends {attempt}, with the bad part: {is_bad}"));
    let answer = caller::send(front, &request);
    let is_whole = answer.status == Some(200) && answer.seal.is_some() && answer.is_whole;
    record.note(&format!("caller gets {:?} for {attempt}, whole: {is_whole}", answer.status));
    let sent = Sent { at, is_bad, status: answer.status, is_whole };
    attempts.lock().unwrap_or_else(PoisonError::into_inner).insert(attempt, sent);
}

fn judge(world: &World, since: Instant, attempts: &Attempts) -> Verdict {
    let crashes = world.crashes();
    let Some(fifth) = crashes.get(N_CRASHES - 1).copied() else {
        world.record.say(&format!("{} crashes", crashes.len()));
        return Verdict::Held;
    };
    let runs = world.runs();
    let late = runs.iter().filter(|it| it.prompt.contains(LONG.bad));
    let late: Vec<_> = late.filter(|it| fifth + STABLE_WINDOW < it.at).collect();
    for run in &late {
        let at = (run.at - fifth).as_secs_f64();
        let text =
            format!("{} reaches {} {at:.3} s after the fifth crash", run.attempt, run.runner);
        world.record.note(&text);
    }
    let attempts = attempts.lock().unwrap_or_else(PoisonError::into_inner);
    let sound = attempts.values().filter(|it| !it.is_bad && since < it.at);
    let sound: Vec<&Sent> = sound.collect();
    let n_whole = sound.iter().filter(|it| it.is_whole).count();
    let n_refused = sound.iter().filter(|it| it.status == Some(503)).count();
    world.record.say(&format!(
        "{} crashes; {} requests with the part reached runners later than StableWindowMs after the fifth; \
         of {} sound requests meanwhile {n_whole} were served, {n_refused} refused, {} lost",
        crashes.len(),
        late.len(),
        sound.len(),
        sound.len() - n_whole - n_refused
    ));
    if late.len() <= MAX_REQUESTS { Verdict::Held } else { Verdict::Broken }
}
