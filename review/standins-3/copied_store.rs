//! A runner leaves; then the store comes back from a copy in which its entry still stands.

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

const ROUTE: Route =
    Route { kind: "streaming", prefix: "/drafts/", timeout_ms: 6_000, target_ms: 1_900 };
const PATIENCE: Duration = Duration::from_millis(6_000);
/// Share of the runners that leaves: one of eight; the page's is 0.15.
const N_RUNNERS: usize = 8;
const N_GATEWAYS: usize = 3;
const N_EVENTS: u64 = 15;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
const INTERVAL: Duration = Duration::from_millis(60);
/// Time of the case from the start of the traffic to each step.
const COPY_AT: Duration = Duration::from_millis(4_000);
const LEAVE_AT: Duration = Duration::from_millis(5_000);
const AWAY_AT: Duration = Duration::from_millis(6_400);
const BACK_AT: Duration = Duration::from_millis(7_000);
/// The runner serves for `DrainMs` and a little longer after the ack, then exits.
const EXIT_AFTER: Duration = Duration::from_millis(5_000);
const TRAFFIC_TIME: Duration = Duration::from_secs(14);
/// `DrainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

/// What a caller has seen of one attempt.
#[derive(Debug, Clone, Copy)]
struct Sent {
    gateway: usize,
    at: Instant,
    /// Whether it got the whole stream.
    is_whole: bool,
}

type Attempts = Arc<Mutex<BTreeMap<String, Sent>>>;

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let work = Work::Stream { n_events: N_EVENTS, pause: EVENT_PAUSE };
    let plan = Plan { service: "drafter-pool", work, slots: 64, queue: 134, crashing_part: None };
    let world = World::start(folder, N_GATEWAYS, (plan, N_RUNNERS), ROUTE)?;
    let attempts = Attempts::default();
    let start = Instant::now();
    let (fronts, record) = (fronts(&world), world.record.clone());
    let seen = attempts.clone();
    let traffic = std::thread::spawn(move || send_all(&fronts, &seen, &record));
    let wait_until = |at: Duration| {
        std::thread::sleep(at.saturating_sub(start.elapsed()));
    };
    wait_until(COPY_AT);
    world.store.take_copy();
    world.record.note("the copy is taken");
    wait_until(LEAVE_AT);
    let leaver = &world.runners[0];
    let (revision, acked) = leaver.leave();
    world.record.note(&format!("{} leaves: its entry is removed at {revision}", leaver.id));
    if has_trouble {
        wait_until(AWAY_AT);
        world.store.go_away();
        world.record.note("the store is away");
        wait_until(BACK_AT);
        world.store.come_back();
        world.record.note("the store is back from the copy, in a new era");
    }
    wait_until(LEAVE_AT + EXIT_AFTER);
    leaver.exit();
    world.record.note(&format!("{} exits", leaver.id));
    while world.store.has_entry(&leaver.id) {
        std::thread::sleep(Duration::from_millis(20));
    }
    world.record.note(&format!("the store has no entry of {}", leaver.id));
    traffic.join().map_err(|_| io::Error::other("the traffic has failed"))?;
    Ok(judge(&world, &leaver.id, (revision, acked), &attempts))
}

fn fronts(world: &World) -> Vec<SocketAddr> {
    world.gateways.iter().map(|it| it.front()).collect()
}

fn send_all(fronts: &[SocketAddr], attempts: &Attempts, record: &Arc<Record>) {
    let start = Instant::now();
    let mut callers = Vec::new();
    for number in 0.. {
        if TRAFFIC_TIME <= start.elapsed() {
            break;
        }
        let gateway = number % fronts.len();
        let (front, attempts, record) = (fronts[gateway], attempts.clone(), record.clone());
        callers.push(std::thread::spawn(move || {
            draft(front, gateway, number, &attempts, &record);
        }));
        std::thread::sleep(INTERVAL);
    }
    for caller in callers {
        // A caller that has failed has no answer.
        let _ = caller.join();
    }
}

fn draft(front: SocketAddr, gateway: usize, number: usize, attempts: &Attempts, record: &Record) {
    let attempt = format!("{number:016x}");
    let sent = Sent { gateway, at: Instant::now(), is_whole: false };
    let lock = || attempts.lock().unwrap_or_else(PoisonError::into_inner);
    lock().insert(attempt.clone(), sent);
    record.note(&format!("caller sends {attempt} to gateway {gateway}"));
    // No two requests share a part of their prompts.
    let prompt = format!("{number:08x}:400");
    let path = format!("{}2f", ROUTE.prefix);
    let headers = [
        ("Tarragonferry-Model", "m"),
        ("Tarragonferry-Token-Count", "400,60"),
        ("Tarragonferry-Prompt-Prefix", prompt.as_str()),
    ];
    let request = Request {
        path: &path,
        attempt: &attempt,
        patience: PATIENCE,
        headers: &headers,
        body: b"draft",
    };
    let answer = caller::send(front, &request);
    let is_whole = answer.status == Some(200) && answer.seal.is_some() && answer.is_whole;
    record.note(&format!("caller gets {:?} for {attempt}, whole: {is_whole}", answer.status));
    lock().insert(attempt, Sent { is_whole, ..sent });
}

fn judge(
    world: &World,
    leaver: &str,
    (revision, acked): (u64, Instant),
    attempts: &Attempts,
) -> Verdict {
    let told = world.store.told();
    // What a gateway was told of the first era, at the removal or later.
    let knew_at = |gateway: usize| {
        let knew = told.iter().filter(|it| it.gateway == gateway && it.era == 1);
        knew.filter(|it| revision <= it.revision).map(|it| it.at).min()
    };
    let attempts = attempts.lock().unwrap_or_else(PoisonError::into_inner);
    let (mut n_late, mut n_lost) = (0, 0);
    for run in world.runs().iter().filter(|it| it.runner == leaver && acked + DRAIN < it.at) {
        let Some(sent) = attempts.get(&run.attempt) else { continue };
        let Some(knew_at) = knew_at(sent.gateway).filter(|it| *it < sent.at) else { continue };
        n_late += 1;
        n_lost += usize::from(!sent.is_whole);
        world.record.note(&format!(
            "DRAIN is broken: {} reaches {leaver} {:.3} s after the ack of its leaving, from gateway {}, \
             which was told of it {:.3} s before; its caller got it whole: {}",
            run.attempt,
            (run.at - acked).as_secs_f64(),
            sent.gateway,
            (run.at - knew_at).as_secs_f64(),
            sent.is_whole
        ));
    }
    let n_cut = attempts.values().filter(|it| !it.is_whole).count();
    world.record.say(&format!(
        "{} requests, {n_late} of them reached the runner later than DrainMs after the ack of its leaving, \
         {n_lost} of these were lost; {n_cut} requests in all were not served whole",
        attempts.len()
    ));
    if n_late == 0 { Verdict::Held } else { Verdict::Broken }
}
