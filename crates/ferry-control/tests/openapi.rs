//! The committed description of the administration interface is the one that is served.

const PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/openapi/control.json");
/// Set to write the description instead of comparing it.
const UPDATE: &str = "UPDATE_OPENAPI";

#[test]
fn committed_description_is_current() {
    let value = ferry_control::api::openapi().expect("a description");
    let text = serde_json::to_string_pretty(&value).expect("JSON") + "\n";
    if std::env::var_os(UPDATE).is_some() {
        std::fs::write(PATH, &text).expect("the file is writable");
    }
    let committed = std::fs::read_to_string(PATH).expect("docs/openapi/control.json");
    assert!(committed == text, "docs/openapi/control.json is old; run with {UPDATE}=1");
}
