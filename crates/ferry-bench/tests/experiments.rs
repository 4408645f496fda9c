//! Experiment files, their results and reports, and the lines fitted to costs.

use std::path::Path;

use ferry_bench::experiment::{Plan, PlanError, Results, report};
use ferry_bench::experiments::policies::simulate;
use ferry_bench::slopes::{CostCurve, fit};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../experiments");
const SHORT: &str = "[experiment]\nabout = x\ndeployment = ikenna\ncase = steady\n\
                     policies = random, score\nseeds = 3\nseconds = 5\n";

#[test]
fn every_experiment_file_is_valid() {
    let mut n_files = 0;
    for entry in std::fs::read_dir(FOLDER).expect("the folder exists") {
        let path = entry.expect("an entry").path();
        let plan = Plan::load(&path).unwrap_or_else(|it| panic!("{}: {it}", path.display()));
        assert_eq!(plan.runs().len(), plan.policies.len() * plan.seeds.len());
        n_files += 1;
    }
    assert!(0 < n_files);
}

#[test]
fn all_findings_of_a_file_are_reported_with_their_keys() {
    let text = "[experiment]\ndeployment = lagos\ncase = steady\npolicies = score, best\n\
                seeds = 1\nseconds = 2\nspeed = 3\n";
    let Err(PlanError::Findings(findings)) = Plan::parse("x", text) else {
        panic!("the file is invalid");
    };
    for key in ["speed", "about", "deployment", "policies", "seconds"] {
        let place = format!("x:experiment:{key}: ");
        assert!(findings.iter().any(|it| it.starts_with(&place)), "{place} in {findings:?}");
    }
}

#[test]
fn results_round_trip_through_csv_and_repeat_with_the_same_seed() {
    let plan = Plan::parse("short", SHORT).expect("a valid file");
    let measure = || {
        let mut results = Results::default();
        for run in plan.runs() {
            results.add(run, &simulate(run).expect("a valid deployment"));
        }
        results
    };
    let results = measure();
    assert_eq!(results, measure());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    results.save(folder, "short").expect("the folder can be written");
    let read = Results::load(&folder.join("short.csv")).expect("the files just written");
    assert_eq!(read, results);
    assert_eq!(results.policies(), ["random", "score"]);
    let (random, score) = (results.summary("random").unwrap(), results.summary("score").unwrap());
    assert_eq!(random.sent, score.sent, "both policies get the same arrivals");
    let page = report::page("short", &results).expect("a page");
    assert_eq!(page.matches("<polyline").count(), 4, "two charts with a line for each policy");
}

#[test]
fn an_invalid_result_row_is_reported_with_its_line() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("broken.csv");
    let header = "policy,seed,at_ms,pipeline,outcome,latency_us,deadline_us";
    std::fs::write(&path, format!("{header}\nscore,x\n")).expect("the folder can be written");
    let error = Results::load(&path).expect_err("the second line is short");
    assert!(error.contains("broken.csv:2"), "{error}");
}

struct Line {
    points: &'static [(f64, f64)],
    base: f64,
    slope: f64,
    r_squared: f64,
}

const LINES: &[Line] = &[
    Line { points: &[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)], base: 1.0, slope: 2.0, r_squared: 1.0 },
    Line { points: &[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)], base: 0.5, slope: 0.5, r_squared: 0.25 },
    Line { points: &[(3.0, 7.0)], base: 7.0, slope: 0.0, r_squared: 0.0 },
];

#[test]
fn lines_fit_by_least_squares() {
    for line in LINES {
        let found = fit(line.points);
        let is_close = |left: f64, right: f64| (left - right).abs() < 1e-9;
        assert!(is_close(found.base, line.base), "{found:?}");
        assert!(is_close(found.slope, line.slope), "{found:?}");
        assert!(is_close(found.r_squared, line.r_squared), "{found:?}");
    }
    let curve = CostCurve::new("x", "entry", "bytes", "nodes")
        .with_target(10.0, Some(20.0))
        .with_points(vec![(1.0, 3.0), (2.0, 5.0)]);
    assert!(curve.is_over_limit() && curve.at_target() == 21.0, "{curve:?}");
}
