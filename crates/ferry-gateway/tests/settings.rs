//! The gateway's own settings must match docs/SETTINGS.md and the example file.

use ferry_edge::settings;
use ferry_gateway::GatewaySettings;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/SETTINGS.md");
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../etc/ferry-gateway.ini");
const SECTIONS: [&str; 7] = ["log", "calls", "engines", "batches", "peers", "policy", "shutdown"];

fn parse(text: &str) -> Result<GatewaySettings, settings::Findings> {
    settings::parse("own.ini", text, |_| None, GatewaySettings::read)
}

/// Returns a line `key = default` for each key in a section of the page.
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
fn settings_page_lists_all_keys_with_defaults() {
    let page = std::fs::read_to_string(PAGE).expect("the page is readable");
    let text: String =
        SECTIONS.iter().map(|it| format!("[{it}]\n{}", defaults(&page, it))).collect();
    assert_eq!(parse(&text), Ok(GatewaySettings::default()));
    for section in SECTIONS {
        let findings = parse(&format!("[{section}]\nunknown_to_all = 1\n")).expect_err(section);
        let allowed =
            findings.0[0].problem.split("expected one of ").nth(1).expect("the keys are listed");
        for key in allowed.split(", ") {
            let listed = defaults(&page, section);
            assert!(listed.contains(&format!("{key} = ")), "{section}: {key} is missing");
        }
    }
}

#[test]
fn example_file_has_the_defaults() {
    let text = std::fs::read_to_string(EXAMPLE).expect("the example is readable");
    assert_eq!(parse(&text), Ok(GatewaySettings::default()));
}

#[test]
fn findings_have_their_location() {
    struct Case {
        text: &'static str,
        location: &'static str,
    }
    let cases = [
        Case { text: "[peers]\nbeat = 1s\n", location: "own.ini:peers:silence" },
        Case { text: "[calls]\neject = 10s\n", location: "own.ini:calls:eject_max" },
        Case { text: "[calls]\neject = soon\n", location: "own.ini:calls:eject" },
        Case { text: "[batches]\nitem_tries = 0\n", location: "own.ini:batches:item_tries" },
        Case { text: "[policy]\ndisable = hedging, luck\n", location: "own.ini:policy:disable" },
        Case { text: "[log]\nlevel = loud\n", location: "own.ini:log:level" },
    ];
    for case in cases {
        let findings = parse(case.text).expect_err(case.text);
        assert!(findings.0.iter().any(|it| it.location == case.location), "{findings}");
    }
}
