//! What excuses a request that ended without an answer.

use std::time::Duration;

use ferry_soak::losses::{Ended, Excuse, Trouble, Troubles};
use tokio::time::Instant;

struct Case {
    name: &'static str,
    /// A trouble that begins at second 10.
    trouble: Option<(&'static str, Trouble)>,
    runs: &'static [&'static str],
    /// When the request was sent and ended, in seconds.
    sent: f64,
    end: f64,
    /// In a run of the whole plan, and in a calm one.
    expected: [Option<Excuse>; 2],
}

const CASES: [Case; 12] = [
    case("nothing happened", None, &["a"], 9.5, 11.0, [None; 2]),
    case("not passed on", None, &[], 9.5, 11.0, [Some(Excuse::NotPassedOn); 2]),
    case("time limit", None, &["a"], 8.0, 11.5, [Some(Excuse::TimeLimit); 2]),
    case("killed", on("node", Trouble::Killed), &["a"], 9.5, 11.0, [Some(Excuse::Killed); 2]),
    case("killed after its end", on("node", Trouble::Killed), &["a"], 8.5, 9.5, [None; 2]),
    case("in the grace", on("node", Trouble::Terminated), &["a"], 12.0, 13.0, [None; 2]),
    case(
        "grace over",
        on("node", Trouble::Terminated),
        &["a"],
        15.5,
        17.0,
        [Some(Excuse::GraceOver); 2],
    ),
    case("broken", on("a", Trouble::Broken), &["a"], 9.5, 11.0, [Some(Excuse::EndpointBroken); 2]),
    case("one of two broken", on("a", Trouble::Broken), &["a", "b"], 9.5, 11.0, [None; 2]),
    case("another one broken", on("b", Trouble::Broken), &["a"], 9.5, 11.0, [None; 2]),
    case("silent", on("a", Trouble::Silent), &["a"], 9.5, 11.0, [None; 2]),
    case(
        "late and silent",
        on("a", Trouble::Silent),
        &["a"],
        9.5,
        12.2,
        [Some(Excuse::LateAndSilent), None],
    ),
];

const fn on(subject: &'static str, trouble: Trouble) -> Option<(&'static str, Trouble)> {
    Some((subject, trouble))
}

const fn case(
    name: &'static str,
    trouble: Option<(&'static str, Trouble)>,
    runs: &'static [&'static str],
    sent: f64,
    end: f64,
    expected: [Option<Excuse>; 2],
) -> Case {
    Case { name, trouble, runs, sent, end, expected }
}

#[test]
fn only_the_listed_reasons_excuse_a_lost_answer() {
    for case in CASES {
        let mut troubles = Troubles::default();
        let now = Instant::now();
        if let Some((subject, trouble)) = case.trouble {
            troubles.set(subject, trouble, true);
        }
        let at = |second: f64| match 10.0 <= second {
            true => now + Duration::from_secs_f64(second - 10.0),
            false => now - Duration::from_secs_f64(10.0 - second),
        };
        let runs: Vec<String> = case.runs.iter().map(|it| (*it).to_owned()).collect();
        let (sent, end) = (at(case.sent), at(case.end));
        let ended = Ended { node: Some("node"), runs: &runs, stages: &[], sent, end };
        let found = [false, true].map(|is_strict| troubles.excuse(&ended, is_strict));
        assert_eq!(found, case.expected, "{}", case.name);
    }
}
