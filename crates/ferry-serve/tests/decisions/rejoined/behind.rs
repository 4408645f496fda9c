//! Streams that are taken up at an instance that was out of step while endpoints of a new build joined.

use super::{N_STREAMS, Rollout, builds, continuation, set_engines, stream};
use crate::simulation::{Ending, Simulation, StoreState, ms};

/// Why the instance knows nothing of the new build.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behind {
    /// It reaches no peer, and its watch of the store is silent.
    Isolated,
    /// The same, and the store does not answer it.
    IsolatedWithoutStore,
    /// It stands still until the streams are taken up.
    Frozen,
    /// The same, and it reaches neither peers nor the store when it goes on.
    FrozenThenIsolated,
}

/// What becomes of the instances that have begun the streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Others {
    Live,
    Killed,
}

/// An instance that knows of one build would take streams for its own that others have begun at a new one.
#[test]
fn stream_of_a_new_build_goes_on_at_no_other_at_an_instance_that_is_behind() {
    let behind = [
        Behind::Isolated,
        Behind::IsolatedWithoutStore,
        Behind::Frozen,
        Behind::FrozenThenIsolated,
    ];
    let mut mixed = Vec::new();
    for behind in behind {
        for others in [Others::Live, Others::Killed] {
            for (known, delay) in [(3_000, 100), (20_000, 100), (20_000, 2_000), (20_000, 6_000)] {
                let mut sim = Simulation::new(3);
                let mut rollout = Rollout::new();
                set_engines(&mut sim, &mut rollout, "v1");
                sim.run_for(ms(known));
                let cut_off = |sim: &mut Simulation, has_store: bool| {
                    sim.isolated = vec![2];
                    if !has_store {
                        sim.set_store(2, Some(StoreState::Silent));
                    }
                };
                match behind {
                    Behind::Isolated => cut_off(&mut sim, true),
                    Behind::IsolatedWithoutStore => cut_off(&mut sim, false),
                    Behind::Frozen | Behind::FrozenThenIsolated => sim.freeze(2),
                }
                rollout.add(&mut sim, "v2", 9, &[0, 1]);
                sim.run_for(ms(delay));
                sim.crashes.n_events = 60;
                let begun: Vec<String> = (0..N_STREAMS).map(|it| format!("first-{it}")).collect();
                for (number, first) in begun.iter().enumerate() {
                    sim.arrive(number % 2, first, stream(first));
                }
                sim.run_for(ms(500));
                let name = format!("{behind:?}, others {others:?}, {known} ms, {delay} ms");
                let is_played = begun.iter().any(|it| builds(&sim, &[it]) == ["v2"]);
                assert!(is_played, "{name}: v2 begins no stream");
                if others == Others::Killed {
                    sim.kill(0);
                    sim.kill(1);
                }
                match behind {
                    Behind::Isolated | Behind::IsolatedWithoutStore => (),
                    Behind::Frozen => sim.thaw(2),
                    Behind::FrozenThenIsolated => {
                        cut_off(&mut sim, false);
                        sim.thaw(2);
                    }
                }
                for first in &begun {
                    let second = format!("again-{first}");
                    sim.arrive(2, &second, continuation(&second, first));
                }
                sim.run_for(ms(8_000));
                let mut n_served = 0;
                for first in &begun {
                    let second = format!("again-{first}");
                    n_served += usize::from(sim.outcome(&second).ending == Ending::Stream);
                    let builds = builds(&sim, &[first, &second]);
                    if 1 < builds.len() {
                        mixed.push(format!("{name}: {first} has events of {builds:?}"));
                    }
                }
                println!("{name}: {n_served} of {N_STREAMS} went on");
            }
        }
    }
    assert_eq!(mixed, Vec::<String>::new());
}
