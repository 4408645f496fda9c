//! How configurations spread.

use ferry_fakes::{AppliedRevision, Trace, World, WrittenConfig};

use super::{Bounds, Promise, Violation};

pub(super) fn check(world: &World, bounds: &Bounds, found: &mut Vec<Violation>) {
    for pair in world.trace.written.windows(2) {
        if pair[1].revision <= pair[0].revision {
            let (old, new) = (pair[0].revision, pair[1].revision);
            let what = format!("revision {new} was written over {old}");
            found.push(Violation::new(Promise::Configured, what));
        }
    }
    for node in 0..world.n_nodes() {
        never_falls(&world.trace, node, found);
        for written in &world.trace.written {
            in_force(world, node, written, bounds, found);
        }
    }
}

fn never_falls(trace: &Trace, node: usize, found: &mut Vec<Violation>) {
    let own: Vec<&AppliedRevision> = trace.applied.iter().filter(|it| it.node == node).collect();
    for pair in own.windows(2) {
        if pair[0].generation == pair[1].generation && pair[1].revision < pair[0].revision {
            let (old, new) = (pair[0].revision, pair[1].revision);
            let what = format!("node {node} went from revision {old} to {new}");
            found.push(Violation::new(Promise::Configured, what));
        }
    }
}

/// A node that lived and moved through the whole time has the revision at its end.
fn in_force(
    world: &World,
    node: usize,
    written: &WrittenConfig,
    bounds: &Bounds,
    found: &mut Vec<Violation>,
) {
    let trace = &world.trace;
    let due = written.at + bounds.in_force;
    let start = trace.starts.iter().rev().find(|(at, idx, _)| *idx == node && *at <= due);
    let Some((started, _, life)) = start else { return };
    let due = due.max(*started + bounds.in_force);
    let was_replaced = world.generation(node) != *life;
    let has_left = trace.exits.iter().any(|(at, idx)| *idx == node && started <= at && *at <= due);
    let is_excused = was_replaced
        || has_left
        || !world.is_alive(node)
        || trace.was_paused(node, written.at, due)
        || world.now < due;
    if is_excused {
        return;
    }
    let reached = trace.applied.iter().any(|it| {
        it.node == node && it.generation == *life && it.at <= due && written.revision <= it.revision
    });
    if !reached {
        let (revision, limit) = (written.revision, bounds.in_force);
        let what = format!("node {node} had not applied revision {revision} after {limit:?}");
        found.push(Violation::new(Promise::Configured, what));
    }
}
