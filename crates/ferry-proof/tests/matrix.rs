//! The fault matrix, with its counts, and proof that its checker can fail.

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

/// Runs the whole matrix once for all tests of this file, and prints its counts.
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

/// Prints past the capture of the test runner, as the counts matter when all is well, too.
fn report(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

fn assert_holds(invariant: Invariant) {
    let mut broken = Vec::new();
    for (cell, verdict) in verdicts() {
        let Verdict::Broken(found) = verdict else { continue };
        if let Some(it) = found.iter().find(|it| it.invariant == invariant) {
            broken.push(format!("{cell:?}: {it}"));
        }
    }
    assert!(broken.is_empty(), "{} cells break {invariant}:\n{}", broken.len(), broken.join("\n"));
}

#[test]
fn every_step_is_reached() {
    let missed = |it: &&(Cell, Verdict)| it.1 == Verdict::Missed;
    let missed: Vec<_> = verdicts().iter().filter(missed).map(|it| &it.0).collect();
    assert!(missed.is_empty(), "{} cells never came to their step: {missed:?}", missed.len());
}

#[test]
fn each_request_gets_one_answer_in_time() {
    assert_holds(Invariant::Answered);
}

#[test]
fn each_answer_is_the_requests_own() {
    assert_holds(Invariant::CorrectOutput);
}

#[test]
fn streams_come_once_in_order_and_whole() {
    assert_holds(Invariant::IntactStream);
}

#[test]
fn what_is_refused_never_ran() {
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
fn graceful_shutdowns_cut_nothing() {
    assert_holds(Invariant::GracefulShutdown);
}

#[test]
fn configurations_spread_and_never_revert() {
    assert_holds(Invariant::ConfigPropagation);
}

#[test]
fn operators_are_told_the_truth() {
    assert_holds(Invariant::TruthfulReplies);
}

#[test]
fn old_orders_are_never_obeyed() {
    assert_holds(Invariant::Fenced);
}

#[test]
fn orders_cut_nothing_in_flight() {
    assert_holds(Invariant::UninterruptedCalls);
}

/// Cells in which each deliberate error has occasion to show.
const OCCASIONS: &[(Step, Fault)] = &[
    (Step::Admit, Fault::Burst),
    (Step::DispatchOnce, Fault::CrashAfter),
    (Step::DispatchGenerate, Fault::LeavingEndpoint),
    (Step::DispatchOnce, Fault::LeavingEndpoint),
    (Step::Reply, Fault::LeavingEntry),
    (Step::Lease, Fault::PausedHolder),
    (Step::DispatchOnce, Fault::ZoneCut),
];

fn breaks(invariant: Invariant, mutation: Option<Mutation>) -> usize {
    let is_broken = |verdict: Verdict| match verdict {
        Verdict::Broken(found) => found.iter().any(|it| it.invariant == invariant),
        Verdict::Held | Verdict::Missed | Verdict::Excluded(_) => false,
    };
    OCCASIONS
        .iter()
        .flat_map(|(step, fault)| [Cell::new(*step, *fault, 7), Cell::new(*step, *fault, 8)])
        .filter(|cell| match mutation {
            Some(mutation) => is_broken(cell.run_with(Some(Mutant::new(mutation)))),
            None => is_broken(cell.run()),
        })
        .count()
}

#[test]
fn each_deliberate_error_turns_cells_red() {
    let mut wrong = Vec::new();
    for mutation in Mutation::iter() {
        let invariant = mutation.violates();
        let (n_red, n_before) = (breaks(invariant, Some(mutation)), breaks(invariant, None));
        let n_cells = 2 * OCCASIONS.len();
        report(&format!(
            "{mutation}: {invariant} broken in {n_red} of {n_cells} cells, {n_before} before"
        ));
        if n_red == 0 || 0 < n_before {
            wrong.push(mutation.to_string());
        }
    }
    assert!(wrong.is_empty(), "these errors don't show, or not alone: {wrong:?}");
}
