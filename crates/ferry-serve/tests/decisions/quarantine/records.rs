//! What instances have in quarantine, by the causes that the simulation knows.

use std::collections::BTreeSet;

use ferry_serve::{DecisionKind, QuarantineState};

use crate::simulation::{CrashCause, Simulation};

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
