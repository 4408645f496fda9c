//! What instances have in quarantine, by the causes that the simulation knows.

use std::collections::BTreeSet;

use ferry_serve::{
    CrashCandidate, DecisionKind, Event, QuarantineAction, QuarantineState, workspace_digest,
};

use crate::simulation::{CrashCause, Simulation};

/// Bytes that an instance may send each second.
pub const MAX_BYTES: usize = 8_192;

/// Returns the causes that any instance has in quarantine.
pub fn quarantined(sim: &Simulation) -> Vec<CrashCause> {
    let records = sim.instances.iter().flatten().flat_map(|it| it.quarantine().iter());
    let on = records.filter(|it| it.2.state == QuarantineState::Quarantined);
    let causes: BTreeSet<CrashCause> = on.map(|it| cause(sim, it.1)).collect();
    causes.into_iter().collect()
}

/// Returns the candidate that stands for a cause.
pub fn candidate(cause: CrashCause) -> CrashCandidate {
    match cause {
        CrashCause::Part(part) => CrashCandidate::Part(part),
        CrashCause::Request(it) => CrashCandidate::Request(workspace_digest(Some("workspace"), it)),
    }
}

/// Returns the cause for which a candidate stands; a request that crashes nothing has its own digest.
fn cause(sim: &Simulation, found: CrashCandidate) -> CrashCause {
    let known = sim.crashes.requests.iter().map(|it| CrashCause::Request(*it));
    match (found, known.into_iter().find(|it| candidate(*it) == found)) {
        (CrashCandidate::Part(part), _) => CrashCause::Part(part),
        (CrashCandidate::Request(_), Some(known)) => known,
        (CrashCandidate::Request(digest), None) => CrashCause::Request(digest),
    }
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
    let event = Event::Quarantine { pool, candidate: candidate(cause), long_id: None, action };
    sim.deliver(instance, event);
}

/// Returns the length of what an instance knows of crashes, written out.
pub fn state_len(sim: &Simulation, instance: usize) -> usize {
    let gateway = sim.instances[instance].as_ref().expect("it runs");
    let ctx = gateway.context();
    format!("{:?}{:?}{:?}", ctx.quarantine, ctx.crash_watch, ctx.collector).len()
}
