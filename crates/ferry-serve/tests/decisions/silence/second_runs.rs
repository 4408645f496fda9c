//! Second runs beside silent endpoints that turn out to bring nothing.

use std::time::Duration;

use super::{STAGES, failures, pool, silence_first};
use crate::simulation::{Behaviour, ENGINE, Simulation, head, ms};

struct Case {
    name: &'static str,
    /// Time from the arrival until the engine falls silent, in milliseconds.
    at: u64,
    /// Time from the head of the other engine until that resets the stream.
    reset_after: Duration,
}

#[test]
fn head_of_a_second_run_that_brings_no_event_ends_no_answer() {
    let dark = ms(60_000);
    let cases = [
        Case { name: "reset before the first event", at: STAGES + 10, reset_after: ms(50) },
        Case { name: "reset between events", at: STAGES + 110, reset_after: ms(50) },
        Case { name: "silent before the first event", at: STAGES + 10, reset_after: dark },
        Case { name: "silent between events", at: STAGES + 110, reset_after: dark },
    ];
    let mut all = Vec::new();
    for case in cases {
        for silence in [1_500, 2_000, 2_500] {
            let mut sim = Simulation::with_time_limit(1, ms(8_000));
            let mut head = head("stream", "stream");
            head.time_left = Some(ms(8_000));
            sim.arrive(0, "stream", head);
            sim.run_for(ms(case.at));
            let first = silence_first(&mut sim, "stream", ms(silence));
            for id in pool(&sim, ENGINE).iter().filter(|it| **it != first) {
                sim.set_behaviour(id, Behaviour::HeadOnly(case.reset_after));
            }
            sim.run_for(ms(9_000));
            let name = format!("{}, {silence} ms", case.name);
            all.extend(failures(&sim, &["stream".to_owned()], &name));
        }
    }
    assert!(all.is_empty(), "{} failures: {all:#?}", all.len());
}

#[test]
fn late_head_of_a_silent_engine_that_then_fails_ends_no_second_run() {
    let mut all = Vec::new();
    for silence in (1_200..2_600).step_by(200) {
        let mut sim = Simulation::with_time_limit(1, ms(8_000));
        let mut head = head("stream", "stream");
        head.time_left = Some(ms(8_000));
        let engines = pool(&sim, ENGINE);
        engines.iter().for_each(|it| sim.set_behaviour(it, Behaviour::HeadOnly(ms(100))));
        sim.arrive(0, "stream", head);
        sim.run_for(ms(STAGES + 10));
        let first = silence_first(&mut sim, "stream", ms(silence));
        for id in engines.iter().filter(|it| **it != first) {
            // The first event takes 0.96 s.
            sim.set_behaviour(id, Behaviour::Slow(8));
        }
        sim.run_for(ms(9_000));
        all.extend(failures(&sim, &["stream".to_owned()], &format!("{silence} ms")));
    }
    assert!(all.is_empty(), "{} failures: {all:#?}", all.len());
}
