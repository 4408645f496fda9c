//! The gateway's own settings: docs/SETTINGS.md and the example say what the code does.

use ferry_edge::settings;
use ferry_gateway::GatewaySettings;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/SETTINGS.md");
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../etc/ferry-gateway.ini");
const SECTIONS: [&str; 6] = ["log", "calls", "engines", "batches", "peers", "shutdown"];

fn parse(text: &str) -> Result<GatewaySettings, settings::Findings> {
    settings::parse("own.ini", text, |_| None, GatewaySettings::read)
}

/// Returns the lines `key = default` of a section of the page.
fn defaults(page: &str, section: &str) -> String {
    let text = page.split(&format!("### gateway {section}\n")).nth(1).expect("the section exists");
    let rows = text.split("### ").next().into_iter().flat_map(str::lines);
    let line = |row: &str| {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        format!("{} = {}\n", cells[1].trim_matches('`'), cells[3])
    };
    rows.filter(|it| it.starts_with("| `")).map(line).collect()
}

#[test]
fn the_page_has_every_key_with_its_default() {
    let page = std::fs::read_to_string(PAGE).expect("the page reads");
    let text: String =
        SECTIONS.iter().map(|it| format!("[{it}]\n{}", defaults(&page, it))).collect();
    assert_eq!(parse(&text), Ok(GatewaySettings::default()));
    for section in SECTIONS {
        let findings = parse(&format!("[{section}]\nunknown_to_all = 1\n")).expect_err(section);
        let allowed = findings.0[0].problem.split("allowed are ").nth(1).expect("keys are listed");
        for key in allowed.split(", ") {
            let listed = defaults(&page, section);
            assert!(listed.contains(&format!("{key} = ")), "{section}: {key} is missing");
        }
    }
}

#[test]
fn the_example_has_the_defaults() {
    let text = std::fs::read_to_string(EXAMPLE).expect("the example reads");
    assert_eq!(parse(&text), Ok(GatewaySettings::default()));
}

#[test]
fn findings_name_their_place() {
    struct Case {
        text: &'static str,
        place: &'static str,
    }
    let cases = [
        Case { text: "[peers]\nbeat = 1s\n", place: "own.ini:peers:silence" },
        Case { text: "[calls]\neject = 10s\n", place: "own.ini:calls:eject_max" },
        Case { text: "[calls]\neject = soon\n", place: "own.ini:calls:eject" },
        Case { text: "[batches]\nitem_tries = 0\n", place: "own.ini:batches:item_tries" },
        Case { text: "[log]\nlevel = loud\n", place: "own.ini:log:level" },
    ];
    for case in cases {
        let findings = parse(case.text).expect_err(case.text);
        assert!(findings.0.iter().any(|it| it.location == case.place), "{findings}");
    }
}
