//! Silence alone ends no answer: endpoints that fall silent and go on.

use std::time::Duration;

use ferry_serve::Tuning;

use crate::simulation::{Behaviour, ENGINE, Ending, PLAIN, Simulation, head, ms};

/// Time from the arrival of a request with stages until its engine runs it, but for some.
const STAGES: u64 = 400;

/// How much of the retry budget is left.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Budget {
    Full,
    Spent,
}

struct Case {
    route: &'static str,
    pool: &'static str,
    /// Time from the arrivals until the endpoints fall silent, in milliseconds.
    at: u64,
    phase: &'static str,
}

const CASES: [Case; 8] = [
    Case { route: "get", pool: PLAIN, at: 20, phase: "before the answer" },
    Case { route: "post", pool: PLAIN, at: 20, phase: "before the answer" },
    Case { route: "stream", pool: ENGINE, at: STAGES + 10, phase: "before the first event" },
    Case { route: "stream", pool: ENGINE, at: STAGES + 110, phase: "between events" },
    Case { route: "stream", pool: ENGINE, at: STAGES + 180, phase: "before the last event" },
    Case { route: "once", pool: ENGINE, at: STAGES + 10, phase: "before the first event" },
    Case { route: "once", pool: ENGINE, at: STAGES + 110, phase: "between events" },
    Case { route: "once", pool: ENGINE, at: STAGES + 180, phase: "before the last event" },
];

/// Returns a tuning and the ids of the endpoints of a pool.
fn start(budget: Budget) -> Simulation {
    let tuning = match budget {
        Budget::Full => Tuning::default(),
        Budget::Spent => Tuning { retry_ratio: 0.0, retry_extra: 0.0, ..Tuning::default() },
    };
    Simulation::with_tuning(1, tuning)
}

fn pool(sim: &Simulation, name: &str) -> Vec<String> {
    let members = sim.endpoints.values().filter(|it| it.entry.pool == name);
    members.map(|it| it.entry.id.clone()).collect()
}

/// Whether an answer is whole: plain, or a stream with all its events.
fn is_whole(sim: &Simulation, attempt: &str) -> bool {
    match sim.outcomes.get(attempt).map(|it| &it.ending) {
        Some(Ending::Answer) => true,
        Some(Ending::Stream) => sim.events.get(attempt).is_some_and(|it| *it == [1, 2, 3, 4, 5]),
        _ => false,
    }
}

/// Returns what callers were not given, and what ran too often.
fn failures(sim: &Simulation, attempts: &[String], name: &str) -> Vec<String> {
    let mut failures = Vec::new();
    for attempt in attempts {
        let (outcome, runs) = (sim.outcomes.get(attempt), sim.runs.get(attempt));
        if !is_whole(sim, attempt) {
            failures.push(format!("{name}: {attempt} ended as {outcome:?} after {runs:?}"));
        }
        let limit = if attempt.starts_with("get") || attempt.starts_with("stream") { 2 } else { 1 };
        let n_runs = runs.map_or(0, Vec::len);
        if limit < n_runs {
            failures.push(format!("{name}: {attempt} ran {n_runs} times"));
        }
    }
    failures.extend(sim.violations.iter().map(|it| format!("{name}: {it}")));
    failures
}

#[test]
fn no_answer_ends_because_its_endpoint_is_silent_for_a_moment() {
    let mut all = Vec::new();
    for case in CASES {
        for silence in [500, 1_000, 2_000] {
            for budget in [Budget::Full, Budget::Spent] {
                for n_silent in [1, usize::MAX] {
                    let mut sim = start(budget);
                    let attempts: Vec<String> =
                        (0..8).map(|it| format!("{}-{it}", case.route)).collect();
                    for attempt in &attempts {
                        sim.arrive(0, attempt, head(case.route, attempt));
                    }
                    sim.run_for(ms(case.at));
                    for id in pool(&sim, case.pool).iter().take(n_silent) {
                        sim.silence(id, ms(silence));
                    }
                    sim.run_for(ms(6_000));
                    let Case { route, phase, .. } = case;
                    let name = format!(
                        "{route} {phase}, {silence} ms, budget {budget:?}, {n_silent} silent"
                    );
                    all.extend(failures(&sim, &attempts, &name));
                }
            }
        }
    }
    assert!(all.is_empty(), "{} failures: {all:#?}", all.len());
}

#[test]
fn slow_engines_that_are_sound_answer_whole() {
    let mut sim = Simulation::new(1);
    for id in pool(&sim, ENGINE) {
        // The first event takes 1.44 s, and events are 240 ms apart.
        sim.set_behaviour(&id, Behaviour::Slow(12));
    }
    let attempts: Vec<String> = (0..8).map(|it| format!("stream-{it}")).collect();
    for attempt in &attempts {
        sim.arrive(0, attempt, head("stream", attempt));
    }
    sim.run_for(Duration::from_secs(10));
    let failures = failures(&sim, &attempts, "slow engines");
    assert!(failures.is_empty(), "{failures:#?}");
}
