//! Rates that are far below any that is of use.

use crate::rate_limits::load::Load;
use crate::simulation::{Ending, Simulation, ms};

#[test]
fn rate_of_next_to_nothing_ends_no_process() {
    let pools: [&[&str]; 5] =
        [&["plain"], &["engine"], &["first"], &["second"], &["first", "second"]];
    for rate in [1e-20, f64::MIN_POSITIVE, 1e-9, 1e300] {
        for pools in pools {
            for n_instances in [1, 3] {
                let mut sim = Simulation::new(n_instances);
                let mut load = Load::new(&["get", "stream", "once"], 30);
                load.send(&mut sim, ms(500));
                pools.iter().for_each(|it| sim.limit_pool(it, rate));
                load.send(&mut sim, ms(4_000));
                let ids: Vec<String> = pools.iter().flat_map(|it| sim.ids(it)).collect();
                for id in ids {
                    sim.set_rate_limit(&id, None);
                }
                sim.run_for(ms(5_000));
                assert_eq!(sim.violations, Vec::<String>::new(), "{rate} {pools:?}");
                let aborted = |it: &&crate::simulation::Outcome| it.ending == Ending::Aborted;
                let n_aborted = sim.outcomes.values().filter(aborted).count();
                assert_eq!(n_aborted, 0, "{rate} {pools:?}");
            }
        }
    }
}
