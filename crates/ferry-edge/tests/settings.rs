//! Settings files: values with units, secrets, and the report of all findings.

use std::time::Duration;

use ferry_edge::logs::LogFormat;
use ferry_edge::settings::common::{self, InstanceSettings, PlatformSettings};
use ferry_edge::settings::{self, Address, Choice, Findings, Number, Reader, Secret, Text, Time};

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn env(name: &str) -> Option<String> {
    (name == "SET").then(|| "hidden".to_owned())
}

fn parse<T>(text: &str, build: impl FnOnce(&mut Reader) -> T) -> Result<T, Findings> {
    settings::parse("test.ini", text, env, build)
}

/// Reads one value and formats it.
type Read = fn(&mut Reader) -> String;

struct ValueCase {
    text: &'static str,
    read: Read,
    result: Result<&'static str, &'static str>,
}

fn time(reader: &mut Reader) -> String {
    format!("{:?}", reader.required("s", "k", Time(MS..=60 * SECOND)))
}

fn number(reader: &mut Reader) -> String {
    reader.required("s", "k", Number(1..=100_u32)).to_string()
}

fn address(reader: &mut Reader) -> String {
    reader.required("s", "k", Address).map(|it| it.to_string()).unwrap_or_default()
}

fn secret(reader: &mut Reader) -> String {
    reader.required("s", "k", Secret)
}

fn text(reader: &mut Reader) -> String {
    reader.required("s", "k", Text)
}

fn format(reader: &mut Reader) -> String {
    reader.value("s", "k", Choice::<LogFormat>::new(), LogFormat::Auto).to_string()
}

#[test]
fn values_have_units_bounds_and_sources() {
    let cases = [
        ValueCase { text: "k = 250ms", read: time, result: Ok("250ms") },
        ValueCase { text: "k = 4s", read: time, result: Ok("4s") },
        ValueCase { text: "k = 1m", read: time, result: Ok("60s") },
        ValueCase { text: "k = 4", read: time, result: Err("\"4\" is not a duration") },
        ValueCase { text: "k = 0ms", read: time, result: Err("0ms is out of bounds") },
        ValueCase { text: "k = 2h", read: time, result: Err("2h is out of bounds") },
        ValueCase {
            text: "k = 99999999999999999999h",
            read: time,
            result: Err("is not a duration"),
        },
        ValueCase { text: "k = 100", read: number, result: Ok("100") },
        ValueCase { text: "k = 101", read: number, result: Err("a number from 1 to 100") },
        ValueCase { text: "k = -1", read: number, result: Err("is not a number") },
        ValueCase { text: "k = 127.0.0.1:80", read: address, result: Ok("127.0.0.1:80") },
        ValueCase { text: "k = localhost:80", read: address, result: Err("an IP address") },
        ValueCase { text: "k = plain", read: secret, result: Ok("plain") },
        ValueCase { text: "k = env:SET", read: secret, result: Ok("hidden") },
        ValueCase { text: "k = env:UNSET", read: secret, result: Err("UNSET is not set") },
        ValueCase { text: "k = a\\nb", read: secret, result: Ok("a\nb") },
        ValueCase { text: "k =", read: text, result: Err("it is empty") },
        ValueCase { text: "other = 1", read: text, result: Err("missing; expected") },
        ValueCase { text: "k = json", read: format, result: Ok("json") },
        ValueCase { text: "k = xml", read: format, result: Err("one of auto, json, terminal") },
    ];
    for case in cases {
        let result = parse(&format!("[s]\n{}\n", case.text), case.read);
        match (result, case.result) {
            (Ok(value), Ok(expected)) => assert_eq!(value, expected, "{}", case.text),
            (Err(findings), Err(expected)) => {
                let first = &findings.0[0];
                assert_eq!(first.location, "test.ini:s:k", "{}", case.text);
                assert!(first.problem.contains(expected), "{}: {findings}", case.text);
            }
            (result, _) => panic!("{}: {result:?}", case.text),
        }
    }
}

#[test]
fn every_finding_is_reported_at_once() {
    let text = "stray = 1\n[instance]\nid = a\nid = b\nzone = z\nlisten = 127.0.0.1:0\n\
                [platform]\nstore = 127.0.0.1:1, nowhere\nfleet = 127.0.0.1:2\nretry = 1\n\
                [extra]\n";
    let findings = parse(text, |it| (InstanceSettings::read(it), PlatformSettings::read(it)));
    let findings = findings.unwrap_err();
    let found: Vec<(&str, &str)> =
        findings.0.iter().map(|it| (it.location.as_str(), it.problem.as_str())).collect();
    let expected = [
        ("test.ini:instance:id", "duplicate key"),
        ("test.ini:instance:region", "missing"),
        ("test.ini:platform:store", "\"nowhere\" is not an address"),
        ("test.ini:platform:retry", "unknown key; expected one of store, fleet, timeout"),
        ("test.ini:extra:", "unknown section; expected one of instance, platform"),
        ("test.ini::stray", "outside any section"),
    ];
    for (place, problem) in expected {
        let is_there = found.iter().any(|it| it.0 == place && it.1.contains(problem));
        assert!(is_there, "{place}: {problem} is missing in:\n{findings}");
    }
    assert_eq!(found.len(), expected.len(), "{findings}");
}

#[test]
fn a_line_that_is_not_ini_is_reported() {
    let findings = parse("[s]\nk = 1\nnonsense\n[t]\n", |_| ()).unwrap_err();
    assert!(findings.0[0].location.starts_with("test.ini:"), "{findings}");
    assert!(findings.0[0].problem.contains("could not read the line"), "{findings}");
}

#[test]
fn workspaces_come_from_their_sections() {
    let hash = blake3::hash(b"token").to_hex().to_string();
    let text = format!(
        "[workspace agents]\ntokens = {hash}, {hash}\nweight = 4\n[workspace bars]\ntokens = {}\n",
        "zz"
    );
    let findings = parse(&text, common::workspaces).unwrap_err();
    assert_eq!(findings.0.len(), 1, "{findings}");
    assert_eq!(findings.0[0].location, "test.ini:workspace bars:tokens");

    let good = text.split("[workspace bars]").next().unwrap();
    let workspaces = parse(good, common::workspaces).unwrap();
    assert_eq!((workspaces[0].name.as_str(), workspaces[0].weight), ("agents", 4));
    assert_eq!(workspaces[0].tokens, [hash.clone(), hash]);
}

#[test]
fn contradicting_bounds_are_reported() {
    let text = "[tuning]\nmin_deadline = 10s\nmax_deadline = 5s\n";
    let findings = parse(text, common::tuning).unwrap_err();
    assert_eq!(findings.0[0].location, "test.ini:tuning:max_deadline");
}
