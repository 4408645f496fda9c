//! Recorded runs replay to the same state, and random runs violate no invariant.

use std::io::Cursor;
use std::time::Duration;

use ferry_core::replay::{LogLine, ReplayError, replay, write_line};
use ferry_core::{Event, Tuning};
use ferry_fakes::{Deployment, DeploymentName, Request, World};
use ferry_model::Moment;
use ferry_proof::matrix::N_ENTRIES;
use ferry_proof::step::Occurrence;
use ferry_proof::{Fault, Recorder, TimeLimits, check, fault::FaultContext};
use proptest::prelude::{Just, Strategy, any, prop, prop_assert, prop_oneof, proptest};
use strum::IntoEnumIterator;

const SEED: u64 = 11;

/// Returns the log of one entry under load.
fn record_log() -> Vec<LogLine> {
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
    let events = events.lock().expect("the lock is not poisoned");
    lines.extend(
        events
            .iter()
            .map(|(_, at, event)| LogLine::Event { at: *at, event: Box::new(event.clone()) }),
    );
    lines.push(LogLine::End { digest: world.node(0).digest() });
    lines
}

fn to_bytes(lines: &[LogLine]) -> Vec<u8> {
    let mut out = Vec::new();
    lines.iter().for_each(|it| write_line(&mut out, it).expect("writing to a vector succeeds"));
    out
}

fn is_arrival(line: &LogLine) -> bool {
    matches!(line, LogLine::Event { event, .. } if matches!(**event, Event::Arrive(_)))
}

#[test]
fn a_log_replays_to_the_recorded_state() {
    let mut lines = record_log();
    let replayed = replay(Cursor::new(to_bytes(&lines))).expect("the log is valid");
    assert!(lines.len() as u64 == replayed.events + 2, "{replayed:?}");
    assert!(replayed.matches_recorded(), "{replayed:?}");

    let arrival = lines.iter().position(is_arrival).expect("requests arrived");
    lines.remove(arrival);
    let replayed = replay(Cursor::new(to_bytes(&lines))).expect("the log is still valid");
    assert!(!replayed.matches_recorded(), "a missing event must change the state");
}

#[test]
fn errors_name_the_invalid_log_line() {
    let lines = record_log();
    let headless = replay(Cursor::new(to_bytes(&lines[1..])));
    assert!(matches!(headless, Err(ReplayError::Misplaced { line: 1, .. })), "{headless:?}");
    let twice = replay(Cursor::new(to_bytes(&[lines[0].clone(), lines[0].clone()])));
    assert!(matches!(twice, Err(ReplayError::Misplaced { line: 2, .. })), "{twice:?}");
    let malformed = replay(Cursor::new(b"{}\n".to_vec()));
    assert!(matches!(malformed, Err(ReplayError::Parse { line: 1, .. })), "{malformed:?}");
    assert!(matches!(replay(Cursor::new(Vec::new())), Err(ReplayError::Empty)));
}

/// One action on a world.
#[derive(Debug, Clone)]
enum Action {
    Ask { entry: usize, pipeline: usize, key: u8, stream: bool },
    HangUp(usize),
    Inject { fault: usize, node: usize, endpoint: usize },
    Heal,
    Wait(u16),
}

fn action() -> impl Strategy<Value = Action> {
    let ask = (0..N_ENTRIES, 0..4_usize, any::<u8>(), any::<bool>());
    prop_oneof![
        4 => ask.prop_map(|(entry, pipeline, key, stream)| Action::Ask {
            entry,
            pipeline,
            key: key % 24,
            stream,
        }),
        1 => (0..8_usize).prop_map(Action::HangUp),
        2 => (0..Fault::iter().count(), 0..N_ENTRIES, 0..40_usize)
            .prop_map(|(fault, node, endpoint)| Action::Inject { fault, node, endpoint }),
        1 => Just(Action::Heal),
        3 => (1..900_u16).prop_map(Action::Wait),
    ]
}

/// Runs the actions on a world, and returns it once it has settled.
fn run(actions: &[Action], seed: u64) -> World {
    let deployment = Deployment::new(DeploymentName::Kancil);
    let tuning = Tuning::default();
    let mut world = ferry_proof::matrix::world_with_controls(&deployment, &tuning, seed);
    let context =
        FaultContext { deployment: &deployment, tuning: &tuning, n_entries: N_ENTRIES, seed };
    world.run_for(Duration::from_secs(4));
    let mut active: Vec<(Fault, Occurrence)> = Vec::new();
    let mut tickets = Vec::new();
    for action in actions {
        match action {
            Action::Ask { entry, pipeline, key, stream } => {
                let name = &deployment.config.pipelines[*pipeline].name;
                let key_name = format!("{name}-{key}");
                let mut request =
                    Request::new("stores", name, format!("asset {key}")).with_key(key_name);
                request.stream = *stream;
                tickets.push(world.submit(*entry, request));
            }
            Action::HangUp(idx) => {
                if let Some(ticket) = tickets.get(*idx) {
                    world.hang_up(*ticket);
                }
            }
            Action::Inject { fault, node, endpoint } => {
                let fault = Fault::iter().nth(*fault).expect("a valid fault index");
                let n_endpoints = world.endpoints.len();
                let endpoint = world.endpoints.keys().nth(endpoint % n_endpoints).cloned();
                let at = Occurrence { node: *node, endpoint };
                fault.inject(&mut world, &context, &at);
                active.push((fault, at));
            }
            Action::Heal => heal(&mut world, &context, &mut active),
            Action::Wait(millis) => world.run_for(Moment::from_millis(u64::from(*millis))),
        }
    }
    heal(&mut world, &context, &mut active);
    world.run_for(Duration::from_secs(40));
    world
}

fn heal(world: &mut World, context: &FaultContext<'_>, active: &mut Vec<(Fault, Occurrence)>) {
    for (fault, at) in active.drain(..) {
        fault.heal(world, context, &at);
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
    fn random_actions_violate_no_invariant(
        actions in prop::collection::vec(action(), 1..60),
        seed in 0..1_000_u64,
    ) {
        let world = run(&actions, seed);
        let violations = check(&world, &TimeLimits::default());
        prop_assert!(violations.is_empty(), "{violations:?}");
    }
}
