//! Streams that go on under a configuration with other time limits than the one that began them.

use std::sync::Arc;

use ferry_serve::{RequestHead, ResumedStream};

use super::each_route;
use crate::simulation::{ENGINE, Ending, Simulation, config, head, ms};

const PROBE: &str = "probe";

#[test]
fn shorter_time_limit_does_not_let_a_longer_stream_go_on_at_another_build() {
    struct Case {
        name: &'static str,
        /// Milliseconds since all engines of the pool have been replaced.
        age: u64,
        /// Milliseconds from the newer configuration to the request.
        after: u64,
        goes_on: bool,
    }
    // Streams may last 4 s under the former configuration, and 1 s under the newer one.
    let cases = [
        Case { name: "it may have begun before", age: 2_000, after: 500, goes_on: false },
        // An instance that is cut off may begin such streams after the engines have left.
        Case { name: "it would have ended", age: 3_800, after: 500, goes_on: false },
        Case { name: "a cut instance knows by now", age: 13_800, after: 500, goes_on: true },
        Case { name: "no such stream is left", age: 2_000, after: 20_000, goes_on: true },
    ];
    for case in cases {
        for n_instances in [1, 3] {
            let mut sim = Simulation::new(n_instances);
            for id in sim.ids(ENGINE) {
                sim.set_build(&id, "v2");
                sim.register(&id);
            }
            sim.run_for(ms(case.age));
            let mut newer = config(2);
            each_route(&mut newer, |it| it.time_limit = ms(1_000));
            sim.spread(&Arc::new(newer));
            sim.run_for(ms(case.after));
            let resumed = Some(ResumedStream { first_attempt: None });
            sim.arrive(0, PROBE, RequestHead { resumed, ..head("stream", PROBE) });
            sim.run_for(ms(2_000));
            let ending = &sim.outcome(PROBE).ending;
            let name = format!("{} at {n_instances}", case.name);
            assert_eq!(*ending == Ending::Stream, case.goes_on, "{name}: {ending:?}");
        }
    }
}
