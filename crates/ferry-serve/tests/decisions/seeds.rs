//! Random loads and faults; the promises hold whatever comes together.

use ferry_serve::{Event, ItemFailure, Status};
use proptest::prelude::*;

use crate::world::{Ending, FIRST, Mood, SECOND, World, head, ms};

#[derive(Debug, Clone)]
enum Step {
    Arrive { instance: usize, route: usize },
    Mood { pool: usize, number: usize, mood: usize },
    Kill(usize),
    Start(usize),
    Cut(usize),
    Heal,
    Strain(usize),
    Wait(u64),
    Leave(usize),
}

const ROUTES: [&str; 4] = ["get", "post", "stream", "once"];
const POOLS: [&str; 4] = ["plain", "engine", FIRST, SECOND];
const MOODS: [Mood; 9] = [
    Mood::Sound,
    Mood::Mute,
    Mood::Broken,
    Mood::Full,
    Mood::Failing,
    Mood::Slow(6),
    Mood::Barren(ItemFailure::OutOfMemory),
    Mood::Barren(ItemFailure::Error),
    Mood::Barren(ItemFailure::Gone),
];

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..3_usize, 0..4_usize).prop_map(|(instance, route)| Step::Arrive { instance, route }),
        2 => (0..4_usize, 0..3_usize, 0..MOODS.len())
            .prop_map(|(pool, number, mood)| Step::Mood { pool, number, mood }),
        1 => (0..3_usize).prop_map(Step::Kill),
        1 => (0..3_usize).prop_map(Step::Start),
        1 => (0..3_usize).prop_map(Step::Cut),
        1 => Just(Step::Heal),
        1 => (0..3_usize).prop_map(Step::Strain),
        6 => (1..400_u64).prop_map(Step::Wait),
        1 => (0..3_usize).prop_map(Step::Leave),
    ]
}

fn play(steps: &[Step]) -> (World, Vec<(String, usize)>) {
    let mut world = World::new(3);
    let mut asked = Vec::new();
    for (number, step) in steps.iter().enumerate() {
        match *step {
            Step::Arrive { instance, route } => {
                if world.instances[instance].is_some() {
                    let attempt = format!("{}-{number}", ROUTES[route]);
                    world.arrive(instance, &attempt, head(ROUTES[route], &attempt));
                    asked.push((attempt, instance));
                }
            }
            Step::Mood { pool, number, mood } => {
                let id = format!("{}-{number}", POOLS[pool]);
                if world.endpoints.contains_key(&id) {
                    world.set_mood(&id, MOODS[mood]);
                }
            }
            Step::Kill(instance) => {
                world.kill(instance);
                asked.retain(|(attempt, at)| {
                    *at != instance || world.outcomes.contains_key(attempt)
                });
            }
            Step::Start(instance) if world.instances[instance].is_none() => world.start(instance),
            Step::Start(_) => (),
            Step::Cut(instance) => world.cut = vec![instance],
            Step::Heal => world.cut = Vec::new(),
            Step::Strain(instance) => {
                let is_overloaded = ms(0) < world.lag[instance];
                world.lag[instance] = if is_overloaded { ms(0) } else { ms(120) };
            }
            Step::Wait(time) => world.run_for(ms(time)),
            Step::Leave(instance) => world.give(instance, Event::Shutdown),
        }
    }
    world.run_for(ms(6_000));
    (world, asked)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn promises_hold_whatever_fails(steps in prop::collection::vec(step(), 5..60)) {
        let (world, asked) = play(&steps);
        prop_assert_eq!(&world.wrongs, &Vec::<String>::new());
        for (attempt, runs) in world.runs.iter() {
            let most = if attempt.starts_with("get") || attempt.starts_with("stream") { 2 } else { 1 };
            prop_assert!(runs.len() <= most, "{} ran at {:?}", attempt, runs);
        }
        for (attempt, _) in &asked {
            let outcome = world.outcomes.get(attempt);
            prop_assert!(outcome.is_some(), "{} has no answer", attempt);
            let outcome = outcome.expect("checked above");
            // A strained instance's timers are late by its lag.
            prop_assert!(outcome.took <= ms(4_200), "{}: {:?}", attempt, outcome);
            let is_error = matches!(&outcome.ending, Ending::Refused(it)
                if matches!(it.status, Status::NoRoute | Status::UnknownKey | Status::Malformed));
            prop_assert!(!is_error, "{}: {:?}", attempt, outcome);
        }
    }
}
