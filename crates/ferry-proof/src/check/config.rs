//! Checks that configurations propagate in time and are never reverted.

use ferry_fakes::{AppliedRevision, Trace, World, WrittenConfig};

use super::{Invariant, TimeLimits, Violation};

pub(super) fn check(world: &World, limits: &TimeLimits, violations: &mut Vec<Violation>) {
    for pair in world.trace.written.windows(2) {
        if pair[1].revision <= pair[0].revision {
            let (old, new) = (pair[0].revision, pair[1].revision);
            let detail = format!("revision {new} was written over {old}");
            violations.push(Violation::new(Invariant::ConfigPropagation, detail));
        }
    }
    for node in 0..world.n_nodes() {
        check_monotonic(&world.trace, node, violations);
        for written in &world.trace.written {
            check_propagation(world, node, written, limits, violations);
        }
    }
}

fn check_monotonic(trace: &Trace, node: usize, violations: &mut Vec<Violation>) {
    let revisions: Vec<&AppliedRevision> =
        trace.applied.iter().filter(|it| it.node == node).collect();
    for pair in revisions.windows(2) {
        if pair[0].generation == pair[1].generation && pair[1].revision < pair[0].revision {
            let (old, new) = (pair[0].revision, pair[1].revision);
            let detail = format!("node {node} went from revision {old} to {new}");
            violations.push(Violation::new(Invariant::ConfigPropagation, detail));
        }
    }
}

/// A node must have applied a written revision by the time limit, unless it was replaced, had
/// left, was dead or was paused in the meantime, or the run ended before the limit.
fn check_propagation(
    world: &World,
    node: usize,
    written: &WrittenConfig,
    limits: &TimeLimits,
    violations: &mut Vec<Violation>,
) {
    let trace = &world.trace;
    let due = written.at + limits.propagation;
    let start = trace.starts.iter().rev().find(|(at, idx, _)| *idx == node && *at <= due);
    let Some((started, _, generation)) = start else { return };
    // A node that started later gets the whole time.
    let due = due.max(*started + limits.propagation);
    let was_replaced = world.generation(node) != *generation;
    let has_left = trace.exits.iter().any(|(at, idx)| *idx == node && started <= at && *at <= due);
    let is_exempt = was_replaced
        || has_left
        || !world.is_alive(node)
        || trace.was_paused(node, written.at, due)
        || world.now < due;
    if is_exempt {
        return;
    }
    let reached = trace.applied.iter().any(|it| {
        it.node == node
            && it.generation == *generation
            && it.at <= due
            && written.revision <= it.revision
    });
    if !reached {
        let (revision, limit) = (written.revision, limits.propagation);
        let detail = format!("node {node} had not applied revision {revision} after {limit:?}");
        violations.push(Violation::new(Invariant::ConfigPropagation, detail));
    }
}
