//! Checks that docs/openapi/control.json matches the code.

const PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/openapi/control.json");
/// Environment variable that makes the test update the document.
const UPDATE: &str = "UPDATE_OPENAPI";

#[test]
fn committed_document_matches_the_code() {
    let value = ferry_control::api::openapi().expect("a document");
    let text = serde_json::to_string_pretty(&value).expect("JSON") + "\n";
    if std::env::var_os(UPDATE).is_some() {
        std::fs::write(PATH, &text).expect("the file is writable");
    }
    let committed = std::fs::read_to_string(PATH).expect("docs/openapi/control.json");
    assert!(
        committed == text,
        "docs/openapi/control.json is outdated; run the test with {UPDATE}=1"
    );
}
