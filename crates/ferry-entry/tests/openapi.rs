//! Checks that docs/openapi/entry.json matches the code.

use ferry_entry::api;

const DOCUMENT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/openapi/entry.json");
/// Environment variable that makes the test update the document.
const UPDATE: &str = "FERRY_UPDATE_OPENAPI";

#[test]
fn committed_document_matches_the_code() {
    let mut text = serde_json::to_string_pretty(&api::openapi().unwrap()).unwrap();
    text.push('\n');
    if std::env::var_os(UPDATE).is_some() {
        std::fs::write(DOCUMENT, &text).unwrap();
    }
    let committed = std::fs::read_to_string(DOCUMENT).unwrap();
    assert!(committed == text, "docs/openapi/entry.json is outdated; run the test with {UPDATE}=1");
}
