//! What instances have in quarantine, by the causes that the simulation knows.

use std::collections::BTreeSet;

use ferry_serve::{DecisionKind, Event, QuarantineAction, QuarantineState};

use crate::simulation::{CrashCause, Simulation};

/// Bytes that an instance may send each second.
pub const MAX_BYTES: usize = 8_192;

/// Returns the causes that any instance has in quarantine.
pub fn quarantined(sim: &Simulation) -> Vec<CrashCause> {
    let records = sim.instances.iter().flatten().flat_map(|it| it.quarantine().iter());
    let on = records.filter(|it| it.2.state == QuarantineState::Quarantined);
    let causes: BTreeSet<CrashCause> = on.map(|it| CrashCause::Part(it.1)).collect();
    causes.into_iter().collect()
}

/// Returns the attempts that were refused for a quarantine.
pub fn refused(sim: &Simulation) -> BTreeSet<&str> {
    let own = sim.decisions.iter().filter(|it| it.kind == DecisionKind::Quarantine);
    own.filter_map(|it| it.attempt.as_deref()).collect()
}

/// Prints what was logged about crashes, for a test that fails.
pub fn print_decisions(sim: &Simulation) {
    println!("crashes at {:?}", sim.crashes.crashed);
    let own = sim.decisions.iter().filter(|it| it.kind == DecisionKind::Quarantine);
    for it in own.filter(|it| it.attempt.is_none()) {
        println!("{} {}", it.endpoint.as_deref().unwrap_or_default(), it.reason);
    }
}

/// Returns the most bytes that an instance has sent in a second.
pub fn most_bytes(sim: &Simulation) -> usize {
    sim.crashes.bytes.values().copied().max().unwrap_or_default()
}

/// Does what an operator does at an instance.
pub fn operate(
    sim: &mut Simulation,
    instance: usize,
    pool: &str,
    cause: CrashCause,
    action: QuarantineAction,
) {
    let pool = pool.to_owned();
    let event = match cause {
        CrashCause::Part(part) => Event::Quarantine { pool, part, action },
        CrashCause::Request(it) => panic!("{it:x} cannot be set: only parts can"),
    };
    sim.deliver(instance, event);
}

/// Returns the length of what an instance knows of crashes, written out.
pub fn state_len(sim: &Simulation, instance: usize) -> usize {
    let gateway = sim.instances[instance].as_ref().expect("it runs");
    let ctx = gateway.context();
    format!("{:?}{:?}{:?}", ctx.quarantine, ctx.crash_watch, ctx.judge).len()
}
