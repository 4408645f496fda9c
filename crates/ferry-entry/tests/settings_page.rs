//! docs/SETTINGS.md lists every key that an entry reads, with its default.

use ferry_core::Tuning;
use ferry_edge::settings::{self, Findings};
use ferry_entry::EntrySettings;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/SETTINGS.md");
/// A key that no section has: its finding lists the ones that are allowed.
const UNKNOWN: &str = "unknown_to_all";

/// Sections of the limits and intervals of decisions.
const DECISIONS: [&str; 5] = ["tuning", "routing", "claims", "membership", "placement"];
const REQUIRED: &str = "[instance]\nid = entry-0\nzone = a\nregion = b\nlisten = 127.0.0.1:1\n\
                        [platform]\nstore = 127.0.0.1:1\nfleet = 127.0.0.1:1\n";

fn findings(text: &str) -> Findings {
    settings::parse("page.ini", text, |_| None, EntrySettings::read).unwrap_err()
}

fn allowed(findings: &Findings, place: &str) -> Vec<String> {
    let found = findings.0.iter().find(|it| it.location == place).unwrap();
    let list = found.problem.split("expected one of ").nth(1).unwrap();
    list.split(", ").map(str::to_owned).collect()
}

#[test]
fn the_page_lists_every_key_of_every_section() {
    let page = std::fs::read_to_string(PAGE).unwrap();
    let optional = "[peers]\n[metrics]\n[workspace NAME]\n";
    let sections =
        allowed(&findings(&format!("{optional}[{UNKNOWN}]\n")), "page.ini:unknown_to_all:");
    assert!(sections.len() > 8, "{sections:?}");
    for section in sections {
        let heading = format!("### [{section}]\n");
        let text = page.split(&heading).nth(1).unwrap_or_else(|| panic!("{heading} is missing"));
        let text = text.split("### [").next().unwrap();
        let others: String = optional
            .lines()
            .filter(|it| *it != format!("[{section}]"))
            .map(|it| format!("{it}\n"))
            .collect();
        let ini = format!("{others}[{section}]\n{UNKNOWN} = 1\n");
        for key in allowed(&findings(&ini), &format!("page.ini:{section}:{UNKNOWN}")) {
            assert!(text.contains(&format!("| `{key}` |")), "{section}: {key} is missing");
        }
    }
}

/// Returns the lines `key = default` of a section of the page.
fn defaults(page: &str, section: &str) -> String {
    let text = page.split(&format!("### [{section}]\n")).nth(1).unwrap();
    let rows = text.split("### [").next().unwrap().lines().filter(|it| it.starts_with("| `"));
    rows.map(|row| {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        format!("{} = {}\n", cells[1].trim_matches('`'), cells[3].replace(' ', ""))
    })
    .collect()
}

#[test]
fn the_page_gives_the_defaults_of_the_code() {
    let page = std::fs::read_to_string(PAGE).unwrap();
    for section in DECISIONS {
        for line in defaults(&page, section).lines() {
            let ini = format!("{REQUIRED}[{section}]\n{line}\n");
            let read = settings::parse("page.ini", &ini, |_| None, EntrySettings::read)
                .unwrap_or_else(|it| panic!("{section}: {line}: {it}"));
            assert_eq!(read.tuning, Tuning::default(), "{section}: {line}");
        }
    }
}
