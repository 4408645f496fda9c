//! Runners are replaced, while the store cuts off the watches that wait.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller::{self, Request};
use crate::record::Record;
use crate::runner::{Plan, Work};
use crate::world::{Route, World};

const ROUTE: Route =
    Route { kind: "non_idempotent", prefix: "/fees/", timeout_ms: 2_000, target_ms: 300 };
const PATIENCE: Duration = Duration::from_millis(4_000);
const N_GATEWAYS: usize = 6;
/// Three of eight runners leave, one after the other.
const N_RUNNERS: usize = 8;
const N_LEAVING: usize = 3;
const FIRST_AT: Duration = Duration::from_millis(3_000);
const GAP: Duration = Duration::from_millis(5_000);
/// Watches are cut off this long before a runner leaves, and once more that long behind it.
const CUT_BEFORE: Duration = Duration::from_millis(150);
const CUT_BEHIND: Duration = Duration::from_millis(1_400);
/// A runner serves for `DrainMs` and a little longer after the ack, then exits.
const EXIT_AFTER: Duration = Duration::from_millis(3_500);
const TRAFFIC_TIME: Duration = Duration::from_secs(18);
const INTERVAL: Duration = Duration::from_millis(15);
/// `DrainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let work = Work::Plain(Duration::from_millis(60));
    let plan = Plan { service: "filing-desk", work, slots: 6, queue: 24, crashing_part: None };
    let world = World::start(folder, N_GATEWAYS, (plan, N_RUNNERS), ROUTE)?;
    let start = Instant::now();
    let (fronts, record) = (fronts(&world), world.record.clone());
    let traffic = std::thread::spawn(move || send_all(&fronts, &record));
    let wait_until = |at: Duration| {
        std::thread::sleep(at.saturating_sub(start.elapsed()));
    };
    let cut = || {
        if has_trouble {
            world.store.cut_watches();
            world.record.note("the store cuts off the watches that wait");
        }
    };
    let mut left = Vec::new();
    for (number, runner) in world.runners[..N_LEAVING].iter().enumerate() {
        let at = FIRST_AT + GAP * number as u32;
        wait_until(at - CUT_BEFORE);
        cut();
        wait_until(at);
        let (revision, acked) = runner.leave();
        let text = format!("{} leaves: its entry is removed at {revision}", runner.id);
        world.record.note(&text);
        left.push((runner.id.clone(), acked));
        wait_until(at + CUT_BEHIND);
        cut();
        wait_until(at + EXIT_AFTER);
        runner.exit();
        world.record.note(&format!("{} exits", runner.id));
    }
    let n_sent = traffic.join().map_err(|_| io::Error::other("the traffic has failed"))?;
    Ok(judge(&world, n_sent, &left))
}

fn fronts(world: &World) -> Vec<SocketAddr> {
    world.gateways.iter().map(|it| it.front()).collect()
}

/// Sends the traffic; returns the number of requests.
fn send_all(fronts: &[SocketAddr], record: &Arc<Record>) -> usize {
    let start = Instant::now();
    let mut callers = Vec::new();
    while start.elapsed() < TRAFFIC_TIME {
        let number = callers.len();
        let (front, record) = (fronts[number % fronts.len()], record.clone());
        callers.push(std::thread::spawn(move || file(front, number, &record)));
        std::thread::sleep(INTERVAL);
    }
    let n_sent = callers.len();
    for caller in callers {
        // A caller that has failed has no answer.
        let _ = caller.join();
    }
    n_sent
}

fn file(front: SocketAddr, number: usize, record: &Record) {
    let attempt = format!("{number:016x}");
    let body = format!("fee {number}");
    let path = format!("{}pay", ROUTE.prefix);
    let request = Request {
        path: &path,
        attempt: &attempt,
        patience: PATIENCE,
        headers: &[],
        body: body.as_bytes(),
    };
    record.note(&format!("caller sends {attempt} to {}", front.ip()));
    let answer = caller::send(front, &request);
    record.note(&format!("caller gets {:?} for {attempt}", answer.status));
}

fn judge(world: &World, n_sent: usize, left: &[(String, Instant)]) -> Verdict {
    let runs = world.runs();
    let mut n_late = 0;
    for (id, acked) in left {
        let late = runs.iter().filter(|it| it.runner == *id && *acked + DRAIN < it.at);
        for run in late {
            n_late += 1;
            world.record.note(&format!(
                "DRAIN is broken: {} reaches {id} {:.3} s after the ack of its leaving",
                run.attempt,
                (run.at - *acked).as_secs_f64()
            ));
        }
    }
    world.record.say(&format!(
        "{n_sent} requests, {n_late} of them reached one of {} runners later than DrainMs after the ack of \
         its leaving",
        left.len()
    ));
    if n_late == 0 { Verdict::Held } else { Verdict::Broken }
}
