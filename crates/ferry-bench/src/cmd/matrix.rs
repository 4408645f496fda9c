//! Prints the fault matrix.

use argh::FromArgs;
use ferry_proof::matrix::{Cell, Counts, fault_pairs, repeated_faults, run_all, single_faults};
use ferry_proof::{Fault, Step, Verdict};
use serde::Serialize;
use strum::IntoEnumIterator;

/// Run every fault at every step and check every invariant.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "matrix",
    example = "ferry-bench matrix --fault store_down --seed 7",
    error_code(1, "An invariant was violated or a step did not occur.")
)]
pub struct MatrixArgs {
    /// only cells with this fault
    #[argh(option)]
    fault: Option<Fault>,
    /// only cells at this step
    #[argh(option)]
    step: Option<Step>,
    /// seed of every cell (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// also inject each fault three times, and faults in pairs
    #[argh(switch)]
    all: bool,
    /// print one JSON array as the last line
    #[argh(switch)]
    json: bool,
}

#[derive(Debug, Serialize)]
struct Row<'a> {
    cell: &'a Cell,
    verdict: &'a Verdict,
}

impl MatrixArgs {
    pub fn run(&self) -> Result<(), String> {
        let mut cells = single_faults(self.seed);
        if self.all {
            cells.extend(repeated_faults(self.seed));
            cells.extend(fault_pairs(self.seed));
        }
        cells.retain(|it| self.fault.is_none_or(|fault| it.faults.contains(&fault)));
        cells.retain(|it| self.step.is_none_or(|step| it.step == step));
        let verdicts = run_all(&cells);
        let rows: Vec<Row> =
            cells.iter().zip(&verdicts).map(|(cell, verdict)| Row { cell, verdict }).collect();
        print_table(&rows);
        print_broken(&rows);
        let mut counts = Counts::default();
        verdicts.iter().for_each(|it| counts.add(it));
        let Counts { held, broken, missed, excluded } = counts;
        println!("held {held}, broken {broken}, missed {missed}, excluded {excluded}");
        if self.json {
            println!("{}", serde_json::to_string(&rows).map_err(|it| it.to_string())?);
        }
        match broken + missed {
            0 => Ok(()),
            n_wrong => Err(format!("{n_wrong} cells are broken or missed")),
        }
    }
}

/// Prints a row for each fault and a column for each step, then the reasons for exclusions.
fn print_table(rows: &[Row<'_>]) {
    let steps: Vec<Step> = Step::iter().collect();
    println!("columns: {}", steps.iter().map(ToString::to_string).collect::<Vec<_>>().join(" "));
    for fault in Fault::iter() {
        let marks: String = steps.iter().map(|step| mark(rows, fault, *step)).collect();
        println!("{:<20} {marks}", fault.to_string());
    }
    println!("+ held, ! violated, ? step did not occur, - excluded, blank not selected");
    let mut reasons: Vec<&str> = rows
        .iter()
        .filter_map(|it| match it.verdict {
            Verdict::Excluded(reason) => Some(*reason),
            Verdict::Held | Verdict::Broken(_) | Verdict::Missed => None,
        })
        .collect();
    reasons.sort_unstable();
    reasons.dedup();
    reasons.iter().for_each(|it| println!("excluded: {it}"));
}

/// Returns the worst verdict of a fault at a step.
fn mark(rows: &[Row<'_>], fault: Fault, step: Step) -> char {
    let matching = rows.iter().filter(|it| it.cell.step == step && it.cell.faults.contains(&fault));
    let marks: Vec<char> = matching
        .map(|it| match it.verdict {
            Verdict::Held => '+',
            Verdict::Broken(_) => '!',
            Verdict::Missed => '?',
            Verdict::Excluded(_) => '-',
        })
        .collect();
    ['!', '?', '+', '-'].into_iter().find(|it| marks.contains(it)).unwrap_or(' ')
}

fn print_broken(rows: &[Row<'_>]) {
    for row in rows {
        let Verdict::Broken(violations) = row.verdict else { continue };
        let faults: Vec<String> = row.cell.faults.iter().map(ToString::to_string).collect();
        println!("{} at {}, seed {}:", faults.join(" and "), row.cell.step, row.cell.seed);
        violations.iter().for_each(|it| println!("  {it}"));
    }
}
