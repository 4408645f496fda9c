//! What excuses a request that ended without an answer.

use std::time::Duration;

use ferry_soak::losses::{Cuts, Ended, Excuse, Trouble, Troubles};
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

#[test]
fn cuts_beside_configurations_are_compared_by_time() {
    struct Case {
        name: &'static str,
        /// Seconds of configurations and of cut answers, in a run of 20 s.
        configured: &'static [u64],
        cut: &'static [u64],
        n_near: usize,
        n_far: usize,
        near: u64,
        is_uneven: bool,
    }
    let cases = [
        Case {
            name: "none",
            configured: &[5],
            cut: &[],
            n_near: 0,
            n_far: 0,
            near: 3,
            is_uneven: false,
        },
        Case {
            name: "near only",
            configured: &[5],
            cut: &[7],
            n_near: 1,
            n_far: 0,
            near: 3,
            is_uneven: true,
        },
        Case {
            name: "before and later",
            configured: &[5],
            cut: &[4, 8],
            n_near: 0,
            n_far: 2,
            near: 3,
            is_uneven: false,
        },
        Case {
            name: "three times as often",
            configured: &[1, 3, 15],
            cut: &[2, 6, 9, 15, 16, 25],
            n_near: 3,
            n_far: 2,
            near: 8,
            is_uneven: false,
        },
        Case {
            name: "more often",
            configured: &[1, 3, 15],
            cut: &[2, 2, 9, 15, 16],
            n_near: 4,
            n_far: 1,
            near: 8,
            is_uneven: true,
        },
        Case {
            name: "always near",
            configured: &[0, 2, 4, 6, 8, 10, 12, 14, 16, 18],
            cut: &[1, 2],
            n_near: 2,
            n_far: 0,
            near: 20,
            is_uneven: false,
        },
    ];
    for case in cases {
        let from = Instant::now();
        let at = |seconds: &[u64]| -> Vec<Instant> {
            seconds.iter().map(|it| from + Duration::from_secs(*it)).collect()
        };
        let until = from + Duration::from_secs(20);
        let cuts = Cuts::count(&at(case.configured), &at(case.cut), from, until);
        let near = Duration::from_secs(case.near);
        let far = Duration::from_secs(20 - case.near);
        let (n_near, n_far) = (case.n_near, case.n_far);
        assert_eq!(cuts, Cuts { n_near, n_far, near, far }, "{}", case.name);
        assert_eq!(cuts.is_uneven(), case.is_uneven, "{}", case.name);
    }
}
