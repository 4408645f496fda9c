//! Items that wait for an endpoint while a newer configuration expects longer calls.

use std::sync::Arc;

use super::each_batch_pool;
use crate::simulation::{Ending, Simulation, config, head, ms};

const N_REQUESTS: usize = 40;

#[test]
fn queued_items_are_not_dropped_for_longer_calls_that_a_newer_configuration_expects() {
    struct Case {
        name: &'static str,
        /// Milliseconds that a call is expected to take, by version.
        call_times: &'static [u64],
    }
    let cases = [
        Case { name: "no change", call_times: &[] },
        Case { name: "twice the time", call_times: &[300] },
        Case { name: "many times the time", call_times: &[5_000] },
        Case { name: "two versions", call_times: &[5_000, 4_000] },
        Case { name: "a shorter time between", call_times: &[3_000, 100, 5_000] },
    ];
    for case in cases {
        for after in (0..700).step_by(100) {
            let mut sim = Simulation::new(3);
            let attempts: Vec<String> = (0..N_REQUESTS).map(|it| format!("queued-{it}")).collect();
            for (number, attempt) in attempts.iter().enumerate() {
                sim.arrive(number % 3, attempt, head("once", attempt));
                sim.run_for(ms(1));
            }
            sim.run_for(ms(after));
            for (number, time) in case.call_times.iter().enumerate() {
                let mut newer = config(2 + number as u64);
                each_batch_pool(&mut newer, |it| it.call_time = ms(*time));
                sim.spread(&Arc::new(newer));
                sim.run_for(ms(20));
            }
            sim.run_for(ms(6_000));
            let is_whole = |it: &&String| sim.outcome(it).ending == Ending::Stream;
            let n_whole = attempts.iter().filter(is_whole).count();
            assert_eq!(n_whole, N_REQUESTS, "{} after {after} ms", case.name);
        }
    }
}
