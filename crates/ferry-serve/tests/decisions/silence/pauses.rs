//! Pauses of all endpoints of a stage, which are no property of each.

use std::time::Duration;

use super::{is_whole, pool};
use crate::simulation::{Behaviour, FIRST, SECOND, Simulation, head, ms};

/// Time from the first request until the endpoints fall silent.
const START: Duration = ms(1_000);
/// Time from the first request to the last one.
const LOAD: Duration = ms(5_000);

/// Sends a request after each `gap` and returns the attempts; calls `change` a while after the first.
fn load(
    sim: &mut Simulation,
    gap: Duration,
    limit: Duration,
    change: impl FnOnce(&mut Simulation),
) -> Vec<String> {
    let (start, mut change) = (sim.now, Some(change));
    let mut attempts = Vec::new();
    while sim.now < start + LOAD {
        if start + START <= sim.now
            && let Some(change) = change.take()
        {
            change(sim);
        }
        let attempt = format!("stream-{}", attempts.len());
        let mut head = head("stream", &attempt);
        head.time_left = Some(limit);
        sim.arrive(0, &attempt, head);
        attempts.push(attempt);
        sim.run_for(gap);
    }
    sim.run_for(ms(5_000));
    attempts
}

fn slowdowns(sim: &Simulation, stage: &str) -> Vec<f64> {
    let gateway = sim.instances[0].as_ref().expect("it runs");
    let slowdown = |id: &String| gateway.context().endpoints.get(id).map(|it| it.slowdown);
    pool(sim, stage).iter().filter_map(slowdown).collect()
}

struct Case {
    limit: Duration,
    /// Time between requests; the endpoints need at least 20 ms for each.
    gap: Duration,
    pause: Duration,
}

#[test]
fn pause_of_all_endpoints_of_a_stage_refuses_no_request_that_has_time_for_it() {
    let mut cases = Vec::new();
    for gap in [30, 40, 60].map(ms) {
        for pause in [300, 500].map(ms) {
            cases.extend([1_500, 2_000].map(|it| Case { limit: ms(it), gap, pause }));
        }
        cases.extend([300, 500, 800, 1_000].map(|it| Case {
            limit: ms(4_000),
            gap,
            pause: ms(it),
        }));
    }
    let mut all = Vec::new();
    for Case { limit, gap, pause } in cases {
        for stage in [FIRST, SECOND] {
            let mut sim = Simulation::with_time_limit(1, limit);
            let attempts = load(&mut sim, gap, limit, |sim| {
                pool(sim, stage).iter().for_each(|it| sim.silence(it, pause));
            });
            for attempt in attempts.iter().filter(|it| !is_whole(&sim, it)) {
                let name = format!("{limit:?}, every {gap:?}, {stage} silent for {pause:?}");
                all.push(format!("{name}: {attempt} {:?}", sim.outcomes.get(attempt)));
            }
        }
    }
    assert!(all.is_empty(), "{} failures: {all:#?}", all.len());
}

#[test]
fn endpoints_that_stay_slow_are_taken_for_slow() {
    for n_slow in [1, 2, 3] {
        for gap in [60, 120, 500].map(ms) {
            let mut sim = Simulation::new(1);
            load(&mut sim, gap, ms(4_000), |sim| {
                for id in pool(sim, FIRST).iter().take(n_slow) {
                    sim.set_behaviour(id, Behaviour::Slow(5));
                }
            });
            let slowdowns = slowdowns(&sim, FIRST);
            let name = format!("{n_slow} slow, every {gap:?}: {slowdowns:?}");
            assert!(slowdowns.iter().take(n_slow).all(|it| 2.0 < *it), "{name}");
            assert!(slowdowns.iter().skip(n_slow).all(|it| *it < 1.5), "{name}");
        }
    }
}

#[test]
fn stop_of_the_process_makes_no_endpoint_of_a_stage_slow() {
    for gap in [30, 40, 60, 120, 300].map(ms) {
        for stop in [300, 500, 1_000, 2_000].map(ms) {
            let mut seen = Vec::new();
            let mut sim = Simulation::new(1);
            load(&mut sim, gap, ms(4_000), |sim| {
                sim.freeze(0);
                sim.run_for(stop);
                sim.thaw(0);
                seen = [slowdowns(sim, FIRST), slowdowns(sim, SECOND)].concat();
            });
            let name = format!("every {gap:?}, stopped for {stop:?}: {seen:?}");
            assert!(seen.iter().all(|it| *it < 1.5), "{name}");
        }
    }
}
