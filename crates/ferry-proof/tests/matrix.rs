//! Runs the fault matrix and prints its counts, and shows by mutations that the checker can fail.

use std::io::Write;
use std::sync::OnceLock;

use ferry_proof::matrix::{Cell, Counts, fault_pairs, repeated_faults, run_all, single_faults};
use ferry_proof::mutation::Mutant;
use ferry_proof::{Fault, Invariant, Mutation, Step, Verdict};
use strum::IntoEnumIterator;

struct Table {
    name: &'static str,
    cells: fn(u64) -> Vec<Cell>,
    seeds: &'static [u64],
}

const TABLES: &[Table] = &[
    Table { name: "single", cells: single_faults, seeds: &[1, 2] },
    Table { name: "repeated", cells: repeated_faults, seeds: &[3] },
    Table { name: "pairs", cells: fault_pairs, seeds: &[4, 5] },
];

/// Runs the whole matrix once for all tests of this file and prints its counts.
fn verdicts() -> &'static [(Cell, Verdict)] {
    static VERDICTS: OnceLock<Vec<(Cell, Verdict)>> = OnceLock::new();
    VERDICTS.get_or_init(|| {
        let mut all = Vec::new();
        for table in TABLES {
            let cells: Vec<Cell> = table.seeds.iter().flat_map(|it| (table.cells)(*it)).collect();
            let verdicts = run_all(&cells);
            let mut counts = Counts::default();
            verdicts.iter().for_each(|it| counts.add(it));
            report(&format!("fault matrix, {}: {counts:?}", table.name));
            all.extend(cells.into_iter().zip(verdicts));
        }
        all
    })
}

/// Bypasses the output capture of the test harness, so that passing runs print their counts too.
fn report(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

fn assert_holds(invariant: Invariant) {
    let mut broken = Vec::new();
    for (cell, verdict) in verdicts() {
        let Verdict::Broken(violations) = verdict else { continue };
        if let Some(it) = violations.iter().find(|it| it.invariant == invariant) {
            broken.push(format!("{cell:?}: {it}"));
        }
    }
    assert!(
        broken.is_empty(),
        "{} cells violate {invariant}:\n{}",
        broken.len(),
        broken.join("\n")
    );
}

#[test]
fn every_step_is_reached() {
    let missed = |it: &&(Cell, Verdict)| it.1 == Verdict::Missed;
    let missed: Vec<_> = verdicts().iter().filter(missed).map(|it| &it.0).collect();
    assert!(missed.is_empty(), "{} cells never reached their step: {missed:?}", missed.len());
}

#[test]
fn each_request_gets_one_answer_in_time() {
    assert_holds(Invariant::Answered);
}

#[test]
fn complete_answers_match_their_request() {
    assert_holds(Invariant::CorrectOutput);
}

#[test]
fn streamed_tokens_arrive_once_in_order_and_complete() {
    assert_holds(Invariant::IntactStream);
}

#[test]
fn requests_answered_as_not_run_never_ran() {
    assert_holds(Invariant::NotRun);
}

#[test]
fn unrepeatable_stages_run_at_most_once() {
    assert_holds(Invariant::AtMostOnce);
}

#[test]
fn leaving_endpoints_get_no_new_work() {
    assert_holds(Invariant::NoNewWork);
}

#[test]
fn graceful_shutdowns_interrupt_no_request() {
    assert_holds(Invariant::GracefulShutdown);
}

#[test]
fn configurations_propagate_and_never_revert() {
    assert_holds(Invariant::ConfigPropagation);
}

#[test]
fn replies_to_operators_match_the_store() {
    assert_holds(Invariant::TruthfulReplies);
}

#[test]
fn outdated_orders_are_never_followed() {
    assert_holds(Invariant::Fenced);
}

#[test]
fn orders_interrupt_no_calls_in_flight() {
    assert_holds(Invariant::UninterruptedCalls);
}

/// Cells that between them expose every mutation.
const MUTATION_CELLS: &[(Step, Fault)] = &[
    (Step::Admit, Fault::Burst),
    (Step::DispatchOnce, Fault::CrashAfter),
    (Step::DispatchGenerate, Fault::LeavingEndpoint),
    (Step::DispatchOnce, Fault::LeavingEndpoint),
    (Step::Reply, Fault::LeavingEntry),
    (Step::Lease, Fault::PausedHolder),
    (Step::DispatchOnce, Fault::ZoneCut),
];

fn count_violating(invariant: Invariant, mutation: Option<Mutation>) -> usize {
    let violates = |verdict: Verdict| match verdict {
        Verdict::Broken(violations) => violations.iter().any(|it| it.invariant == invariant),
        Verdict::Held | Verdict::Missed | Verdict::Excluded(_) => false,
    };
    MUTATION_CELLS
        .iter()
        .flat_map(|(step, fault)| [Cell::new(*step, *fault, 7), Cell::new(*step, *fault, 8)])
        .filter(|cell| match mutation {
            Some(mutation) => violates(cell.run_with(Some(Mutant::new(mutation)))),
            None => violates(cell.run()),
        })
        .count()
}

#[test]
fn each_mutation_violates_its_invariant() {
    let mut wrong = Vec::new();
    for mutation in Mutation::iter() {
        let invariant = mutation.violates();
        let n_mutated = count_violating(invariant, Some(mutation));
        let n_unmutated = count_violating(invariant, None);
        let n_cells = 2 * MUTATION_CELLS.len();
        report(&format!(
            "{mutation}: {n_mutated} of {n_cells} cells violate {invariant}, \
             {n_unmutated} without the mutation"
        ));
        if n_mutated == 0 || 0 < n_unmutated {
            wrong.push(mutation.to_string());
        }
    }
    assert!(
        wrong.is_empty(),
        "these mutations violate nothing, or their cells fail without them: {wrong:?}"
    );
}
