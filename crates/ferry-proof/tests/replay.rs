//! Recorded runs replay to the same state, and random runs keep the promises.

use std::io::Cursor;
use std::time::Duration;

use ferry_core::replay::{LogLine, ReplayError, replay, write_line};
use ferry_core::{Event, Tuning};
use ferry_fakes::{Deployment, DeploymentName, Request, World};
use ferry_model::Moment;
use ferry_proof::matrix::N_ENTRIES;
use ferry_proof::step::Hit;
use ferry_proof::{Bounds, Fault, Recorder, check, fault::Site};
use proptest::prelude::{Just, Strategy, any, prop, prop_assert, prop_oneof, proptest};
use strum::IntoEnumIterator;

const SEED: u64 = 11;

/// Records one entry of a busy world as a log.
fn recorded() -> Vec<LogLine> {
    let deployment = Deployment::new(DeploymentName::Ikenna);
    let tuning = Tuning::default();
    let mut world = World::new(SEED);
    let (recorder, events) = Recorder::new();
    world.interceptor = Some(Box::new(recorder));
    let base = World::with_deployment(&deployment, 1, &tuning, SEED).expect("a valid deployment");
    world.endpoints = base.endpoints;
    world.store = base.store;
    let identity = deployment.entry(0, SEED);
    world.add_node(identity.clone(), tuning.clone(), SEED);
    world.run_for(Duration::from_secs(2));
    for idx in 0..40 {
        let pipeline = ["draft", "file", "portal", "calendar"][idx % 4];
        world.submit(0, Request::new("bars", pipeline, format!("case {idx}")).with_stream());
        world.run_for(Duration::from_millis(30));
    }
    world.run_for(Duration::from_secs(10));
    let mut lines = vec![LogLine::Start { identity, tuning: Box::new(tuning), seed: SEED }];
    let events = events.lock().expect("the recorder is done");
    lines.extend(
        events
            .iter()
            .map(|(_, at, event)| LogLine::Event { at: *at, event: Box::new(event.clone()) }),
    );
    lines.push(LogLine::End { digest: world.node(0).digest() });
    lines
}

fn text(lines: &[LogLine]) -> Vec<u8> {
    let mut out = Vec::new();
    lines.iter().for_each(|it| write_line(&mut out, it).expect("a vector takes all"));
    out
}

fn is_arrival(line: &LogLine) -> bool {
    matches!(line, LogLine::Event { event, .. } if matches!(**event, Event::Arrive(_)))
}

#[test]
fn a_log_replays_to_the_recorded_state() {
    let mut lines = recorded();
    let replayed = replay(Cursor::new(text(&lines))).expect("the log is whole");
    assert!(lines.len() as u64 == replayed.events + 2, "{replayed:?}");
    assert!(replayed.matches_recorded(), "{replayed:?}");

    let arrival = lines.iter().position(is_arrival).expect("requests arrived");
    lines.remove(arrival);
    let replayed = replay(Cursor::new(text(&lines))).expect("the log still reads");
    assert!(!replayed.matches_recorded(), "a missing event must show");
}

#[test]
fn broken_logs_are_named_with_their_line() {
    let lines = recorded();
    let early = replay(Cursor::new(text(&lines[1..])));
    assert!(matches!(early, Err(ReplayError::Misplaced { line: 1, .. })), "{early:?}");
    let twice = replay(Cursor::new(text(&[lines[0].clone(), lines[0].clone()])));
    assert!(matches!(twice, Err(ReplayError::Misplaced { line: 2, .. })), "{twice:?}");
    let noise = replay(Cursor::new(b"{}\n".to_vec()));
    assert!(matches!(noise, Err(ReplayError::Parse { line: 1, .. })), "{noise:?}");
    assert!(matches!(replay(Cursor::new(Vec::new())), Err(ReplayError::Empty)));
}

/// One thing that happens to a world.
#[derive(Debug, Clone)]
enum Act {
    Ask { entry: usize, pipeline: usize, key: u8, stream: bool },
    HangUp(usize),
    Strike { fault: usize, node: usize, endpoint: usize },
    Heal,
    Wait(u16),
}

fn act() -> impl Strategy<Value = Act> {
    let ask = (0..N_ENTRIES, 0..4_usize, any::<u8>(), any::<bool>());
    prop_oneof![
        4 => ask.prop_map(|(entry, pipeline, key, stream)| Act::Ask {
            entry,
            pipeline,
            key: key % 24,
            stream,
        }),
        1 => (0..8_usize).prop_map(Act::HangUp),
        2 => (0..Fault::iter().count(), 0..N_ENTRIES, 0..40_usize)
            .prop_map(|(fault, node, endpoint)| Act::Strike { fault, node, endpoint }),
        1 => Just(Act::Heal),
        3 => (1..900_u16).prop_map(Act::Wait),
    ]
}

/// Plays the acts over a world and returns it at rest.
fn play(acts: &[Act], seed: u64) -> World {
    let deployment = Deployment::new(DeploymentName::Kancil);
    let tuning = Tuning::default();
    let mut world = ferry_proof::matrix::world_with_controls(&deployment, &tuning, seed);
    let site = Site { deployment: &deployment, tuning: &tuning, n_entries: N_ENTRIES, seed };
    world.run_for(Duration::from_secs(4));
    let mut struck: Vec<(Fault, Hit)> = Vec::new();
    let mut tickets = Vec::new();
    for act in acts {
        match act {
            Act::Ask { entry, pipeline, key, stream } => {
                let name = &deployment.config.pipelines[*pipeline].name;
                let key_name = format!("{name}-{key}");
                let mut request =
                    Request::new("stores", name, format!("asset {key}")).with_key(key_name);
                request.stream = *stream;
                tickets.push(world.submit(*entry, request));
            }
            Act::HangUp(idx) => {
                if let Some(ticket) = tickets.get(*idx) {
                    world.hang_up(*ticket);
                }
            }
            Act::Strike { fault, node, endpoint } => {
                let fault = Fault::iter().nth(*fault).expect("a fault of the set");
                let n_endpoints = world.endpoints.len();
                let endpoint = world.endpoints.keys().nth(endpoint % n_endpoints).cloned();
                let hit = Hit { node: *node, endpoint };
                fault.strike(&mut world, &site, &hit);
                struck.push((fault, hit));
            }
            Act::Heal => heal(&mut world, &site, &mut struck),
            Act::Wait(millis) => world.run_for(Moment::from_millis(u64::from(*millis))),
        }
    }
    heal(&mut world, &site, &mut struck);
    world.run_for(Duration::from_secs(40));
    world
}

fn heal(world: &mut World, site: &Site<'_>, struck: &mut Vec<(Fault, Hit)>) {
    for (fault, hit) in struck.drain(..) {
        fault.heal(world, site, &hit);
    }
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        ..Default::default()
    })]

    #[test]
    fn random_orders_of_events_keep_the_promises(
        acts in prop::collection::vec(act(), 1..60),
        seed in 0..1_000_u64,
    ) {
        let world = play(&acts, seed);
        let found = check(&world, &Bounds::default());
        prop_assert!(found.is_empty(), "{found:?}");
    }
}
