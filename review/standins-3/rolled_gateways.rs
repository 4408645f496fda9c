//! A part of prompts crashes each engine that begins to write an answer on it; between its fourth and its
//! fifth crash, the gateways are stopped and started in turn.

use std::io;
use std::path::Path;
use std::sync::PoisonError;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::crashing_part::{
    self, Attempts, CALM_TIME, INTERVAL, MAX_REQUESTS, N_CRASHES, N_RUNNERS, Parts, ROUTE,
    STABLE_WINDOW, Sent,
};
use crate::world::World;

const PARTS: Parts = Parts { bad: "91bd3f06", sound: "3e8f5a10" };
const N_GATEWAYS: usize = 6;
const N_EVENTS: u64 = 30;
/// A request with the part comes so often, after the calm time.
const BAD_INTERVAL: Duration = Duration::from_millis(3_400);
const TRAFFIC_TIME: Duration = Duration::from_secs(62);
/// The gateways are stopped so long after this crash, one each interval; no request with the part
/// comes meanwhile.
const N_CRASHES_BEFORE: usize = 4;
const ROLL_DELAY: Duration = Duration::from_millis(500);
const ROLL_INTERVAL: Duration = Duration::from_millis(2_000);
const BAD_PAUSE: Duration = Duration::from_secs(18);

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let plan = crashing_part::plan(PARTS, N_EVENTS, true);
    let world = World::start(folder, N_GATEWAYS, (plan, N_RUNNERS), ROUTE)?;
    let attempts = Attempts::default();
    let start = Instant::now();
    let mut started_at = None;
    std::thread::scope(|scope| {
        scope.spawn(|| send_all(&world, &attempts));
        while start.elapsed() < TRAFFIC_TIME {
            std::thread::sleep(Duration::from_millis(10));
            let crash = world.crashes().get(N_CRASHES_BEFORE - 1).copied();
            let is_due = crash.is_some_and(|it| ROLL_DELAY <= it.elapsed());
            if has_trouble && is_due && started_at.is_none() {
                started_at = Some(world.roll_gateways(ROLL_INTERVAL)?);
            }
        }
        Ok::<(), io::Error>(())
    })?;
    Ok(judge(&world, started_at.unwrap_or(start), &attempts))
}

/// Sends sound requests one after the other, and those with the part beside them.
fn send_all(world: &World, attempts: &Attempts) {
    let start = Instant::now();
    let mut callers = Vec::new();
    let mut bad_at = start + CALM_TIME;
    let mut n_bad = 0;
    for number in 0.. {
        if TRAFFIC_TIME <= start.elapsed() {
            break;
        }
        let is_bad = bad_at <= Instant::now();
        if is_bad {
            n_bad += 1;
            bad_at += if n_bad == N_CRASHES_BEFORE { BAD_PAUSE } else { BAD_INTERVAL };
        }
        let part = if is_bad { PARTS.bad } else { PARTS.sound };
        let front = world.gateways[number % N_GATEWAYS].front();
        let (attempts, record) = (attempts.clone(), world.record.clone());
        callers.push(std::thread::spawn(move || {
            crashing_part::draft(front, number, (part, is_bad), &attempts, &record);
        }));
        std::thread::sleep(INTERVAL);
    }
    for caller in callers {
        // Its attempt is missing then.
        let _ = caller.join();
    }
}

fn judge(world: &World, started_at: Instant, attempts: &Attempts) -> Verdict {
    let crashes = world.crashes();
    let Some(fifth) = crashes.get(N_CRASHES - 1).copied() else {
        world.record.say(&format!("{} crashes", crashes.len()));
        return Verdict::Held;
    };
    // A machine is in touch if nothing has happened to it for that time.
    let since = fifth.max(started_at) + STABLE_WINDOW;
    let runs = world.runs();
    let late = runs.iter().filter(|it| it.prompt.contains(PARTS.bad) && since < it.at);
    let late: Vec<_> = late.collect();
    for run in &late {
        let at = (run.at - fifth).as_secs_f64();
        let text =
            format!("{} reaches {} {at:.3} s after the fifth crash", run.attempt, run.runner);
        world.record.note(&text);
    }
    let attempts = attempts.lock().unwrap_or_else(PoisonError::into_inner);
    let sound: Vec<&Sent> = attempts.values().filter(|it| !it.is_bad && since < it.at).collect();
    let n_whole = sound.iter().filter(|it| it.is_whole).count();
    let n_refused = sound.iter().filter(|it| it.status == Some(503)).count();
    world.record.say(&format!(
        "{} crashes; {} requests with the part reached runners later than StableWindowMs after the fifth; \
         of {} sound requests from then on {n_whole} were served, {n_refused} refused, {} lost",
        crashes.len(),
        late.len(),
        sound.len(),
        sound.len() - n_whole - n_refused
    ));
    if late.len() <= MAX_REQUESTS { Verdict::Held } else { Verdict::Broken }
}
