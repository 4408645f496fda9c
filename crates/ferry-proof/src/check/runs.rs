//! What the endpoints ran, against what callers were told.

use ferry_core::config::CONFIG_NAME;
use ferry_fakes::{Run, World};
use ferry_model::{Config, ObjectKey, ObjectKind, Outcome, SortedMap};

use super::{Bounds, Promise, Violation};

pub(super) fn check(world: &World, bounds: &Bounds, found: &mut Vec<Violation>) {
    not_run(world, found);
    at_most_once(world, found);
    for run in &world.runs {
        leaving(run, bounds, found);
    }
}

fn not_run(world: &World, found: &mut Vec<Violation>) {
    let mut ran: Vec<u128> = world.runs.iter().map(|it| it.request).collect();
    ran.sort_unstable();
    ran.dedup();
    for asked in world.requests.values() {
        for (_, answer) in &asked.answers {
            if answer.outcome == Outcome::NotRun && ran.binary_search(&answer.request).is_ok() {
                let ticket = asked.ticket;
                let what = format!("ticket {ticket} was refused as not run, but a stage of it ran");
                found.push(Violation::new(Promise::NotRun, what));
            }
        }
    }
}

fn at_most_once(world: &World, found: &mut Vec<Violation>) {
    let key = ObjectKey::new(ObjectKind::Config, CONFIG_NAME);
    let config = world.store.get(&key).and_then(|it| serde_json::from_str(&it.value).ok());
    let Some(config): Option<Config> = config else { return };
    let mut once: Vec<&str> = config
        .pipelines
        .iter()
        .flat_map(|it| &it.stages)
        .filter(|it| !it.repeatable)
        .map(|it| it.name.as_str())
        .collect();
    once.sort_unstable();
    let mut counts: SortedMap<(&str, &str), u32> = SortedMap::new();
    for run in &world.runs {
        if once.binary_search(&run.stage.as_str()).is_ok() {
            *counts.get_or_insert_with((&run.key, &run.stage), || 0) += 1;
        }
    }
    for ((key, stage), n_runs) in counts.iter().filter(|(_, it)| 1 < **it) {
        let what = format!("stage {stage} ran {n_runs} times under key {key}");
        found.push(Violation::new(Promise::AtMostOnce, what));
    }
}

fn leaving(run: &Run, bounds: &Bounds, found: &mut Vec<Violation>) {
    let Some(since) = run.leaving else { return };
    if bounds.leaving < since {
        let (endpoint, stage) = (&run.endpoint, &run.stage);
        let what =
            format!("{endpoint} took new work for {stage} {since:?} after it began to leave");
        found.push(Violation::new(Promise::Leaving, what));
    }
}
