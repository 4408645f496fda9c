//! Which requests are admitted when more arrive than the endpoints of their stages can serve.

use std::time::Duration;

use ferry_serve::{Decision, DecisionKind, RequestHead, TokenCounts};

use crate::simulation::{Ending, Outcome, Simulation, head, ms};

const OBJECTIVE: Duration = ms(1_500);
/// Requests per second that a stage can serve: each of its three endpoints does 16 items in 214 ms,
/// and a request has four.
const CAPACITY: f64 = 3.0 * 4.0 / 0.214;

/// One kind of request that arrives at a steady rate.
struct Source {
    route: &'static str,
    per_second: f64,
    tokens: Option<TokenCounts>,
}

const fn source(route: &'static str, per_second: f64) -> Source {
    Source { route, per_second, tokens: None }
}

/// Sends the requests of each source evenly to all instances for `time`, and returns their attempts
/// by source.
fn load(sim: &mut Simulation, sources: &[Source], time: Duration) -> Vec<Vec<String>> {
    let mut attempts = vec![Vec::new(); sources.len()];
    let n_instances = sim.instances.len();
    let mut n_sent = 0;
    for tick in 0..time.as_millis() {
        for (idx, source) in sources.iter().enumerate() {
            let due = (tick + 1) as f64 * source.per_second / 1e3;
            while (attempts[idx].len() as f64) < due.floor() {
                let attempt = format!("{}-{idx}-{}", source.route, attempts[idx].len());
                let head = RequestHead { tokens: source.tokens, ..head(source.route, &attempt) };
                sim.arrive(n_sent % n_instances, &attempt, head);
                n_sent += 1;
                attempts[idx].push(attempt);
            }
        }
        sim.run_for(ms(1));
    }
    sim.run_for(ms(6_000));
    attempts
}

fn refusals<'a>(sim: &'a Simulation, attempts: &'a [String]) -> impl Iterator<Item = &'a Outcome> {
    let outcomes = attempts.iter().map(|it| sim.outcome(it));
    outcomes.filter(|it| matches!(it.ending, Ending::Refused(_)))
}

