//! Requests that omit stages: what each stage reads then.

use std::time::Duration;

use ferry_model::{GatewayConfig, RouteStage};
use ferry_serve::{RequestHead, Status, Tuning};
use proptest::prelude::*;

use crate::simulation::{Ending, FIRST, NamedInputs, SECOND, Simulation, config, head, ms};

/// The stages that each stage names as those before it.
type Shape = Vec<Vec<usize>>;

fn config_with(shape: &[Vec<usize>]) -> GatewayConfig {
    let mut config = config(1);
    let stage = |(number, after): (usize, &Vec<usize>)| RouteStage {
        pool: [FIRST, SECOND][number % 2].to_owned(),
        after: after.clone(),
        result_bytes: 1_000,
    };
    for route in config.routes.iter_mut().filter(|it| !it.stages.is_empty()) {
        route.stages = shape.iter().enumerate().map(stage).collect();
        route.time_limit = ms(8_000);
        route.objective = ms(6_000);
    }
    config
}

/// Whether a stage reads another: a path leads there on which all stages between are omitted.
fn reads(shape: &[Vec<usize>], items: &[u16], reader: usize, before: usize) -> bool {
    let n_stages = shape.len();
    let mut reached = vec![false; n_stages];
    shape[reader].iter().for_each(|it| reached[*it] = true);
    for _ in 0..n_stages {
        for idx in (0..n_stages).filter(|it| items[*it] == 0) {
            if reached[idx] {
                shape[idx].iter().for_each(|it| reached[*it] = true);
            }
        }
    }
    reached[before] && 0 < items[before] && 0 < items[reader]
}

/// Returns the items that a stage, or the endpoint of the request, has to be given.
fn expected(shape: &[Vec<usize>], items: &[u16], reader: Option<usize>) -> Vec<(u8, u16)> {
    let n_stages = shape.len();
    let is_read = |before: &usize| match reader {
        Some(reader) => reads(shape, items, reader, *before),
        None => !(0..n_stages).any(|it| reads(shape, items, it, *before)),
    };
    let read = (0..n_stages).filter(is_read);
    read.flat_map(|it| (0..items[it]).map(move |item| (it as u8, item))).collect()
}

/// Sends a request and checks the inputs of each call for it; returns what is wrong.
fn play(sim: &mut Simulation, shape: &[Vec<usize>], items: &[u16], attempt: &str) -> Vec<String> {
    let head = RequestHead {
        items: items.to_vec(),
        time_left: Some(ms(8_000)),
        ..head("stream", attempt)
    };
    sim.arrive(0, attempt, head);
    sim.run_for(ms(4_000));
    let mut wrong = Vec::new();
    let case = format!("{shape:?} {items:?}");
    let outcome = sim.outcomes.get(attempt).map(|it| it.ending.clone());
    if outcome != Some(Ending::Stream) {
        wrong.push(format!("{case}: {outcome:?}"));
    }
    let named: Vec<_> = sim.inputs.iter().filter(|it| it.attempt == attempt).collect();
    for NamedInputs { stage, makers, .. } in &named {
        let expected = expected(shape, items, stage.map(usize::from));
        if *makers != expected {
            wrong.push(format!("{case}: stage {stage:?} was given {makers:?}, not {expected:?}"));
        }
    }
    for stage in (0..shape.len()).filter(|it| 0 < items[*it]) {
        let n_runs = named.iter().filter(|it| it.stage == Some(stage as u8)).count();
        if n_runs != usize::from(items[stage]) {
            wrong.push(format!("{case}: stage {stage} ran {n_runs} items"));
        }
    }
    if !sim.reads_of_freed.is_empty() {
        wrong.push(format!("{case}: reads of freed results by {:?}", sim.reads_of_freed));
    }
    wrong.append(&mut sim.violations);
    wrong
}

/// Returns every way to omit stages; a stage that is not omitted has two items.
fn omissions(n_stages: usize) -> impl Iterator<Item = Vec<u16>> {
    let items = move |set: u32| (0..n_stages).map(|it| 2 * (set >> it & 1) as u16).collect();
    (0..1_u32 << n_stages).map(items)
}

fn simulation(shape: &[Vec<usize>]) -> Simulation {
    Simulation::with_config(2, config_with(shape), Tuning::default())
}

#[test]
fn each_call_names_the_results_of_the_nearest_stages_with_items() {
    let shapes: [(&str, Shape); 9] = [
        ("one", vec![vec![]]),
        ("chain", vec![vec![], vec![0], vec![1]]),
        ("fork", vec![vec![], vec![0], vec![0]]),
        ("diamond", vec![vec![], vec![0], vec![0], vec![1, 2]]),
        ("two roots", vec![vec![], vec![], vec![0, 1]]),
        ("two roots apart", vec![vec![], vec![], vec![0], vec![1]]),
        ("three deep", vec![vec![], vec![0], vec![1], vec![2], vec![3]]),
        ("a stage beside its own predecessor", vec![vec![], vec![0], vec![0, 1], vec![2, 1]]),
        ("out of order", vec![vec![2], vec![0], vec![]]),
    ];
    let mut wrong = Vec::new();
    for (name, shape) in shapes {
        let mut sim = simulation(&shape);
        for (number, items) in omissions(shape.len()).enumerate() {
            wrong.extend(play(&mut sim, &shape, &items, &format!("{name}-{number}")));
        }
    }
    assert_eq!(wrong, Vec::<String>::new());
}

/// Returns stages, each of which may name any before it.
fn shapes() -> impl Strategy<Value = Shape> {
    prop::collection::vec(any::<u8>(), 1..6).prop_map(|sets| {
        let after = |(idx, set): (usize, &u8)| (0..idx).filter(|it| set >> it & 1 == 1).collect();
        sets.iter().enumerate().map(after).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    #[test]
    fn drawn_stages_get_their_inputs_whichever_are_omitted(
        shape in shapes(),
        items in prop::collection::vec(0..4_u16, 5),
    ) {
        let mut sim = simulation(&shape);
        let wrong = play(&mut sim, &shape, &items[..shape.len()], "drawn");
        prop_assert_eq!(wrong, Vec::<String>::new());
    }
}

#[test]
fn request_with_another_number_of_counts_than_stages_is_malformed() {
    let shape = vec![vec![], vec![0], vec![1]];
    for items in [vec![2], vec![2, 2], vec![2, 2, 2, 2], vec![0, 0, 0, 0]] {
        let mut sim = simulation(&shape);
        sim.arrive(0, "odd", RequestHead { items: items.clone(), ..head("stream", "odd") });
        let outcome = sim.outcome("odd");
        assert_eq!(outcome.took, Duration::ZERO, "{items:?}");
        let Ending::Refused(refusal) = &outcome.ending else { panic!("{items:?}: {outcome:?}") };
        assert_eq!((refusal.status, refusal.retry_after), (Status::Malformed, None), "{items:?}");
        sim.run_for(ms(2_000));
        assert_eq!(sim.inputs, Vec::new(), "{items:?}: something ran");
    }
}
