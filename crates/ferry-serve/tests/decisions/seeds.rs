//! The guarantees hold under random loads and faults in any combination.

use ferry_serve::{Event, ItemFailure, Mechanism, Status, Tuning};
use proptest::prelude::*;
use strum::IntoEnumIterator;

use crate::simulation::{Behaviour, Ending, FIRST, SECOND, Simulation, head, ms};

#[derive(Debug, Clone)]
enum Step {
    Arrive { instance: usize, route: usize },
    Behaviour { pool: usize, number: usize, behaviour: usize },
    Kill(usize),
    Start(usize),
    Isolate(usize),
    Reconnect,
    ToggleOverload(usize),
    Wait(u64),
    Shutdown(usize),
}

const ROUTES: [&str; 4] = ["get", "post", "stream", "once"];
const POOLS: [&str; 4] = ["plain", "engine", FIRST, SECOND];
const BEHAVIOURS: [Behaviour; 11] = [
    Behaviour::Healthy,
    Behaviour::Silent,
    Behaviour::Reset,
    Behaviour::Full,
    Behaviour::Failing,
    Behaviour::Slow(6),
    Behaviour::Reads(1),
    Behaviour::FailItems(ItemFailure::OutOfMemory),
    Behaviour::FailItems(ItemFailure::Error),
    Behaviour::FailItems(ItemFailure::Gone),
    Behaviour::RefusesAfterRun(503),
];

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..3_usize, 0..4_usize).prop_map(|(instance, route)| Step::Arrive { instance, route }),
        2 => (0..4_usize, 0..3_usize, 0..BEHAVIOURS.len())
            .prop_map(|(pool, number, behaviour)| Step::Behaviour { pool, number, behaviour }),
        1 => (0..3_usize).prop_map(Step::Kill),
        1 => (0..3_usize).prop_map(Step::Start),
        1 => (0..3_usize).prop_map(Step::Isolate),
        1 => Just(Step::Reconnect),
        1 => (0..3_usize).prop_map(Step::ToggleOverload),
        6 => (1..400_u64).prop_map(Step::Wait),
        1 => (0..3_usize).prop_map(Step::Shutdown),
    ]
}

fn play(steps: &[Step], tuning: Tuning) -> (Simulation, Vec<(String, usize)>) {
    let mut sim = Simulation::with_tuning(3, tuning);
    let mut requests = Vec::new();
    for (number, step) in steps.iter().enumerate() {
        match *step {
            Step::Arrive { instance, route } => {
                if sim.instances[instance].is_some() {
                    let attempt = format!("{}-{number}", ROUTES[route]);
                    sim.arrive(instance, &attempt, head(ROUTES[route], &attempt));
                    requests.push((attempt, instance));
                }
            }
            Step::Behaviour { pool, number, behaviour } => {
                let id = format!("{}-{number}", POOLS[pool]);
                if sim.endpoints.contains_key(&id) {
                    sim.set_behaviour(&id, BEHAVIOURS[behaviour]);
                }
            }
            Step::Kill(instance) => {
                sim.kill(instance);
                requests
                    .retain(|(attempt, at)| *at != instance || sim.outcomes.contains_key(attempt));
            }
            Step::Start(instance) if sim.instances[instance].is_none() => sim.start(instance),
            Step::Start(_) => (),
            Step::Isolate(instance) => sim.isolated = vec![instance],
            Step::Reconnect => sim.isolated = Vec::new(),
            Step::ToggleOverload(instance) => {
                let is_overloaded = ms(0) < sim.timer_lag[instance];
                sim.timer_lag[instance] = if is_overloaded { ms(0) } else { ms(120) };
            }
            Step::Wait(time) => sim.run_for(ms(time)),
            Step::Shutdown(instance) => sim.deliver(instance, Event::Shutdown),
        }
    }
    sim.run_for(ms(6_000));
    (sim, requests)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn guarantees_hold_under_random_faults(steps in prop::collection::vec(step(), 5..60)) {
        check(&steps, Tuning::default())?;
    }

    #[test]
    fn guarantees_hold_without_some_mechanisms(
        steps in prop::collection::vec(step(), 5..60),
        disabled in prop::sample::subsequence(mechanisms(), 1..=mechanisms().len()),
    ) {
        check(&steps, Tuning { disabled, ..Tuning::default() })?;
    }
}

/// Returns all mechanisms, sorted.
fn mechanisms() -> Vec<Mechanism> {
    Mechanism::iter().collect()
}

fn check(steps: &[Step], tuning: Tuning) -> Result<(), TestCaseError> {
    let (sim, requests) = play(steps, tuning);
    prop_assert_eq!(&sim.violations, &Vec::<String>::new());
    for (attempt, runs) in sim.runs.iter() {
        let most = if attempt.starts_with("get") || attempt.starts_with("stream") { 2 } else { 1 };
        prop_assert!(runs.len() <= most, "{} ran at {:?}", attempt, runs);
    }
    for (attempt, _) in &requests {
        let outcome = sim.outcomes.get(attempt);
        prop_assert!(outcome.is_some(), "{} has no answer", attempt);
        let outcome = outcome.expect("checked above");
        // Timers of an overloaded instance are late by its lag.
        prop_assert!(outcome.took <= ms(4_200), "{}: {:?}", attempt, outcome);
        let is_error = matches!(&outcome.ending, Ending::Refused(it)
            if matches!(it.status, Status::NoRoute | Status::UnknownKey | Status::Malformed));
        prop_assert!(!is_error, "{}: {:?}", attempt, outcome);
    }
    Ok(())
}
