//! Changes to endpoints that a peer of a later release may send.

use ferry_model::store_position;
use ferry_serve::{EndpointsDelta, PoolBuilds, Snapshot};
use serde_json::{Value, json};

fn entry(id: &str) -> Value {
    json!({
        "id": id, "pool": "plain", "address": "127.0.0.1:9", "zone": "a", "slots": 4,
        "state": ferry_model::EndpointState::Live, "build": "v1", "born": 5,
    })
}

#[test]
fn entry_of_a_peer_that_cannot_be_read_costs_only_itself() {
    struct Case {
        name: &'static str,
        change: fn(&mut Value),
        removed: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "an unknown state",
            change: |it| it["state"] = json!("warming"),
            removed: &["gone", "malformed"],
        },
        Case {
            name: "an address of another form",
            change: |it| it["address"] = json!({ "path": "/tmp/x" }),
            removed: &["gone", "malformed"],
        },
        Case {
            name: "a field is missing",
            change: |it| it["slots"] = Value::Null,
            removed: &["gone", "malformed"],
        },
        Case { name: "no name", change: |it| it["id"] = json!(7), removed: &["gone"] },
        Case { name: "no object", change: |it| *it = json!([1]), removed: &["gone"] },
        Case { name: "an unknown field", change: |it| it["later"] = json!(1), removed: &["gone"] },
    ];
    for Case { name, change, removed } in cases {
        let mut odd = entry("malformed");
        change(&mut odd);
        let delta = json!({
            "since": 3, "stamp": 9, "news": 8, "removed": ["gone"],
            "endpoints": [entry("a"), odd, entry("z")],
        });
        let delta: EndpointsDelta =
            serde_json::from_value(delta).expect("the changes are readable");
        let ids: Vec<&str> = delta.endpoints.iter().map(|it| it.id.as_str()).collect();
        let ids: Vec<&str> = ids.into_iter().filter(|it| *it != "malformed").collect();
        assert_eq!(ids, ["a", "z"], "{name}");
        assert_eq!(delta.endpoints.len(), if name == "an unknown field" { 3 } else { 2 }, "{name}");
        assert_eq!(delta.removed, removed, "{name}");
        assert_eq!((delta.since, delta.revision, delta.last_change), (3, 9, 8), "{name}");
    }
}

#[test]
fn changes_are_read_as_they_were_written() {
    let delta: EndpointsDelta = serde_json::from_value(json!({
        "since": 3, "stamp": 9, "news": 8, "removed": ["gone"], "endpoints": [entry("a")],
        "missing": ["lapsed"],
    }))
    .expect("the changes are readable");
    let written = serde_json::to_value(&delta).expect("they are written");
    let again: EndpointsDelta = serde_json::from_value(written).expect("they are readable");
    assert_eq!(again, delta);
}

#[test]
fn release_that_knows_no_eras_reads_revisions_of_the_store() {
    let position = |revision| store_position(2, revision);
    let endpoints: EndpointsDelta = serde_json::from_value(json!({
        "since": position(3), "stamp": position(9), "news": position(8), "removed": ["gone"],
        "endpoints": [entry("a")],
    }))
    .expect("the changes are readable");
    let builds = |revision| {
        vec![PoolBuilds { pool: "pool".to_owned(), builds: vec!["v1".to_owned()], revision }]
    };
    let state = Snapshot { config: None, endpoints, builds: builds(Some(position(7))) };
    let written = serde_json::to_value(state.clone().without_eras()).expect("it is written");
    let numbers = ["since", "stamp", "news"].map(|it| written["endpoints"][it].clone());
    assert_eq!(numbers, [json!(3), json!(9), json!(8)]);
    assert_eq!(written["builds"][0]["revision"], json!(7));
    assert_eq!(written["endpoints"]["removed"], json!(["gone"]));
    let none = Snapshot { builds: builds(None), ..state };
    assert_eq!(none.without_eras().builds, builds(None));
}