#[test]
fn urgent_requests_are_served_first_under_overload() {
    // Both routes together offer 1.8 times the capacity, the urgent one 0.7 times.
    let sources = [source("urgent", 0.7 * CAPACITY), source("once", 1.1 * CAPACITY)];
    let time = ms(8_000);
    let mut sim = Simulation::new(4);
    let attempts = load(&mut sim, &sources, time);
    let urgent = sim.on_time(&attempts[0], OBJECTIVE);
    assert!(0.9 <= urgent, "{urgent} of the urgent requests began in time");
    let n_in_time: f64 =
        attempts.iter().map(|it| sim.on_time(it, OBJECTIVE) * it.len() as f64).sum();
    let used = n_in_time / (CAPACITY * time.as_secs_f64());
    assert!(0.8 <= used, "{used} of the capacity was used in time");
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn late_requests_are_refused_at_once() {
    let mut sim = Simulation::new(4);
    let attempts = load(&mut sim, &[source("once", 2.5 * CAPACITY)], ms(6_000));
    let took: Vec<Duration> = refusals(&sim, &attempts[0]).map(|it| it.took).collect();
    let n_prompt = took.iter().filter(|it| **it < OBJECTIVE / 8).count();
    assert!(attempts[0].len() / 3 <= took.len(), "{} refusals", took.len());
    let share = n_prompt as f64 / took.len() as f64;
    assert!(0.95 <= share, "{share} of the refusals came at once");
    for outcome in refusals(&sim, &attempts[0]) {
        let Ending::Refused(refusal) = &outcome.ending else { continue };
        assert!(refusal.retry_after.is_some(), "{refusal:?}");
    }
}

#[test]
fn least_urgent_requests_are_not_starved() {
    let sources = [source("urgent", 3.0 * CAPACITY), source("once", 0.5 * CAPACITY)];
    let mut sim = Simulation::new(4);
    let attempts = load(&mut sim, &sources, ms(8_000));
    let share = |idx: usize| sim.on_time(&attempts[idx], OBJECTIVE);
    let all = (share(0) * 3.0 + share(1) * 0.5) / 3.5;
    assert!(all / 4.0 <= share(1), "{} of the least urgent, {all} of all", share(1));
}

#[test]
fn larger_requests_of_equal_urgency_go_first() {
    let sized = |prompt| Source {
        tokens: Some(TokenCounts { prompt, output: 10 }),
        ..source("once", 0.8 * CAPACITY)
    };
    let mut sim = Simulation::new(4);
    let attempts = load(&mut sim, &[sized(12_000), sized(1_000)], ms(8_000));
    let (large, small) =
        (sim.on_time(&attempts[0], OBJECTIVE), sim.on_time(&attempts[1], OBJECTIVE));
    assert!(small + 0.25 <= large, "{large} of the large ones, {small} of the small ones");
}

#[test]
fn light_load_is_served_without_admission_controller() {
    // Each instance fails in turn, so the admission controller does too.
    for victim in 0..4 {
        for fault in ["killed", "cut off", "overloaded"] {
            let mut sim = Simulation::new(4);
            match fault {
                "killed" => sim.kill(victim),
                "cut off" => sim.isolated = vec![victim],
                _ => sim.timer_lag[victim] = ms(200),
            }
            let mut attempts = Vec::new();
            for number in 0..40 {
                let attempt = format!("light-{number}");
                let instance = (victim + 1 + number % 3) % 4;
                sim.arrive(instance, &attempt, head("once", &attempt));
                attempts.push(attempt);
                sim.run_for(ms(60));
            }
            sim.run_for(ms(4_000));
            let share = sim.on_time(&attempts, OBJECTIVE);
            assert!(0.95 <= share, "instance {victim} {fault}: {share} began in time");
        }
    }
}

#[test]
fn callers_that_allow_different_times_are_in_time() {
    // Callers of a route with a long time limit allow 85 to 100% of it; the objective is shorter
    // than the difference. One in ten retries after a quarter of its time.
    let limit = ms(12_000);
    let mut sim = Simulation::with_time_limit(4, limit);
    let (mut first, mut retries) = (Vec::new(), Vec::new());
    for number in 0..600u64 {
        let attempt = format!("spread-{number}");
        let allowed = limit.mul_f64(0.85 + 0.15 * ((number * 37) % 100) as f64 / 100.0);
        let is_retry = number % 10 == 9;
        let mut head = head("once", &attempt);
        head.time_left = Some(if is_retry { allowed * 3 / 4 } else { allowed });
        if is_retry {
            retries.push(attempt.clone())
        } else {
            first.push(attempt.clone())
        }
        sim.arrive(number as usize % 4, &attempt, head);
        sim.run_for(Duration::from_secs_f64(1.0 / (0.95 * CAPACITY)));
    }
    sim.run_for(ms(6_000));
    let share = sim.on_time(&first, OBJECTIVE);
    assert!(0.97 <= share, "{share} of the first attempts began in time");
    let elapsed = |attempt: &String| {
        let of_attempt = |it: &&Decision| it.attempt.as_deref() == Some(attempt.as_str());
        let mut decisions = sim.decisions.iter().filter(of_attempt);
        decisions.find(|it| it.kind == DecisionKind::Admit).and_then(|it| it.took)
    };
    let is_old = |it: &&String| elapsed(it).is_some_and(|it| limit / 8 < it);
    let n_old = |attempts: &[String]| attempts.iter().filter(is_old).count();
    assert!(n_old(&first) * 100 <= first.len(), "{} first attempts count as old", n_old(&first));
    assert!(retries.len() * 8 <= n_old(&retries) * 10, "{} retries count as old", n_old(&retries));
}

#[test]
fn late_retries_take_only_spare_capacity() {
    let mut sim = Simulation::new(4);
    // Teaches the instances how long callers of the route wait.
    load(&mut sim, &[source("once", 4.0)], ms(1_000));
    let mut late = Vec::new();
    let mut fresh = Vec::new();
    for number in 0..400 {
        let attempt = format!("mix-{number}");
        let mut head = head("once", &attempt);
        if number % 2 == 0 {
            head.time_left = Some(ms(2_500));
            late.push(attempt.clone());
        } else {
            fresh.push(attempt.clone());
        }
        sim.arrive(number % 4, &attempt, head);
        sim.run_for(ms(10));
    }
    sim.run_for(ms(5_000));
    let share = sim.on_time(&fresh, OBJECTIVE);
    assert!(0.85 <= share, "{share} of the new requests began in time");
    assert!(late.len() / 4 <= refusals(&sim, &late).count());
}

#[test]
fn short_burst_is_served_late_rather_than_refused() {
    // Twice the capacity for half a second, after a light load.
    let mut sim = Simulation::new(4);
    let light = source("once", 0.3 * CAPACITY);
    let mut attempts = load(&mut sim, &[light], ms(2_000)).concat();
    attempts.extend(load(&mut sim, &[source("urgent", 2.0 * CAPACITY)], ms(500)).concat());
    let n_served = attempts.iter().filter(|it| sim.outcome(it).ending == Ending::Stream).count();
    let share = n_served as f64 / attempts.len() as f64;
    assert!(0.97 <= share, "{share} of the requests were served");
}
