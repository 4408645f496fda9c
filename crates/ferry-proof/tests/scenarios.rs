//! Every story under `scenarios/`, and what is said about mistakes in one.

use ferry_fakes::DeploymentName;
use ferry_proof::scenario::Scenario;
use proptest::prelude::{Strategy, prop, proptest};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");

#[test]
fn stories_end_as_written() {
    datadriven::walk(FOLDER, |file| {
        let mut story = None;
        file.run(|case| -> Result<String, String> {
            if case.directive == "story" {
                let name = case.take_arg("deployment").map_err(|it| it.to_string())?;
                let seed = case.try_take_arg("seed").map_err(|it| it.to_string())?.unwrap_or(1);
                story = Some(Scenario::new(name, seed));
            } else if case.directive != "then" {
                return Err(format!("unknown `{}`; expected story or then", case.directive));
            }
            case.expect_empty().map_err(|it| it.to_string())?;
            let story = story.as_mut().ok_or("expected a story before the first then")?;
            story.run(&case.input).map_err(|it| it.to_string())
        });
    });
}

/// A block with a mistake, and what is said of it.
struct Mistake {
    block: &'static str,
    said: &'static str,
}

const MISTAKES: &[Mistake] = &[
    Mistake { block: "run 2s\nassk a", said: "line 2 of the block, `assk a`: unknown word `assk`" },
    Mistake { block: "run fast", said: "`fast` is no time such as `250ms`" },
    Mistake { block: "run 9h", said: "needs one of the units ms, s, m" },
    Mistake { block: "ask a", said: "expected pipeline=NAME" },
    Mistake {
        block: "ask a pipeline=drift",
        said: "no pipeline `drift`; there are calendar, draft",
    },
    Mistake { block: "ask a pipeline=draft entri=1", said: "unknown argument `entri=`" },
    Mistake { block: "ask a pipeline=draft entry=1 entry=2", said: "`entry` stands twice" },
    Mistake { block: "fault filing burn", said: "expected one of down, silent, straggle" },
    Mistake { block: "fault files down", said: "no endpoint or pool `files`" },
    Mistake { block: "kill 9", said: "no node 9; there are 0 to 4" },
    Mistake { block: "cut lagos-1 kl-1", said: "no zone `kl-1`" },
    Mistake { block: "preset 3 weekend ada", said: "expected one of ordinary, peak, maintenance" },
    Mistake { block: "show b", said: "no request `b`" },
    Mistake { block: "rejoin now", said: "`now` is one word too many" },
];

#[test]
fn mistakes_are_named_with_their_line() {
    for it in MISTAKES {
        let mut story = Scenario::new(DeploymentName::Ikenna, 1);
        let said = story.run(it.block).expect_err(it.block).to_string();
        assert!(said.contains(it.said), "{}: {said}", it.block);
    }
}

fn noise() -> impl Strategy<Value = String> {
    let words = "(ask|run|show|fault|kill|store|preset|cut|=|[a-z0-9-]{1,6}|\\PC{0,8})";
    prop::collection::vec(words, 0..6).prop_map(|it| it.join(" "))
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig::with_cases(256))]

    #[test]
    fn noise_is_no_panic(line in noise()) {
        let _ = ferry_proof::scenario::parse::Statement::parse(&line);
    }
}
