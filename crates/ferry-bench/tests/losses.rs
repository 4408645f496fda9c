//! Causes of losses, from logs written here.

use ferry_bench::losses::{self, Cause, Losses};

/// One log line: milliseconds of the day, the decision and its other fields.
type Line = (u64, &'static str, &'static str);

/// Returns the text of a log, with a prefix as a tool that merges logs may add.
fn log(request: &str, lines: &[Line]) -> String {
    let line = |(ms, decision, fields): &Line| {
        let (s, ms) = (ms / 1_000, ms % 1_000);
        format!(
            "  {s}.{ms:03} gateway-1 {{\"msg\":\"decision\",\"ts\":\"2026-01-30T10:33:{s:02}.{ms:03}Z\",\
             \"request\":\"{request}\",\"decision\":\"{decision}\"{fields}}}\n"
        )
    };
    lines.iter().map(line).collect()
}

fn read(text: &str) -> Losses {
    losses::read(text.as_bytes()).expect("the log is readable")
}

const ADMIT: Line =
    (1_000, "admit", r#","route":"draft","took_us":0,"floor_us":300000,"slack_ms":1000"#);
const STAGE: Line =
    (1_250, "stage", r#","stage":0,"pool":"ingest","took_us":240000,"floor_us":200000"#);
const ROUTE: Line =
    (1_255, "route", r#","own_tokens":5000,"shared_tokens":9000,"uncached_tokens":0"#);

#[test]
fn each_loss_has_its_cause() {
    struct Case {
        name: &'static str,
        lines: Vec<Line>,
        cause: Option<Cause>,
    }
    let complete = |took| (4_000, "complete", took);
    let cases = [
        Case {
            name: "in time",
            lines: vec![ADMIT, STAGE, ROUTE, complete(r#","took_us":400000,"slack_ms":600"#)],
            cause: None,
        },
        Case {
            name: "the engine's queue",
            lines: vec![ADMIT, STAGE, ROUTE, complete(r#","took_us":1500000,"slack_ms":0"#)],
            cause: Some(Cause::EngineQueue),
        },
        Case {
            name: "shared parts that the engine had not cached",
            lines: vec![
                ADMIT,
                STAGE,
                (
                    1_255,
                    "route",
                    r#","own_tokens":5000,"shared_tokens":60000,"uncached_tokens":45000"#,
                ),
                complete(r#","took_us":1300000,"slack_ms":0"#),
            ],
            cause: Some(Cause::SharedParts),
        },
        Case {
            name: "the queue of a stage",
            lines: vec![
                ADMIT,
                (
                    2_100,
                    "stage",
                    r#","stage":0,"pool":"ingest","took_us":1090000,"floor_us":200000"#,
                ),
                (2_105, "route", r#","own_tokens":5000,"shared_tokens":0,"uncached_tokens":0"#),
                complete(r#","took_us":1250000,"slack_ms":0"#),
            ],
            cause: Some(Cause::StageQueue("ingest".to_owned())),
        },
        Case {
            name: "admission",
            lines: vec![
                ADMIT,
                (
                    2_200,
                    "stage",
                    r#","stage":0,"pool":"ingest","took_us":210000,"floor_us":200000"#,
                ),
                (2_205, "route", r#","own_tokens":5000,"shared_tokens":0,"uncached_tokens":0"#),
                complete(r#","took_us":1350000,"slack_ms":0"#),
            ],
            cause: Some(Cause::Admission),
        },
        Case {
            name: "a call that was repeated",
            lines: vec![
                ADMIT,
                STAGE,
                ROUTE,
                (2_500, "retry", r#","reason":"endpoint is silent""#),
                (2_500, "route", r#","own_tokens":5000,"shared_tokens":9000,"uncached_tokens":0"#),
                complete(r#","took_us":1700000,"slack_ms":0"#),
            ],
            cause: Some(Cause::Repeat),
        },
        Case {
            name: "longer than its objective in any case",
            lines: vec![
                (
                    1_000,
                    "admit",
                    r#","route":"draft","took_us":0,"floor_us":1200000,"slack_ms":1000"#,
                ),
                STAGE,
                ROUTE,
                complete(r#","took_us":1400000,"slack_ms":0"#),
            ],
            cause: Some(Cause::Floor),
        },
        Case {
            name: "an earlier attempt",
            lines: vec![
                (
                    1_000,
                    "admit",
                    r#","route":"draft","took_us":2000000,"floor_us":300000,"slack_ms":0"#,
                ),
                STAGE,
                ROUTE,
                complete(r#","took_us":2400000,"slack_ms":0"#),
            ],
            cause: Some(Cause::EarlierAttempt),
        },
        Case {
            name: "refused after the controller's line",
            lines: vec![
                ADMIT,
                (
                    1_005,
                    "refuse",
                    r#","reason":"class 2 with value 1.00 would wait longer than 1s""#,
                ),
                (1_006, "refuse", r#","reason":"the endpoints of its stages are taken""#),
            ],
            cause: Some(Cause::Refused("the endpoints of its stages are taken".to_owned())),
        },
        Case {
            name: "failed",
            lines: vec![ADMIT, STAGE, ROUTE, (1_500, "fail", r#","reason":"connection reset""#)],
            cause: Some(Cause::Failed("connection reset".to_owned())),
        },
        Case { name: "no end", lines: vec![ADMIT, STAGE], cause: Some(Cause::Unfinished) },
    ];
    for case in cases {
        let losses = read(&log("a1", &case.lines));
        let draft = losses.get("draft").expect(case.name);
        assert_eq!(draft.requests, 1, "{}", case.name);
        assert_eq!(draft.in_time, usize::from(case.cause.is_none()), "{}", case.name);
        let causes: Vec<&Cause> = draft.causes.keys().collect();
        assert_eq!(causes, case.cause.iter().collect::<Vec<_>>(), "{}", case.name);
    }
}

#[test]
fn larger_requests_lose_more_and_seconds_are_told_apart() {
    let sized = |tokens: u32, end: Line| {
        let fields = format!(r#"{},"own_tokens":{tokens},"shared_tokens":0"#, ADMIT.2);
        vec![(ADMIT.0, ADMIT.1, fields.leak() as &str), ROUTE, end]
    };
    let late = (4_000, "complete", r#","took_us":1500000,"slack_ms":0"#);
    let mut text = log("small", &sized(1_000, late));
    text += &log("large", &sized(3_000, late));
    let later = ADMIT;
    text += &log("later", &[(3_500, later.1, later.2), (3_600, "refuse", r#","reason":"full""#)]);
    text += "a line without a decision\n{\"msg\":\"starting\"}\n";
    let losses = read(&text);
    let draft = &losses["draft"];
    assert_eq!((draft.requests, draft.in_time, draft.objective.as_millis()), (3, 0, 1_000));
    let seconds: Vec<(u64, usize)> =
        draft.seconds.iter().map(|(second, it)| (*second, it.requests)).collect();
    assert_eq!(seconds, [(0, 2), (2, 1)]);
    // The mean size is 1,333 tokens: 0.3 + 0.7 * 0.75 and 0.3 + 0.7 * 2.25.
    let value = draft.causes[&Cause::EngineQueue].value;
    assert!((value - 2.7).abs() < 1e-6, "{value}");
}

#[test]
fn outputs_name_each_cause() {
    let losses = read(&log("a1", &[ADMIT, STAGE, ROUTE, (1_500, "fail", r#","reason":"reset""#)]));
    let mut table = Vec::new();
    losses::print(&losses, &mut table).expect("it is printed");
    let table = String::from_utf8(table).expect("it is text");
    assert!(table.contains("draft  objective 1s  requests 1  in time 0"), "{table}");
    assert!(table.contains("1.000      1  failed: reset"), "{table}");
    let mut csv = Vec::new();
    losses::write_csv(&losses, &mut csv).expect("it is written");
    let csv = String::from_utf8(csv).expect("it is text");
    assert_eq!(
        csv,
        "route,cause,requests,value,share_of_value\ndraft,failed: reset,1,1.000,1.0000\n"
    );
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("losses.svg");
    losses::write_plot(&losses, &path).expect("it is plotted");
    let plot = std::fs::read_to_string(&path).expect("the plot is there");
    assert!(plot.contains("<polyline") && plot.contains("draft"), "{plot}");
}

#[test]
fn log_without_requests_is_an_error() {
    for text in ["", "no json\n", "{\"msg\":\"starting\"}\n"] {
        let error = losses::read(text.as_bytes()).expect_err(text);
        assert_eq!(error.to_string(), "no line is a decision about a request");
    }
}
