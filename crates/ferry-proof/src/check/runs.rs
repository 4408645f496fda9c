//! Checks the runs of endpoints against the answers to callers.

use ferry_core::config::CONFIG_NAME;
use ferry_fakes::{Run, World};
use ferry_model::{Config, ObjectKey, ObjectKind, Outcome, SortedMap};

use super::{Invariant, TimeLimits, Violation};

pub(super) fn check(world: &World, limits: &TimeLimits, violations: &mut Vec<Violation>) {
    check_not_run(world, violations);
    check_at_most_once(world, violations);
    for run in &world.runs {
        check_leaving(run, limits, violations);
    }
}

fn check_not_run(world: &World, violations: &mut Vec<Violation>) {
    let mut ran: Vec<u128> = world.runs.iter().map(|it| it.request).collect();
    ran.sort_unstable();
    ran.dedup();
    for record in world.requests.values() {
        for (_, answer) in &record.answers {
            if answer.outcome == Outcome::NotRun && ran.binary_search(&answer.request).is_ok() {
                let ticket = record.ticket;
                let detail =
                    format!("ticket {ticket} was answered as not run, but one of its stages ran");
                violations.push(Violation::new(Invariant::NotRun, detail));
            }
        }
    }
}

fn check_at_most_once(world: &World, violations: &mut Vec<Violation>) {
    let key = ObjectKey::new(ObjectKind::Config, CONFIG_NAME);
    let config = world.store.get(&key).and_then(|it| serde_json::from_str(&it.value).ok());
    let Some(config): Option<Config> = config else { return };
    let mut unrepeatable: Vec<&str> = config
        .pipelines
        .iter()
        .flat_map(|it| &it.stages)
        .filter(|it| !it.repeatable)
        .map(|it| it.name.as_str())
        .collect();
    unrepeatable.sort_unstable();
    let mut counts: SortedMap<(&str, &str), u32> = SortedMap::new();
    for run in &world.runs {
        if unrepeatable.binary_search(&run.stage.as_str()).is_ok() {
            *counts.get_or_insert_with((&run.key, &run.stage), || 0) += 1;
        }
    }
    for ((key, stage), n_runs) in counts.iter().filter(|(_, it)| 1 < **it) {
        let detail = format!("stage {stage} ran {n_runs} times under key {key}");
        violations.push(Violation::new(Invariant::AtMostOnce, detail));
    }
}

fn check_leaving(run: &Run, limits: &TimeLimits, violations: &mut Vec<Violation>) {
    let Some(since) = run.leaving else { return };
    if limits.leaving_grace < since {
        let (endpoint, stage) = (&run.endpoint, &run.stage);
        let detail =
            format!("{endpoint} took new work for {stage} {since:?} after it started leaving");
        violations.push(Violation::new(Invariant::NoNewWork, detail));
    }
}
