//! Runs every scenario under `scenarios/`, and checks the errors for invalid statements.

use ferry_fakes::DeploymentName;
use ferry_proof::scenario::Scenario;
use proptest::prelude::{Strategy, prop, proptest};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");

#[test]
fn scenarios_produce_expected_output() {
    datadriven::walk(FOLDER, |file| {
        let mut scenario = None;
        file.run(|case| -> Result<String, String> {
            if case.directive == "story" {
                let name = case.take_arg("deployment").map_err(|it| it.to_string())?;
                let seed = case.try_take_arg("seed").map_err(|it| it.to_string())?.unwrap_or(1);
                scenario = Some(Scenario::new(name, seed));
            } else if case.directive != "then" {
                return Err(format!("unknown `{}`; expected story or then", case.directive));
            }
            case.expect_empty().map_err(|it| it.to_string())?;
            let scenario = scenario.as_mut().ok_or("expected a story before the first then")?;
            scenario.run(&case.input).map_err(|it| it.to_string())
        });
    });
}

/// A block with an invalid statement, and a substring of its error.
struct Invalid {
    block: &'static str,
    error: &'static str,
}

const INVALID: &[Invalid] = &[
    Invalid {
        block: "run 2s\nassk a",
        error: "line 2 of the block, `assk a`: unknown word `assk`",
    },
    Invalid { block: "run fast", error: "`fast` is not a duration such as `250ms`" },
    Invalid { block: "run 9h", error: "needs one of the units ms, s, m" },
    Invalid { block: "ask a", error: "expected pipeline=NAME" },
    Invalid {
        block: "ask a pipeline=drift",
        error: "no pipeline `drift`; there are calendar, draft",
    },
    Invalid { block: "ask a pipeline=draft entri=1", error: "unknown argument `entri=`" },
    Invalid { block: "ask a pipeline=draft entry=1 entry=2", error: "`entry` is given twice" },
    Invalid { block: "fault filing burn", error: "expected one of down, silent, straggle" },
    Invalid { block: "fault files down", error: "no endpoint or pool `files`" },
    Invalid { block: "kill 9", error: "no node 9; there are 0 to 4" },
    Invalid { block: "cut lagos-1 kl-1", error: "no zone `kl-1`" },
    Invalid { block: "preset 3 weekend ada", error: "expected one of ordinary, peak, maintenance" },
    Invalid { block: "show b", error: "no request `b`" },
    Invalid { block: "rejoin now", error: "unexpected word `now`" },
];

#[test]
fn errors_name_the_invalid_line() {
    for it in INVALID {
        let mut scenario = Scenario::new(DeploymentName::Ikenna, 1);
        let error = scenario.run(it.block).expect_err(it.block).to_string();
        assert!(error.contains(it.error), "{}: {error}", it.block);
    }
}

fn random_line() -> impl Strategy<Value = String> {
    let words = "(ask|run|show|fault|kill|store|preset|cut|=|[a-z0-9-]{1,6}|\\PC{0,8})";
    prop::collection::vec(words, 0..6).prop_map(|it| it.join(" "))
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig::with_cases(256))]

    #[test]
    fn random_lines_never_panic_the_parser(line in random_line()) {
        let _ = ferry_proof::scenario::parse::Statement::parse(&line);
    }
}
