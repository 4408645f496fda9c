//! Items that are in calls to silent endpoints, and wait to be sent to others too.

use super::{is_whole, pool};
use crate::simulation::{SECOND, Simulation, head, ms};

/// Requests whose items fill a call.
const N_FIRST: usize = 4;
/// Time that the stages take without a pause, and that is kept for the engine, in milliseconds.
const OWN_TIME: u64 = 850;

#[test]
fn items_in_calls_to_silent_endpoints_are_not_dropped_for_newer_ones() {
    let mut all = Vec::new();
    // The items of the second stage are in a call by then.
    for at in [240, 300, 350] {
        for limit in [1_200, 1_500, 2_000] {
            for silence in (200..=limit - OWN_TIME).step_by(50) {
                for gap in [5, 10, 20, 40] {
                    let mut sim = Simulation::with_time_limit(1, ms(limit));
                    let arrive = |sim: &mut Simulation, attempt: &str| {
                        let mut head = head("stream", attempt);
                        head.time_left = Some(ms(limit));
                        sim.arrive(0, attempt, head);
                    };
                    let first: Vec<String> =
                        (0..N_FIRST).map(|it| format!("stream-{it}")).collect();
                    first.iter().for_each(|it| arrive(&mut sim, it));
                    sim.run_for(ms(at));
                    pool(&sim, SECOND).iter().for_each(|it| sim.silence(it, ms(silence)));
                    for number in 0..silence / gap {
                        sim.run_for(ms(gap));
                        arrive(&mut sim, &format!("later-{number}"));
                    }
                    sim.run_for(ms(4_000));
                    let name =
                        format!("{limit} ms, silent at {at} for {silence} ms, every {gap} ms");
                    for attempt in first.iter().filter(|it| !is_whole(&sim, it)) {
                        all.push(format!("{name}: {attempt} {:?}", sim.outcomes.get(attempt)));
                    }
                }
            }
        }
    }
    assert!(all.is_empty(), "{} failures: {all:#?}", all.len());
}
