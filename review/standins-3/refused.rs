//! Runners fail part of their requests, with status 503, after they have run them.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller::{self, Answer, Request};
use crate::record::Record;
use crate::runner::{Plan, Work};
use crate::world::{Route, World};

const ROUTE: Route =
    Route { kind: "non_idempotent", prefix: "/fees/", timeout_ms: 2_000, target_ms: 300 };
/// Time limit of the callers, and their retries.
const PATIENCE: Duration = Duration::from_millis(4_000);
const N_RETRIES: usize = 1;
/// One runner of four; the page's share is 0.15.
const N_RUNNERS: usize = 4;
const N_GREY: usize = 1;
/// Tenths of its requests that a grey runner fails, and for how long.
const GREY_TENTHS: u64 = 4;
const GREY_TIME: Duration = Duration::from_millis(6_500);
const TRAFFIC_TIME: Duration = Duration::from_secs(14);
const GREY_START: Duration = Duration::from_secs(4);
const INTERVAL: Duration = Duration::from_millis(60);
/// Pause of a caller that was told no time to come back.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The answers by attempt.
type Answers = Arc<Mutex<BTreeMap<String, Answer>>>;

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let work = Work::Plain(Duration::from_millis(60));
    let plan = Plan { service: "filing-desk", work, slots: 6, queue: 24, crashing_part: None };
    let world = World::start(folder, 2, (plan, N_RUNNERS), ROUTE)?;
    let answers = Answers::default();
    let start = Instant::now();
    let mut callers = Vec::new();
    let mut number = 0;
    let (mut is_grey, mut was_grey) = (false, false);
    while start.elapsed() < TRAFFIC_TIME {
        let front = world.gateways[number % world.gateways.len()].front();
        let (answers, record) = (answers.clone(), world.record.clone());
        callers.push(std::thread::spawn(move || file(front, number, &answers, &record)));
        number += 1;
        let end = GREY_START + GREY_TIME;
        if has_trouble && !was_grey && GREY_START <= start.elapsed() {
            world.record.note("one runner fails four tenths of its requests from now on");
            world.runners[..N_GREY].iter().for_each(|it| it.set_failing(GREY_TENTHS));
            (is_grey, was_grey) = (true, true);
        }
        if is_grey && end <= start.elapsed() {
            world.record.note("it fails none any longer");
            world.runners[..N_GREY].iter().for_each(|it| it.set_failing(0));
            is_grey = false;
        }
        std::thread::sleep(INTERVAL);
    }
    for caller in callers {
        caller.join().map_err(|_| io::Error::other("a caller has failed"))?;
    }
    Ok(judge(&world, number, &answers))
}

/// Files one fee, as a caller does that keeps to the pages: it retries after a promise only.
fn file(front: std::net::SocketAddr, number: usize, answers: &Answers, record: &Record) {
    let until = Instant::now() + PATIENCE;
    let body = format!("fee {number}");
    for retry in 0..=N_RETRIES {
        let attempt = format!("{number:012x}{retry:04x}");
        let patience = until.saturating_duration_since(Instant::now());
        record.note(&format!("caller sends {attempt}: {body}"));
        let path = format!("{}pay?n={number}", ROUTE.prefix);
        let request = Request {
            path: &path,
            attempt: &attempt,
            patience,
            headers: &[],
            body: body.as_bytes(),
        };
        let answer = caller::send(front, &request);
        record.note(&format!("caller gets {:?} for {attempt}", answer.status));
        let is_promise = answer.status.is_some_and(|it| PROMISES.contains(&it));
        let pause = answer.retry_after.unwrap_or(RETRY_PAUSE);
        let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.insert(attempt, answer);
        drop(answers);
        let left = until.saturating_duration_since(Instant::now());
        if !is_promise || left / 3 < pause {
            return;
        }
        std::thread::sleep(pause);
    }
}

fn judge(world: &World, n_fees: usize, answers: &Answers) -> Verdict {
    let runs = world.runs();
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let mut n_broken = 0;
    for run in &runs {
        let Some(answer) = answers.get(&run.attempt) else { continue };
        let Some(status) = answer.status.filter(|it| PROMISES.contains(it)) else { continue };
        n_broken += 1;
        world.record.note(&format!(
            "REFUSED is broken: {} was answered {status}, and {} has run it",
            run.attempt, run.runner
        ));
    }
    let mut times: BTreeMap<&[u8], usize> = BTreeMap::new();
    runs.iter().for_each(|it| *times.entry(&it.body).or_default() += 1);
    let n_twice = times.values().filter(|it| 1 < **it).count();
    world.record.say(&format!(
        "{n_fees} fees, {} runs, {n_broken} attempts that were refused as not run and had run, \
         {n_twice} fees that were filed twice",
        runs.len()
    ));
    if n_broken == 0 { Verdict::Held } else { Verdict::Broken }
}
